/*
 * Two operators switch presets, one withdraws and resumes, two processes follow.
 *
 * An append takes effect at once in the order of the log. Its answer may be lost; the writer then
 * sends the same batch again, at any later time.
 *
 * Each MUT_ macro removes one mechanism; scripts/model requires the checker to find a violation then.
 */

#define SWITCHES 3   /* versions of the preset in force */
#define NOTHING 0

/* The fold of the whole log. */
byte version;        /* version of the switch in force */
byte order[4];       /* who put each version in force: operator + 1 */
bool withdrawn;
bool known[2];       /* batch of operator's first withdrawal, of its resumption */

/* Operators: the version that each saw, and whether its batch was ever sent. */
byte expected[2];
bool sent[2];

/* Withdrawal and resumption, one batch each. */
bool withdrew;
bool resumed;

/* Processes. */
byte held[2];        /* version of the configuration held */
byte highest[2];     /* highest ever held since its start */

/* Observations for the properties. */
byte winners[4];     /* switches that counted from each version */

#define CHECK \
    assert(winners[0] <= 1 && winners[1] <= 1 && winners[2] <= 1); \
    assert(held[0] <= version && held[1] <= version); \
    assert(held[0] >= highest[0] && held[1] >= highest[1])

#ifdef MUT_NO_COMPARE
#define SWITCH_COUNTS(o) (true)
#else
#define SWITCH_COUNTS(o) (expected[o] == version)
#endif

inline append_switch(o) {
    counts = SWITCH_COUNTS(o) && version < SWITCHES;
    if
    :: counts ->
        winners[expected[o]]++;
        version++;
        order[version] = o + 1
    :: else
    fi;
    sent[o] = true;
    printf("ACT switch %d %d %d\n", o, expected[o], counts);
    counts = false
}

inline append_withdrawal() {
#ifdef MUT_NO_DEDUPE
    withdrawn = true;
#else
    if
    :: !known[0] -> known[0] = true; withdrawn = true
    :: else
    fi;
#endif
    withdrew = true;
    printf("ACT withdraw %d\n", withdrawn);
    assert(!(resumed && withdrawn))
}

inline append_resumption() {
    if
    :: !known[1] -> known[1] = true; withdrawn = false
    :: else
    fi;
    resumed = true;
    printf("ACT resume %d\n", withdrawn)
}

inline adopt(p, offered) {
#ifdef MUT_ADOPT_ANY
    held[p] = offered;
#else
    if
    :: offered > held[p] -> held[p] = offered
    :: else
    fi;
#endif
    if
    :: held[p] > highest[p] -> highest[p] = held[p]
    :: else
    fi
}

#define OPERATOR(o) \
    :: d_step { expected[o] = version; sent[o] = false } \
    :: d_step { append_switch(o); CHECK }

#define PROCESS(p) \
    :: d_step { adopt(p, version); CHECK } \
    :: d_step { adopt(p, held[1 - p]); CHECK } \
    :: d_step { held[p] = NOTHING; highest[p] = NOTHING }

active proctype world() {
    bool counts;
end:
    do
    OPERATOR(0)
    OPERATOR(1)
    :: d_step { append_withdrawal() }
    :: withdrew -> d_step { append_resumption() }
    PROCESS(0)
    PROCESS(1)
    od
}
