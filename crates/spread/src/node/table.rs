//! Keeps the newest table: tracks newer versions, pulls them and forwards deltas.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_table::{View, ViewDelta};
use filberthead_types::{Moment, Version};

use crate::history::OfferOutcome;
use crate::{Digest, DigestKind, Fingerprint, Leader, Message, Sender};

use super::{Action, Node, Readiness, send};

/// Maximum number of nodes remembered as holding a newer version.
const MAX_HOLDERS: usize = 4;

/// State of pulling a newer table.
#[derive(Debug, Default)]
pub(super) struct Pull {
    pulled_at: Option<Moment>,
    /// Nodes that hold a newer version than this one, most recent last.
    holders: Vec<SocketAddr>,
    /// Whether a delta couldn't be applied, so that the full table is needed.
    full_table: bool,
}

impl Node {
    pub(super) fn readiness(&self) -> Readiness {
        let behind = self.history.version() < self.newest_known;
        if behind || !self.proof.is_proven() {
            return self.proof.unproven();
        }
        Readiness::Proven
    }

    /// Records that `holder` holds `version`.
    ///
    /// Only versions held by the sender itself are recorded, so that a process that makes this
    /// node wait for a version can also send it.
    pub(super) fn record_holder(
        &mut self,
        now: Moment,
        holder: SocketAddr,
        version: Version,
        out: &mut Vec<Action>,
    ) {
        self.newest_known = self.newest_known.max(version);
        if version <= self.history.version() {
            return;
        }
        self.pull.holders.retain(|addr| *addr != holder);
        self.pull.holders.push(holder);
        if self.pull.holders.len() > MAX_HOLDERS {
            self.pull.holders.remove(0);
        }
        if self.pull.pulled_at.is_none() {
            self.pull_from(now, holder, out);
        }
    }

    pub(super) fn tick_table(&mut self, now: Moment, out: &mut Vec<Action>) {
        let retry = self.cfg.pull_retry;
        if self
            .pull
            .pulled_at
            .is_none_or(|pulled_at| now < pulled_at + retry)
        {
            return;
        }
        self.pull.pulled_at = None;
        if self.history.version() < self.newest_known && !self.pull.holders.is_empty() {
            self.pull.holders.rotate_left(1);
            self.pull_from(now, self.pull.holders[0], out);
        }
    }

    fn pull_from(&mut self, now: Moment, holder: SocketAddr, out: &mut Vec<Action>) {
        self.pull.pulled_at = Some(now);
        let base = (!self.pull.full_table).then(|| self.history.version());
        out.push(Action::Send {
            to: holder,
            message: Message::TablePull { base },
        });
    }

    pub(super) fn on_delta(
        &mut self,
        now: Moment,
        from: &Sender,
        delta: &ViewDelta,
        table: Fingerprint,
        push: bool,
        out: &mut Vec<Action>,
    ) {
        match self.history.apply_delta(delta, table) {
            OfferOutcome::Applied => self.propagate(push, out),
            OfferOutcome::Stale => {}
            OfferOutcome::Unusable => {
                // If earlier deltas are missing, a delta from the version held here is
                // enough. If this one started there and still failed, only the full table
                // helps.
                self.pull.full_table |= delta.from == self.history.version();
                self.pull.pulled_at = None;
                self.record_holder(now, from.addr, delta.to, out);
            }
        }
    }

    pub(super) fn on_table(
        &mut self,
        now: Moment,
        from: &Sender,
        view: &Arc<View>,
        table: Fingerprint,
        out: &mut Vec<Action>,
    ) {
        match self.history.apply_view(view, table) {
            OfferOutcome::Applied => self.propagate(false, out),
            OfferOutcome::Stale => {}
            OfferOutcome::Unusable => self.record_holder(now, from.addr, view.version, out),
        }
    }

    /// Forwards the newest delta: a push from the leader to the whole failure domain, any
    /// other update to the members that report here.
    fn propagate(&mut self, push: bool, out: &mut Vec<Action>) {
        let version = self.history.version();
        self.newest_known = self.newest_known.max(version);
        self.diverged = false;
        if version == self.newest_known {
            self.pull = Pull::default();
        }
        let Some(mut message) = self.history.last_delta() else {
            return;
        };
        if let Message::Delta { push, .. } = &mut message {
            *push = false;
        }
        for to in self.downstream(push) {
            out.extend(send(to, Some(message.clone())));
        }
    }

    pub(super) fn on_digest(
        &mut self,
        now: Moment,
        from: &Sender,
        digest: &Digest,
        out: &mut Vec<Action>,
    ) {
        self.record_holder(now, from.addr, digest.version, out);
        self.compare_table(digest);
        self.compare_directory(now, from, digest.directory, out);
        match digest.kind {
            DigestKind::Leader { term } => {
                let addr = from.addr;
                self.follow(now, Leader { term, addr });
            }
            DigestKind::Relay { roster, leader } => {
                self.on_relay_digest(now, from, roster, leader, out);
            }
            DigestKind::Peer { reply } => self.on_peer_digest(from, digest, reply, out),
        }
    }

    /// Detects different views of the same version. They can differ only if the memory of one
    /// of the processes is corrupted; which one is unknown, so the node only reports it.
    fn compare_table(&mut self, digest: &Digest) {
        if digest.version == self.history.version() {
            self.diverged = digest.table != self.history.hash();
        }
    }

    fn on_peer_digest(&self, from: &Sender, digest: &Digest, reply: bool, out: &mut Vec<Action>) {
        let mine = self.digest(DigestKind::Peer { reply: true });
        let older = digest.version < mine.version;
        if !reply && (older || digest.directory != mine.directory) {
            out.extend(send(from.addr, Some(Message::Digest(mine))));
        }
    }

    pub(super) fn digest(&self, kind: DigestKind) -> Digest {
        Digest {
            version: self.history.version(),
            table: self.history.hash(),
            directory: self.directory.hash(),
            kind,
        }
    }
}
