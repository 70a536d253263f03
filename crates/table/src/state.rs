//! The state machine itself.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::{ReplicaId, Revision, Version};
use serde::{Deserialize, Serialize};

use crate::handover::HandOvers;
use crate::history::History;
use crate::proposal::{MAX_REVIEWS, Proposals};
use crate::rules::{MAX_REMOVED_ROWS, MAX_REPLICAS, MAX_ROWS};
use crate::{
    Change, Command, Conflict, Danger, Difference, Edit, Finding, HandOver, Operation, Origin,
    Outcome, Proposal, ProposalNumber, ProposalState, Record, ReplicaInfo, Review, Row, RowKey,
    Verdict, View, danger,
};

/// The table at one version, with all that operators have on record around it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    version: Version,
    rows: BTreeMap<RowKey, Row>,
    /// Last touch of each row, also of those removed since.
    origins: BTreeMap<RowKey, Origin>,
    /// Highest revision of a removed row that `origins` has let go.
    absent_revision: Revision,
    history: History,
    proposals: Proposals,
    handovers: HandOvers,
    replicas: BTreeMap<ReplicaId, ReplicaInfo>,
}

/// What a change may do, all checks done.
enum Decision {
    Install,
    Refuse(Outcome),
}

impl Table {
    /// Number of accepted changes that made this state.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All rows, by service and region.
    pub fn rows(&self) -> &BTreeMap<RowKey, Row> {
        &self.rows
    }

    /// The rows in force, to be spread.
    pub fn view(&self) -> View {
        View {
            version: self.version,
            rows: self.rows.clone(),
        }
    }

    /// Revision that an edit of this row has to name.
    ///
    /// A row that was removed keeps its revision, and one that was never there has the
    /// highest revision of the removed rows that are no longer kept one by one. So it
    /// never goes down, and an old "make this row" that comes in again after the row
    /// was removed conflicts instead of making the row a second time.
    pub fn revision(&self, key: &RowKey) -> Revision {
        match self.origins.get(key) {
            Some(origin) => origin.revision,
            None => self.absent_revision,
        }
    }

    /// Who last touched a row, removed or not, if that is on record.
    pub fn origin(&self, key: &RowKey) -> Option<&Origin> {
        self.origins.get(key)
    }

    /// Removed rows whose last touch is still on record.
    pub fn removed(&self) -> impl Iterator<Item = (&RowKey, &Origin)> {
        self.origins
            .iter()
            .filter(|(key, _)| !self.rows.contains_key(key))
    }

    /// Revision of a row that is neither in the table nor in [`Table::removed`].
    pub fn absent_revision(&self) -> Revision {
        self.absent_revision
    }

