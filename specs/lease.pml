/* Elections and the leader's lease, with time in whole units.
 *
 * Three replicas; replies are delayed, reordered or lost; replicas crash and restart
 * without what they had only in memory. Terms and votes are on disk. A heartbeat arrives
 * at once or never: a late one keeps its receiver from voting for longer, so is safer.
 *
 * Holds: at no moment do two replicas have a valid lease; no two lead in one term.
 *
 * Each variant disables one rule and must fail:
 *
 * CHECK holds
 * CHECK fails LEASE_FROM_ANSWER   the lease counts from the reply's arrival
 * CHECK fails VOTE_WHILE_LED      a replica votes although it has just had a heartbeat
 * CHECK fails VOTE_AFTER_RESTART  a replica votes at once after a restart
 * CHECK fails LEASE_TOO_LONG      the lease outlasts the election timeout
 * CHECK fails VOTE_NOT_SYNCED     a crash loses the vote
 */

#define N 3
#define MAJORITY 2
#define END 8
#define TERMS 3
#define TIMEOUT 3
#ifdef LEASE_TOO_LONG
#define LEASE 4
#else
#define LEASE 2
#endif
#define NEVER 255

typedef Replica {
    byte term;
    byte vote;          /* candidate of this term, N if none */
    byte bound_until;   /* gives no vote before */
    byte votes;         /* bit of each voter, for a candidate */
    bool leads;
    byte sent[N];       /* newest heartbeat that each replica answered; NEVER if none */
}

/* One message in transit on each link; a later one replaces it. */
typedef Link {
    byte term;
    byte sent;          /* NEVER if the link is empty */
}
typedef Links {
    Link to[N];
}

Replica r[N];
Links answer[N];
byte now;
byte crashes;
byte leader_of[TERMS + 1];

hidden byte i;
hidden byte j;
hidden byte held;

#define HOLDS(x) (r[x].leads && \
    ((r[x].sent[(x + 1) % N] != NEVER && now < r[x].sent[(x + 1) % N] + LEASE) || \
     (r[x].sent[(x + 2) % N] != NEVER && now < r[x].sent[(x + 2) % N] + LEASE)))

inline check() {
    held = 0;
    for (j : 0 .. N - 1) {
        if
        :: HOLDS(j) -> held++
        :: else
        fi
    }
    assert(held <= 1);
}

inline forget_answers(owner) {
    for (j : 0 .. N - 1) {
        r[owner].sent[j] = NEVER;
    }
}

inline give_up(loser) {
    r[loser].leads = false;
    r[loser].votes = 0;
    forget_answers(loser);
}

inline lead(winner) {
    r[winner].leads = true;
    forget_answers(winner);
    assert(leader_of[r[winner].term] == N || leader_of[r[winner].term] == winner);
    leader_of[r[winner].term] = winner;
}

inline campaign(me) {
    r[me].term++;
    r[me].vote = me;
    r[me].votes = 1 << me;
    r[me].bound_until = now + TIMEOUT;
}

inline grant(voter, candidate) {
    if
    :: r[candidate].term > r[voter].term ->
        r[voter].term = r[candidate].term;
        give_up(voter)
    :: else
    fi;
    r[voter].vote = candidate;
    r[candidate].votes = r[candidate].votes | (1 << voter);
    lead(candidate);
}

inline take_heartbeat(src, me) {
    if
    :: r[src].term > r[me].term ->
        r[me].term = r[src].term;
        r[me].vote = N
    :: else
    fi;
    give_up(me);
    r[me].bound_until = now + TIMEOUT;
    answer[me].to[src].term = r[src].term;
    answer[me].to[src].sent = now;
}

inline take_answer(src, me) {
    if
    :: answer[src].to[me].term == r[me].term && r[me].leads ->
#ifdef LEASE_FROM_ANSWER
        r[me].sent[src] = now
#else
        if
        :: r[me].sent[src] == NEVER || r[me].sent[src] < answer[src].to[me].sent ->
            r[me].sent[src] = answer[src].to[me].sent
        :: else
        fi
#endif
    :: else
    fi;
    answer[src].to[me].sent = NEVER;
    answer[src].to[me].term = 0;
}

inline restart(me) {
    crashes++;
    give_up(me);
#ifdef VOTE_AFTER_RESTART
    r[me].bound_until = 0;
#else
    r[me].bound_until = now + TIMEOUT;
#endif
#ifdef VOTE_NOT_SYNCED
    r[me].vote = N;
    r[me].bound_until = 0;
#endif
}

#ifdef VOTE_WHILE_LED
#define MAY_VOTE(x) true
#else
#define MAY_VOTE(x) (now >= r[x].bound_until && !r[x].leads)
#endif
#define ASKS(x) (r[x].votes != 0 && !r[x].leads)
#define CAN_GRANT(v, x) (MAY_VOTE(v) && (r[x].term > r[v].term || \
    (r[x].term == r[v].term && (r[v].vote == N || r[v].vote == x))))

/* Replicas are interchangeable, so 0 is the first to campaign. */
#define BEGUN (r[0].term + r[1].term + r[2].term > 0)
#define CAMPAIGNS(x) (!r[x].leads && now >= r[x].bound_until && r[x].term < TERMS && \
    (BEGUN || x == 0))

active proctype cluster() {
    byte one;
    byte other;
    d_step {
        for (i : 0 .. N - 1) {
            r[i].vote = N;
            forget_answers(i);
            for (j : 0 .. N - 1) {
                answer[i].to[j].sent = NEVER;
            }
        }
        for (i : 0 .. TERMS) {
            leader_of[i] = N;
        }
        now = TIMEOUT;
    }
    do
    :: atomic { now < END -> now++ }
    :: atomic {
        select(one : 0 .. N - 1);
        if
        :: CAMPAIGNS(one) -> d_step { campaign(one); }
        :: crashes < 1 -> d_step { restart(one); }
        :: else
        fi; one = 0
       }
    :: atomic {
        select(one : 0 .. N - 1);
        select(other : 0 .. N - 1);
        if
        :: one != other && ASKS(one) && CAN_GRANT(other, one) -> d_step { grant(other, one); check(); }
        :: one != other && r[one].leads && r[one].term >= r[other].term -> d_step {
                take_heartbeat(one, other);
            }
        :: one != other && answer[one].to[other].sent != NEVER -> d_step { take_answer(one, other); check(); }
        :: else
        fi; one = 0; other = 0
       }
    od
}
