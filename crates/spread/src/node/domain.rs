//! The failure domain: who is live in it, and whom to report to.
//!
//! The members stand in the order of their names. Each reports to the first one that
//! answers it, and to control if none stands before it. Nobody has to agree on that: a
//! member that can't reach the first one reports to the next, which counts it in its
//! own report, and so on. Reports only ever go to an earlier name, so they make a tree
//! and a dead member can't be kept alive by two nodes that report it to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{Moment, NodeName};
use rand::seq::IteratorRandom;

use crate::reports::Reports;
use crate::roster::Roster;
use crate::{DigestKind, MemberInfo, Message, Sender};

use super::{Action, Node, send};

/// Shortest time between two messages about a changed roster to one receiver, so that
/// the start of a whole failure domain doesn't make a message for each pair.
const ROSTER_PAUSE: Duration = Duration::from_millis(100);
/// How many silences long a node met by its query stays known without any list of
/// members naming it.
const ACQUAINTANCE: u32 = 10;

/// What a node knows of an earlier member that it reports to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Link {
    /// When the oldest report was sent that it hasn't answered.
    pub(super) unanswered: Option<Moment>,
    /// Whether it has ever answered.
    pub(super) answered: bool,
    /// Whether it has said that it stops.
    pub(super) stopped: bool,
}

/// The failure domain as this node sees it.
#[derive(Debug)]
pub(super) struct Domain {
    pub(super) reports: Reports,
    /// Members that this node reports for, itself included.
    pub(super) reported: Roster,
    /// Members as the relay has sent them.
    pub(super) received: Option<Roster>,
    /// Members that this node counts as live on taking over, until they have had time
    /// to report here.
    carried: BTreeMap<NodeName, (MemberInfo, Moment)>,
    /// Members known because they have asked, or have been named in an answer.
    met: BTreeMap<NodeName, (MemberInfo, Moment)>,
    pub(super) links: BTreeMap<NodeName, Link>,
    pub(super) relay: Option<NodeName>,
    /// When a changed roster may be sent on; `None` if nothing has changed.
    pub(super) announce_due: Option<Moment>,
    pub(super) announced: Moment,
}

impl Domain {
    pub(super) fn new(me: &MemberInfo) -> Self {
        Self {
            reports: Reports::default(),
            reported: Roster::new(vec![me.clone()]),
            received: None,
            carried: BTreeMap::new(),
            met: BTreeMap::new(),
            links: BTreeMap::new(),
            relay: None,
            announce_due: None,
            announced: Moment::ZERO,
        }
    }

    /// Whom this node reports to; `None` if to control.
    pub(super) fn relay(&self) -> Option<&NodeName> {
        self.relay.as_ref()
    }

    /// Live members of the failure domain.
    pub(super) fn roster(&self) -> &Roster {
        match (&self.relay, &self.received) {
            (Some(_), Some(received)) => received,
            _ => &self.reported,
        }
    }

    fn changed(&mut self, now: Moment) {
        let due = now.max(self.announced + ROSTER_PAUSE);
        self.announce_due.get_or_insert(due);
    }
}

impl Node {
    /// All other members of the failure domain that are known, live or not.
    pub(super) fn domain_peers(&self) -> BTreeMap<NodeName, MemberInfo> {
        let record = self.directory.record(&self.me.failure_domain);
        let listed = record.into_iter().flat_map(|record| &record.members);
        let met = self.domain.met.values().map(|(member, _)| member);
        listed
            .chain(self.domain.roster().members())
            .chain(met)
            .filter(|member| member.name != self.me.name)
            .map(|member| (member.name.clone(), member.clone()))
            .collect()
    }

    /// Takes note of a member of the failure domain that a query or answer has named.
    pub(super) fn meet(&mut self, now: Moment, member: MemberInfo) {
        let same_domain = member.failure_domain == self.me.failure_domain;
        if same_domain && member.name != self.me.name {
            self.carry_at_start(now, &member);
            self.domain.met.insert(member.name.clone(), (member, now));
        }
    }

