/*
 * One idempotency key, two agent incarnations, two entries, a caller that tries again at will.
 *
 * Messages that were sent may arrive at any later time, any number of times, or never. The log may
 * be down at any time; what an append does while the log is up takes effect at once, but its writer
 * may lose the answer.
 *
 * BARE binds the key through the log; otherwise a ticket has bound it to agent 0 from the start.
 * STEADY keeps simulated traces alive for longer: agents don't die, and the key expires late.
 * Each MUT_ macro removes one mechanism; scripts/model requires the checker to find a violation then.
 */

#define NOBODY 2

/* State of the key on one agent. */
#define NEW 0
#define QUEUED 1
#define RUNNING 2
#define DONE 3
#define TOMBSTONED 4

/* The log. */
byte bound = NOBODY;
bool up = true;

/* What an entry has read. */
byte seen[2] = NOBODY;

/* Agents. */
byte state[2];
bool alive[2] = true;
bool asked[2];       /* a serve message was sent to it */
bool expired;        /* the key has passed its window */

/* Observations for the properties. */
byte runs;
bool told_done;
bool told_not_run;

#define CHECK \
    assert(runs <= 1); \
    assert(!(told_not_run && runs > 0)); \
    assert(!(told_done && runs == 0)); \
    assert(!(told_done && told_not_run))

#ifdef MUT_LAST_BINDING_WINS
#define BINDING_COUNTS (true)
#else
#define BINDING_COUNTS (bound == NOBODY)
#endif

inline append_binding(e, i) {
    counts = BINDING_COUNTS;
    if
    :: counts -> bound = i
    :: else
    fi;
#ifdef MUT_SEND_BEFORE_READ
    asked[i] = true;
#endif
    printf("ACT bind %d %d\n", i, counts);
    counts = false
}

inline deliver(i) {
    if
#ifdef MUT_NO_AGE_CHECK
    :: state[i] == NEW -> state[i] = QUEUED
#else
    :: state[i] == NEW && !expired -> state[i] = QUEUED
#endif
#ifdef MUT_RUN_AGAIN
    :: state[i] == DONE -> state[i] = QUEUED
#endif
    :: else
    fi;
    printf("ACT serve %d %d %d\n", i, expired, state[i])
}

inline start(i) {
    state[i] = RUNNING;
    runs++;
    printf("ACT start %d\n", i)
}

inline finish(i) {
    state[i] = DONE;
    printf("ACT finish %d\n", i)
}

/* The agent has no room, the deadline has passed, or a fate query asks for it. */
inline refuse(i) {
#ifdef MUT_REFUSE_WITHOUT_TOMBSTONE
    state[i] = NEW;
    told_not_run = true;
#else
    state[i] = TOMBSTONED;
#endif
    printf("ACT refuse %d\n", i)
}

inline forget(i) {
    state[i] = NEW;
    printf("ACT forget %d\n", i)
}

inline disconnect(i) {
    /* Work is detached from the connection that asked for it: nothing happens. */
#ifdef MUT_CANCEL_ON_DISCONNECT
    state[i] = NEW;
#endif
    skip
}

inline die(i) {
    alive[i] = false;
    printf("ACT die %d\n", i)
}

#define ENTRY(e) \
    :: up -> d_step { seen[e] = bound; CHECK } \
    :: seen[e] != NOBODY -> d_step { seen[e] = NOBODY } \
    :: seen[e] != NOBODY && alive[seen[e]] && !asked[seen[e]] -> d_step { asked[seen[e]] = true }

#ifdef BARE
#define BIND(e, i) :: up && seen[e] == NOBODY && alive[i] && !expired -> d_step { append_binding(e, i); CHECK }
#else
#define BIND(e, i)
#endif

/* An expired key that the agent doesn't know may have been forgotten: it can't be called not run. */
#ifdef MUT_REFUSE_EXPIRED
#define MAY_REFUSE (true)
#else
#define MAY_REFUSE (!expired)
#endif

#ifdef STEADY
#define MAY_DIE false
#define MAY_EXPIRE (state[0] >= DONE || state[1] >= DONE)
#else
#define MAY_DIE true
#define MAY_EXPIRE true
#endif

#define AGENT(i) \
    :: alive[i] && asked[i] -> d_step { deliver(i); CHECK } \
    :: alive[i] && state[i] == QUEUED && !expired -> d_step { start(i); CHECK } \
    :: alive[i] && state[i] == RUNNING -> d_step { finish(i); CHECK } \
    :: alive[i] && state[i] == QUEUED -> d_step { refuse(i); CHECK } \
    :: alive[i] && state[i] == NEW && asked[i] && MAY_REFUSE -> d_step { refuse(i); CHECK } \
    :: alive[i] && state[i] == RUNNING -> d_step { disconnect(i); CHECK } \
    :: alive[i] && expired && (state[i] == DONE || state[i] == TOMBSTONED) -> d_step { forget(i); CHECK } \
    :: alive[i] && MAY_DIE -> d_step { die(i) } \
    :: alive[i] && asked[i] && state[i] == DONE -> d_step { told_done = true; CHECK } \
    :: alive[i] && asked[i] && state[i] == TOMBSTONED -> d_step { told_not_run = true; CHECK }

active proctype world() {
    bool counts;
#ifndef BARE
    bound = 0; seen[0] = 0; seen[1] = 0;
#endif
end:
    do
    :: up -> up = false
    :: !up -> up = true
    :: !expired && MAY_EXPIRE -> d_step { expired = true; printf("ACT expire\n") }
    ENTRY(0)
    ENTRY(1)
    BIND(0, 0)
    BIND(0, 1)
    BIND(1, 0)
    BIND(1, 1)
    AGENT(0)
    AGENT(1)
#ifdef MUT_TIMEOUT_MEANS_NOT_RUN
    :: asked[0] -> d_step { told_not_run = true; CHECK }
#endif
#ifdef MUT_GONE_MEANS_NOT_RUN
    :: asked[0] && !alive[0] -> d_step { told_not_run = true; CHECK }
#endif
#ifdef MUT_OUTAGE_MEANS_NOT_RUN
    :: !up -> d_step { told_not_run = true; CHECK }
#endif
#ifdef MUT_MOVE_BINDING
    :: asked[0] && !alive[0] -> d_step { asked[1] = true }
#endif
    od
}
