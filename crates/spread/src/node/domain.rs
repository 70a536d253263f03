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
const DISCOVERED_TTL_FACTOR: u32 = 10;

/// What a node knows of an earlier member that it reports to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Upstream {
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
    pub(super) reported_roster: Roster,
    /// Members as the relay has sent them.
    pub(super) relay_roster: Option<Roster>,
    /// Members that this node counts as live on taking over, until they have had time
    /// to report here.
    assumed_live: BTreeMap<NodeName, (MemberInfo, Moment)>,
    /// Members known because they have asked, or have been named in an answer.
    discovered: BTreeMap<NodeName, (MemberInfo, Moment)>,
    pub(super) upstreams: BTreeMap<NodeName, Upstream>,
    pub(super) relay: Option<NodeName>,
    /// When a changed roster may be sent on; `None` if nothing has changed.
    pub(super) announce_due: Option<Moment>,
    pub(super) announced: Moment,
}

impl Domain {
    pub(super) fn new(local: &MemberInfo) -> Self {
        Self {
            reports: Reports::default(),
            reported_roster: Roster::new(vec![local.clone()]),
            relay_roster: None,
            assumed_live: BTreeMap::new(),
            discovered: BTreeMap::new(),
            upstreams: BTreeMap::new(),
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
        match (&self.relay, &self.relay_roster) {
            (Some(_), Some(relay_roster)) => relay_roster,
            _ => &self.reported_roster,
        }
    }

    fn schedule_announcement(&mut self, now: Moment) {
        let due = now.max(self.announced + ROSTER_PAUSE);
        self.announce_due.get_or_insert(due);
    }
}

impl Node {
    /// All other members of the failure domain that are known, live or not.
    pub(super) fn domain_peers(&self) -> BTreeMap<NodeName, MemberInfo> {
        let record = self.directory.record(&self.local.failure_domain);
        let listed = record.into_iter().flat_map(|record| &record.members);
        let discovered = self.domain.discovered.values().map(|(member, _)| member);
        listed
            .chain(self.domain.roster().members())
            .chain(discovered)
            .filter(|member| member.name != self.local.name)
            .map(|member| (member.name.clone(), member.clone()))
            .collect()
    }

