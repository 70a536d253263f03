//! The failure domain: its live members, and the relay that this node reports to.
//!
//! Members are ordered by name. Each reports to the first one that answers, its relay, and
//! to control if there is no earlier one. This needs no agreement: a member that can't
//! reach the first one reports to the next, which includes it in its own report, and so on.
//! Reports only go to an earlier name, so they form a tree, and a dead member can't be kept
//! alive by two nodes that report it to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{Incarnation, Moment, NodeName};
use rand::seq::IteratorRandom;

use crate::reports::Reports;
use crate::roster::Roster;
use crate::{DigestKind, MemberInfo, Message, Sender};

use super::{Action, Node, send};

/// Minimum time between two announcements of a changed roster, so that the start of a whole
/// failure domain doesn't cause a message for each pair of members.
const ROSTER_PAUSE: Duration = Duration::from_millis(100);
/// How long a discovered member is kept while no list contains it, in multiples of the
/// member timeout.
const DISCOVERED_TTL_FACTOR: u32 = 10;

/// State of an earlier member that this node reports to or has reported to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Upstream {
    /// When the oldest unanswered report was sent.
    pub(super) unanswered: Option<Moment>,
    /// Whether it has ever answered.
    pub(super) answered: bool,
    /// The incarnation that has announced its stop.
    pub(super) stopped: Option<Incarnation>,
}

/// The failure domain as seen by this node.
#[derive(Debug)]
pub(super) struct Domain {
    pub(super) reports: Reports,
    /// Members that this node reports for, itself included.
    pub(super) reported_roster: Roster,
    /// Members as sent by the relay; `None` until it has sent them.
    pub(super) relay_roster: Option<Roster>,
    /// Members assumed live after a start or a change of relay, until they have had time to
    /// report here, with the moment from which that time counts.
    assumed_live: BTreeMap<NodeName, (MemberInfo, Moment)>,
    /// Members that sent a query or were listed in an answer, and when.
    discovered: BTreeMap<NodeName, (MemberInfo, Moment)>,
    pub(super) upstreams: BTreeMap<NodeName, Upstream>,
    pub(super) relay: Option<NodeName>,
    /// When a changed roster may be announced; `None` if it hasn't changed.
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

    /// The relay that this node reports to; `None` if it reports to control.
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

    /// Counts a member as live for as long as a silent one counts as live, from now on or from
    /// when that began.
    fn assume_live(&mut self, now: Moment, member: &MemberInfo) {
        self.assumed_live
            .entry(member.name.clone())
            .or_insert_with(|| (member.clone(), now));
    }

    fn schedule_announcement(&mut self, now: Moment) {
        let due = now.max(self.announced + ROSTER_PAUSE);
        self.announce_due.get_or_insert(due);
    }
}

impl Node {
    /// All other known members of the failure domain, live or not.
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

    /// Records a member of the failure domain found in a query or answer.
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

    /// Recomputes the members that this node reports for.
    pub(super) fn rebuild_reported_roster(&mut self, now: Moment) {
        let reported = self.domain.reports.members().into_values();
        let mut members = vec![self.local.clone()];
        members.extend(reported.map(|reported| reported.info.clone()));
        // After the members that report here: of two with the same name the first is kept.
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

    /// Chooses the relay, whose list of live members counts: the first member that answers.
    /// It may miss one answer, since late members are bypassed by reporting to the next one.
    pub(super) fn choose_relay(&mut self, now: Moment, out: &mut Vec<Action>) {
        let earlier = self.earlier_members();
        // A member that has restarted since its stop gets reports again at once.
        let is_current = |name: &NodeName, upstream: &mut Upstream| {
            earlier.get(name).is_some_and(|member| {
                let mut stopped = upstream.stopped.iter();
                stopped.all(|stopped| *stopped == member.incarnation)
            })
        };
        self.domain.upstreams.retain(is_current);
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

    /// Assumes the known members to be live after a change of relay, for as long as a silent
    /// member would count as live; the lost relay is excluded. A new relay has received
    /// reports from only some of them, and publishing just those would move all ownership
    /// away from the other members for a second.
    fn assume_live_from(&mut self, now: Moment, before: &Roster) {
        let record = self.directory.record(&self.local.failure_domain);
        let listed = record.into_iter().flat_map(|record| &record.members);
        let candidates: Vec<_> = before.members().iter().chain(listed).cloned().collect();
        for member in candidates {
            let upstream = self.domain.upstreams.get(&member.name);
            let is_lost = upstream.is_some_and(|upstream| self.is_silent(now, upstream));
            if member.name != self.local.name && !is_lost {
                self.domain.assume_live(now, &member);
            }
        }
        self.rebuild_reported_roster(now);
    }

    /// Assumes a member to be live until it has had time to report. A relay that has just
    /// started has received no reports and would otherwise publish only itself.
    pub(super) fn assume_live_at_start(&mut self, now: Moment, member: &MemberInfo) {
        let starting = now < self.proof.started_at() + self.cfg.member_timeout;
        if starting && member.name != self.local.name {
            self.domain.assume_live(now, member);
            self.rebuild_reported_roster(now);
        }
    }

    pub(super) fn earlier_members(&self) -> BTreeMap<NodeName, MemberInfo> {
        let mut peers = self.domain_peers();
        peers.retain(|name, _| *name < self.local.name);
        peers
    }

    /// Whether an answer is overdue. One answer may be lost, so the member isn't silent yet.
    pub(super) fn is_late(&self, now: Moment, upstream: &Upstream) -> bool {
        let late = self.cfg.heartbeat_period + self.cfg.heartbeat_period / 2;
        upstream.stopped.is_some() || upstream.unanswered.is_some_and(|sent| now >= sent + late)
    }

    pub(super) fn is_silent(&self, now: Moment, upstream: &Upstream) -> bool {
        let silence = self.cfg.member_timeout;
        upstream.stopped.is_some()
            || upstream
                .unanswered
                .is_some_and(|sent| now >= sent + silence)
    }

    /// Where to forward a delta or a directory record: to the members that report here, or to
    /// the whole failure domain.
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

    /// Sends a digest to a random member of the failure domain, and more rarely to one of
    /// another, so that nodes that are cut off from the leader together still converge on the
    /// newest version that any of them holds.
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

    /// Removes a process that announces its planned stop, without waiting for a timeout.
    pub(super) fn on_bye(&mut self, now: Moment, from: &Sender, out: &mut Vec<Action>) {
        let is_sender = |member: &MemberInfo| {
            member.name == from.name && member.incarnation == from.incarnation
        };
        let domain = &mut self.domain;
        let reported = domain.reports.remove(from);
        // Members that reported through the sender first have to find another relay.
        let reported = reported.iter().flat_map(|last| last.roster.members());
        for member in reported.filter(|member| member.name != self.local.name) {
            domain.assume_live(now, member);
        }
        domain
            .assumed_live
            .retain(|_, (member, _)| !is_sender(member));
        domain
            .discovered
            .retain(|_, (member, _)| !is_sender(member));
        if let Some(upstream) = domain.upstreams.get_mut(&from.name) {
            upstream.stopped = Some(from.incarnation);
        }
        self.rebuild_reported_roster(now);
        if self.domain.relay.as_ref() == Some(&from.name) {
            self.report(now, out);
        }
    }

    /// Announces at once that this node is leaving.
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
