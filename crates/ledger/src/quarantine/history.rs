//! Losses of endpoints that ran one fingerprint.

use std::collections::BTreeSet;
use std::time::Duration;

use filberthead_types::{Fingerprint, Moment, NodeName};

use super::api::{Config, LossId};

/// Most losses that are stored; two are enough to refuse, and further ones add nothing new.
const MAX_LOSSES: usize = 4;

/// Loss of an endpoint while the fingerprint ran there.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    pub(super) id: LossId,
    /// Until when it counts.
    pub(super) until: Moment,
    /// Everything that ran there, this fingerprint included.
    pub(super) concurrent: BTreeSet<Fingerprint>,
}

/// The losses of one fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct LossHistory {
    losses: Vec<Loss>,
    /// The latest losses that were confirmed as deaths; each counts once.
    deaths: Vec<LossId>,
    /// Number of deaths so far, those that no longer count included.
    death_count: u32,
    /// Until when it is refused.
    refused_until: Moment,
    /// When the whole history expires.
    expires_at: Moment,
}

impl LossHistory {
    /// Adds a loss unless its id is stored already.
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

    /// Confirms a loss: the process of the endpoint has died.
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

    /// Whether no other fingerprint ran at all of the losses that count now.
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

    /// Number of losses that count now. After a death it is at least one until the history
    /// expires, so that the fingerprint runs one at a time until it is answered; while it
    /// is refused, at least two.
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

    /// Ids of the losses that count now.
    pub(super) fn active_loss_ids(&self, now: Moment) -> Vec<LossId> {
        let counting = self.losses.iter().filter(|loss| now < loss.until);
        counting.map(|loss| loss.id.clone()).collect()
    }

    /// How much longer it is refused.
    pub(super) fn quarantined_for(&self, now: Moment) -> Duration {
        let losses = self.losses.iter().map(|loss| loss.until);
        let until = losses.min().unwrap_or_default().max(self.refused_until);
        until.saturating_sub(now)
    }

    /// The entry at which it may run: the reporter of a death, the same one at every entry
    /// that has the same deaths. `None` without a death.
    pub(super) fn designated_entry(&self) -> Option<&NodeName> {
        self.deaths.iter().min().map(|id| &id.reporter)
    }

    /// When the whole history expires.
    pub(super) fn expires_at(&self) -> Moment {
        self.expires_at
    }
}
