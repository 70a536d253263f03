//! Limits against the slots that entries report.

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
/// Slots of an endpoint; each failure domain of `split` has one.
const SLOTS: u32 = 3;
/// The entry that the next leader doesn't hear.
const PARTITIONED: &str = "entry-split-b-1";
/// Longer than a leader waits for what was granted by the one before, and than the
/// directory keeps an entry that is silent.
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

fn row_reading(session: &Session) -> Option<RowReading> {
    let rows = leader(session)?.rows;
    rows.into_iter()
        .find(|row| row.service.as_str() == "orders")
}

fn wait_slots(session: &Session) {
    wait_until("the leader knows all slots", BOUND, || {
        row_reading(session).is_some_and(|row| row.slots == Some(u64::from(2 * SLOTS)))
    });
}

/// Sets the limit of the row and takes no danger. By a connection of the test's own, since
/// the proxies hold those of strangers while links are cut.
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
    eventually("the table decides", BOUND, || {
        let addrs = session.cluster.operator_addrs();
        let answers = addrs.into_iter().filter_map(|addr| call.send(addr).ok());
        let mut answers = answers.map(|answer| answer.json::<Answer>());
        answers.find(|answer| matches!(answer.code.number(), 2000..2200))
    })
}

/// The leader of control is lost. The next one hears the entry of one failure domain of a
/// region, and the entry of the other one can't reach it yet. An operator sets the limit
/// that the region has slots for. It was refused: "the limit 6 of orders/split is above its
/// 3 slots", which were those of the one entry. What is not known of all entries judges
/// nothing, and the operator is told so. Once the other entry is heard, limits are judged
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
    eventually("the next leader hears of the row", BOUND, || {
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
