//! The roster of one failure domain.
//!
//! An entry admits to its endpoints while its membership is leased by control, or while
//! a majority of the members, itself included, promise not to help remove it. So a
//! failure domain that is cut off from control goes on, and so does an entry that is
//! cut off from its peers only. An entry that has neither stops admitting when its last
//! lease lapses.
//!
//! Why no endpoint ever has two owners:
//!
//! - A silent member is removed only after control's lease to it has lapsed and so many
//!   of the others have confirmed, with their own promises lapsed, that those left are
//!   no majority together with it.
//! - A leaving member is removed by its own acknowledgement, before others gain.
//! - A new member is granted the roster that names it only after all others follow it.
//! - A new leader trusts the highest roster that it hears of only after a majority of
//!   its members has reported it: a removal that it hasn't heard of would have needed
//!   one of these.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::{Epoch, FailureDomain, Moment, NodeName, Region, ServiceName};

use crate::lease::{LEASE_DURATION, LEASE_MARGIN, Renew, Roster, StoredRoster, majority};

/// Silence after which an entry that isn't a member counts as gone.
const RECENT: std::time::Duration = LEASE_DURATION;

/// Renewals without an answer after which an entry's lease may have lapsed unnoticed: half
/// of those that fit into a lease.
const UNANSWERED: u64 = 3;

#[derive(Debug)]
struct Heard {
    at: Moment,
    epoch: Epoch,
    /// Term of the leader whose word it follows.
    term: Epoch,
    refusing: Option<NodeName>,
    promised: Vec<NodeName>,
    leaving: bool,
    /// Renewals sent since the last one whose answer it took in.
    unanswered: u64,
    /// Services whose endpoints it knows.
    services: BTreeSet<ServiceName>,
}

/// What an entry is told.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    pub(crate) roster: Option<Roster>,
    pub(crate) leased: bool,
    pub(crate) refuse: Option<NodeName>,
}

#[derive(Debug)]
pub(crate) struct DomainRoster {
    region: Region,
    term: Epoch,
    roster: Option<Roster>,
    /// Whether no higher roster can exist.
    trusted: bool,
    heard: BTreeMap<NodeName, Heard>,
    /// When control's lease to a member lapses, by this clock and with margin.
    lapses: BTreeMap<NodeName, Moment>,
    /// For members whose lease isn't known: granted by a leader before.
    first_lapse: Moment,
    /// Promises of a member that has left may hold until then.
    no_removal_before: Moment,
    /// A leaving member that hasn't acknowledged its removal yet.
    must_ack: Option<NodeName>,
    /// Members named by this keeper that no roster was granted to yet.
    joining: BTreeSet<NodeName>,
}

impl DomainRoster {
    pub(crate) fn new(region: Region, term: Epoch, first_lapse: Moment) -> Self {
        Self {
            region,
            term,
            roster: None,
            trusted: false,
            heard: BTreeMap::new(),
            lapses: BTreeMap::new(),
            first_lapse,
            no_removal_before: first_lapse,
            must_ack: None,
            joining: BTreeSet::new(),
        }
    }

    pub(crate) fn kept(&self, failure_domain: &FailureDomain) -> Option<StoredRoster> {
        Some(StoredRoster {
            failure_domain: failure_domain.clone(),
            region: self.region.clone(),
            roster: self.roster.clone()?,
            leaving: self.must_ack.clone(),
        })
    }

    pub(crate) fn region(&self) -> &Region {
        &self.region
    }

    /// Whether a member may be in force that this keeper hasn't heard of, so that
    /// nothing is known of the parts it holds.
    pub(crate) fn has_unheard(&self) -> bool {
        let mut members = self.roster.iter().flat_map(|r| &r.members);
        members.any(|name| !self.heard.contains_key(name) && !self.joining.contains(name))
    }

