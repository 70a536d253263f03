//! The newest view held, with the steps that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use filberthead_table::{View, ViewDelta};
use filberthead_types::Version;

use crate::{Fingerprint, Message};

/// What came of a view or delta that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OfferOutcome {
    /// It is held now.
    Applied,
    /// Nothing new.
    Stale,
    /// Steps before it are missing, or its hash is wrong: a whole table is needed.
    Unusable,
}

/// The newest view held. Its version only goes up.
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

    /// Takes a view that the caller knows to be genuine.
    pub(crate) fn apply_committed(&mut self, view: Arc<View>) -> OfferOutcome {
        if view.version <= self.version() {
            return OfferOutcome::Stale;
        }
        let hash = Fingerprint::of(&*view);
        self.install(view, hash);
        OfferOutcome::Applied
    }

    /// Takes a whole view of another node.
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

    /// Takes a delta of another node. The hash of the result is compared with the one
    /// that the sender computed, so that a lost or doubled row can't go unnoticed.
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

    /// What brings a node that holds `have` to the version held here, or `None` if it
    /// is no older.
    pub(crate) fn update_since(&self, base: Option<Version>) -> Option<Message> {
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

    /// The last step, to be handed on.
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
        // Computed from the two views, not taken from the message, so that the steps
        // kept here follow each other without a gap whatever a message spanned.
        self.deltas.push_back(self.view.delta_to(&view));
        if self.deltas.len() > self.max_deltas {
            self.deltas.pop_front();
        }
        self.view = view;
        self.hash = hash;
    }
}