    pub(super) fn tick_domain(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.expire_members(now);
        self.announce(now, out);
        if now >= self.due.report {
            self.due.report = now + self.cfg.heartbeat_period;
            self.report(now, out);
        }
        if now >= self.due.digest {
            self.due.digest = now + self.cfg.heartbeat_period;
            self.send_relay_digests(now, out);
        }
        self.gossip(now, out);
    }

    fn expire_members(&mut self, now: Moment) {
        let silence = self.cfg.member_timeout;
        let mut lost = self.domain.reports.expire(now, silence);
        let fresh = |heard: Moment| now.saturating_sub(heard) < silence;
        let carried = self.domain.carried.len();
        self.domain.carried.retain(|_, (_, heard)| fresh(*heard));
        lost |= self.domain.carried.len() < carried;
        let known = |heard: Moment| now.saturating_sub(heard) < silence * ACQUAINTANCE;
        self.domain.met.retain(|_, (_, heard)| known(*heard));
        if lost {
            self.refresh_reported(now);
        }
    }

    /// Works out anew whom this node reports for.
    pub(super) fn refresh_reported(&mut self, now: Moment) {
        let reported = self.domain.reports.members().into_values();
        let mut members = vec![self.me.clone()];
        members.extend(reported.map(|reported| reported.info.clone()));
        // After those who report here: of two with one name the first stays.
        let carried = self.domain.carried.values();
        members.extend(carried.map(|(member, _)| member.clone()));
        let own = |member: &MemberInfo| member.failure_domain == self.me.failure_domain;
        members.retain(own);
        let roster = Roster::new(members);
        if roster.hash() != self.domain.reported.hash() {
            self.domain.reported = roster;
            self.domain.changed(now);
        }
    }

    /// Decides whose word counts on who is live: the first member that answers. It may
    /// miss one answer; reports go to the next one as well by then.
    pub(super) fn choose_relay(&mut self, now: Moment, out: &mut Vec<Action>) {
        let earlier = self.earlier_members();
        self.domain
            .links
            .retain(|name, _| earlier.contains_key(name));
        let answers = |name: &&NodeName| {
            let link = self.domain.links.get(*name);
            link.is_some_and(|link| link.answered && !self.is_silent(now, link))
        };
        let relay = earlier.keys().find(answers).cloned();
        if relay == self.domain.relay {
            return;
        }
        let before = self.domain.roster().clone();
        self.domain.relay = relay;
        self.domain.received = None;
        if let Some(relay) = self
            .domain
            .relay
            .as_ref()
            .and_then(|name| earlier.get(name))
        {
            out.extend(send(relay.peer_addr, Some(Message::RosterPull)));
        }
        self.carry_over(now, &before);
    }

    /// Guards against a live set that collapses when a relay dies or comes back: its
    /// successor knows only those who have reported to it yet, and publishing just them
    /// would move every owner away from the others for a second. They count as live for
    /// as long as a silent member does. The relay that is given up is left out.
    fn carry_over(&mut self, now: Moment, before: &Roster) {
        let record = self.directory.record(&self.me.failure_domain);
        let listed = record.into_iter().flat_map(|record| &record.members);
        let known: Vec<_> = before.members().iter().chain(listed).cloned().collect();
        for member in known {
            let link = self.domain.links.get(&member.name);
            let given_up = link.is_some_and(|link| self.is_silent(now, link));
            if member.name != self.me.name && !given_up {
                let carried = (member.clone(), now);
                self.domain.carried.entry(member.name).or_insert(carried);
            }
        }
        self.refresh_reported(now);
    }

    /// Counts a member as live until it has had time to report. A relay that has just
    /// started has heard from nobody; without this it would publish itself alone.
    pub(super) fn carry_at_start(&mut self, now: Moment, member: &MemberInfo) {
        let starting = now < self.proof.since() + self.cfg.member_timeout;
        if starting && member.name != self.me.name {
            let carried = (member.clone(), now);
            self.domain
                .carried
                .entry(member.name.clone())
                .or_insert(carried);
            self.refresh_reported(now);
        }
    }