    /// Whether the slots that the members reported last are all slots of the failure
    /// domain. They are not while one is silent, or endpoints are on their way from one
    /// owner to the next, or a member holds none for want of a lease or of the list.
    pub(crate) fn slots_are_complete(&self, now: Moment) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        let mut staying = roster
            .members
            .iter()
            .filter(|name| !self.has_left(now, name));
        let holds = |name: &NodeName| self.heard.get(name).is_some_and(|h| self.holds(now, h));
        let passing = self.must_ack.is_some()
            || self.leaving_member().is_some()
            || self.newcomer(now).is_some();
        self.trusted && staying.all(holds) && self.has_one_list() && self.settled() && !passing
    }

    /// Whether a member said that it stops, and then fell silent: the last one keeps its
    /// endpoints to the end, and its place in the roster beyond that.
    fn has_left(&self, now: Moment, name: &NodeName) -> bool {
        let heard = self.heard.get(name);
        heard.is_some_and(|heard| heard.leaving && now >= heard.at + RECENT)
    }

    /// Whether a member held its endpoints when it was last heard, and was so just now.
    fn holds(&self, now: Moment, heard: &Heard) -> bool {
        let leased = heard.term == self.term && heard.unanswered < UNANSWERED;
        now < heard.at + RECENT && leased && !heard.services.is_empty()
    }

    /// Whether all members know of endpoints of the same services. While they don't,
    /// some haven't got the list yet by which they would own theirs.
    fn has_one_list(&self) -> bool {
        let members = self.roster.iter().flat_map(|r| &r.members);
        let heard = members.filter_map(|name| self.heard.get(name));
        let lists: BTreeSet<_> = heard.map(|heard| &heard.services).collect();
        lists.len() <= 1
    }

    /// Takes over the roster of the leader before; no higher one was ever granted.
    pub(crate) fn restore(&mut self, kept: StoredRoster) {
        self.learn(kept.roster);
        self.must_ack = kept.leaving;
        self.trusted = true;
    }

    fn learn(&mut self, roster: Roster) {
        let known = self.roster.as_ref().map_or(Epoch(0), |r| r.epoch);
        if roster.epoch > known {
            self.roster = Some(roster);
            self.trusted = false;
        }
    }

    pub(crate) fn forget(&mut self, name: &NodeName) {
        self.heard.remove(name);
        self.lapses.remove(name);
        if self.must_ack.as_ref() == Some(name) {
            self.must_ack = None;
        }
        if let Some(roster) = self.roster.as_mut()
            && roster.has(name)
        {
            roster.members.retain(|member| member != name);
            roster.epoch = roster.epoch.next();
        }
    }

    pub(crate) fn renew(
        &mut self,
        now: Moment,
        quiet: bool,
        from: &NodeName,
        renew: &Renew,
    ) -> Membership {
        self.hear(now, from, renew);
        self.adopt(renew);
        self.check_trust();
        if !quiet {
            self.change(now);
        }
        self.answer(now, from, renew)
    }

    fn hear(&mut self, now: Moment, from: &NodeName, renew: &Renew) {
        let heard = Heard {
            at: now,
            epoch: renew.roster.as_ref().map_or(Epoch(0), |r| r.epoch),
            term: renew.term,
            refusing: renew.refusing.clone(),
            promised: renew.promised.clone(),
            leaving: renew.leaving,
            unanswered: renew.serial.saturating_sub(renew.accepted),
            services: renew.demand.iter().map(|d| d.service.clone()).collect(),
        };
        self.heard.insert(from.clone(), heard);
        // A restarted entry, which follows no roster, admits to nothing either.
        let current = self.roster.as_ref().map(|r| r.epoch);
        let follows = renew
            .roster
            .as_ref()
            .is_none_or(|r| Some(r.epoch) == current);
        if follows && self.must_ack.as_ref() == Some(from) {
            self.must_ack = None;
            // What it promised to others as a member may hold for so long.
            self.no_removal_before = now + LEASE_DURATION + LEASE_MARGIN;
        }
    }

    fn adopt(&mut self, renew: &Renew) {
        let Some(theirs) = &renew.roster else { return };
        self.learn(theirs.clone());
    }

    fn check_trust(&mut self) {
        let Some(roster) = &self.roster else { return };
        let reported = roster
            .members
            .iter()
            .filter(|name| self.follows(name, roster.epoch))
            .count();
        self.trusted |= reported >= majority(roster.members.len());
    }

    fn follows(&self, name: &NodeName, epoch: Epoch) -> bool {
        self.heard.get(name).is_some_and(|h| h.epoch == epoch)
    }

    /// Changes the roster by at most one member.
    fn change(&mut self, now: Moment) {
        if self.roster.is_none() {
            self.create(now);
            return;
        }
        if !self.trusted {
            return;
        }
        if let Some(name) = self.silent_member(now) {
            if self.removable(&name) {
                self.replace(|members| members.retain(|member| *member != name));
                self.must_ack.take_if(|waiting| *waiting == name);
            }
        } else if self.must_ack.is_none() && self.settled() {
            self.change_settled(now);
        }
    }

    fn change_settled(&mut self, now: Moment) {
        if let Some(name) = self.leaving_member() {
            self.replace(|members| members.retain(|member| *member != name));
            self.must_ack = Some(name);
        } else if let Some(name) = self.newcomer(now) {
            self.joining.insert(name.clone());
            self.replace(|members| members.push(name));
        }
    }

    fn create(&mut self, now: Moment) {
        let members: Vec<_> = self
            .heard
            .iter()
            .filter(|(_, heard)| !heard.leaving && now < heard.at + RECENT)
            .map(|(name, _)| name.clone())
            .collect();
        if !members.is_empty() {
            let epoch = Epoch(1);
            self.roster = Some(Roster { epoch, members });
            self.trusted = true;
        }
    }

    fn replace(&mut self, change: impl FnOnce(&mut Vec<NodeName>)) {
        if let Some(roster) = &mut self.roster {
            change(&mut roster.members);
            roster.epoch = roster.epoch.next();
        }
    }

    /// Whether all members follow the roster.
    fn settled(&self) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        roster
            .members
            .iter()
            .all(|name| self.follows(name, roster.epoch))
    }

    /// A member without a lease that hasn't been heard of for as long as one holds, or a
    /// leaving one whose acknowledgement doesn't come.
    fn silent_member(&self, now: Moment) -> Option<NodeName> {
        if now < self.no_removal_before {
            return None;
        }
        let members = self.roster.iter().flat_map(|r| &r.members);
        let mut candidates = members.chain(&self.must_ack);
        let silent = |name: &&NodeName| {
            let lapsed = now >= self.lapses.get(*name).copied().unwrap_or(self.first_lapse);
            let heard = self.heard.get(*name).map(|heard| heard.at);
            lapsed && heard.is_none_or(|at| now >= at + LEASE_DURATION + LEASE_MARGIN)
        };
        candidates.find(silent).cloned()
    }

    /// A member that is on its way to be silent: the others are told early, so that
    /// their confirmation is there when the lease lapses.
    fn suspect(&self, now: Moment) -> Option<NodeName> {
        let members = self.roster.iter().flat_map(|r| &r.members);
        let mut candidates = members.chain(&self.must_ack);
        let quiet = |name: &&NodeName| {
            let heard = self.heard.get(*name).map(|heard| heard.at);
            heard.is_none_or(|at| now >= at + LEASE_DURATION / 2)
        };
        candidates.find(quiet).cloned()
    }

    /// Whether those who haven't confirmed are too few to keep the member in force.
    fn removable(&self, name: &NodeName) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        let others: Vec<_> = roster
            .members
            .iter()
            .chain(&self.must_ack)
            .filter(|other| *other != name)
            .collect();
        let unconfirmed = others
            .iter()
            .filter(|other| !self.confirmed(other, name))
            .count();
        // The member may still follow the roster from before the newest ones were named,
        // and so need fewer promises. Only those who follow the roster surely had one.
        let follows = |other: &&NodeName| self.follows(other, roster.epoch);
        let old = others.iter().copied().filter(follows).count();
        unconfirmed + 1 < majority(old + 1)
    }

    fn confirmed(&self, by: &NodeName, name: &NodeName) -> bool {
        // A word given to an earlier leader may have been taken back since.
        self.heard.get(by).is_some_and(|heard| {
            heard.term == self.term
                && heard.refusing.as_ref() == Some(name)
                && !heard.promised.contains(name)
        })
    }

    fn leaving_member(&self) -> Option<NodeName> {
        let roster = self.roster.as_ref()?;
        let leaving = |name: &&NodeName| self.heard.get(*name).is_some_and(|h| h.leaving);
        // The last member keeps its endpoints to the end: nobody could take them.
        let others = roster.members.len() > 1;
        roster
            .members
            .iter()
            .find(|name| others && leaving(name))
            .cloned()
    }

    fn newcomer(&self, now: Moment) -> Option<NodeName> {
        let roster = self.roster.as_ref()?;
        let fresh = |heard: &Heard| !heard.leaving && now < heard.at + RECENT;
        self.heard
            .iter()
            .find(|(name, heard)| !roster.has(name) && fresh(heard))
            .map(|(name, _)| name.clone())
    }

    fn answer(&mut self, now: Moment, from: &NodeName, renew: &Renew) -> Membership {
        let Some(roster) = self.roster.clone() else {
            return Membership::default();
        };
        let refuse = self.suspect(now).filter(|name| name != from);
        let Some(told) = self.told(&roster, from, renew.roster.as_ref()) else {
            return Membership {
                refuse,
                ..Membership::default()
            };
        };
        self.joining.remove(from);
        let leased = self.trusted && told.has(from);
        if leased {
            self.lapses
                .insert(from.clone(), now + LEASE_DURATION + LEASE_MARGIN);
        }
        Membership {
            roster: Some(told),
            leased,
            refuse,
        }
    }

    /// The roster that the entry is to follow next, if any.
    fn told(&self, top: &Roster, from: &NodeName, theirs: Option<&Roster>) -> Option<Roster> {
        let others_wait = self.must_ack.as_ref().is_some_and(|name| name != from);
        let stays = |theirs: &&Roster| {
            theirs.epoch.next() == top.epoch && theirs.has(from) && !self.joining.contains(from)
        };
        if theirs.is_some_and(|theirs| theirs.epoch == top.epoch) {
            return Some(top.clone());
        }
        // One that was a member just before keeps what it has until the leaving member
        // has acknowledged, then it may gain.
        if let Some(theirs) = theirs.filter(stays) {
            let waiting = if others_wait { theirs } else { top };
            return Some(waiting.clone());
        }
        // Any other one gains everything that it is named for: a new one, a restarted
        // one, and one that was removed and named again while it was cut off. It waits
        // for all the others, who lose that.
        let may_gain = !others_wait && self.others_follow(top, from);
        may_gain.then(|| top.clone())
    }

    /// Whether all other members follow the roster; those not yet granted any have
    /// nothing that could overlap.
    fn others_follow(&self, roster: &Roster, name: &NodeName) -> bool {
        let mut others = roster.members.iter().filter(|other| *other != name);
        others.all(|other| {
            self.heard
                .get(other)
                .is_some_and(|heard| heard.epoch == roster.epoch || heard.epoch == Epoch(0))
        })
    }
}
