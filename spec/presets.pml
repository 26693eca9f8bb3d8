/*
 * Model of two operators that switch presets, one that withdraws and resumes, and two processes that
 * adopt the configuration.
 *
 * Appends take effect immediately, in log order. If the reply is lost, the writer may send the same
 * batch again at any later time.
 *
 * Each MUT_ macro removes one mechanism; scripts/model checks that spin then finds a violation.
 */

#define SWITCHES 3   /* maximum number of preset switches */
#define NOTHING 0

/* State folded from the whole log. */
byte version;        /* version of the switch in force */
byte order[4];       /* operator + 1 that switched to each version */
bool withdrawn;
bool known[2];       /* batch ids seen: withdrawal, resumption */

/* Operators: version that each expects, and whether its batch was sent. */
byte expected[2];
bool sent[2];

/* Whether the withdrawal and the resumption were appended, one batch each. */
bool withdrew;
bool resumed;

/* Processes. */
byte held[2];        /* version of its configuration */
byte highest[2];     /* highest version since its start */

/* Variables used only by the assertions. */
byte winners[4];     /* switches applied from each version */

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
