/* The log, and the replacement of a replica whose disk was lost.
 *
 * Replicas 0, 1 and 2 are the first voters; the disk of 2 is wiped at any moment, and its
 * VM restarts under a new identity, 3, with an empty log. 3 joins as a learner, is
 * promoted, and 2 is removed. Right after that one more replica is lost for good. Replicas
 * may be slow for any time, so messages aren't modelled separately.
 *
 * Holds: at most one leader a term; no committed entry is changed; every leader has all
 * that is committed.
 *
 * Each variant disables one rule and must fail:
 *
 * CHECK holds
 * CHECK holds TERMS=4,PLACES=2,NO_WIPE
 * CHECK fails NEVER_REPAIRED     claims that no run gets as far as the second loss
 * CHECK fails IDENTITY_REUSED    the wiped replica restarts as 2
 * CHECK fails LEARNER_COUNTS     the learner counts as a voter before its promotion
 * CHECK fails OLD_TERM_COMMIT,TERMS=4,PLACES=2,NO_WIPE   entries of earlier terms are committed by counting
 * CHECK fails OLD_LOG_ELECTED    votes go to candidates whose log is older
 * CHECK fails MINORITY_COMMITS   the leader commits entries that only it has
 */

#define N 4
#define NEW 3
#define WIPED 2
#ifndef TERMS
#define TERMS 3
#endif
#ifndef PLACES
#define PLACES 4
#endif
/* Values go into the first places only, so that there is room for the replacement. */
#ifdef NO_WIPE
#define VALUES PLACES
#else
#define VALUES (PLACES - 1)
#endif
#define NOBODY N

/* An entry is its term and its kind. */
#define VALUE 0
#define PROMOTE 1
#define REMOVE 2
#define ENTRY(term, kind) ((term) * 4 + (kind))
#define TERM(entry) ((entry) / 4)
#define KIND(entry) ((entry) % 4)

typedef Replica {
    byte term;
    byte vote;
    byte votes;         /* bit of each voter, for a candidate */
    bool leads;
    byte length;
    byte log[PLACES];
    byte commit;
    byte matched[N];
}

Replica r[N];
bool dead[N];
byte led;               /* bit of each term that had a leader */
byte committed[PLACES];
byte committed_length;
bool wiped;
bool lost;
bool repaired;

hidden byte i;
hidden byte k;
hidden byte voters;
hidden byte count;
hidden byte changes;

inline find_voters(me) {
    voters = 7;
    changes = 0;
    for (i : 0 .. PLACES - 1) {
        if
        :: i < r[me].length && KIND(r[me].log[i]) == PROMOTE -> voters = voters | (1 << NEW); changes = i + 1
        :: i < r[me].length && KIND(r[me].log[i]) == REMOVE -> voters = voters & ~(1 << WIPED); changes = i + 1
        :: else
        fi
    }
}

#define SIZE(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
/* Whether the replicas of `set` hold a majority of the voters that were found. */
#define IS_MAJORITY(set) (2 * SIZE((set) & voters) > SIZE(voters))

#define LAST_TERM(x) (r[x].length == 0 -> 0 : TERM(r[x].log[r[x].length - 1]))
#ifdef OLD_LOG_ELECTED
#define IS_NEW_ENOUGH(x, than) true
#else
#define IS_NEW_ENOUGH(x, than) (LAST_TERM(x) > LAST_TERM(than) || \
    (LAST_TERM(x) == LAST_TERM(than) && r[x].length >= r[than].length))
#endif

inline give_up(loser) {
    r[loser].leads = false;
    r[loser].votes = 0;
    r[loser].commit = 0;
    for (i : 0 .. N - 1) {
        r[loser].matched[i] = 0;
    }
}

inline lead_if_elected(winner) {
    find_voters(winner);
#ifdef LEARNER_COUNTS
    if
    :: wiped -> voters = voters | (1 << NEW)
    :: else
    fi;
    if
    :: 2 * SIZE(r[winner].votes & voters) > SIZE(voters & 7) ->
#else
    if
    :: IS_MAJORITY(r[winner].votes) ->
#endif
        assert(!((led >> r[winner].term) & 1));
        led = led | (1 << r[winner].term);
        r[winner].votes = 0;
        r[winner].leads = true;
        for (i : 0 .. PLACES - 1) {
            if
            :: i < committed_length ->
                assert(i < r[winner].length && r[winner].log[i] == committed[i])
            :: else
            fi
        }
    :: else
    fi;
    skip
}

/* A leader may have restarted, or lost its majority. */
inline campaign(me) {
    give_up(me);
    r[me].term++;
    r[me].vote = me;
    r[me].votes = 1 << me;
}

inline vote_for(voter, candidate) {
    if
    :: r[candidate].term > r[voter].term ->
        r[voter].term = r[candidate].term;
        give_up(voter)
    :: else
    fi;
    r[voter].vote = candidate;
    r[candidate].votes = r[candidate].votes | (1 << voter);
    lead_if_elected(candidate);
}

