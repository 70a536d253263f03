//! The replicated state machine.

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

/// The table at one version, with its history, proposals, hand-overs and the addresses
/// of the control replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    version: Version,
    rows: BTreeMap<RowKey, Row>,
    /// Last change of each row, including the most recently removed rows.
    origins: BTreeMap<RowKey, Origin>,
    /// Highest revision of the removed rows that are no longer in `origins`.
    absent_revision: Revision,
    history: History,
    proposals: Proposals,
    handovers: HandOvers,
    replicas: BTreeMap<ReplicaId, ReplicaInfo>,
}

/// Result of the checks of a change.
enum Decision {
    Apply,
    Reject(Outcome),
}

impl Table {
    /// Number of accepted changes so far.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All rows, by service and region.
    pub fn rows(&self) -> &BTreeMap<RowKey, Row> {
        &self.rows
    }

    /// The rows, as sent to the nodes that steer by them.
    pub fn view(&self) -> View {
        View {
            version: self.version,
            rows: self.rows.clone(),
        }
    }

    /// Revision that an edit of this row has to expect.
    ///
    /// A removed row keeps its revision as long as it is among the last
    /// [`MAX_REMOVED_ROWS`] removed; any other absent row has the highest revision of
    /// the removed rows that are no longer kept. So the revision never decreases, and a
    /// late resend of a row's creation after its removal conflicts instead of creating
    /// the row again.
    pub fn revision(&self, key: &RowKey) -> Revision {
        match self.origins.get(key) {
            Some(origin) => origin.revision,
            None => self.absent_revision,
        }
    }

    /// Last change of a row, which may have been removed; `None` if it isn't kept.
    pub fn origin(&self, key: &RowKey) -> Option<&Origin> {
        self.origins.get(key)
    }

    /// Removed rows whose last change is still kept.
    pub fn removed(&self) -> impl Iterator<Item = (&RowKey, &Origin)> {
        self.origins
            .iter()
            .filter(|(key, _)| !self.rows.contains_key(key))
    }

    /// Revision of a row that is neither in the table nor in [`Table::removed`].
    pub fn absent_revision(&self) -> Revision {
        self.absent_revision
    }

    /// Kept records of processed commands, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Record> + ExactSizeIterator {
        self.history.iter()
    }

    /// Open proposals, by number.
    pub fn open_proposals(&self) -> impl Iterator<Item = &Proposal> {
        self.proposals.open()
    }

    /// The last closed proposals, oldest first.
    pub fn closed_proposals(&self) -> impl DoubleEndedIterator<Item = &Proposal> {
        self.proposals.closed()
    }

    /// A proposal that is open or among the last closed ones.
    pub fn proposal(&self, number: ProposalNumber) -> Option<&Proposal> {
        self.proposals.get(number)
    }

    /// The last hand-overs, oldest first.
    pub fn handovers(&self) -> impl DoubleEndedIterator<Item = &HandOver> {
        self.handovers.iter()
    }

    /// Addresses of the control replicas.
    pub fn replicas(&self) -> &BTreeMap<ReplicaId, ReplicaInfo> {
        &self.replicas
    }

    /// Conflicts of those edits whose expected revision isn't the current one.
    pub fn conflicts(&self, edits: &[Edit]) -> Vec<Conflict> {
        edits
            .iter()
            .filter_map(|edit| self.conflict(edit))
            .collect()
    }

    /// Dangers of these edits that follow from the rows alone.
    pub fn dangers(&self, edits: &[Edit]) -> Vec<Finding> {
        danger::find(&self.rows, edits)
    }

    /// Applies a command from the log.
    ///
    /// A command whose id is in the history isn't applied again but returns its first
    /// outcome, so that an operator who got no answer can safely resend it.
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
            Operation::ForgetEntry(_) => Outcome::Recorded,
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
            Decision::Reject(outcome) => outcome,
            Decision::Apply => {
                *differences = self.differences(&change.edits);
                let version = self.apply_edits(command, &change.edits);
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
        // Checked now and not only at acceptance, while the author can still correct it.
        if let Decision::Reject(outcome) = self.decide(command, change, &change.allow) {
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
        // A missing review can be waived, a rejection can't.
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
            return Decision::Reject(Outcome::Conflict { conflicts });
        }
        if self.row_count_after(&change.edits) > MAX_ROWS {
            let reason = format!("the table would have more than {MAX_ROWS} rows");
            return Decision::Reject(Outcome::Invalid { reason });
        }
        let mut findings = self.dangers(&change.edits);
        findings.extend(command.findings.iter().cloned());
        findings.retain(|finding| !allow.contains(&finding.danger));
        if !findings.is_empty() {
            return Decision::Reject(Outcome::Dangerous { findings });
        }
        Decision::Apply
    }

    fn row_count_after(&self, edits: &[Edit]) -> usize {
        let is_new = |edit: &&Edit| edit.set.is_some() && !self.rows.contains_key(&edit.key);
        self.rows.len() + edits.iter().filter(is_new).count()
    }

    fn conflict(&self, edit: &Edit) -> Option<Conflict> {
        let revision = self.revision(&edit.key);
        // Removing a row that doesn't exist conflicts even with a matching revision.
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

    fn apply_edits(&mut self, command: &Command, edits: &[Edit]) -> Version {
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

    /// Drops the origins of the oldest removed rows above [`MAX_REMOVED_ROWS`], and raises
    /// `absent_revision` to their revisions.
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
