//! Random sequences of commands, checked against a simple model.

mod common;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use common::*;
use filberthead_table::{
    Change, Command, Danger, Edit, Operation, Outcome, ProposalNumber, RowKey, RowValues, Table,
    Verdict,
};
use filberthead_types::{ChangeId, Revision};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 600;
const STEPS: usize = 120;

/// Random input of one step; each field is reduced modulo the number of choices.
#[derive(Clone, Debug)]
#[derive(TypeGenerator)]
struct Step {
    kind: u8,
    actor: u8,
    edits: [EditPick; 2],
    proposal: u8,
    resend: u16,
}

#[derive(Clone, Debug)]
#[derive(TypeGenerator)]
struct EditPick {
    row: u8,
    weight: u8,
    /// The edit's revision is behind by the excess over 200, so most edits have the
    /// current one.
    lag: u8,
    remove: bool,
}

const ROWS: [(&str, &str); 4] = [
    ("catalogue", "zagreb"),
    ("catalogue", "split"),
    ("orders", "zagreb"),
    ("orders", "split"),
];

const ALL: &[Danger] = &[Danger::AllWeightsZero, Danger::LastRow, Danger::OwnReview];

impl EditPick {
    fn edit(&self, table: &Table) -> Edit {
        let (service, region) = ROWS[usize::from(self.row) % ROWS.len()];
        let lag = u64::from(self.lag).saturating_sub(200);
        let expected_revision = table.revision(&key(service, region)).0.saturating_sub(lag);
        let edit = set(
            service,
            region,
            expected_revision,
            u32::from(self.weight % 3),
        );
        let set = edit.set.filter(|_| !self.remove);
        Edit { set, ..edit }
    }
}

/// The expected rows, derived from the commands and their outcomes only.
#[derive(Default)]
struct Model {
    rows: BTreeMap<RowKey, RowValues>,
    proposals: BTreeMap<ProposalNumber, Change>,
    first_outcomes: BTreeMap<ChangeId, (Command, Outcome)>,
}

impl Model {
    fn apply_edits(&mut self, edits: &[Edit]) {
        for edit in edits {
            match edit.set {
                Some(values) => self.rows.insert(edit.key.clone(), values),
                None => self.rows.remove(&edit.key),
            };
        }
    }

    /// The change that the command applied to the table; `None` if it wasn't accepted.
    fn effect(&self, command: &Command, outcome: &Outcome) -> Option<Change> {
        if !matches!(outcome, Outcome::Accepted { .. }) {
            return None;
        }
        match &command.operation {
            Operation::Change(change) => Some(change.clone()),
            Operation::Accept { proposal, .. } => Some(self.proposals[proposal].clone()),
            other => panic!("{other:?} can't be accepted"),
        }
    }

    fn record(&mut self, command: &Command, outcome: &Outcome) {
        if let (Operation::Propose { change, .. }, Outcome::Proposed { proposal }) =
            (&command.operation, outcome)
        {
            self.proposals.insert(*proposal, change.clone());
        }
        if let Some(change) = self.effect(command, outcome) {
            self.apply_edits(&change.edits);
        }
    }
}

fn random_command(step: &Step, id: u128, table: &Table) -> Command {
    let name = ["ana", "bruno", "carla"][usize::from(step.actor) % 3];
    let number = u64::from(step.proposal % 12) + 1;
    let edits = step.edits.iter().map(|pick| pick.edit(table));
    let made = allowing(ALL, change(edits));
    let plain = change([step.edits[0].edit(table)]);
    let supersedes = Some(ProposalNumber(number)).filter(|_| step.proposal > 200);
    match step.kind % 8 {
        0 => command(id, name, Operation::Change(made)),
        1 | 2 => command(id, name, Operation::Change(plain)),
        3 => command(
            id,
            name,
            Operation::Propose {
                change: plain,
                supersedes,
            },
        ),
        4 => review(id, name, number, Verdict::Approve),
        5 => review(id, name, number, Verdict::Reject),
        6 => accept(id, name, number, &[]),
        _ => accept(id, name, number, ALL),
    }
}

fn revisions(table: &Table) -> Vec<Revision> {
    let revision = |(service, region): &(&str, &str)| table.revision(&key(service, region));
    ROWS.iter().map(revision).collect()
}

fn row_values(table: &Table) -> BTreeMap<RowKey, RowValues> {
    let rows = table.rows().iter();
    rows.map(|(key, row)| (key.clone(), row.values)).collect()
}

/// Applies a command to both replicas and checks the invariants. Returns whether it was
/// accepted for the first time.
fn check(model: &mut Model, table: &mut Table, other: &mut Table, command: &Command) -> bool {
    let before = table.clone();
    let outcome = table.apply(command);
    assert_eq!(other.apply(command), outcome, "replicas disagree");
    if let Some((first, earlier)) = model.first_outcomes.get(&command.id) {
        if first == command {
            assert_eq!(outcome, *earlier, "a resend got another outcome");
        }
        assert_eq!(*table, before, "a resend changed the table");
        return false;
    }
    let effect = model.effect(command, &outcome);
    if let Some(change) = &effect {
        let is_current = |edit: &Edit| before.revision(&edit.key) == edit.expected_revision;
        assert!(
            change.edits.iter().all(is_current),
            "an edit with a stale revision was accepted"
        );
        assert_eq!(table.version(), before.version().next());
    } else {
        assert_eq!(
            table.view(),
            before.view(),
            "a command that was not accepted changed the view"
        );
    }
    for (now, then) in revisions(table).iter().zip(revisions(&before)) {
        assert!(*now >= then, "a revision decreased");
    }
    model.record(command, &outcome);
    assert_eq!(
        row_values(table),
        model.rows,
        "an accepted change was lost or applied twice"
    );
    model
        .first_outcomes
        .insert(command.id, (command.clone(), outcome));
    effect.is_some()
}

/// For any sequence of commands and resends: no accepted change is lost or applied twice,
/// a resend gets its first outcome, revisions never decrease, and a replica restored from
/// a snapshot equals one that applied the whole log.
#[test]
fn random_commands_match_the_model() {
    let options = Options::default();
    let (mut accepted, mut resent) = (0, 0);
    for seed in 0..SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let (mut table, mut other) = (Table::default(), Table::default());
        let mut model = Model::default();
        let mut log: Vec<Command> = Vec::new();
        for n in 0..STEPS {
            let step = Step::generate(&mut driver).unwrap();
            let resend = step.resend.is_multiple_of(4) && !log.is_empty();
            let command = if resend {
                resent += 1;
                log[usize::from(step.resend / 4) % log.len()].clone()
            } else {
                random_command(&step, n as u128 + 1, &table)
            };
            if check(&mut model, &mut table, &mut other, &command) {
                accepted += 1;
            }
            log.push(command);
            if n == STEPS / 2 {
                let snapshot = postcard::to_stdvec(&table).unwrap();
                other = postcard::from_bytes(&snapshot).unwrap();
            }
        }
        assert_eq!(table, other);
    }
    // Without enough accepted and resent commands the checks above would be vacuous.
    assert!(accepted > SEEDS * 10, "{accepted} accepted");
    assert!(resent > SEEDS * 10, "{resent} resent");
}
