//! Tracks the control leader and applies the directory that it publishes.

use std::net::SocketAddr;

use filberthead_types::{Epoch, FailureDomain, Moment};
use rand::Rng;

use crate::{DomainRecord, Fingerprint, Leader, Message, Sender, Stamp};

use super::{Action, Node, send};

impl Node {
    /// Schedules the first periodic messages at random moments of their periods, so that
    /// nodes started together don't all send at the same moment.
    pub(super) fn jitter_due_times(&mut self, now: Moment) {
        let mut within = |period| now + self.rng.random_range(Moment::ZERO..=period);
        // The first report is due at once, so that a new entry is published soon.
        self.due.report = now;
        self.due.digest = within(self.cfg.heartbeat_period);
        self.due.gossip = within(self.cfg.gossip_period);
        self.due.remote_gossip = within(self.cfg.remote_gossip_period);
        self.due.probe = within(self.cfg.remote_gossip_period);
    }

    /// Follows a leader unless one of a later term is known.
    pub(super) fn follow(&mut self, now: Moment, leader: Leader) {
        if leader.term < self.term {
            return;
        }
        self.term = leader.term;
        self.leader = Some(leader);
        self.leader_last_seen = Some(now);
    }

    /// Accepts another process's hint at a newer leader until that replica itself responds.
    pub(super) fn hint_leader(&mut self, leader: Leader) {
        let newer = self.leader.is_none_or(|current| current.term < leader.term);
        if newer && leader.term >= self.term {
            self.leader = Some(leader);
        }
    }

    pub(super) fn on_not_leader(
        &mut self,
        now: Moment,
        leader: Option<Leader>,
        out: &mut Vec<Action>,
    ) {
        let Some(leader) = leader else {
            return;
        };
        let current = self.leader;
        self.hint_leader(leader);
        if self.leader != current {
            self.report_to_control(now, true, out);
        }
    }

    /// Reports to the leader; while it is unknown or silent also to the control replicas in
    /// turn, each of which answers with the leader that it knows.
    pub(super) fn report_to_control(
        &mut self,
        now: Moment,
        with_members: bool,
        out: &mut Vec<Action>,
    ) {
        let is_silent = self.leader_is_silent(now);
        if let Some(leader) = self.leader {
            self.send_report(leader.addr, with_members || is_silent, out);
        }
        if is_silent && let Some(to) = self.next_control() {
            self.send_report(to, true, out);
        }
    }

    pub(super) fn leader_is_silent(&self, now: Moment) -> bool {
        let silence = self.cfg.member_timeout;
        self.leader_last_seen
            .is_none_or(|last_seen| now >= last_seen + silence)
    }

    fn next_control(&mut self) -> Option<SocketAddr> {
        let controls = &self.contacts.controls;
        let next = controls.get(self.next_control % controls.len().max(1));
        self.next_control = self.next_control.wrapping_add(1);
        next.copied()
    }

    /// Pulls the sender's directory if it differs from the one held. The sender compares them
    /// on its own.
    pub(super) fn compare_directory(
        &mut self,
        now: Moment,
        from: &Sender,
        directory: Fingerprint,
        out: &mut Vec<Action>,
    ) {
        let retry = self.cfg.pull_retry;
        let is_pending = self
            .directory_pulled_at
            .is_some_and(|pulled_at| now < pulled_at + retry);
        if directory == self.directory.hash() || is_pending {
            return;
        }
        self.directory_pulled_at = Some(now);
        let stamps = self.directory.stamps();
        out.extend(send(from.addr, Some(Message::DirectoryPull { stamps })));
    }

    pub(super) fn on_directory_pull(
        &self,
        from: &Sender,
        stamps: &[(FailureDomain, Stamp)],
        out: &mut Vec<Action>,
    ) {
        let records = self.directory.newer_than(stamps);
        if records.is_empty() {
            return;
        }
        let message = Message::Directory {
            term: self.term,
            records,
            push: false,
        };
        out.extend(send(from.addr, Some(message)));
    }

    /// Applies directory records and forwards those that are newer.
    ///
    /// A leader that was deposed without noticing would restore entries that its successor
    /// has removed. Its term is lower than the one known here, so its push is ignored; where
    /// the successor isn't known yet, the successor's stamps win once they arrive.
    pub(super) fn on_directory(
        &mut self,
        now: Moment,
        term: Epoch,
        records: Vec<(FailureDomain, DomainRecord)>,
        push: bool,
        out: &mut Vec<Action>,
    ) {
        self.directory_pulled_at = None;
        if push && term < self.term {
            return;
        }
        self.term = self.term.max(term);
        let updated = self.directory.merge(records);
        if updated.is_empty() {
            return;
        }
        let record = |domain: FailureDomain| {
            let record = self.directory.record(&domain)?.clone();
            Some((domain, record))
        };
        let message = Message::Directory {
            term: self.term,
            records: updated.into_iter().filter_map(record).collect(),
            push: false,
        };
        for to in self.downstream(push) {
            out.extend(send(to, Some(message.clone())));
        }
        self.assume_listed_live(now);
        // A newly known member may precede this node by name and become its relay.
        self.due.report = self.due.report.min(now + self.cfg.pull_retry);
    }

    fn assume_listed_live(&mut self, now: Moment) {
        let record = self.directory.record(&self.local.failure_domain);
        for member in record
            .map(|record| record.members.clone())
            .unwrap_or_default()
        {
            self.assume_live_at_start(now, &member);
        }
    }
}
