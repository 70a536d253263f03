//! Control's part: who goes on when the two members of a config lose each other.
//!
//! The state machine is applied from the replicated log, so every replica comes to the
//! same verdicts. A verdict is never changed, and kept far longer than any member that
//! slept through it may come back: a member whose claim came after the verdict was
//! dropped would win as well.

use std::collections::BTreeMap;

use filberthead_types::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimResult, HomeEpoch};

/// Verdicts that are kept. There is one for each entry that fails without a planned stop
/// and each home that it was holder or backup of, so a hundred days of a hundred such
/// failures a day are on record. At 24 bytes each they take a snapshot's 240 KB.
pub const MAX_CLAIM_RESULTS: usize = 10_000;

/// The config that a verdict is on. The founder's incarnation is random, so it needs no
/// failure domain beside it.
type Key = (Incarnation, u32, HomeEpoch);

/// The newest verdicts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimResults {
    /// Winners, with the number of the verdict.
    winners: BTreeMap<Key, (u64, Incarnation)>,
    next: u64,
}

fn key(claim: &Claim) -> Key {
    (claim.home.founder, claim.home.serial, claim.epoch)
}

impl ClaimResults {
    /// The verdict on a config if there is one; a claim on it needs no log entry.
    pub fn get(&self, claim: &Claim) -> Option<ClaimResult> {
        let (_, winner) = *self.winners.get(&key(claim))?;
        Some(result(claim, winner))
    }

    /// Applies a claim from the log: the first one on a config wins it.
    pub fn apply(&mut self, claim: &Claim) -> ClaimResult {
        if let Some(result) = self.get(claim) {
            return result;
        }
        self.winners.insert(key(claim), (self.next, claim.claimant));
        self.next += 1;
        if self.winners.len() > MAX_CLAIM_RESULTS {
            self.drop_oldest();
        }
        result(claim, claim.claimant)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.winners.iter().min_by_key(|(_, (number, _))| *number);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.winners.remove(&key);
        }
    }

    /// How many verdicts are kept.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Whether there is none yet.
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }
}

fn result(claim: &Claim, winner: Incarnation) -> ClaimResult {
    ClaimResult {
        home: claim.home.clone(),
        epoch: claim.epoch,
        winner,
    }
}
