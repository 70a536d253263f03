//! The way to the leader and the directory that comes from it.

use std::net::SocketAddr;

use filberthead_types::{Epoch, FailureDomain, Moment};
use rand::Rng;

use crate::{DomainRecord, Fingerprint, Leader, Message, Sender, Stamp};

use super::{Action, Node, send};

impl Node {
    /// Starts periodic messages at random moments of their periods, so that nodes that
    /// were started together don't all report at one moment.
    pub(super) fn jitter_due_times(&mut self, now: Moment) {
        let mut within = |period| now + self.rng.random_range(Moment::ZERO..=period);
        // The first report goes out at once: a new entry is wanted soon.
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

    /// Takes somebody's word on who leads, until that replica itself has been heard.
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

    /// Reports to the leader; while it is unknown or silent, to one control replica
    /// after the other, each of which answers with what it knows of the leader.
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

    /// Asks for the sender's directory if it differs; the sender finds out by itself
    /// whether it lacks something.
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

    /// Guards against a leader that was deposed and doesn't know: what it publishes
    /// would bring back entries that its successor has taken off. Its term is lower
    /// than the one known here, so its push is ignored; where the successor isn't known
    /// yet, the successor's stamps win as soon as they come.
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
        // A member that has just become known may stand before this node.
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
