//! The check of evacuations accepts what operators' orders explain and finds what they don't.

use std::collections::BTreeSet;
use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime};

use filberthead_testing::soak::{
    AppliedSet, EndpointRun, EvacuationChange, EvacuationOrder, EvacuationRecord, OrderOutcome,
    OrderSend, Violation, applied_sets, find_evacuation_violations,
};

use EvacuationChange::{End, Start};
use OrderOutcome::{Acknowledged, Unknown};

const DOMAIN: &str = "split-a";

/// A moment that many seconds after the start.
fn at(seconds: f64) -> Instant {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    *START + Duration::from_secs_f64(seconds)
}

/// An order about the failure domain, first sent and ended at these times.
fn order(
    operator: usize,
    change: EvacuationChange,
    times: (f64, f64),
    outcome: OrderOutcome,
) -> EvacuationOrder {
    EvacuationOrder {
        operator,
        domain: DOMAIN.to_owned(),
        change,
        sent: at(times.0),
        ended: at(times.1),
        outcome,
        sends: vec![send(times, outcome)],
    }
}

fn send(times: (f64, f64), outcome: OrderOutcome) -> OrderSend {
    OrderSend {
        replica: 0,
        sent: at(times.0),
        ended: at(times.1),
        outcome,
    }
}

/// Changes of the failure domain, applied by one replica at these times.
fn record(orders: Vec<EvacuationOrder>, changes: &[(f64, EvacuationChange)]) -> EvacuationRecord {
    let set = |(index, (time, change)): (usize, &(f64, EvacuationChange))| AppliedSet {
        replica: 0,
        revision: index as u64 + 1,
        domains: match change {
            Start => BTreeSet::from([DOMAIN.to_owned()]),
            End => BTreeSet::new(),
        },
        at: at(*time),
    };
    EvacuationRecord {
        orders,
        applied: changes.iter().enumerate().map(set).collect(),
        kills: Vec::new(),
        // Without a fault, each order that isn't acknowledged is a violation.
        faults: vec![(at(0.0), at(30.0))],
    }
}

fn violations(record: &EvacuationRecord) -> Vec<Violation> {
    find_evacuation_violations(record, &[], |_| DOMAIN)
}

fn taken_back(revision: u64) -> Violation {
    let domain = DOMAIN.to_owned();
    Violation::EvacuationTakenBack { domain, revision }
}

#[test]
fn orders_in_series_explain_their_changes() {
    let orders = vec![
        order(0, Start, (1.0, 1.1), Acknowledged),
        order(0, End, (2.0, 2.1), Acknowledged),
        order(1, End, (3.0, 3.1), Acknowledged),
    ];
    let record = record(orders, &[(1.05, Start), (2.05, End)]);
    assert_eq!(violations(&record), []);
}

#[test]
fn overlapping_orders_may_take_effect_in_any_order() {
    let orders = vec![
        order(0, Start, (1.0, 3.0), Acknowledged),
        order(1, End, (1.0, 3.0), Acknowledged),
        order(1, Start, (1.0, 3.0), Acknowledged),
    ];
    let record = record(orders, &[(1.1, Start), (2.0, End), (2.9, Start)]);
    assert_eq!(violations(&record), []);
}

/// A copy that was sent after another one had taken effect is no violation, as control can't tell.
#[test]
fn each_copy_may_take_effect_until_the_acknowledgement() {
    let mut resent = order(0, Start, (1.0, 3.1), Acknowledged);
    let orders = vec![resent.clone(), order(1, End, (1.5, 2.1), Acknowledged)];
    let changes = [(1.1, Start), (2.05, End), (3.05, Start)];
    let unasked = Violation::EvacuatedUnasked {
        domain: DOMAIN.to_owned(),
        revision: 3,
    };
    let once = record(orders.clone(), &changes);
    assert_eq!(violations(&once), [unasked]);
    resent.sends.push(send((2.2, 3.1), Acknowledged));
    let twice = record(vec![resent, orders[1].clone()], &changes);
    assert_eq!(violations(&twice), []);
}

/// A copy of an acknowledged end was carried out after the next evacuation.
#[test]
fn an_acknowledged_order_takes_effect_once() {
    let orders = vec![
        order(0, Start, (1.0, 1.1), Acknowledged),
        order(0, End, (2.0, 3.1), Acknowledged),
        order(0, Start, (4.0, 4.1), Acknowledged),
    ];
    let changes = [(1.05, Start), (3.05, End), (4.05, Start), (5.0, End)];
    let found = violations(&record(orders, &changes));
    let lost = Violation::EvacuationOrderLost(DOMAIN.to_owned(), Start);
    assert_eq!(found, [taken_back(4), lost]);
}

/// An end that its operator had given up was carried out after it had evacuated again.
#[test]
fn a_given_up_order_takes_effect_before_the_next_acknowledgement_only() {
    let orders = || {
        vec![
            order(0, Start, (1.0, 1.1), Acknowledged),
            order(0, End, (2.0, 6.0), Unknown),
            order(0, Start, (7.0, 8.0), Acknowledged),
        ]
    };
    let in_time = [(1.05, Start), (7.5, End), (7.9, Start)];
    assert_eq!(violations(&record(orders(), &in_time)), []);
    assert_eq!(violations(&record(orders(), &in_time[..1])), []);
    let late = [(1.05, Start), (8.5, End)];
    assert_eq!(violations(&record(orders(), &late))[0], taken_back(2));
}

