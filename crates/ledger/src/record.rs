//! Records of keys, and the operations that replicate them.

use bytes::Bytes;
use filberthead_types::ResultCode;
use serde::{Deserialize, Serialize};

use crate::{Digest, Generation, HomeEpoch};

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Stage {
    /// Its start is on record; it may be running.
    Started,
    /// It ran, and this is its answer.
    Finished(Bytes),
    /// It ran, and its answer was too large to be stored.
    NotStored,
    /// It was handed to an endpoint, and its outcome isn't known.
    Unknown,
    /// It was refused before any byte went to an endpoint, and never runs.
    Closed(ResultCode),
}

impl Stage {
    /// Whether no later report can change the state.
    pub(crate) fn is_final(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::NotStored | Self::Closed(_))
    }

    /// Bytes of the stored answer, 0 without one.
    pub(crate) fn stored_len(&self) -> usize {
        match self {
            Self::Finished(answer) => answer.len(),
            _ => 0,
        }
    }
}

/// Record of a key, as sent to the backup and written to the journal. It carries the whole
/// state, so that applying it twice, or over an older one, has the effect of applying it
/// once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyRecord {
    /// Generation of the key's prefix.
    pub generation: Generation,
    /// The key without its prefix.
    pub suffix: Box<str>,
    /// Digest of its request.
    pub digest: Digest,
    /// Its state.
    pub stage: Stage,
}

/// Watermarks of a home's generations; each only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Watermarks {
    /// Keys of generations below this one may be gone from the records, and never start.
    pub retained_from: Generation,
    /// Keys of generations below this one that aren't on record never start and never ran.
    pub open_from: Generation,
    /// Generations from this one on have not been issued yet.
    pub unissued_from: Generation,
}

impl Watermarks {
    /// The higher of both, watermark by watermark.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            retained_from: self.retained_from.max(other.retained_from),
            open_from: self.open_from.max(other.open_from),
            unissued_from: self.unissued_from.max(other.unissued_from),
        }
    }
}

/// One operation of a home's log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Op {
    /// Stores the record of a key.
    Put(KeyRecord),
    /// Raises the watermarks.
    Watermarks(Watermarks),
    /// In journals only: no epoch up to this one is used again.
    Epoch(HomeEpoch),
    /// The last operation: the receiver is the primary of the home from the next epoch on.
    HandOver,
}

impl Op {
    /// Approximate size in a message, in bytes.
    pub(crate) fn len(&self) -> usize {
        const FIXED: usize = 32;
        match self {
            Self::Put(record) => FIXED + record.suffix.len() + record.stage.stored_len(),
            Self::Watermarks(_) | Self::Epoch(_) | Self::HandOver => FIXED,
        }
    }
}
