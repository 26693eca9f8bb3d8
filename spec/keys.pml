/*
 * Model of one idempotency key with two agent incarnations, two entries and a retrying caller.
 *
 * A sent message may be delivered at any later time, any number of times, or never. The log may be
 * unavailable at any time. An append to an available log takes effect immediately, but its reply may
 * be lost.
 *
 * With BARE the key is bound through the log; without it a ticket binds the key to agent 0 from the
 * start. STEADY makes simulated traces longer: agents do not die, and the key expires late.
 * Each MUT_ macro removes one mechanism; scripts/model checks that spin then finds a violation.
 */

#define NOBODY 2

/* States of the key on an agent. */
#define NEW 0
#define QUEUED 1
#define RUNNING 2
#define DONE 3
#define TOMBSTONED 4

/* The log. */
byte bound = NOBODY;
bool up = true;

/* Binding that each entry has read. */
byte seen[2] = NOBODY;

/* Agents. */
byte state[2];
bool alive[2] = true;
bool asked[2];       /* a serve message was sent to the agent */
bool expired;        /* the retention window of the key has passed */

/* Variables used only by the assertions. */
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

/* The agent has no capacity, the deadline has passed, or a status query tombstones the key. */
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
    /* Work is independent of the connection that requested it, so nothing changes. */
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

/* An expired key that the agent does not know may have been forgotten, so it must not be reported as not run. */
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
