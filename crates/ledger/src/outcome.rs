//! Outcomes of requests that ran here while their home moved to another entry.
//!
//! A primary that is replaced, or hands its homes over, still runs what it has started. The
//! new primary has these keys on record as started; the outcome is sent to it until it
//! confirms, so that resends get their answer instead of "may have run".

use std::collections::BTreeMap;

use filberthead_types::{Moment, NodeName};

use crate::requests::RequestKey;
use crate::{Action, Generation, HomeId, KeyRecord, Ledger, Message, Stage};

/// Outcomes that the new primary hasn't confirmed; at most one for each request that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Outcomes {
    /// The record, and when it was last sent.
    pending: BTreeMap<RequestKey, (KeyRecord, Option<Moment>)>,
}

impl Outcomes {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn remove(&mut self, home: &HomeId, generation: Generation, suffix: &str) {
        let key = RequestKey {
            home: home.clone(),
            generation,
            suffix: suffix.into(),
        };
        self.pending.remove(&key);
    }

    /// Drops the outcomes of a home.
    pub(crate) fn remove_home(&mut self, home: &HomeId) {
        self.pending.retain(|key, _| key.home != *home);
    }
}

impl Ledger {
    pub(crate) fn queue_outcome(&mut self, key: RequestKey, stage: Stage) {
        let home = self.homes.get(&key.home);
        let Some(record) = home.and_then(|home| home.record(key.generation, &key.suffix)) else {
            return;
        };
        let record = KeyRecord {
            generation: key.generation,
            suffix: key.suffix.clone(),
            digest: record.digest,
            stage,
        };
        self.outcomes.pending.insert(key, (record, None));
    }

    /// Sends each outcome that is due to the current primary of its home.
    pub(crate) fn send_outcomes(&mut self, now: Moment) {
        let period = self.cfg.resend_after;
        let due = |sent: &Option<Moment>| sent.is_none_or(|at| at + period <= now);
        let mut sent = Vec::new();
        for (key, (record, at)) in &self.outcomes.pending {
            if let Some(primary) = self.primary_of(&key.home).filter(|_| due(at)) {
                sent.push((key.clone(), primary.name.clone(), record.clone()));
            }
        }
        for (key, to, record) in sent {
            if let Some((_, at)) = self.outcomes.pending.get_mut(&key) {
                *at = Some(now);
            }
            let home = key.home;
            let message = Message::Outcome { home, record };
            self.out.push(Action::Send { to, message });
        }
    }

    /// Records the outcome of a key that ran at another entry, if this one is the primary
    /// of its home.
    pub(crate) fn receive_outcome(
        &mut self,
        now: Moment,
        from: &NodeName,
        id: &HomeId,
        record: KeyRecord,
    ) {
        self.with_home(now, id, |home, cx| {
            if home.primary().is_none() {
                return;
            }
            let (generation, suffix) = (record.generation, record.suffix);
            let known = home.record(generation, &suffix);
            // A key that runs here ran nowhere else; its own outcome will follow.
            if known.is_some_and(|known| known.run.is_none()) {
                home.record_outcome(generation, &suffix, record.stage);
            }
            let recorded = Message::OutcomeRecorded {
                home: cx.id.clone(),
                generation,
                suffix,
            };
            cx.send(from, recorded);
        });
    }
}
