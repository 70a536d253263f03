/* What a gateway reserves of a workspace's allotment for the time without contact, and what
 * control counts for it.
 *
 * The gateway reports the rate that it reserves; control counts the newest report that it has
 * received, and answers. Reports and answers are delayed, lost or overtaken by later ones. The
 * gateway may lose contact at any moment, with messages in transit, and find it again.
 *
 * Holds: while the gateway is without contact it uses no more than control counts for it, so
 * what control lets the others send and what the gateway sends add up to the allotment. That
 * totals are late while there is contact isn't part of this; the experiment measures it.
 *
 * Each variant disables one rule and must fail:
 *
 * CHECK holds
 * CHECK fails LAST_REPORT      the gateway uses the rate of its last report, answered or not
 * CHECK fails LAST_ANSWERED    it uses the last answered rate, though it has reported less since
 * CHECK fails ANY_ANSWER       it takes the answer to an earlier report for one to the last
 * CHECK fails OLD_REPORT       control counts a report that a later one has overtaken
 * CHECK fails CONTROL_FORGETS  all replicas lose what they counted while the gateway is cut off
 */

#define RATE 3
#define REPORTS 4
#define NONE 255

/* Gateway: the rate that it may use without contact, and its last report. */
byte reserved;
byte last_id;
byte last_rate;
bool alone;

/* Control: the newest report that it has counted. */
byte counted_id;
byte counted;

/* In transit: rates of reports, and answers, by the number of the report. */
byte report[REPORTS + 1] = NONE;
bool answer[REPORTS + 1];

#define SAFE (!alone || reserved <= counted)

inline send_report(rate) {
    last_id++;
    last_rate = rate;
    report[last_id] = rate;
#ifdef LAST_REPORT
    reserved = rate;
#else
#ifndef LAST_ANSWERED
    /* Control may count this report already when contact is lost. */
    if
    :: rate < reserved -> reserved = rate
    :: else
    fi
#endif
#endif
}

active proctype gateway() {
    byte rate, id;
end:
    do
    :: atomic { !alone && last_id < REPORTS ->
            select(rate : 0 .. RATE);
            send_report(rate);
            rate = 0
        }
    :: atomic { !alone ->
            select(id : 1 .. REPORTS);
            if
            :: answer[id] ->
                answer[id] = false;
#ifdef ANY_ANSWER
                reserved = last_rate
#else
                if
                :: id == last_id -> reserved = last_rate
                :: else
                fi
#endif
            :: else
            fi;
            id = 0
        }
    :: atomic { !alone -> alone = true; assert(SAFE) }
    :: atomic { alone -> alone = false }
    od
}

active proctype control() {
    byte id;
end:
    do
    :: atomic { select(id : 1 .. REPORTS);
            if
            :: report[id] != NONE ->
                if
#ifdef OLD_REPORT
                :: true ->
#else
                :: id > counted_id ->
#endif
                    counted = report[id];
                    counted_id = id;
                    answer[id] = true
#ifndef OLD_REPORT
                :: else
#endif
                fi;
                report[id] = NONE;
                assert(SAFE)
            :: else
            fi;
            id = 0
        }
#ifdef CONTROL_FORGETS
    :: atomic { counted = 0; assert(SAFE) }
#endif
    od
}

/* Loses any message in transit. */
active proctype network() {
    byte id;
end:
    do
    :: atomic { select(id : 1 .. REPORTS); report[id] = NONE; id = 0 }
    :: atomic { select(id : 1 .. REPORTS); answer[id] = false; id = 0 }
    od
}
