//! Evidence against one fingerprint.

use std::collections::BTreeSet;
use std::time::Duration;

use filberthead_types::{Moment, NodeName};

use super::api::{Config, Fingerprint, LossId};

/// Losses that are kept; two are enough to refuse, and more say nothing new.
const MAX_LOSSES: usize = 4;

/// An endpoint that was lost while the fingerprint ran there.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    pub(super) id: LossId,
    /// Until when it counts.
    pub(super) until: Moment,
    /// What else ran there, this one included.
    pub(super) concurrent: BTreeSet<Fingerprint>,
}

/// What is held against a fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct LossHistory {
    losses: Vec<Loss>,
    /// Ids of deaths; each counts once.
    deaths: Vec<LossId>,
    /// Deaths so far, those that no longer count included.
    death_count: u32,
    /// Until when it is refused.
    refused_until: Moment,
    /// Until when it is remembered at all.
    expires_at: Moment,
}

impl LossHistory {
    /// Adds a loss unless it is known.
    pub(super) fn add(&mut self, loss: Loss) {
        self.expires_at = self.expires_at.max(loss.until);
        if self.losses.iter().any(|known| known.id == loss.id) {
            return;
        }
        if self.losses.len() == MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
    }

    /// The endpoint of a loss has died.
    pub(super) fn confirm_death(
        &mut self,
        now: Moment,
        cfg: &Config,
        id: &LossId,
        fingerprint: Fingerprint,
        concurrent: &BTreeSet<Fingerprint>,
    ) {
        if self.deaths.contains(id) {
            return;
        }
        if self.deaths.len() == MAX_LOSSES {
            self.deaths.remove(0);
        }
        self.deaths.push(id.clone());
        self.death_count += 1;
        if let Some(loss) = self.losses.iter_mut().find(|loss| loss.id == *id) {
            loss.concurrent.clone_from(concurrent);
        }
        let period = self.period(now, cfg, fingerprint);
        for loss in self.losses.iter_mut().filter(|loss| loss.id == *id) {
            loss.until = now + period;
        }
        self.expires_at = self.expires_at.max(now + 2 * period);
        if self.death_count >= 2 {
            self.refused_until = now + period;
        }
    }

    /// How long the newest death counts.
    fn period(&self, now: Moment, cfg: &Config, fingerprint: Fingerprint) -> Duration {
        let ambiguous = self.death_count >= 2 && !self.is_only_candidate(now, fingerprint);
        if ambiguous {
            return cfg.ambiguous_period;
        }
        let doublings = self.death_count.saturating_sub(2).min(16);
        (cfg.period * (1 << doublings)).min(cfg.max_period)
    }

    /// Whether no other fingerprint was there at each loss.
    fn is_only_candidate(&self, now: Moment, fingerprint: Fingerprint) -> bool {
        let mut losses = self.losses.iter().filter(|loss| now < loss.until);
        let Some(first) = losses.next() else {
            return true;
        };
        let common = losses.fold(first.concurrent.clone(), |common, loss| {
            common.intersection(&loss.concurrent).copied().collect()
        });
        common.iter().all(|other| *other == fingerprint)
    }

    /// Losses that count now. A fingerprint that was refused once has one for as long as
    /// it is remembered: it runs one at a time until it is answered.
    pub(super) fn active_losses(&self, now: Moment) -> usize {
        let counting = self.losses.iter().filter(|loss| now < loss.until).count();
        if now < self.refused_until {
            counting.max(2)
        } else if self.death_count > 0 {
            counting.max(1)
        } else {
            counting
        }
    }

    /// The losses that count now, one by one.
    pub(super) fn active_loss_ids(&self, now: Moment) -> Vec<LossId> {
        let counting = self.losses.iter().filter(|loss| now < loss.until);
        counting.map(|loss| loss.id.clone()).collect()
    }

    /// How long it is refused from now on.
    pub(super) fn quarantined_for(&self, now: Moment) -> Duration {
        let losses = self.losses.iter().map(|loss| loss.until);
        let until = losses.min().unwrap_or_default().max(self.refused_until);
        until.saturating_sub(now)
    }

    /// The entry at which it may run: the reporter of the death, the same for everybody
    /// who heard of it.
    pub(super) fn designated_entry(&self) -> Option<&NodeName> {
        self.deaths.iter().min().map(|id| &id.reporter)
    }

    /// Until when it is remembered.
    pub(super) fn expires_at(&self) -> Moment {
        self.expires_at
    }
}
