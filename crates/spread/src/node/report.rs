//! Heartbeats within the failure domain: reports towards the leader, digests away from it.

use std::net::SocketAddr;

use filberthead_types::{Moment, Version};

use crate::reports::Heard;
use crate::roster::Roster;
use crate::{DigestKind, Fingerprint, Leader, MemberInfo, Message, Report, Sender};

use super::domain::Link;
use super::{Action, Node, send};

impl Node {
    /// Sends a changed roster to the node above and to the members below at once
    /// rather than with the next heartbeat, because a member that leaves must be out of
    /// answers soon.
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

    /// Reports to the first earlier member that isn't late with its answer. Those late
    /// get the report as well until they count as silent, and then once in a while, so
    /// that one that comes back is found.
    fn report_to_all(&mut self, now: Moment, with_members: bool, out: &mut Vec<Action>) {
        let probe = now >= self.due.probe;
        if probe {
            self.due.probe = now + self.cfg.remote_gossip_period;
        }
        for (name, member) in self.earlier_members() {
            let link = self.domain.links.get(&name).copied().unwrap_or_default();
            if self.is_silent(now, &link) && !probe {
                continue;
            }
            let first = !link.answered;
            self.send_report(member.peer_addr, with_members || first, out);
            let link = self.domain.links.entry(name).or_default();
            link.unanswered.get_or_insert(now);
            let link = *link;
            if !self.is_late(now, &link) {
                return;
            }
        }
        self.report_to_control(now, with_members, out);
    }

    pub(super) fn send_report(&self, to: SocketAddr, with_members: bool, out: &mut Vec<Action>) {
        let reported = &self.domain.reported;
        let report = Report {
            version: self.history.version(),
            roster: reported.hash(),
            directory: self.directory.hash(),
            others: self.other_versions(),
            members: with_members.then(|| reported.members().to_vec()),
        };
        out.extend(send(to, Some(Message::Report(report))));
    }

    fn other_versions(&self) -> Vec<(u16, Version)> {
        let versions = self.domain.reports.members();
        let mine = self.history.version();
        let members = self.domain.reported.members().iter().zip(0..);
        members
            .filter(|(member, _)| member.name != self.me.name)
            .filter_map(|(member, place)| {
                let version = versions.get(&member.name).map(|reported| reported.version);
                let version = version.unwrap_or_default();
                (version != mine).then_some((place, version))
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
        match self.domain.reports.take(now, from, report) {
            Heard::Outdated => return,
            // It waits to learn whether it has been heard.
            Heard::First => {
                self.send_relay_digest(now, from.addr, out);
                self.refresh_reported(now);
            }
            Heard::Changed => self.refresh_reported(now),
            Heard::Known => {}
        }
        let known = self.domain.reports.get(&from.name);
        if known.is_some_and(|reporter| !reporter.roster_known()) {
            out.extend(send(from.addr, Some(Message::ReportPull)));
        }
        self.evidence(now, from.addr, version, out);
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
        self.domain.received = Some(Roster::new(members));
        let roster = Message::Roster(self.domain.roster().members().to_vec());
        for reporter in self.domain.reports.iter() {
            out.extend(send(reporter.sender.addr, Some(roster.clone())));
        }
        self.choose_relay(now, out);
    }

    /// A relay sends these only to members whose reports reach it, so one that arrives
    /// shows that both directions work.
    pub(super) fn on_relay_digest(
        &mut self,
        now: Moment,
        from: &Sender,
        roster: Fingerprint,
        leader: Option<Leader>,
        out: &mut Vec<Action>,
    ) {
        if from.name >= self.me.name {
            return;
        }
        let link = self.domain.links.entry(from.name.clone()).or_default();
        *link = Link {
            unanswered: None,
            answered: true,
            stopped: false,
        };
        self.choose_relay(now, out);
        if self.domain.relay.as_ref() != Some(&from.name) {
            return;
        }
        if let Some(leader) = leader {
            self.follow(now, leader);
        }
        let received = self.domain.received.as_ref();
        if received.is_none_or(|received| received.hash() != roster) {
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
        // One that is silent here as well is no news to the receiver.
        let leader = self.leader.filter(|_| !self.leader_is_silent(now));
        let roster = self.domain.roster().hash();
        let kind = DigestKind::Relay { roster, leader };
        out.extend(send(to, Some(Message::Digest(self.digest(kind)))));
    }
}
