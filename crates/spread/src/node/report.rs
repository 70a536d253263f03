//! Heartbeats within the failure domain: reports towards the leader, digests from the relay.

use std::net::SocketAddr;

use filberthead_types::{Moment, Version};

use crate::reports::ReportOutcome;
use crate::roster::Roster;
use crate::{DigestKind, Fingerprint, Leader, MemberInfo, Message, Report, Sender};

use super::domain::Upstream;
use super::{Action, Node, send};

impl Node {
    /// Sends a changed roster upstream and downstream at once instead of with the next
    /// heartbeat, because a leaving member must soon be removed from answers.
    pub(super) fn announce(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.domain.announce_due.is_none_or(|due| now < due) {
            return;
        }
        self.domain.announce_due = None;
        self.domain.announced = now;
        self.report_to_all(now, true, out);
        let roster = Message::Roster(self.domain.roster().members().to_vec());
        for reporter in self.domain.reports.iter() {
            out.extend(send(reporter.sender.addr, Some(roster.clone())));
        }
    }

    pub(super) fn report(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.choose_relay(now, out);
        self.report_to_all(now, false, out);
    }

    /// Reports to the first earlier member whose answer isn't late. Late members receive the
    /// report as well until they count as silent, and silent ones from time to time, so that
    /// a recovered one is found.
    fn report_to_all(&mut self, now: Moment, with_members: bool, out: &mut Vec<Action>) {
        let probe = now >= self.due.probe;
        if probe {
            self.due.probe = now + self.cfg.remote_gossip_period;
        }
        for (name, member) in self.earlier_members() {
            let upstream = self
                .domain
                .upstreams
                .get(&name)
                .copied()
                .unwrap_or_default();
            if self.is_silent(now, &upstream) && !probe {
                continue;
            }
            let first = !upstream.answered;
            self.send_report(member.peer_addr, with_members || first, out);
            let upstream = self.domain.upstreams.entry(name).or_default();
            upstream.unanswered.get_or_insert(now);
            let upstream = *upstream;
            if !self.is_late(now, &upstream) {
                return;
            }
        }
        self.report_to_control(now, with_members, out);
    }

    pub(super) fn send_report(&self, to: SocketAddr, with_members: bool, out: &mut Vec<Action>) {
        let reported = &self.domain.reported_roster;
        let report = Report {
            version: self.history.version(),
            roster: reported.hash(),
            directory: self.directory.hash(),
            other_versions: self.other_versions(),
            members: with_members.then(|| reported.members().to_vec()),
        };
        out.extend(send(to, Some(Message::Report(report))));
    }

    fn other_versions(&self) -> Vec<(u16, Version)> {
        let versions = self.domain.reports.members();
        let own_version = self.history.version();
        let members = self.domain.reported_roster.members().iter().zip(0..);
        members
            .filter(|(member, _)| member.name != self.local.name)
            .filter_map(|(member, index)| {
                let version = versions.get(&member.name).map(|reported| reported.version);
                let version = version.unwrap_or_default();
                (version != own_version).then_some((index, version))
            })
            .collect()
    }

    pub(super) fn on_report(
        &mut self,
        now: Moment,
        from: &Sender,
        report: Report,
        out: &mut Vec<Action>,
    ) {
        let (version, directory) = (report.version, report.directory);
        match self.domain.reports.record(now, from, report) {
            ReportOutcome::Superseded => return,
            // A new reporter waits for an answer.
            ReportOutcome::NewReporter => {
                self.send_relay_digest(now, from.addr, out);
                self.rebuild_reported_roster(now);
            }
            ReportOutcome::MembersChanged => self.rebuild_reported_roster(now),
            ReportOutcome::Unchanged => {}
        }
        let reporter = self.domain.reports.get(&from.name);
        if reporter.is_some_and(|reporter| !reporter.has_current_roster()) {
            out.extend(send(from.addr, Some(Message::ReportPull)));
        }
        self.record_holder(now, from.addr, version, out);
        self.compare_directory(now, from, directory, out);
        self.announce(now, out);
    }

    pub(super) fn on_roster(
        &mut self,
        now: Moment,
        from: &Sender,
        members: Vec<MemberInfo>,
        out: &mut Vec<Action>,
    ) {
        if self.domain.relay.as_ref() != Some(&from.name) {
            return;
        }
        self.domain.relay_roster = Some(Roster::new(members));
        let roster = Message::Roster(self.domain.roster().members().to_vec());
        for reporter in self.domain.reports.iter() {
            out.extend(send(reporter.sender.addr, Some(roster.clone())));
        }
        self.choose_relay(now, out);
    }

    /// A relay sends digests only to members whose reports it receives, so an arriving one
    /// shows that both directions of the link work.
    pub(super) fn on_relay_digest(
        &mut self,
        now: Moment,
        from: &Sender,
        roster: Fingerprint,
        leader: Option<Leader>,
        out: &mut Vec<Action>,
    ) {
        if from.name >= self.local.name {
            return;
        }
        let upstream = self.domain.upstreams.entry(from.name.clone()).or_default();
        *upstream = Upstream {
            unanswered: None,
            answered: true,
            stopped: None,
        };
        self.choose_relay(now, out);
        if self.domain.relay.as_ref() != Some(&from.name) {
            return;
        }
        if let Some(leader) = leader {
            self.follow(now, leader);
        }
        let relay_roster = self.domain.relay_roster.as_ref();
        if relay_roster.is_none_or(|relay_roster| relay_roster.hash() != roster) {
            out.extend(send(from.addr, Some(Message::RosterPull)));
        }
    }

    pub(super) fn send_roster(&self, to: SocketAddr, out: &mut Vec<Action>) {
        let members = self.domain.roster().members().to_vec();
        out.extend(send(to, Some(Message::Roster(members))));
    }

    pub(super) fn send_relay_digests(&self, now: Moment, out: &mut Vec<Action>) {
        for reporter in self.domain.reports.iter() {
            self.send_relay_digest(now, reporter.sender.addr, out);
        }
    }

    fn send_relay_digest(&self, now: Moment, to: SocketAddr, out: &mut Vec<Action>) {
        // A leader that is silent here too is of no use to the receiver.
        let leader = self.leader.filter(|_| !self.leader_is_silent(now));
        let roster = self.domain.roster().hash();
        let kind = DigestKind::Relay { roster, leader };
        out.extend(send(to, Some(Message::Digest(self.digest(kind)))));
    }
}
