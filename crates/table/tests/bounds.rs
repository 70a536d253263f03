//! The encoded state stays below the maximum message size between control replicas.

mod common;

use common::*;
use filberthead_table::{
    Change, Command, Edit, MAX_CLOSED_PROPOSALS, MAX_EDITS, MAX_HISTORY_BYTES, MAX_NAME_BYTES,
    MAX_NOTE_BYTES, MAX_OPEN_EDITS, MAX_OPEN_PROPOSALS, MAX_REVIEWS, MAX_ROWS, Operation, Outcome,
    ProposalNumber, RowKey, RowValues, Table, Verdict,
};

/// Maximum size of a message between control replicas, such as a snapshot.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

struct TableBuilder {
    table: Table,
    id: u128,
}

impl TableBuilder {
    fn apply(&mut self, name: &str, operation: Operation) -> Outcome {
        self.id += 1;
        self.table.apply(&command(self.id, name, operation))
    }

    fn encoded_len(&self) -> usize {
        postcard::to_stdvec(&self.table)
            .expect("a table encodes")
            .len()
    }
}

fn longest_name(n: usize) -> String {
    format!("{n:0>width$}", width = MAX_NAME_BYTES)
}

fn longest_key(n: usize) -> RowKey {
    key(&longest_name(n % 7), &longest_name(n))
}

fn note() -> String {
    "n".repeat(MAX_NOTE_BYTES)
}

fn max_values() -> RowValues {
    RowValues {
        weight: u32::MAX,
        limit: u32::MAX,
        shift_cap: u32::MAX,
        ..RowValues::default()
    }
}

fn edits(table: &Table, range: std::ops::Range<usize>, set: Option<RowValues>) -> Vec<Edit> {
    let edit = |n| {
        let key = longest_key(n);
        let expected_revision = table.revision(&key);
        Edit {
            key,
            expected_revision,
            set,
        }
    };
    range.map(edit).collect()
}

fn full_change(edits: Vec<Edit>) -> Change {
    Change {
        note: note(),
        edits,
        ..Change::default()
    }
}

/// Everything that is bounded is filled to its bound, with the longest names and notes:
/// the snapshot still fits into one message.
#[test]
fn a_full_table_fits_into_one_message() {
    let mut builder = TableBuilder {
        table: Table::default(),
        id: 0,
    };
    let names: Vec<_> = (0..MAX_REVIEWS + 1).map(longest_name).collect();
    let author = names[0].clone();
    // First the removed rows, then the maximum number of rows.
    for start in [0, MAX_EDITS] {
        let made = edits(&builder.table, start..start + MAX_EDITS, Some(max_values()));
        let outcome = builder.apply(&author, Operation::Change(full_change(made)));
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    }
    let keep = 10;
    let removals = edits(&builder.table, keep..MAX_EDITS, None);
    builder.apply(&author, Operation::Change(full_change(removals)));
    let mut next = 10_000;
    while builder.table.rows().len() < MAX_ROWS {
        let count = MAX_EDITS.min(MAX_ROWS - builder.table.rows().len());
        let made = edits(&builder.table, next..next + count, Some(max_values()));
        next += count;
        let outcome = builder.apply(&author, Operation::Change(full_change(made)));
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    }
    let one_more = edits(&builder.table, next..next + 1, Some(max_values()));
    let refused = builder.apply(&author, Operation::Change(full_change(one_more)));
    assert!(matches!(refused, Outcome::Invalid { .. }));

    let per_proposal = MAX_OPEN_EDITS / MAX_OPEN_PROPOSALS;
    for n in 0..MAX_CLOSED_PROPOSALS + MAX_OPEN_PROPOSALS {
        let supersedes = n
            .checked_sub(MAX_OPEN_PROPOSALS)
            .map(|n| ProposalNumber(n as u64 + 1));
        let made = edits(
            &builder.table,
            10_000..10_000 + per_proposal,
            Some(max_values()),
        );
        let change = full_change(made);
        let outcome = builder.apply(&author, Operation::Propose { change, supersedes });
        let Outcome::Proposed { proposal } = outcome else {
            panic!("{outcome:?}");
        };
        for name in &names[1..] {
            let operation = Operation::Review {
                proposal,
                verdict: Verdict::Approve,
                note: note(),
            };
            assert_eq!(builder.apply(name, operation), Outcome::Recorded);
        }
    }
    for _ in 0..100 {
        builder.apply(&author, Operation::HandOver { note: note() });
    }
    let len = builder.encoded_len();
    assert!(len < MAX_MESSAGE_BYTES, "{len} bytes");
    // A far smaller size means that some part wasn't filled.
    assert!(len > MAX_MESSAGE_BYTES / 2, "{len} bytes");
}

/// Records of ordinary changes, one row each with a short note, are limited by their
/// number and not by their size, so that a resend within three days gets its outcome.
#[test]
fn ordinary_changes_reach_the_record_limit_before_the_byte_limit() {
    let mut table = small_table();
    let mut expected_revision = 1;
    for n in 0..5000 {
        let mut command: Command = direct(
            n + 1,
            "ana.horvat",
            [set("orders", "split", expected_revision, 50)],
        );
        if let Operation::Change(change) = &mut command.operation {
            change.note = "split takes less until its cache is warm".to_owned();
        }
        table.apply(&command);
        expected_revision = table.version().0;
    }
    assert_eq!(
        table.history().len(),
        filberthead_table::MAX_HISTORY_RECORDS
    );
    let len = postcard::to_stdvec(&table).unwrap().len();
    assert!(len < MAX_HISTORY_BYTES, "{len} bytes");
}
