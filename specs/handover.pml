/* Hand-over of a failure domain's endpoints from one entry to another, with time in
 * whole units.
 *
 * Entry A owns the endpoints; B is the other member of the roster; control stores the
 * roster. A is in force, and may admit requests, while control's lease or B's promise is
 * valid. Requests and replies are delayed or lost, in any order; A may send nothing for
 * any time, and may start a planned stop at any moment.
 *
 * Holds: B never owns the endpoints while A is in force.
 *
 * Each variant disables one rule and must fail:
 *
 * CHECK holds
 * CHECK fails LEASE_FROM_ANSWER   A counts its lease from the reply's arrival
 * CHECK fails NO_CONFIRMATION     control removes A once its own lease has expired
 * CHECK fails REFUSE_EARLY        B confirms while its promise may still be valid
 * CHECK fails GAIN_BEFORE_ACK     B applies the new roster before a stopping A does
 * CHECK fails PROMISE_AFTER       B promises again after it has confirmed
 */

#define END 6
#define LEASE 2
#define NONE 255

byte now;

/* A is in force until the later of these moments. */
byte leased_until;
byte promised_until;
bool a_follows;             /* A applies the roster without A */

/* What control and B have granted. */
byte control_bound;         /* control's lease to A expires then */
byte b_bound;               /* B's promise to A expires then */
bool confirmed;             /* B gives no more promises to A */
bool confirmation_sent;
bool leaving;
bool removed;               /* control's roster no longer lists A */
bool b_owns;

/* At most one request and one reply in transit on each link: the time of the request. */
byte ask_control = NONE;
byte ask_b = NONE;
byte answer_control = NONE;
byte answer_b = NONE;

#ifdef LEASE_FROM_ANSWER
#define COUNTED(asked) (now + LEASE)
#else
#define COUNTED(asked) (asked + LEASE)
#endif

#define IN_FORCE (!a_follows && (now < leased_until || now < promised_until))

inline later(variable, moment) {
    if
    :: moment > variable -> variable = moment
    :: else
    fi
}

active proctype EntryA() {
    do
    :: atomic { ask_control == NONE -> ask_control = now }
    :: atomic { ask_b == NONE -> ask_b = now }
    :: atomic { answer_control != NONE ->
        later(leased_until, COUNTED(answer_control)); answer_control = NONE }
    :: atomic { answer_b != NONE ->
        later(promised_until, COUNTED(answer_b)); answer_b = NONE }
    :: atomic { !leaving -> leaving = true }
    /* A receives the new roster; from then on it admits nothing. */
    :: atomic { removed && !a_follows -> a_follows = true }
    od
}

active proctype Control() {
    do
    :: atomic { ask_control != NONE && !removed ->
        answer_control = ask_control; ask_control = NONE; control_bound = now + LEASE }
    /* A planned stop: A loses the endpoints before B gains them. */
    :: atomic { leaving && !removed -> removed = true }
    /* A is silent: control's lease has expired, and B has confirmed that its promise has. */
#ifdef NO_CONFIRMATION
    :: atomic { !removed && !leaving && now >= control_bound -> removed = true; b_owns = true }
#else
    :: atomic { !removed && !leaving && now >= control_bound && confirmation_sent ->
        removed = true; b_owns = true }
#endif
    /* After a planned stop B gains the endpoints. */
#ifdef GAIN_BEFORE_ACK
    :: atomic { removed && leaving && !b_owns -> b_owns = true }
#else
    :: atomic { removed && leaving && a_follows && !b_owns -> b_owns = true }
#endif
    od
}

active proctype EntryB() {
    do
#ifdef PROMISE_AFTER
    :: atomic { ask_b != NONE ->
#else
    :: atomic { ask_b != NONE && !confirmed ->
#endif
        answer_b = ask_b; ask_b = NONE; b_bound = now + LEASE }
#ifdef REFUSE_EARLY
    :: atomic { !confirmed -> confirmed = true }
#else
    :: atomic { !confirmed && now >= b_bound -> confirmed = true }
#endif
    :: atomic { confirmed && !confirmation_sent -> confirmation_sent = true }
    od
}

active proctype Network() {
    do
    :: atomic { ask_control != NONE -> ask_control = NONE }
    :: atomic { ask_b != NONE -> ask_b = NONE }
    :: atomic { answer_control != NONE -> answer_control = NONE }
    :: atomic { answer_b != NONE -> answer_b = NONE }
    od
}

active proctype Clock() {
    do
    :: atomic { now < END -> now++ }
    od
}

active proctype Check() {
    atomic { IN_FORCE && b_owns -> assert(false) }
}
