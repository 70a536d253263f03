//! The newest view held, with the deltas that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use filberthead_table::{View, ViewDelta};
use filberthead_types::Version;

use crate::{Fingerprint, Message};

/// Result of applying a view or delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// It was applied.
    Applied,
    /// A version that is at least as new is already held.
    Stale,
    /// Earlier deltas are missing or its hash is wrong, so the full table is needed.
    Unusable,
}

/// The newest view held. Its version only increases.
#[derive(Debug)]
pub(crate) struct History {
    view: Arc<View>,
    hash: Fingerprint,
    deltas: VecDeque<ViewDelta>,
    max_deltas: usize,
}

impl History {
    pub(crate) fn new(max_deltas: usize) -> Self {
        let view = Arc::new(View::default());
        let hash = Fingerprint::of(&*view);
        Self {
            view,
            hash,
            deltas: VecDeque::new(),
            max_deltas,
        }
    }

    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    pub(crate) fn version(&self) -> Version {
        self.view.version
    }

    pub(crate) fn hash(&self) -> Fingerprint {
        self.hash
    }

    /// Applies a committed view from the local state machine.
    pub(crate) fn apply_committed(&mut self, view: Arc<View>) -> OfferOutcome {
        if view.version <= self.version() {
            return OfferOutcome::Stale;
        }
        let hash = Fingerprint::of(&*view);
        self.install(view, hash);
        OfferOutcome::Applied
    }

    /// Applies a full view from another process.
    pub(crate) fn apply_view(&mut self, view: &Arc<View>, hash: Fingerprint) -> OfferOutcome {
        if view.version <= self.version() {
            return OfferOutcome::Stale;
        }
        if Fingerprint::of(&**view) != hash {
            return OfferOutcome::Unusable;
        }
        self.install(Arc::clone(view), hash);
        OfferOutcome::Applied
    }

    /// Applies a delta from another process. The hash of the result is compared with the
    /// sender's, so that a missing or duplicated row is detected.
    pub(crate) fn apply_delta(&mut self, delta: &ViewDelta, hash: Fingerprint) -> OfferOutcome {
        if delta.to <= self.version() {
            return OfferOutcome::Stale;
        }
        let Some(view) = self.view.patched(delta) else {
            return OfferOutcome::Unusable;
        };
        if Fingerprint::of(&view) != hash {
            return OfferOutcome::Unusable;
        }
        self.install(Arc::new(view), hash);
        OfferOutcome::Applied
    }

    /// The update for a node that holds version `base`, or the full table if that is `None`.
    /// Returns `None` if the node is up to date.
    pub(crate) fn catch_up(&self, base: Option<Version>) -> Option<Message> {
        let Some(base) = base else {
            return Some(self.full_table());
        };
        if base >= self.version() {
            return None;
        }
        Some(self.delta_since(base).map_or_else(
            || self.full_table(),
            |delta| Message::Delta {
                delta,
                table: self.hash,
                push: false,
            },
        ))
    }

    /// The last delta, marked to be forwarded.
    pub(crate) fn last_delta(&self) -> Option<Message> {
        self.deltas.back().map(|delta| Message::Delta {
            delta: delta.clone(),
            table: self.hash,
            push: true,
        })
    }

    fn full_table(&self) -> Message {
        Message::Table {
            view: Arc::clone(&self.view),
            table: self.hash,
        }
    }

    fn delta_since(&self, base: Version) -> Option<ViewDelta> {
        let first = self.deltas.iter().position(|delta| delta.from == base)?;
        let mut deltas = self.deltas.range(first..);
        let mut delta = deltas.next()?.clone();
        deltas.for_each(|next| delta.extend(next));
        Some(delta)
    }

    fn install(&mut self, view: Arc<View>, hash: Fingerprint) {
        // Computed from the two views instead of taken from the message, so that the kept
        // deltas are consecutive whatever range a message covered.
        self.deltas.push_back(self.view.delta_to(&view));
        if self.deltas.len() > self.max_deltas {
            self.deltas.pop_front();
        }
        self.view = view;
        self.hash = hash;
    }
}
