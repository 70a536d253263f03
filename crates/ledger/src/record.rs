//! What a home keeps of a key, and how it is copied.

use bytes::Bytes;
use filberthead_types::ResultCode;
use serde::{Deserialize, Serialize};

use crate::{Digest, Generation, HomeEpoch};

/// How far a key has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// Its start is on record.
    Started,
    /// It ran, and this is its answer.
    Finished(Bytes),
    /// It ran, and its answer was too large to be kept.
    NotStored,
    /// It was handed to an endpoint, and its outcome isn't known.
    Unknown,
    /// It was refused before any byte went to an endpoint, and never runs.
    Closed(ResultCode),
}

impl Stage {
    /// Whether nothing that is learned later can say more.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::NotStored | Self::Closed(_))
    }

    /// Bytes of a stored answer.
    pub(crate) fn stored_len(&self) -> usize {
        match self {
            Self::Finished(answer) => answer.len(),
            _ => 0,
        }
    }
}

/// A key's record, as copied to the backup and to the data folder. It carries the whole
/// state, so that applying it twice, or over an older one, is the same as applying it once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyRecord {
    /// Period of the key's prefix.
    pub generation: Generation,
    /// The key, its prefix left out.
    pub suffix: Box<str>,
    /// What the request is.
    pub digest: Digest,
    /// How far it has come.
    pub stage: Stage,
}

/// Bounds between the periods of a home; each only goes up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Watermarks {
    /// Keys of periods below this one may be gone from the records, and never start.
    pub retained_from: Generation,
    /// Keys of periods below this one that aren't on record never start and never ran.
    pub open_from: Generation,
    /// Keys of periods from this one on were not handed out yet.
    pub unissued_from: Generation,
}

impl Watermarks {
    /// The later of both, mark by mark.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            retained_from: self.retained_from.max(other.retained_from),
            open_from: self.open_from.max(other.open_from),
            unissued_from: self.unissued_from.max(other.unissued_from),
        }
    }
}

/// One step of a home's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Op {
    /// The state of a key.
    Put(KeyRecord),
    /// The bounds between periods.
    Watermarks(Watermarks),
    /// In journals only: no config up to this one is used again.
    Epoch(HomeEpoch),
    /// The last step: the receiver holds the home from the next config on.
    HandOver,
}

impl Op {
    /// Bytes that the step takes in a message, about.
    pub(crate) fn len(&self) -> usize {
        const FIXED: usize = 32;
        match self {
            Self::Put(record) => FIXED + record.suffix.len() + record.stage.stored_len(),
            Self::Watermarks(_) | Self::Epoch(_) | Self::HandOver => FIXED,
        }
    }
}
