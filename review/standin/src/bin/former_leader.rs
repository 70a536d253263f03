//! Case: a replica that isn't the leader any more keeps an order for ever, and carries it out when it leads again.
//!
//! The leader freezes. An operator sends the order that ends an evacuation to another replica, which
//! forwards it to the frozen one and reports after a moment that the outcome is unknown. The operator sends
//! it again, and the next leader acknowledges it. The frozen replica wakes and finds the order. It leads no
//! more, so it keeps it, and renews its time limit for as long as there is a leader. The zone is evacuated
//! anew, which is acknowledged. Control replicas are restarted in a planned way until the former leader
//! leads: it carries out the order, and requests reach the zone while it is evacuated.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use filberthead_review::{
    CONTACT, Callers, EVACUATION, Operator, Record, Verdict, ZONE, deploy, is_troubled, judge,
    leader, note_pids, others, run_case,
};
use filberthead_testing::site::Site;

/// How long the leader stands still: the pages' `node_freeze` has 4 s.
const FREEZE: Duration = Duration::from_secs(4);
/// Time between orders that don't follow each other at once.
const PAUSE: Duration = Duration::from_secs(2);
/// Pause between planned restarts: longer than `catch_up_s`.
const RESTART_PAUSE: Duration = Duration::from_secs(5);
/// Most planned restarts.
const MAX_RESTARTS: usize = 8;
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(6);

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Record) -> Verdict {
    let mut site = deploy();
    let callers = Callers::start(&site);
    let operator = Operator::new(record);
    let Some(former) = leader(&site.controls) else {
        return Verdict::NotRun("no replica leads".to_owned());
    };
    let others = others(&site.controls, former);
    let (start, end) = (
        format!("evacuations.start&of={ZONE}"),
        format!("evacuations.end&of={ZONE}"),
    );
    if operator.order(&others, &start).is_none() {
        return Verdict::NotRun("the first evacuation isn't acknowledged".to_owned());
    }
    sleep(PAUSE);
    let process = site.controls[former].process_ref();
    let frozen_at = Instant::now();
    if is_troubled() {
        record.line(&format!("{} freezes, which leads", process.name()));
        process.suspend();
    }
    let ended = operator.order(&others, &end);
    sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if is_troubled() {
        process.resume();
        record.line(&format!("{} wakes", process.name()));
    }
    sleep(PAUSE);
    let started = operator.order(&others, &start);
    let (Some(_), Some(started)) = (ended, started) else {
        return Verdict::NotRun("an order isn't acknowledged".to_owned());
    };
    let mut calm_since = frozen_at + FREEZE;
    if is_troubled() {
        match restart_until_leader(record, &mut site, former) {
            Some(at) => calm_since = at,
            None => return Verdict::NotRun("the former leader doesn't lead again".to_owned()),
        }
    }
    let from = (started + EVACUATION).max(calm_since + CONTACT);
    record.line_at(from, "requests are judged from here on");
    sleep(from.saturating_duration_since(Instant::now()) + JUDGED);
    let sent = callers.end();
    judge(record, &site, &sent, from)
}

/// Restarts the replica that leads until that is `wanted`. Returns when the last one was started.
fn restart_until_leader(record: &Record, site: &mut Site, wanted: usize) -> Option<Instant> {
    for _ in 0..MAX_RESTARTS {
        let led_by = leader(&site.controls)?;
        record.line(&format!("{} leads", site.controls[led_by].name()));
        if led_by == wanted {
            return Some(Instant::now());
        }
        let node = &mut site.controls[led_by];
        record.line(&format!("{} gets SIGTERM", node.name()));
        node.stop();
        node.start();
        record.line(&format!("{} is started again", node.name()));
        note_pids(site);
        sleep(RESTART_PAUSE);
    }
    None
}
