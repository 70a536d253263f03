//! Hand-over notes from one operator shift to the next.

use std::collections::VecDeque;

use filberthead_types::Version;
use serde::{Deserialize, Serialize};

use crate::{ProposalNumber, Timestamp};

/// Maximum number of kept hand-overs: at three shifts a day, more than three weeks.
pub const MAX_HAND_OVERS: usize = 64;

/// A hand-over at the end of a shift.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOver {
    /// The operator who hands over.
    pub by: String,
    /// When the control replica received it.
    pub at: Timestamp,
    /// Note for the next shift.
    pub note: String,
    /// Version of the table at that time.
    pub version: Version,
    /// Serial number of the last history record before the hand-over's own one.
    pub serial: u64,
    /// Proposals that were open at that time.
    pub open: Vec<ProposalNumber>,
}

/// The kept hand-overs, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct HandOvers(VecDeque<HandOver>);

impl HandOvers {
    pub(crate) fn push(&mut self, handover: HandOver) {
        self.0.push_back(handover);
        if self.0.len() > MAX_HAND_OVERS {
            self.0.pop_front();
        }
    }

    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &HandOver> {
        self.0.iter()
    }
}
