//! Proposals: changes that wait for review before they are applied.

use std::collections::{BTreeMap, VecDeque};

use filberthead_types::{ChangeId, Version};
use serde::{Deserialize, Serialize};

use crate::{Change, ProposalNumber, Timestamp, Verdict};

/// Maximum number of open proposals.
pub const MAX_OPEN_PROPOSALS: usize = 64;

/// Maximum number of edited rows in all open proposals together.
pub const MAX_OPEN_EDITS: usize = 4096;

/// Maximum number of reviewers of one proposal.
pub const MAX_REVIEWS: usize = 8;

/// Maximum number of kept closed proposals; their edits and review notes are dropped.
pub const MAX_CLOSED_PROPOSALS: usize = 256;

/// A review of a proposal by an operator other than its author.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Review {
    /// The reviewer.
    pub by: String,
    /// When the control replica received it.
    pub at: Timestamp,
    /// The verdict.
    pub verdict: Verdict,
    /// Reason; empty once the proposal is closed.
    pub note: String,
}

/// State of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ProposalState {
    /// Waits for reviews and acceptance.
    Open,
    /// The change was applied.
    Accepted {
        /// Table version that the change made.
        version: Version,
        /// The operator who accepted it.
        by: String,
    },
    /// Closed without being applied.
    Withdrawn {
        /// The operator who closed it.
        by: String,
    },
    /// Replaced by another proposal.
    Superseded {
        /// The other proposal.
        by: ProposalNumber,
    },
}

impl ProposalState {
    /// The state for people.
    pub fn describe(&self) -> String {
        match self {
            Self::Open => "open".to_owned(),
            Self::Accepted { version, by } => format!("accepted by {by} as version {version}"),
            Self::Withdrawn { by } => format!("withdrawn by {by}"),
            Self::Superseded { by } => format!("superseded by proposal {by}"),
        }
    }
}

/// A change proposed for review. Its edits are immutable while it is open, so that what
/// is accepted is what was reviewed; an amended change is a new proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// Its number.
    pub number: ProposalNumber,
    /// Id of the command that opened it.
    pub id: ChangeId,
    /// The operator who proposed it.
    pub author: String,
    /// When the control replica received it.
    pub at: Timestamp,
    /// The change; without edits once the proposal is closed.
    pub change: Change,
    /// The latest review of each reviewer.
    pub reviews: Vec<Review>,
    /// Its state.
    pub state: ProposalState,
}

impl Proposal {
    /// Names of the operators who have approved it.
    pub fn approved_by(&self) -> impl Iterator<Item = &str> {
        self.reviewers_with(Verdict::Approve)
    }

    /// Names of the operators who have rejected it.
    pub fn rejected_by(&self) -> impl Iterator<Item = &str> {
        self.reviewers_with(Verdict::Reject)
    }

    /// Whether at least one operator has approved it and none has rejected it.
    pub fn is_approved(&self) -> bool {
        self.approved_by().next().is_some() && self.rejected_by().next().is_none()
    }

    fn reviewers_with(&self, verdict: Verdict) -> impl Iterator<Item = &str> {
        let matching = move |review: &&Review| review.verdict == verdict;
        self.reviews
            .iter()
            .filter(matching)
            .map(|review| review.by.as_str())
    }

    /// Whether a review of this reviewer stays within [`MAX_REVIEWS`].
    pub(crate) fn has_room_for(&self, reviewer: &str) -> bool {
        let others = self.reviews.iter().filter(|review| review.by != reviewer);
        others.count() < MAX_REVIEWS
    }

    fn review(&mut self, review: Review) {
        self.reviews.retain(|earlier| earlier.by != review.by);
        self.reviews.push(review);
    }
}

/// Open proposals by number, and the last closed ones, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Proposals {
    last: ProposalNumber,
    open: BTreeMap<ProposalNumber, Proposal>,
    closed: VecDeque<Proposal>,
}

impl Proposals {
    pub(crate) fn open(&self) -> impl Iterator<Item = &Proposal> {
        self.open.values()
    }

    pub(crate) fn closed(&self) -> impl DoubleEndedIterator<Item = &Proposal> {
        self.closed.iter()
    }

    pub(crate) fn get_open(&self, number: ProposalNumber) -> Option<&Proposal> {
        self.open.get(&number)
    }

    pub(crate) fn get(&self, number: ProposalNumber) -> Option<&Proposal> {
        let closed = || {
            self.closed
                .iter()
                .find(|proposal| proposal.number == number)
        };
        self.open.get(&number).or_else(closed)
    }

    pub(crate) fn has_room(&self, edits: usize, superseded: Option<ProposalNumber>) -> bool {
        let is_kept = |proposal: &&Proposal| Some(proposal.number) != superseded;
        let kept = self.open.values().filter(is_kept);
        let (count, open_edits) = kept.fold((0, 0), |(count, sum), proposal| {
            (count + 1, sum + proposal.change.edits.len())
        });
        count < MAX_OPEN_PROPOSALS && open_edits + edits <= MAX_OPEN_EDITS
    }

    /// Opens a proposal under the next number.
    pub(crate) fn add(
        &mut self,
        id: ChangeId,
        author: &str,
        at: Timestamp,
        change: &Change,
    ) -> ProposalNumber {
        let number = ProposalNumber(self.last.0 + 1);
        self.last = number;
        let proposal = Proposal {
            number,
            id,
            author: author.to_owned(),
            at,
            change: change.clone(),
            reviews: Vec::new(),
            state: ProposalState::Open,
        };
        self.open.insert(number, proposal);
        number
    }

    pub(crate) fn review(&mut self, number: ProposalNumber, review: Review) {
        if let Some(proposal) = self.open.get_mut(&number) {
            proposal.review(review);
        }
    }

    pub(crate) fn close(&mut self, number: ProposalNumber, state: ProposalState) {
        let Some(mut proposal) = self.open.remove(&number) else {
            return;
        };
        proposal.state = state;
        proposal.change.edits.clear();
        for review in &mut proposal.reviews {
            review.note.clear();
        }
        self.closed.push_back(proposal);
        if self.closed.len() > MAX_CLOSED_PROPOSALS {
            self.closed.pop_front();
        }
    }
}