/* The follower takes the first entry that it lacks, and drops what does not match. */
inline replicate(src, dst) {
    if
    :: r[src].term > r[dst].term ->
        r[dst].term = r[src].term;
        r[dst].vote = NOBODY
    :: else
    fi;
    give_up(dst);
    k = 0;
    do
    :: k < r[src].length && k < r[dst].length && r[src].log[k] == r[dst].log[k] -> k++
    :: else -> break
    od;
    if
    :: k < r[src].length ->
        r[dst].log[k] = r[src].log[k];
        r[dst].length = k + 1;
        for (i : 0 .. PLACES - 1) {
            if
            :: i > k -> r[dst].log[i] = 0
            :: else
            fi
        }
        k++
    :: else
    fi;
    r[src].matched[dst] = k;
}

inline append(me, kind) {
    r[me].log[r[me].length] = ENTRY(r[me].term, kind);
    r[me].length++;
}

/* Commits the first `upto` entries if a majority has them. */
inline commit_upto(me, upto) {
    find_voters(me);
    count = 0;
    for (i : 0 .. N - 1) {
        if
        :: i == me || r[me].matched[i] >= upto -> count = count | (1 << i)
        :: else
        fi
    }
#ifdef MINORITY_COMMITS
    if
    :: true ->
#else
    if
    :: IS_MAJORITY(count) ->
#endif
        r[me].commit = upto;
        for (i : 0 .. PLACES - 1) {
            if
            :: i < upto && i < committed_length -> assert(committed[i] == r[me].log[i])
            :: i < upto && i >= committed_length -> committed[i] = r[me].log[i]
            :: else
            fi
        }
        if
        :: upto > committed_length -> committed_length = upto
        :: else
        fi;
        for (i : 0 .. PLACES - 1) {
            if
            :: i < committed_length && KIND(committed[i]) == REMOVE -> repaired = true
            :: else
            fi
        }
    :: else
    fi;
    skip
}

inline wipe() {
    wiped = true;
    give_up(WIPED);
    for (i : 0 .. PLACES - 1) {
        r[WIPED].log[i] = 0;
    }
    r[WIPED].length = 0;
    r[WIPED].term = 0;
    r[WIPED].vote = NOBODY;
#ifndef IDENTITY_REUSED
    dead[WIPED] = true;
    dead[NEW] = false;
#endif
}

/* 0 and 1 are interchangeable, so 1 is not the first to campaign. */
#define MAY_ASK(x) (!dead[x] && r[x].term < TERMS && (x != 1 || BEGUN))
#define BEGUN (r[0].term + r[1].term + r[2].term + led > 0)
#define ASKS(x) (!dead[x] && r[x].votes != 0)
#define CAN_VOTE(v, x) (!dead[v] && (r[x].term > r[v].term || \
    (r[x].term == r[v].term && r[v].vote == NOBODY)) && IS_NEW_ENOUGH(x, v))
#define LEADS(x) (!dead[x] && r[x].leads)
#ifdef OLD_TERM_COMMIT
#define OWN_TERM(x, place) true
#else
#define OWN_TERM(x, place) (TERM(r[x].log[place - 1]) == r[x].term)
#endif
#define OWN_COMMITTED(x) (r[x].commit > 0 && TERM(r[x].log[r[x].commit - 1]) == r[x].term)

active proctype cluster() {
    byte one;
    byte other;
    byte place;
    d_step {
        for (i : 0 .. N - 1) {
            r[i].vote = NOBODY;
        }
        dead[NEW] = true;
    }
    do
    :: atomic {
        select(one : 0 .. N - 1);
        if
        :: MAY_ASK(one) -> d_step {
                find_voters(one);
                if
                :: voters & (1 << one) -> campaign(one)
                :: else
                fi;
                skip
            }
        :: LEADS(one) && r[one].length < VALUES -> d_step { append(one, VALUE); }
        :: LEADS(one) && r[one].length < PLACES && OWN_COMMITTED(one) && wiped -> d_step {
                find_voters(one);
                if
                :: changes > r[one].commit -> skip
                :: changes <= r[one].commit && !(voters & (1 << NEW)) &&
                    r[one].matched[NEW] >= r[one].commit -> append(one, PROMOTE)
                :: changes <= r[one].commit && (voters & (1 << NEW)) &&
                    (voters & (1 << WIPED)) -> append(one, REMOVE)
                :: else
                fi;
                skip
            }
#ifndef NO_WIPE
        :: !wiped && one == WIPED -> d_step { wipe(); }
#endif
        :: repaired && !lost && !dead[one] ->
            lost = true;
            dead[one] = true;
#ifdef NEVER_REPAIRED
            assert(false)
#endif
        :: else
        fi; one = 0
       }
    :: atomic {
        select(one : 0 .. N - 1);
        select(other : 0 .. N - 1);
        if
        :: one != other && ASKS(one) && CAN_VOTE(other, one) -> d_step { vote_for(other, one); }
        :: one != other && LEADS(one) && !dead[other] && r[one].term >= r[other].term ->
            d_step { replicate(one, other); }
        :: else
        fi; one = 0; other = 0
       }
    :: atomic {
        select(one : 0 .. N - 1);
        select(place : 1 .. PLACES);
        if
        :: LEADS(one) && place > r[one].commit && place <= r[one].length && OWN_TERM(one, place) ->
            d_step { commit_upto(one, place); }
        :: else
        fi; one = 0; place = 0
       }
    od
}
