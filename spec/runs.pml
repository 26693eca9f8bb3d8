/*
 * Model of one task with two bindings, two agent incarnations and two entries.
 *
 * Records take effect in the order of their append actions, which is the log order. A sent message may
 * be delivered at any later time, any number of times, or never.
 *
 * Time is represented by ages and remaining times, bounded by LEASE, so that the search covers
 * executions of any length. A tick ages everything by one.
 *
 * Without loss of generality the first binding goes to agent 0. Agent 1 always holds a lease and is
 * never recorded as lost; both allow it to run more often than the implementation does.
 *
 * CRASHES lets entries restart; WITHDRAWALS lets operators withdraw and resume the task.
 * STEADY makes simulated traces longer: agent 0 is not lost, and no start is refused.
 * Each MUT_ macro removes one mechanism; scripts/model checks that spin then finds a violation.
 */

#define LEASE 2   /* ticks for which a read of the log allows a lease to be granted */
#define EPOCHS 2  /* bindings of the task */
#define NOBODY 2

/* States of an epoch on an agent; the last three are reported until the log holds the end. */
#define NEW 0
#define RUNNING 1
#define FINISHED 2
#define EVICTED 3
#define TOMBSTONED 4

/* State folded from the whole log. */
bool open = true;
bool bound;
bool withdrawn;
byte epoch;
byte holder = NOBODY;
bool lost;           /* agent 0 was recorded as lost */

/* State that an entry has read from the log. */
typedef View {
    bool fresh;      /* has read since its start */
    byte tip;        /* time since the start of the last read that reached the end of the log */
    bool bound;
    byte epoch;
    byte holder;
    bool lost;
    byte noticed;    /* time since the entry read the loss */
};
View view[2];

/* State of an agent. */
typedef Agent {
    byte state[3];   /* by epoch */
    bool start[3];   /* a start message of this epoch was sent to the agent */
};
Agent agent[2];

/* Lease and heartbeat of agent 0. */
byte lease;          /* remaining time of the lease */
bool sent;           /* a heartbeat is in transit */
byte beat;           /* time since it was sent */
byte grant;          /* remaining time of the lease in an acknowledgement in transit */

/* Variables used only by the assertions. */
byte finishes;
byte starts[3];
bool illicit[3];     /* the epoch was bound while the task was withdrawn */

#define RUNS(a) (agent[a].state[1] == RUNNING || agent[a].state[2] == RUNNING)
#define CHECK \
    assert(!(RUNS(0) && lease > 0 && RUNS(1))); \
    assert(finishes <= 1); \
    assert(starts[1] <= 1 && starts[2] <= 1)

#if defined(MUT_SECOND_BINDING_COUNTS)
#define BINDING_COUNTS(a, n) (open && !withdrawn)
#elif defined(MUT_BIND_WHILE_WITHDRAWN)
#define BINDING_COUNTS(a, n) (open && !bound && !(lost && a == 0) && epoch + 1 == n)
#else
#define BINDING_COUNTS(a, n) (open && !bound && !withdrawn && !(lost && a == 0) && epoch + 1 == n)
#endif

#ifdef MUT_LATE_END_COUNTS
#define END_COUNTS(a, k) (true)
#else
#define END_COUNTS(a, k) (bound && epoch == k && holder == a)
#endif

#ifdef MUT_GRANT_WITHOUT_READ
#define LEASE_LEFT(e) (LEASE)
#else
#define LEASE_LEFT(e) (LEASE - view[e].tip)
#endif

#ifdef MUT_NO_WAIT
#define WAITED(e) (true)
#else
#define WAITED(e) (view[e].noticed >= LEASE)
#endif

#ifdef CRASHES
#define MAY_CRASH true
#else
#define MAY_CRASH false
#endif

inline append_binding(e, a) {
    n = view[e].epoch + 1;
    counts = BINDING_COUNTS(a, n);
    if
    :: counts ->
        illicit[n] = illicit[n] || withdrawn;
        bound = true; epoch = n; holder = a
    :: else
    fi;
    printf("ACT bind %d %d %d\n", a, n, counts);
#ifdef MUT_START_BEFORE_READ
    agent[a].start[n] = true;
#endif
    counts = false; n = 0
}

inline append_end(a, k) {
    counts = END_COUNTS(a, k);
    if
    :: counts && agent[a].state[k] == FINISHED -> finishes++; open = false; bound = false
    :: counts && agent[a].state[k] != FINISHED -> bound = false
    :: else
    fi;
    printf("ACT end %d %d %d %d\n", a, k, agent[a].state[k], counts);
    counts = false
}

inline append_lost_end(e) {
    n = view[e].epoch;
    counts = END_COUNTS(0, n);
    if
    :: counts -> bound = false
    :: else
    fi;
    printf("ACT lost_end %d %d\n", n, counts);
    counts = false; n = 0
}

inline read(e) {
    view[e].fresh = true;
    view[e].tip = 0;
    view[e].bound = bound;
    view[e].epoch = epoch;
    view[e].holder = holder;
    if
    :: lost && !view[e].lost -> view[e].lost = true; view[e].noticed = 0
    :: else
    fi
}

