//! Limits are checked against the slots that entries report.

use std::time::{Duration, Instant};

use filberthead_operator::{Answer, EditBody, OPERATOR_HEADER, RowReading, Status};
use filberthead_table::{Danger, Objective, RowValues};
use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Cluster, Node};
use filberthead_testing::operator::{Operator, change_of};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::{ResultCode, Revision, Version};

use super::session::Session;
use crate::support::programs;

const BOUND: Duration = Duration::from_secs(120);
/// Slots of an endpoint; each failure domain of `split` has one endpoint.
const SLOTS: u32 = 3;
/// The entry that is partitioned from the next leader.
const PARTITIONED: &str = "entry-split-b-1";
/// Longer than a new leader waits for what its predecessor granted, and than the
/// directory keeps an entry that doesn't report.
const REPORT_WAIT: Duration = Duration::from_secs(8);

/// A region of two failure domains, with an entry and an endpoint in each of them.
fn start() -> Session {
    let places = [("split", "split-a"), ("split", "split-b")];
    let builder = Cluster::builder(programs()).places(&places);
    let mut session = Session::with_cluster(builder.service("orders", 1).prepare());
    session.form_group(3);
    session.cluster.entries.iter_mut().for_each(Node::spawn);
    session
        .cluster
        .entries
        .iter_mut()
        .for_each(Node::wait_ready);
    session
}

fn leader(session: &Session) -> Option<Status> {
    Operator::new("ana", session.cluster.operator_addrs()).leader()
}

/// What the leader shows of the row of `orders`, if there is a leader.
fn row_reading(session: &Session) -> Option<RowReading> {
    let rows = leader(session)?.rows;
    rows.into_iter()
        .find(|row| row.service.as_str() == "orders")
}

fn wait_slots(session: &Session) {
    wait_until("the leader has the slots of all entries", BOUND, || {
        row_reading(session).is_some_and(|row| row.slots == Some(u64::from(2 * SLOTS)))
    });
}

/// Sets the limit of the row without any waiver. Uses a connection of its own, since the
/// proxies hold those of unnamed clients while links are cut.
fn set_limit(session: &Session, revision: Version, limit: u32) -> Answer {
    let edit = EditBody {
        service: "orders".parse().expect("a name"),
        region: "split".parse().expect("a name"),
        revision: Revision(revision.0),
        set: Some(RowValues {
            weight: 1,
            limit,
            shift_cap: 1,
            objective: Objective::Latency,
        }),
        remove: false,
    };
    let mut change = change_of(vec![edit]);
    change.allow.clear();
    let call = Call::new("POST", "/v1/changes")
        .header("content-type", "application/json")
        .header(OPERATOR_HEADER, "ana")
        .body(serde_json::to_vec(&change).expect("plain data"));
    eventually("the change is accepted or refused", BOUND, || {
        let addrs = session.cluster.operator_addrs();
        let answers = addrs.into_iter().filter_map(|addr| call.send(addr).ok());
        let mut answers = answers.map(|answer| answer.json::<Answer>());
        answers.find(|answer| matches!(answer.code.number(), 2000..2200))
    })
}

/// The leader of control is lost. Its successor gets reports from the entry of one
/// failure domain of a region; the entry of the other one can't reach it yet. A limit
/// equal to the region's slots was refused: "the limit 6 of orders/split is above its 3
/// slots", those of the one entry. Until all entries have reported, the limit must not be
/// checked, and the answer says so. Once the other entry reports, limits are checked
/// again.
#[test]
fn a_limit_is_checked_against_the_slots_of_all_entries_or_not_at_all() {
    let mut session = start();
    let limit = (2 * SLOTS).to_string();
    let first = [
        "--limit",
        &limit,
        "--shift-cap",
        "1",
        "--allow",
        "limit-above-slots",
    ];
    session.set("ana", "split", "1", &first).expect(0);
    wait_slots(&session);

    let controls = ["control-1", "control-2", "control-3"];
    session
        .cluster
        .network
        .partition(&[&[PARTITIONED], &controls]);
    let before = leader(&session).expect("a leader").node;
    session.cluster.control(before.as_str()).kill();
    eventually("the next leader has a report of the row", BOUND, || {
        let next = leader(&session)?;
        (next.node != before && !next.rows.is_empty()).then_some(())
    });
    let started = Instant::now();
    let mut version = Version(1);
    while started.elapsed() < REPORT_WAIT {
        let answer = set_limit(&session, version, 2 * SLOTS);
        assert_eq!(answer.code, ResultCode::ChangeAccepted, "{answer:?}");
        assert_eq!(answer.unchecked, ["orders/split"]);
        version = answer.version.expect("an accepted change has a version");
    }

    session.cluster.network.heal();
    wait_slots(&session);
    let refused = set_limit(&session, version, 2 * SLOTS + 1);
    let dangers: Vec<_> = refused.findings.iter().map(|found| found.danger).collect();
    assert_eq!(dangers, [Danger::LimitAboveSlots], "{refused:?}");
}
