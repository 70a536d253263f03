//! Limits against the slots that entries report.

use std::time::{Duration, Instant};

use filberthead_operator::{Answer, EditBody, OPERATOR_HEADER, RowReading, Status};
use filberthead_table::{Danger, Objective, RowValues};
use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Cluster, Node};
use filberthead_testing::operator::{Operator, change_of};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::{ResultCode, Revision, Version};

use super::session::Desk;
use crate::support::programs;

const BOUND: Duration = Duration::from_secs(120);
/// Slots of an endpoint; each failure domain of `split` has one.
const SLOTS: u32 = 3;
/// The entry that the next leader doesn't hear.
const CUT: &str = "entry-split-b-1";
/// Longer than a leader waits for what was granted by the one before, and than the
/// directory keeps an entry that is silent.
const HEARD: Duration = Duration::from_secs(8);

/// A region of two failure domains, with an entry and an endpoint in each of them.
fn start() -> Desk {
    let places = [("split", "split-a"), ("split", "split-b")];
    let builder = Cluster::builder(programs()).places(&places);
    let mut desk = Desk::with(builder.service("orders", 1).prepare());
    desk.join(3);
    desk.cluster.entries.iter_mut().for_each(Node::spawn);
    desk.cluster.entries.iter_mut().for_each(Node::wait_ready);
    desk
}

fn leader(desk: &Desk) -> Option<Status> {
    Operator::new("ana", desk.cluster.operator_addrs()).leader()
}

fn reading(desk: &Desk) -> Option<RowReading> {
    let rows = leader(desk)?.rows;
    rows.into_iter()
        .find(|row| row.service.as_str() == "orders")
}

fn wait_slots(desk: &Desk) {
    wait_until("the leader knows all slots", BOUND, || {
        reading(desk).is_some_and(|row| row.slots == Some(u64::from(2 * SLOTS)))
    });
}

/// Sets the limit of the row and takes no danger. By a connection of the test's own, since
/// the proxies hold those of strangers while links are cut.
fn set_limit(desk: &Desk, seen: Version, limit: u32) -> Answer {
    let edit = EditBody {
        service: "orders".parse().expect("a name"),
        region: "split".parse().expect("a name"),
        revision: Revision(seen.0),
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
        let addrs = desk.cluster.operator_addrs();
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
fn a_limit_is_judged_by_the_slots_of_all_entries_or_not_at_all() {
    let mut desk = start();
    let limit = (2 * SLOTS).to_string();
    let first = [
        "--limit",
        &limit,
        "--shift-cap",
        "1",
        "--allow",
        "limit-above-slots",
    ];
    desk.set("ana", "split", "1", &first).expect(0);
    wait_slots(&desk);

    let controls = ["control-1", "control-2", "control-3"];
    desk.cluster.network.partition(&[&[CUT], &controls]);
    let before = leader(&desk).expect("a leader").node;
    desk.cluster.control(before.as_str()).kill();
    eventually("the next leader hears of the row", BOUND, || {
        let next = leader(&desk)?;
        (next.node != before && !next.rows.is_empty()).then_some(())
    });
    let begun = Instant::now();
    let mut version = Version(1);
    while begun.elapsed() < HEARD {
        let answer = set_limit(&desk, version, 2 * SLOTS);
        assert_eq!(answer.code, ResultCode::ChangeAccepted, "{answer:?}");
        assert_eq!(answer.unchecked, ["orders/split"]);
        version = answer.version.expect("an accepted change has a version");
    }

    desk.cluster.network.heal();
    wait_slots(&desk);
    let refused = set_limit(&desk, version, 2 * SLOTS + 1);
    let dangers: Vec<_> = refused.findings.iter().map(|found| found.danger).collect();
    assert_eq!(dangers, [Danger::LimitAboveSlots], "{refused:?}");
}
