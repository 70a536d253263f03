//! Notes from one shift to the next.

use std::collections::VecDeque;

use filberthead_types::Version;
use serde::{Deserialize, Serialize};

use crate::{ProposalNumber, Timestamp};

/// How many hand-overs are kept: three shifts a day make this more than three weeks.
pub const MAX_HAND_OVERS: usize = 64;

/// The end of a shift.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandOver {
    /// Who hands over.
    pub by: String,
    /// When.
    pub at: Timestamp,
    /// What the next shift has to know.
    pub note: String,
    /// Version of the table at that point.
    pub version: Version,
    /// Serial number of the last history record before it; what follows is new since.
    pub serial: u64,
    /// Proposals that were open at that point.
    pub open: Vec<ProposalNumber>,
}

/// The kept hand-overs, the oldest first.
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
