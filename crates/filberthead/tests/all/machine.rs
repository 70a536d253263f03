//! The replicated state as the earlier release, whose group has no conditional orders, wrote and
//! reads it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use filberthead::control::machine::{Applied, Entry, Machine};
use filberthead_fleet::{EvacuationAction, EvacuationOrder, Order, OrderId, OrderOutcome};
use filberthead_ledger::{Claim, ClaimResults};
use filberthead_route::LatestChange;
use filberthead_steer::StoredRoster;
use filberthead_table::{Command, Table};
use filberthead_types::{FailureDomain, ReplicaId};
use serde::{Deserialize, Serialize};

/// The state of the earlier release.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
struct EarlierMachine {
    table: Arc<Table>,
    claim_results: ClaimResults,
    routes: LatestChange,
    routes_revision: u64,
    evacuated: BTreeSet<FailureDomain>,
    evacuated_revision: u64,
    replica_addresses: BTreeMap<ReplicaId, SocketAddr>,
    rosters: BTreeMap<FailureDomain, StoredRoster>,
}

/// A log entry of the earlier release.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum EarlierEntry {
    Table(Command),
    Claim(Claim),
    Order(Order),
    ReplicaAddress { id: ReplicaId, addr: SocketAddr },
    Roster(StoredRoster),
}

fn domain() -> FailureDomain {
    "zagreb-a".parse().expect("a failure domain")
}

fn addr() -> SocketAddr {
    ([127, 0, 0, 1], 7000).into()
}

fn conditional(action: EvacuationAction, expected: u64) -> Entry {
    Entry::EvacuationOrder(EvacuationOrder {
        id: OrderId(1),
        received_by: "control-1".parse().expect("a name"),
        domain: domain(),
        action,
        expected,
    })
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data")
}

/// A replica is started by this release on the data of the earlier one: an unreadable snapshot ends
/// the process.
#[test]
fn a_snapshot_of_the_earlier_release_is_read() {
    let earlier = EarlierMachine {
        evacuated: BTreeSet::from([domain()]),
        evacuated_revision: 7,
        replica_addresses: BTreeMap::from([(ReplicaId(3), addr())]),
        ..EarlierMachine::default()
    };
    let machine = Machine::decode(&encoded(&earlier)).expect("a readable snapshot");
    assert_eq!(machine.evacuated, earlier.evacuated);
    assert_eq!(machine.evacuated_revision, 7);
    assert_eq!(machine.replica_addresses, earlier.replica_addresses);
    assert!(!machine.orders.is_conditional);
    assert_eq!(machine.orders.revisions.get(&domain()), 0);
}

/// A leader of this release sends its snapshot to a replica that isn't replaced yet, which must
/// get the rest of the state.
#[test]
fn the_earlier_release_ignores_what_is_appended_to_a_snapshot() {
    let mut machine = Machine::default();
    machine.apply(2, &Entry::EnableConditionalOrders);
    machine.apply(3, &conditional(EvacuationAction::Evacuate, 0));
    let snapshot = machine.encode().expect("a snapshot");
    let earlier: EarlierMachine = postcard::from_bytes(&snapshot).expect("a readable snapshot");
    assert_eq!(earlier.evacuated, BTreeSet::from([domain()]));
    assert_eq!(earlier.evacuated_revision, 3);
    let decoded = Machine::decode(&snapshot).expect("a readable snapshot");
    assert_eq!(decoded, machine);
}

/// A replica replays a log that the earlier release has written: a different number of a variant
/// would be read as another entry.
#[test]
fn log_entries_of_the_earlier_release_are_read() {
    let (id, addr) = (ReplicaId(3), addr());
    let (evacuate, back) = (Order::Evacuate(domain()), Order::Return(domain()));
    let pairs = [
        (
            EarlierEntry::Order(evacuate.clone()),
            Entry::Order(evacuate),
        ),
        (EarlierEntry::Order(back.clone()), Entry::Order(back)),
        (
            EarlierEntry::ReplicaAddress { id, addr },
            Entry::ReplicaAddress { id, addr },
        ),
    ];
    for (earlier, entry) in pairs {
        assert_eq!(encoded(&earlier), encoded(&entry));
        let read: Entry = postcard::from_bytes(&encoded(&earlier)).expect("a readable entry");
        assert_eq!(read, entry);
    }
    let unknown = encoded(&conditional(EvacuationAction::Return, 0));
    assert!(postcard::from_bytes::<EarlierEntry>(&unknown).is_err());
}

/// A replica that starts from a snapshot of the earlier release and one that replays the log from
/// further back would decide differently on a conditional order.
#[test]
fn replicas_agree_whatever_snapshot_of_the_earlier_release_they_start_from() {
    let ordered = Entry::Order(Order::Evacuate(domain()));
    let mut replayed = Machine::default();
    replayed.apply(4, &ordered);
    let earlier = EarlierMachine {
        evacuated: BTreeSet::from([domain()]),
        evacuated_revision: 4,
        ..EarlierMachine::default()
    };
    let mut restored = Machine::decode(&encoded(&earlier)).expect("a readable snapshot");
    for (index, entry) in [
        (5, Entry::EnableConditionalOrders),
        (6, conditional(EvacuationAction::Return, 0)),
        (7, conditional(EvacuationAction::Evacuate, 4)),
    ] {
        let expected = replayed.apply(index, &entry);
        assert_eq!(restored.apply(index, &entry), expected);
        assert_eq!(restored, replayed);
    }
    assert!(restored.evacuated.is_empty());
}

/// An order that was committed without a condition may not be undone by an older one.
#[test]
fn an_order_without_a_condition_raises_the_order_revision() {
    let mut machine = Machine::default();
    machine.apply(3, &Entry::EnableConditionalOrders);
    machine.apply(4, &Entry::Order(Order::Evacuate(domain())));
    let late = machine.apply(6, &conditional(EvacuationAction::Return, 0));
    assert_eq!(late, Applied::EvacuationOrder(OrderOutcome::Superseded));
    assert_eq!(machine.evacuated, BTreeSet::from([domain()]));
    let wanted = machine.apply(7, &conditional(EvacuationAction::Return, 4));
    assert_eq!(wanted, Applied::EvacuationOrder(OrderOutcome::InForce));
    assert!(machine.evacuated.is_empty());
}