inline crash(e) {
    view[e].fresh = false; view[e].tip = 0;
    view[e].bound = false; view[e].epoch = 0; view[e].holder = NOBODY;
    view[e].lost = false; view[e].noticed = 0
}

inline deliver_start(a, k) {
    if
    :: agent[a].state[k] == NEW ->
        agent[a].state[k] = RUNNING;
        starts[k]++;
        assert(!illicit[k])
#ifdef MUT_START_TWICE
    :: agent[a].state[k] > RUNNING -> agent[a].state[k] = RUNNING; starts[k]++
#endif
    :: else
    fi;
    printf("ACT start %d %d %d\n", a, k, agent[a].state[k])
}

/* The agent refuses a start, or is asked to stop a run that it has not received. */
inline tombstone(a, k) {
#ifdef MUT_NO_TOMBSTONE
    if
    :: bound && epoch == k && holder == a -> bound = false
    :: else
    fi;
#else
    agent[a].state[k] = TOMBSTONED;
#endif
    printf("ACT tombstone %d %d\n", a, k)
}

inline finish(a, k) {
    agent[a].state[k] = FINISHED;
    printf("ACT finish %d %d\n", a, k)
}

/* The run stops first, then its checkpoint is recorded, and only then its resources are freed. */
inline evict(a, k) {
#ifdef MUT_EVICT_BEFORE_STOP
    if
    :: bound && epoch == k && holder == a -> bound = false
    :: else
    fi;
#else
    agent[a].state[k] = EVICTED;
#endif
    printf("ACT evict %d %d\n", a, k)
}

inline acknowledge(e) {
    n = LEASE_LEFT(e);
#ifndef MUT_COUNT_FROM_RECEIPT
    if
    :: n > beat -> n = n - beat
    :: else -> n = 0
    fi;
#endif
    grant = n;
    sent = false; beat = 0;
    printf("ACT grant %d\n", n);
    n = 0
}

inline renew() {
    if
    :: grant > lease -> lease = grant
    :: else
    fi;
    grant = 0;
    printf("ACT renew %d\n", lease)
}

#define AGE(x) if :: x < LEASE -> x++ :: else fi
#define DROP(x) if :: x > 0 -> x-- :: else fi

inline tick() {
    AGE(view[0].tip);
    AGE(view[1].tip);
    if :: view[0].lost -> AGE(view[0].noticed) :: else fi;
    if :: view[1].lost -> AGE(view[1].noticed) :: else fi;
    /* A heartbeat as old as the lease can no longer renew it. */
    if
    :: sent && beat + 1 < LEASE -> beat++
    :: sent && beat + 1 >= LEASE -> sent = false; beat = 0
    :: else
    fi;
#ifndef MUT_COUNT_FROM_RECEIPT
    DROP(grant);
#endif
    DROP(lease);
    printf("ACT tick\n")
}

#define ENTRY(e) \
    :: d_step { read(e); CHECK } \
    :: MAY_CRASH && view[e].fresh -> d_step { crash(e) } \
    :: view[e].fresh && view[e].bound && !agent[view[e].holder].start[view[e].epoch] -> \
        d_step { agent[view[e].holder].start[view[e].epoch] = true } \
    :: view[e].fresh && view[e].bound && view[e].holder == 0 && view[e].lost && WAITED(e) -> \
        d_step { append_lost_end(e); CHECK } \
    :: view[e].fresh && !view[e].bound && view[e].epoch < EPOCHS && !view[e].lost -> \
        d_step { append_binding(e, 0); CHECK } \
    :: view[e].fresh && !view[e].bound && view[e].epoch > 0 && view[e].epoch < EPOCHS -> \
        d_step { append_binding(e, 1); CHECK } \
    :: view[e].fresh && sent && !view[e].lost && LEASE_LEFT(e) > 0 -> \
        d_step { acknowledge(e); CHECK }

#ifdef STEADY
#define MAY_FAIL false
#else
#define MAY_FAIL true
#endif

#define RUN(a, k) \
    :: agent[a].start[k] -> d_step { deliver_start(a, k); CHECK } \
    :: MAY_FAIL && agent[a].state[k] == NEW && epoch >= k -> d_step { tombstone(a, k); CHECK } \
    :: agent[a].state[k] == RUNNING && (a == 1 || lease > 0) -> d_step { finish(a, k); CHECK } \
    :: agent[a].state[k] == RUNNING -> d_step { evict(a, k); CHECK } \
    :: agent[a].state[k] > RUNNING -> d_step { append_end(a, k); CHECK }

active proctype world() {
    bool counts;
    byte n;
    view[0].holder = NOBODY;
    view[1].holder = NOBODY;
end:
    do
    :: d_step { tick(); CHECK }
    :: MAY_FAIL && !lost -> d_step { lost = true; printf("ACT lost\n") }
#ifdef WITHDRAWALS
    :: !withdrawn && open -> d_step { withdrawn = true; printf("ACT withdraw\n") }
    :: withdrawn && open -> d_step { withdrawn = false; printf("ACT resume\n") }
#endif
    :: !sent && grant == 0 -> d_step { sent = true; beat = 0 }
    :: grant > 0 -> d_step { renew(); CHECK }
    ENTRY(0)
    ENTRY(1)
    RUN(0, 1)
    RUN(0, 2)
    RUN(1, 2)
    od
}
