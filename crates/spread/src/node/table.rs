//! Holding the newest table: evidence of versions, catching up, handing on.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_table::{View, ViewDelta};
use filberthead_types::{Moment, Version};

use crate::history::Offered;
use crate::{Digest, DigestKind, Fingerprint, Leader, Message, Sender};

use super::{Action, Node, Readiness, send};

/// Most nodes remembered as holding a newer version.
const KEPT_TELLERS: usize = 4;

/// A request for a newer table that is under way.
#[derive(Debug, Default)]
pub(super) struct Pull {
    asked: Option<Moment>,
    /// Who holds a newer version than this node, last heard last.
    tellers: Vec<SocketAddr>,
    /// Whether a delta has failed, so that only a whole table helps.
    whole: bool,
}

impl Node {
    pub(super) fn readiness(&self) -> Readiness {
        let behind = self.history.version() < self.newest_known;
        if behind || !self.proof.is_proven() {
            return self.proof.unproven();
        }
        Readiness::Proven
    }

    /// Takes note that `holder` holds `version`.
    ///
    /// Only what a node holds itself counts as evidence, so that whoever makes this
    /// node wait for a version can also hand it over.
    pub(super) fn evidence(
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
        self.pull.tellers.retain(|addr| *addr != holder);
        self.pull.tellers.push(holder);
        if self.pull.tellers.len() > KEPT_TELLERS {
            self.pull.tellers.remove(0);
        }
        if self.pull.asked.is_none() {
            self.pull_from(now, holder, out);
        }
    }

    pub(super) fn tick_table(&mut self, now: Moment, out: &mut Vec<Action>) {
        let retry = self.cfg.pull_retry;
        if self.pull.asked.is_none_or(|asked| now < asked + retry) {
            return;
        }
        self.pull.asked = None;
        if self.history.version() < self.newest_known && !self.pull.tellers.is_empty() {
            self.pull.tellers.rotate_left(1);
            self.pull_from(now, self.pull.tellers[0], out);
        }
    }

    fn pull_from(&mut self, now: Moment, holder: SocketAddr, out: &mut Vec<Action>) {
        self.pull.asked = Some(now);
        let have = (!self.pull.whole).then(|| self.history.version());
        out.push(Action::Send {
            to: holder,
            message: Message::TablePull { have },
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
        match self.history.offer_delta(delta, table) {
            Offered::Taken => self.advanced(push, out),
            Offered::Old => {}
            Offered::Unusable => {
                // With the steps before it missing, a delta from here on does; if this
                // delta began here and still failed, only a whole table can help.
                self.pull.whole |= delta.from == self.history.version();
                self.pull.asked = None;
                self.evidence(now, from.addr, delta.to, out);
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
        match self.history.offer_view(view, table) {
            Offered::Taken => self.advanced(false, out),
            Offered::Old => {}
            Offered::Unusable => self.evidence(now, from.addr, view.version, out),
        }
    }

    /// Hands a step on: a push of the leader to the whole failure domain, whatever
    /// else to the members that report here.
    fn advanced(&mut self, push: bool, out: &mut Vec<Action>) {
        let version = self.history.version();
        self.newest_known = self.newest_known.max(version);
        self.diverged = false;
        if version == self.newest_known {
            self.pull = Pull::default();
        }
        let Some(mut step) = self.history.last_step() else {
            return;
        };
        if let Message::Delta { push, .. } = &mut step {
            *push = false;
        }
        for to in self.behind_me(push) {
            out.extend(send(to, Some(step.clone())));
        }
    }

    pub(super) fn on_digest(
        &mut self,
        now: Moment,
        from: &Sender,
        digest: &Digest,
        out: &mut Vec<Action>,
    ) {
        self.evidence(now, from.addr, digest.version, out);
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

    /// Two views of one version can differ only if the memory of one of the processes is
    /// damaged. Which one can't be told here, so this node just says so.
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