    pub(super) fn earlier_members(&self) -> BTreeMap<NodeName, MemberInfo> {
        let mut peers = self.domain_peers();
        peers.retain(|name, _| *name < self.me.name);
        peers
    }

    /// Whether an answer is overdue. One may get lost, so it isn't given up yet.
    pub(super) fn is_late(&self, now: Moment, link: &Link) -> bool {
        let late = self.cfg.heartbeat_period + self.cfg.heartbeat_period / 2;
        link.stopped || link.unanswered.is_some_and(|sent| now >= sent + late)
    }

    pub(super) fn is_silent(&self, now: Moment, link: &Link) -> bool {
        let silence = self.cfg.member_timeout;
        link.stopped || link.unanswered.is_some_and(|sent| now >= sent + silence)
    }

    /// Where a step or a line of the directory is handed on: to those who report here,
    /// or to the whole failure domain.
    pub(super) fn behind_me(&self, whole_domain: bool) -> Vec<SocketAddr> {
        let reporters = self.domain.reports.iter();
        let mut addrs: Vec<_> = reporters.map(|reporter| reporter.sender.addr).collect();
        if whole_domain {
            let members = self.domain.roster().members().iter();
            addrs.extend(members.map(|member| member.peer_addr));
        }
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|addr| *addr != self.me.peer_addr);
        addrs
    }

    /// Compares with a random member of the failure domain, and more rarely with one
    /// of another, so that whatever is cut off from the leader still agrees on the
    /// newest version that any node in it holds.
    fn gossip(&mut self, now: Moment, out: &mut Vec<Action>) {
        if now >= self.due.gossip {
            self.due.gossip = now + self.cfg.gossip_period;
            let peers = self.domain_peers().into_values();
            let peer = peers.map(|peer| peer.peer_addr).choose(&mut self.rng);
            self.send_peer_digest(peer, out);
        }
        if now >= self.due.remote_gossip {
            self.due.remote_gossip = now + self.cfg.remote_gossip_period;
            let own = &self.me.failure_domain;
            let members = self.directory.members();
            let far = members.filter(|member| member.failure_domain != *own);
            let peer = far.map(|peer| peer.peer_addr).choose(&mut self.rng);
            self.send_peer_digest(peer, out);
        }
    }

    fn send_peer_digest(&self, to: Option<SocketAddr>, out: &mut Vec<Action>) {
        let digest = self.digest(DigestKind::Peer { reply: false });
        let message = Message::Digest(digest);
        out.extend(to.map(|to| Action::Send { to, message }));
    }

    /// A process that stops as planned says so, and is given up without a wait.
    pub(super) fn on_bye(&mut self, now: Moment, from: &Sender, out: &mut Vec<Action>) {
        let same = |member: &MemberInfo| {
            member.name == from.name && member.incarnation == from.incarnation
        };
        let domain = &mut self.domain;
        domain.reports.remove(from);
        domain.carried.retain(|_, (member, _)| !same(member));
        domain.met.retain(|_, (member, _)| !same(member));
        if let Some(link) = domain.links.get_mut(&from.name) {
            link.stopped = true;
        }
        self.refresh_reported(now);
        if self.domain.relay.as_ref() == Some(&from.name) {
            self.report(now, out);
        }
    }

    /// Says that this node leaves, at once and to everybody who reports it.
    pub(super) fn leave(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.me.leaving = true;
        self.refresh_reported(now);
        self.announce(now, out);
    }

    pub(super) fn stop(&mut self, out: &mut Vec<Action>) {
        let mut addrs = self.behind_me(true);
        addrs.extend(self.leader.map(|leader| leader.addr));
        let bye = |to| Action::Send {
            to,
            message: Message::Bye,
        };
        out.extend(addrs.into_iter().map(bye));
    }
}