    /// Past commands, the oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Record> + ExactSizeIterator {
        self.history.iter()
    }

    /// Open proposals, by number.
    pub fn open_proposals(&self) -> impl Iterator<Item = &Proposal> {
        self.proposals.open()
    }

    /// The last closed proposals, the oldest first.
    pub fn closed_proposals(&self) -> impl DoubleEndedIterator<Item = &Proposal> {
        self.proposals.closed()
    }

    /// A proposal, open or lately closed.
    pub fn proposal(&self, number: ProposalNumber) -> Option<&Proposal> {
        self.proposals.get(number)
    }

    /// The last hand-overs, the oldest first.
    pub fn handovers(&self) -> impl DoubleEndedIterator<Item = &HandOver> {
        self.handovers.iter()
    }

    /// Addresses of the control replicas.
    pub fn replicas(&self) -> &BTreeMap<ReplicaId, ReplicaInfo> {
        &self.replicas
    }

    /// The rows of these edits that have moved on since their author saw them.
    pub fn conflicts(&self, edits: &[Edit]) -> Vec<Conflict> {
        edits
            .iter()
            .filter_map(|edit| self.conflict(edit))
            .collect()
    }

    /// Dangers of these edits that show in the rows alone.
    pub fn dangers(&self, edits: &[Edit]) -> Vec<Finding> {
        danger::find(&self.rows, edits)
    }

    /// Applies a command from the log.
    ///
    /// A command whose id is on record isn't applied again: it gets the outcome of its
    /// first time, so that an operator who lost the answer may resend it at will.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        if let Some(earlier) = self.history.find(command) {
            return if earlier.command.is_resend(command) {
                earlier.outcome.clone()
            } else {
                Outcome::IdReused
            };
        }
        let mut differences = Vec::new();
        let outcome = match command.check() {
            Ok(()) => self.execute(command, &mut differences),
            Err(rule) => Outcome::Invalid {
                reason: rule.to_string(),
            },
        };
        self.history.push(command, &outcome, differences);
        outcome
    }

    fn execute(&mut self, command: &Command, differences: &mut Vec<Difference>) -> Outcome {
        match &command.operation {
            Operation::Change(change) => self.change(command, change, &change.allow, differences),
            Operation::Propose { change, supersedes } => self.propose(command, change, *supersedes),
            Operation::Review {
                proposal,
                verdict,
                note,
            } => self.review(command, *proposal, *verdict, note),
            Operation::Accept {
                proposal, allow, ..
            } => self.accept(command, *proposal, allow, differences),
            Operation::Withdraw { proposal, .. } => self.withdraw(command, *proposal),
            Operation::HandOver { note } => self.hand_over(command, note),
            Operation::RegisterReplica(info) => self.register(info),
            Operation::ForgetReplica(id) => {
                self.replicas.remove(id);
                Outcome::Recorded
            }
        }
    }

    fn change(
        &mut self,
        command: &Command,
        change: &Change,
        allow: &BTreeSet<Danger>,
        differences: &mut Vec<Difference>,
    ) -> Outcome {
        match self.decide(command, change, allow) {
            Decision::Refuse(outcome) => outcome,
            Decision::Install => {
                *differences = self.differences(&change.edits);
                let version = self.install(command, &change.edits);
                Outcome::Accepted { version }
            }
        }
    }

    fn propose(
        &mut self,
        command: &Command,
        change: &Change,
        supersedes: Option<ProposalNumber>,
    ) -> Outcome {
        if let Some(number) = supersedes
            && self.proposals.get_open(number).is_none()
        {
            return self.proposal_unknown(number);
        }
        if !self.proposals.has_room(change.edits.len(), supersedes) {
            return Outcome::TooManyProposals;
        }
        // Refused now rather than at acceptance: the author is still at their desk.
        if let Decision::Refuse(outcome) = self.decide(command, change, &change.allow) {
            return outcome;
        }
        let author = &command.actor.name;
        let proposal = self.proposals.add(command.id, author, command.at, change);
        if let Some(earlier) = supersedes {
            let state = ProposalState::Superseded { by: proposal };
            self.proposals.close(earlier, state);
        }
        Outcome::Proposed { proposal }
    }

    fn review(
        &mut self,
        command: &Command,
        number: ProposalNumber,
        verdict: Verdict,
        note: &str,
    ) -> Outcome {
        let Some(proposal) = self.proposals.get_open(number) else {
            return self.proposal_unknown(number);
        };
        if proposal.author == command.actor.name {
            return Outcome::OwnReview;
        }
        if !proposal.has_room_for(&command.actor.name) {
            let reason = format!("the proposal has {MAX_REVIEWS} reviewers");
            return Outcome::Invalid { reason };
        }
        let review = Review {
            by: command.actor.name.clone(),
            at: command.at,
            verdict,
            note: note.to_owned(),
        };
        self.proposals.review(number, review);
        Outcome::Recorded
    }

    fn accept(
        &mut self,
        command: &Command,
        number: ProposalNumber,
        allow: &BTreeSet<Danger>,
        differences: &mut Vec<Difference>,
    ) -> Outcome {
        let Some(proposal) = self.proposals.get_open(number) else {
            return self.proposal_unknown(number);
        };
        // Going without a review can be allowed for; going against one can't.
        let rejected_by: Vec<_> = proposal.rejected_by().map(str::to_owned).collect();
        let waived = rejected_by.is_empty() && allow.contains(&Danger::OwnReview);
        if !proposal.is_approved() && !waived {
            return Outcome::ReviewMissing { rejected_by };
        }
        let change = proposal.change.clone();
        let allow = allow.union(&change.allow).copied().collect();
        let outcome = self.change(command, &change, &allow, differences);
        if let Outcome::Accepted { version } = outcome {
            let by = command.actor.name.clone();
            let state = ProposalState::Accepted { version, by };
            self.proposals.close(number, state);
        }
        outcome
    }

    fn withdraw(&mut self, command: &Command, number: ProposalNumber) -> Outcome {
        if self.proposals.get_open(number).is_none() {
            return self.proposal_unknown(number);
        }
        let by = command.actor.name.clone();
        self.proposals
            .close(number, ProposalState::Withdrawn { by });
        Outcome::Recorded
    }

    fn hand_over(&mut self, command: &Command, note: &str) -> Outcome {
        self.handovers.push(HandOver {
            by: command.actor.name.clone(),
            at: command.at,
            note: note.to_owned(),
            version: self.version,
            serial: self.history.serial(),
            open: self.proposals.open().map(|open| open.number).collect(),
        });
        Outcome::Recorded
    }

    fn register(&mut self, info: &ReplicaInfo) -> Outcome {
        let is_known = self.replicas.contains_key(&info.id);
        if !is_known && self.replicas.len() >= MAX_REPLICAS {
            let reason = format!("{MAX_REPLICAS} control replicas are registered");
            return Outcome::Invalid { reason };
        }
        self.replicas.insert(info.id, info.clone());
        Outcome::Recorded
    }

    fn proposal_unknown(&self, proposal: ProposalNumber) -> Outcome {
        let closed = self.proposals.get(proposal);
        let reason = closed.map_or_else(String::new, |closed| closed.state.describe());
        Outcome::ProposalUnknown { proposal, reason }
    }

    fn decide(&self, command: &Command, change: &Change, allow: &BTreeSet<Danger>) -> Decision {
        let conflicts = self.conflicts(&change.edits);
        if !conflicts.is_empty() {
            return Decision::Refuse(Outcome::Conflict { conflicts });
        }
        if self.row_count_after(&change.edits) > MAX_ROWS {
            let reason = format!("the table would have more than {MAX_ROWS} rows");
            return Decision::Refuse(Outcome::Invalid { reason });
        }
        let mut findings = self.dangers(&change.edits);
        findings.extend(command.findings.iter().cloned());
        findings.retain(|finding| !allow.contains(&finding.danger));
        if !findings.is_empty() {
            return Decision::Refuse(Outcome::Dangerous { findings });
        }
        Decision::Install
    }

    fn row_count_after(&self, edits: &[Edit]) -> usize {
        let is_new = |edit: &&Edit| edit.set.is_some() && !self.rows.contains_key(&edit.key);
        self.rows.len() + edits.iter().filter(is_new).count()
    }

    fn conflict(&self, edit: &Edit) -> Option<Conflict> {
        let revision = self.revision(&edit.key);
        // Nobody can have seen a removal of a row that was never there.
        let nothing_to_remove = edit.set.is_none() && !self.rows.contains_key(&edit.key);
        (revision != edit.expected_revision || nothing_to_remove).then(|| Conflict {
            key: edit.key.clone(),
            expected_revision: edit.expected_revision,
            wanted: edit.set,
            current: self.rows.get(&edit.key).copied(),
            revision,
            origin: self.origins.get(&edit.key).cloned(),
        })
    }

    fn differences(&self, edits: &[Edit]) -> Vec<Difference> {
        edits
            .iter()
            .map(|edit| Difference {
                key: edit.key.clone(),
                before: self.rows.get(&edit.key).copied(),
                after: edit.set,
            })
            .collect()
    }

    fn install(&mut self, command: &Command, edits: &[Edit]) -> Version {
        self.version = self.version.next();
        let revision = Revision(self.version.0);
        for edit in edits {
            match edit.set {
                Some(values) => {
                    self.rows.insert(edit.key.clone(), Row { values, revision });
                }
                None => {
                    self.rows.remove(&edit.key);
                }
            }
            let origin = Origin {
                revision,
                by: command.actor.name.clone(),
                at: command.at,
            };
            self.origins.insert(edit.key.clone(), origin);
        }
        self.forget_removed();
        self.version
    }

    /// Lets the oldest removed rows go, and raises the floor to their revisions.
    fn forget_removed(&mut self) {
        let mut removed: Vec<_> = self
            .removed()
            .map(|(key, origin)| (origin.revision, key.clone()))
            .collect();
        let Some(excess) = removed.len().checked_sub(MAX_REMOVED_ROWS) else {
            return;
        };
        removed.sort();
        for (revision, key) in removed.drain(..excess) {
            self.origins.remove(&key);
            self.absent_revision = self.absent_revision.max(revision);
        }
    }
}