/// Another operator's order doesn't end the time in which a given-up order may take effect.
#[test]
fn a_given_up_order_may_follow_another_operators() {
    let orders = vec![
        order(0, Start, (1.0, 1.1), Acknowledged),
        order(0, End, (2.0, 6.0), Unknown),
        order(1, Start, (7.0, 8.0), Acknowledged),
    ];
    assert_eq!(
        violations(&record(orders, &[(1.05, Start), (8.5, End)])),
        []
    );
}

/// An acknowledged evacuation wasn't carried out.
#[test]
fn an_acknowledged_order_takes_effect() {
    let orders = vec![order(0, Start, (1.0, 1.1), Acknowledged)];
    let found = violations(&record(orders, &[]));
    let domain = || DOMAIN.to_owned();
    let without_effect = Violation::AcknowledgedWithoutEffect(domain(), Start);
    assert_eq!(
        found,
        [
            without_effect,
            Violation::EvacuationOrderLost(domain(), Start)
        ]
    );
}

/// A killed replica's last line is lost, and another replica logs the change after the
/// acknowledgement.
#[test]
fn a_kill_delays_the_line_of_a_change() {
    let orders = vec![order(0, Start, (1.0, 1.1), Acknowledged)];
    let mut record = record(orders, &[(3.0, Start)]);
    assert_ne!(violations(&record), []);
    record.kills.push(at(1.15));
    assert_eq!(violations(&record), []);
}

/// Replicas applied different sets under one revision, or an old one at the end.
#[test]
fn replicas_agree() {
    let orders = vec![order(0, Start, (1.0, 1.1), Acknowledged)];
    let mut record = record(orders, &[(1.05, Start)]);
    record.applied.push(AppliedSet {
        replica: 1,
        domains: BTreeSet::new(),
        ..record.applied[0].clone()
    });
    let lost = Violation::EvacuationOrderLost(DOMAIN.to_owned(), Start);
    assert_eq!(
        violations(&record),
        [Violation::EvacuationsDisagree(1), lost]
    );
}

/// Requests reached an evacuated failure domain after the bound and before an end was ordered.
#[test]
fn an_evacuated_domain_gets_no_requests() {
    let orders = vec![
        order(0, Start, (1.0, 1.1), Acknowledged),
        order(1, End, (20.0, 20.1), Acknowledged),
    ];
    let mut record = record(orders, &[(1.05, Start), (20.05, End)]);
    record.faults = vec![(at(8.0), at(9.0))];
    let run = |seconds: f64| EndpointRun {
        endpoint: 0,
        id: "a".to_owned(),
        request_line: "GET /catalogue/1".to_owned(),
        workspace: None,
        has_key: false,
        at: at(seconds),
    };
    let find = |times: &[f64]| {
        let runs: Vec<EndpointRun> = times.iter().map(|time| run(*time)).collect();
        find_evacuation_violations(&record, &runs, |_| DOMAIN)
    };
    assert_eq!(find(&[0.5, 6.0, 8.5, 12.9, 20.5]), []);
    let reached = Violation::SentToEvacuatedDomain(DOMAIN.to_owned(), 2);
    assert_eq!(find(&[6.2, 13.1]), [reached]);
}

/// Orders were refused, or had no answer though nothing was disturbed.
#[test]
fn orders_are_acknowledged() {
    let refused = order(0, End, (1.0, 1.1), OrderOutcome::Refused(409));
    let unanswered = order(0, End, (2.0, 6.0), Unknown);
    let mut record = record(vec![refused, unanswered], &[]);
    record.faults.clear();
    let domain = || DOMAIN.to_owned();
    let expected = [
        Violation::EvacuationOrderRefused(domain(), 409),
        Violation::EvacuationOrderUnanswered(domain(), End),
    ];
    assert_eq!(violations(&record), expected);
}

#[test]
fn a_log_is_read() {
    let log = "2026-01-02T03:04:05.678Z INFO  control-1 control: evacuated failure domains revision=11 domains={split-a}\n\
        2026-01-02T03:04:06.000Z INFO  control-1 control: number of gateways gateways=3\n\
        2026-01-02T03:04:06.678Z INFO  control-1 control: evacuated failure domains revision=12 domains=\"{pula-a, split-a}\"\n\
        2026-01-02T03:04:07.678Z INFO  control-1 control: evacuated failure domains revision=14 domains={}\n";
    let first: SystemTime = humantime::parse_rfc3339("2026-01-02T03:04:05.678Z").expect("a time");
    let sets = applied_sets(2, log, |time| {
        at(0.0)
            + time
                .duration_since(first)
                .expect("not before the first line")
    });
    let expected = [(11, 0.0, 1), (12, 1.0, 2), (14, 2.0, 0)];
    let read = sets
        .iter()
        .map(|set| (set.revision, set.at, set.domains.len()));
    assert!(read.eq(expected.map(|(revision, time, count)| (revision, at(time), count))));
    assert!(sets[1].domains.contains("pula-a") && sets[1].replica == 2);
}
