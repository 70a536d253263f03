//! Helpers that build commands and outcomes.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::collections::BTreeSet;

use filberthead_table::{
    Actor, Change, Command, Danger, Edit, Operation, Outcome, ProposalNumber, Role, RowKey,
    RowValues, Table, Timestamp, Verdict,
};
use filberthead_types::{ChangeId, Revision, Version};

pub fn key(service: &str, region: &str) -> RowKey {
    RowKey {
        service: service.parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

pub fn values(weight: u32) -> RowValues {
    RowValues {
        weight,
        limit: 48,
        shift_cap: 12,
        ..RowValues::default()
    }
}

pub fn set(service: &str, region: &str, expected_revision: u64, weight: u32) -> Edit {
    Edit {
        key: key(service, region),
        expected_revision: Revision(expected_revision),
        set: Some(values(weight)),
    }
}

pub fn remove(service: &str, region: &str, expected_revision: u64) -> Edit {
    Edit {
        key: key(service, region),
        expected_revision: Revision(expected_revision),
        set: None,
    }
}

pub fn change(edits: impl IntoIterator<Item = Edit>) -> Change {
    Change {
        note: "a note".to_owned(),
        edits: edits.into_iter().collect(),
        allow: BTreeSet::new(),
    }
}

pub fn allowing(dangers: &[Danger], mut change: Change) -> Change {
    change.allow = dangers.iter().copied().collect();
    change
}

pub fn command(id: u128, name: &str, operation: Operation) -> Command {
    Command {
        id: ChangeId(id),
        actor: Actor {
            name: name.to_owned(),
            role: Role::Accept,
        },
        at: Timestamp(1_000 + u64::try_from(id).unwrap()),
        findings: Vec::new(),
        operation,
    }
}

pub fn direct(id: u128, name: &str, edits: impl IntoIterator<Item = Edit>) -> Command {
    command(id, name, Operation::Change(change(edits)))
}

pub fn propose(id: u128, name: &str, edits: impl IntoIterator<Item = Edit>) -> Command {
    let change = change(edits);
    let supersedes = None;
    command(id, name, Operation::Propose { change, supersedes })
}

pub fn review(id: u128, name: &str, number: u64, verdict: Verdict) -> Command {
    let operation = Operation::Review {
        proposal: ProposalNumber(number),
        verdict,
        note: String::new(),
    };
    command(id, name, operation)
}

pub fn accept(id: u128, name: &str, number: u64, allow: &[Danger]) -> Command {
    let operation = Operation::Accept {
        proposal: ProposalNumber(number),
        note: String::new(),
        allow: allow.iter().copied().collect(),
    };
    command(id, name, operation)
}

pub fn accepted(version: u64) -> Outcome {
    Outcome::Accepted {
        version: Version(version),
    }
}

pub fn proposed(number: u64) -> Outcome {
    Outcome::Proposed {
        proposal: ProposalNumber(number),
    }
}

pub fn weight(table: &Table, service: &str, region: &str) -> Option<u32> {
    let row = table.rows().get(&key(service, region))?;
    Some(row.values.weight)
}

/// A table at version 1 with two services in two regions each, created by `ana`.
pub fn small_table() -> Table {
    let mut table = Table::default();
    let rows = [
        set("catalogue", "zagreb", 0, 60),
        set("catalogue", "split", 0, 40),
        set("orders", "zagreb", 0, 50),
        set("orders", "split", 0, 50),
    ];
    assert_eq!(table.apply(&direct(900, "ana", rows)), accepted(1));
    table
}
