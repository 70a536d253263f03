//! Case: an order of an operator who has left long ago is carried out, and undoes a newer one.
//!
//! A control replica freezes. An operator sends it the order that ends an evacuation, gets nothing for a
//! second, turns to another replica and gets the acknowledgement. The zone is evacuated anew, which is
//! acknowledged too. The frozen replica wakes, finds the first order on a connection whose other side is
//! closed, and forwards it. Requests reach the zone again while it is evacuated.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use filberthead_review::{
    CONTACT, Callers, EVACUATION, Operator, Record, Verdict, ZONE, deploy, is_troubled, judge,
    leader, others, run_case,
};

/// How long the replica stands still: the pages' `node_freeze` has 4 s.
const FREEZE: Duration = Duration::from_secs(4);
/// Time after which the operator evacuates the zone again.
const RETHINK: Duration = Duration::from_millis(1500);
/// Time for which the first evacuation lasts.
const PAUSE: Duration = Duration::from_secs(2);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(6);

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Record) -> Verdict {
    let site = deploy();
    let callers = Callers::start(&site);
    let operator = Operator::new(record);
    let Some(led_by) = leader(&site.controls) else {
        return Verdict::NotRun("no replica leads".to_owned());
    };
    let others = others(&site.controls, led_by);
    let (frozen, led_by) = (others[0], &site.controls[led_by]);
    let (start, end) = (
        format!("evacuations.start&of={ZONE}"),
        format!("evacuations.end&of={ZONE}"),
    );
    if operator.order(&[led_by], &start).is_none() {
        return Verdict::NotRun("the first evacuation isn't acknowledged".to_owned());
    }
    sleep(PAUSE);
    let process = frozen.process_ref();
    let frozen_at = Instant::now();
    if is_troubled() {
        record.line(&format!("{} freezes", process.name()));
        process.suspend();
    }
    let ended = operator.order(&[frozen, others[1]], &end);
    sleep(RETHINK);
    let started = operator.order(&[led_by], &start);
    sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if is_troubled() {
        process.resume();
        record.line(&format!("{} wakes", process.name()));
    }
    let woken_at = Instant::now();
    let (Some(_), Some(started)) = (ended, started) else {
        return Verdict::NotRun("an order isn't acknowledged".to_owned());
    };
    let from = (started + EVACUATION).max(woken_at + CONTACT);
    record.line_at(from, "requests are judged from here on");
    sleep(from.saturating_duration_since(Instant::now()) + JUDGED);
    let sent = callers.end();
    judge(record, &site, &sent, from)
}
