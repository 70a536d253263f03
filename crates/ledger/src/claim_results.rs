//! Results of claims, decided by control: which member of an epoch continues when primary
//! and backup can't reach each other.
//!
//! The state is changed by entries of the replicated log, so every replica has the same
//! results. A result never changes, and is kept far longer than a suspended member may take
//! to resume: if it were dropped before that member's claim arrived, that member would win
//! as well.

use std::collections::BTreeMap;

use filberthead_types::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimResult, HomeEpoch};

/// Results that are kept. There is one for each home whose primary or backup fails without
/// a planned stop, which covers a hundred days of a hundred such failures a day. At 24
/// bytes each they take 240 KB of a snapshot.
pub const MAX_CLAIM_RESULTS: usize = 10_000;

/// The claimed epoch. The creator's incarnation is random and identifies it without its
/// failure domain.
type Key = (Incarnation, u32, HomeEpoch);

/// The newest results of claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimResults {
    /// Winners, with the number of the result, to drop the oldest first.
    winners: BTreeMap<Key, (u64, Incarnation)>,
    next: u64,
}

fn key(claim: &Claim) -> Key {
    (claim.home.founder, claim.home.serial, claim.epoch)
}

impl ClaimResults {
    /// The result of earlier claims on the same epoch, if there is one; then no log entry
    /// is needed.
    pub fn get(&self, claim: &Claim) -> Option<ClaimResult> {
        let (_, winner) = *self.winners.get(&key(claim))?;
        Some(result(claim, winner))
    }

    /// Applies a claim from the log: the first one on an epoch wins.
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

    /// Number of stored results.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Whether no claim was applied yet.
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