    /// Takes note of a member of the failure domain that a query or answer has named.
    pub(super) fn discover(&mut self, now: Moment, member: MemberInfo) {
        let same_domain = member.failure_domain == self.local.failure_domain;
        if same_domain && member.name != self.local.name {
            self.assume_live_at_start(now, &member);
            self.domain
                .discovered
                .insert(member.name.clone(), (member, now));
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
        let is_recent = |since: Moment| now.saturating_sub(since) < silence;
        let before = self.domain.assumed_live.len();
        self.domain
            .assumed_live
            .retain(|_, (_, since)| is_recent(*since));
        lost |= self.domain.assumed_live.len() < before;
        let is_known = |since: Moment| now.saturating_sub(since) < silence * DISCOVERED_TTL_FACTOR;
        self.domain
            .discovered
            .retain(|_, (_, since)| is_known(*since));
        if lost {
            self.rebuild_reported_roster(now);
        }
    }

    /// Works out anew whom this node reports for.
    pub(super) fn rebuild_reported_roster(&mut self, now: Moment) {
        let reported = self.domain.reports.members().into_values();
        let mut members = vec![self.local.clone()];
        members.extend(reported.map(|reported| reported.info.clone()));
        // After those who report here: of two with one name the first stays.
        let assumed = self.domain.assumed_live.values();
        members.extend(assumed.map(|(member, _)| member.clone()));
        let in_own_domain =
            |member: &MemberInfo| member.failure_domain == self.local.failure_domain;
        members.retain(in_own_domain);
        let roster = Roster::new(members);
        if roster.hash() != self.domain.reported_roster.hash() {
            self.domain.reported_roster = roster;
            self.domain.schedule_announcement(now);
        }
    }

    /// Decides whose word counts on who is live: the first member that answers. It may
    /// miss one answer; reports go to the next one as well by then.
    pub(super) fn choose_relay(&mut self, now: Moment, out: &mut Vec<Action>) {
        let earlier = self.earlier_members();
        self.domain
            .upstreams
            .retain(|name, _| earlier.contains_key(name));
        let answers = |name: &&NodeName| {
            let upstream = self.domain.upstreams.get(*name);
            upstream.is_some_and(|upstream| upstream.answered && !self.is_silent(now, upstream))
        };
        let relay = earlier.keys().find(answers).cloned();
        if relay == self.domain.relay {
            return;
        }
        let before = self.domain.roster().clone();
        self.domain.relay = relay;
        self.domain.relay_roster = None;
        if let Some(relay) = self
            .domain
            .relay
            .as_ref()
            .and_then(|name| earlier.get(name))
        {
            out.extend(send(relay.peer_addr, Some(Message::RosterPull)));
        }
        self.assume_live_from(now, &before);
    }

    /// Guards against a live set that collapses when a relay dies or comes back: its
    /// successor knows only those who have reported to it yet, and publishing just them
    /// would move every owner away from the others for a second. They count as live for
    /// as long as a silent member does. The relay that is given up is left out.
    fn assume_live_from(&mut self, now: Moment, before: &Roster) {
        let record = self.directory.record(&self.local.failure_domain);
        let listed = record.into_iter().flat_map(|record| &record.members);
        let candidates: Vec<_> = before.members().iter().chain(listed).cloned().collect();
        for member in candidates {
            let upstream = self.domain.upstreams.get(&member.name);
            let is_lost = upstream.is_some_and(|upstream| self.is_silent(now, upstream));
            if member.name != self.local.name && !is_lost {
                let assumed = (member.clone(), now);
                self.domain
                    .assumed_live
                    .entry(member.name)
                    .or_insert(assumed);
            }
        }
        self.rebuild_reported_roster(now);
    }

    /// Counts a member as live until it has had time to report. A relay that has just
    /// started has heard from nobody; without this it would publish itself alone.
    pub(super) fn assume_live_at_start(&mut self, now: Moment, member: &MemberInfo) {
        let starting = now < self.proof.started_at() + self.cfg.member_timeout;
        if starting && member.name != self.local.name {
            let assumed = (member.clone(), now);
            self.domain
                .assumed_live
                .entry(member.name.clone())
                .or_insert(assumed);
            self.rebuild_reported_roster(now);
        }
    }

    pub(super) fn earlier_members(&self) -> BTreeMap<NodeName, MemberInfo> {
        let mut peers = self.domain_peers();
        peers.retain(|name, _| *name < self.local.name);
        peers
    }

    /// Whether an answer is overdue. One may get lost, so it isn't given up yet.
    pub(super) fn is_late(&self, now: Moment, upstream: &Upstream) -> bool {
        let late = self.cfg.heartbeat_period + self.cfg.heartbeat_period / 2;
        upstream.stopped || upstream.unanswered.is_some_and(|sent| now >= sent + late)
    }

    pub(super) fn is_silent(&self, now: Moment, upstream: &Upstream) -> bool {
        let silence = self.cfg.member_timeout;
        upstream.stopped
            || upstream
                .unanswered
                .is_some_and(|sent| now >= sent + silence)
    }

    /// Where a step or a line of the directory is handed on: to those who report here,
    /// or to the whole failure domain.
    pub(super) fn downstream(&self, whole_domain: bool) -> Vec<SocketAddr> {
        let reporters = self.domain.reports.iter();
        let mut addrs: Vec<_> = reporters.map(|reporter| reporter.sender.addr).collect();
        if whole_domain {
            let members = self.domain.roster().members().iter();
            addrs.extend(members.map(|member| member.peer_addr));
        }
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|addr| *addr != self.local.peer_addr);
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
            let own = &self.local.failure_domain;
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
        let is_sender = |member: &MemberInfo| {
            member.name == from.name && member.incarnation == from.incarnation
        };
        let domain = &mut self.domain;
        domain.reports.remove(from);
        domain
            .assumed_live
            .retain(|_, (member, _)| !is_sender(member));
        domain
            .discovered
            .retain(|_, (member, _)| !is_sender(member));
        if let Some(upstream) = domain.upstreams.get_mut(&from.name) {
            upstream.stopped = true;
        }
        self.rebuild_reported_roster(now);
        if self.domain.relay.as_ref() == Some(&from.name) {
            self.report(now, out);
        }
    }

    /// Says that this node leaves, at once and to everybody who reports it.
    pub(super) fn leave(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.local.leaving = true;
        self.rebuild_reported_roster(now);
        self.announce(now, out);
    }

    pub(super) fn stop(&mut self, out: &mut Vec<Action>) {
        let mut addrs = self.downstream(true);
        addrs.extend(self.leader.map(|leader| leader.addr));
        let bye = |to| Action::Send {
            to,
            message: Message::Bye,
        };
        out.extend(addrs.into_iter().map(bye));
    }
}
