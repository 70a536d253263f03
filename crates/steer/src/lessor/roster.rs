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
const RENEWAL_TIMEOUT: std::time::Duration = LEASE_DURATION;

/// Renewals without an answer after which an entry's lease may have lapsed unnoticed: half
/// of those that fit into a lease.
const MAX_UNANSWERED: u64 = 3;

#[derive(Debug)]
struct LastRenewal {
    received_at: Moment,
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
    last_renewals: BTreeMap<NodeName, LastRenewal>,
    /// When control's lease to a member lapses, by this clock and with margin.
    lease_ends: BTreeMap<NodeName, Moment>,
    /// For members whose lease isn't known: granted by a leader before.
    inherited_lease_end: Moment,
    /// Promises of a member that has left may hold until then.
    no_removal_before: Moment,
    /// A leaving member that hasn't acknowledged its removal yet.
    awaiting_ack: Option<NodeName>,
    /// Members named by this keeper that no roster was granted to yet.
    joining: BTreeSet<NodeName>,
}

impl DomainRoster {
    pub(crate) fn new(region: Region, term: Epoch, inherited_lease_end: Moment) -> Self {
        Self {
            region,
            term,
            roster: None,
            trusted: false,
            last_renewals: BTreeMap::new(),
            lease_ends: BTreeMap::new(),
            inherited_lease_end,
            no_removal_before: inherited_lease_end,
            awaiting_ack: None,
            joining: BTreeSet::new(),
        }
    }

    pub(crate) fn to_stored(&self, failure_domain: &FailureDomain) -> Option<StoredRoster> {
        Some(StoredRoster {
            failure_domain: failure_domain.clone(),
            region: self.region.clone(),
            roster: self.roster.clone()?,
            leaving: self.awaiting_ack.clone(),
        })
    }

    pub(crate) fn region(&self) -> &Region {
        &self.region
    }

    /// Whether a member may be in force that this keeper hasn't heard of, so that
    /// nothing is known of the parts it holds.
    pub(crate) fn has_unreported_member(&self) -> bool {
        let mut members = self.roster.iter().flat_map(|r| &r.members);
        members.any(|name| !self.last_renewals.contains_key(name) && !self.joining.contains(name))
    }

    /// Whether the slots that the members reported last are all slots of the failure
    /// domain. They are not while one is silent, or endpoints are on their way from one
    /// owner to the next, or a member holds none for want of a lease or of the list.
    pub(crate) fn slots_are_complete(&self, now: Moment) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        let mut remaining = roster
            .members
            .iter()
            .filter(|name| !self.has_stopped(now, name));
        let holds_endpoints = |name: &NodeName| {
            self.last_renewals
                .get(name)
                .is_some_and(|renewal| self.holds_endpoints(now, renewal))
        };
        let in_transition = self.awaiting_ack.is_some()
            || self.leaving_member().is_some()
            || self.joining_entry(now).is_some();
        self.trusted
            && remaining.all(holds_endpoints)
            && self.lists_agree()
            && self.is_settled()
            && !in_transition
    }

    /// Whether a member said that it stops, and then fell silent: the last one keeps its
    /// endpoints to the end, and its place in the roster beyond that.
    fn has_stopped(&self, now: Moment, name: &NodeName) -> bool {
        let renewal = self.last_renewals.get(name);
        renewal
            .is_some_and(|renewal| renewal.leaving && now >= renewal.received_at + RENEWAL_TIMEOUT)
    }

    /// Whether a member held its endpoints when it was last heard, and was so just now.
    fn holds_endpoints(&self, now: Moment, renewal: &LastRenewal) -> bool {
        let leased = renewal.term == self.term && renewal.unanswered < MAX_UNANSWERED;
        now < renewal.received_at + RENEWAL_TIMEOUT && leased && !renewal.services.is_empty()
    }

    /// Whether all members know of endpoints of the same services. While they don't,
    /// some haven't got the list yet by which they would own theirs.
    fn lists_agree(&self) -> bool {
        let members = self.roster.iter().flat_map(|r| &r.members);
        let renewals = members.filter_map(|name| self.last_renewals.get(name));
        let service_sets: BTreeSet<_> = renewals.map(|renewal| &renewal.services).collect();
        service_sets.len() <= 1
    }

    /// Takes over the roster of the leader before; no higher one was ever granted.
    pub(crate) fn restore(&mut self, stored: StoredRoster) {
        self.adopt_if_newer(stored.roster);
        self.awaiting_ack = stored.leaving;
        self.trusted = true;
    }

    fn adopt_if_newer(&mut self, roster: Roster) {
        let known_epoch = self.roster.as_ref().map_or(Epoch(0), |r| r.epoch);
        if roster.epoch > known_epoch {
            self.roster = Some(roster);
            self.trusted = false;
        }
    }

    pub(crate) fn forget(&mut self, name: &NodeName) {
        self.last_renewals.remove(name);
        self.lease_ends.remove(name);
        if self.awaiting_ack.as_ref() == Some(name) {
            self.awaiting_ack = None;
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
        frozen: bool,
        from: &NodeName,
        renew: &Renew,
    ) -> Membership {
        self.record_renewal(now, from, renew);
        self.adopt_reported(renew);
        self.check_trust();
        if !frozen {
            self.update_roster(now);
        }
        self.membership_for(now, from, renew)
    }

    fn record_renewal(&mut self, now: Moment, from: &NodeName, renew: &Renew) {
        let renewal = LastRenewal {
            received_at: now,
            epoch: renew.roster.as_ref().map_or(Epoch(0), |r| r.epoch),
            term: renew.term,
            refusing: renew.refusing.clone(),
            promised: renew.promised.clone(),
            leaving: renew.leaving,
            unanswered: renew.serial.saturating_sub(renew.accepted),
            services: renew.demand.iter().map(|d| d.service.clone()).collect(),
        };
        self.last_renewals.insert(from.clone(), renewal);
        // A restarted entry, which follows no roster, admits to nothing either.
        let current = self.roster.as_ref().map(|r| r.epoch);
        let follows = renew
            .roster
            .as_ref()
            .is_none_or(|r| Some(r.epoch) == current);
        if follows && self.awaiting_ack.as_ref() == Some(from) {
            self.awaiting_ack = None;
            // What it promised to others as a member may hold for so long.
            self.no_removal_before = now + LEASE_DURATION + LEASE_MARGIN;
        }
    }

    fn adopt_reported(&mut self, renew: &Renew) {
        let Some(reported) = &renew.roster else {
            return;
        };
        self.adopt_if_newer(reported.clone());
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
        self.last_renewals
            .get(name)
            .is_some_and(|renewal| renewal.epoch == epoch)
    }

    /// Changes the roster by at most one member.
    fn update_roster(&mut self, now: Moment) {
        if self.roster.is_none() {
            self.create_roster(now);
            return;
        }
        if !self.trusted {
            return;
        }
        if let Some(name) = self.silent_member(now) {
            if self.can_remove(&name) {
                self.replace_members(|members| members.retain(|member| *member != name));
                self.awaiting_ack.take_if(|waiting| *waiting == name);
            }
        } else if self.awaiting_ack.is_none() && self.is_settled() {
            self.update_settled(now);
        }
    }

    fn update_settled(&mut self, now: Moment) {
        if let Some(name) = self.leaving_member() {
            self.replace_members(|members| members.retain(|member| *member != name));
            self.awaiting_ack = Some(name);
        } else if let Some(name) = self.joining_entry(now) {
            self.joining.insert(name.clone());
            self.replace_members(|members| members.push(name));
        }
    }

    fn create_roster(&mut self, now: Moment) {
        let members: Vec<_> = self
            .last_renewals
            .iter()
            .filter(|(_, renewal)| !renewal.leaving && now < renewal.received_at + RENEWAL_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();
        if !members.is_empty() {
            let epoch = Epoch(1);
            self.roster = Some(Roster { epoch, members });
            self.trusted = true;
        }
    }

    fn replace_members(&mut self, edit: impl FnOnce(&mut Vec<NodeName>)) {
        if let Some(roster) = &mut self.roster {
            edit(&mut roster.members);
            roster.epoch = roster.epoch.next();
        }
    }

    /// Whether all members follow the roster.
    fn is_settled(&self) -> bool {
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
        let mut candidates = members.chain(&self.awaiting_ack);
        let is_silent = |name: &&NodeName| {
            let lapsed = now
                >= self
                    .lease_ends
                    .get(*name)
                    .copied()
                    .unwrap_or(self.inherited_lease_end);
            let last_seen = self
                .last_renewals
                .get(*name)
                .map(|renewal| renewal.received_at);
            lapsed
                && last_seen
                    .is_none_or(|received_at| now >= received_at + LEASE_DURATION + LEASE_MARGIN)
        };
        candidates.find(is_silent).cloned()
    }

    /// A member that is on its way to be silent: the others are told early, so that
    /// their confirmation is there when the lease lapses.
    fn suspect(&self, now: Moment) -> Option<NodeName> {
        let members = self.roster.iter().flat_map(|r| &r.members);
        let mut candidates = members.chain(&self.awaiting_ack);
        let is_overdue = |name: &&NodeName| {
            let last_seen = self
                .last_renewals
                .get(*name)
                .map(|renewal| renewal.received_at);
            last_seen.is_none_or(|received_at| now >= received_at + LEASE_DURATION / 2)
        };
        candidates.find(is_overdue).cloned()
    }

    /// Whether those who haven't confirmed are too few to keep the member in force.
    fn can_remove(&self, name: &NodeName) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        let others: Vec<_> = roster
            .members
            .iter()
            .chain(&self.awaiting_ack)
            .filter(|other| *other != name)
            .collect();
        let unconfirmed = others
            .iter()
            .filter(|other| !self.confirmed(other, name))
            .count();
        // The member may still follow the roster from before the newest ones were named,
        // and so need fewer promises. Only those who follow the roster surely had one.
        let follows = |other: &&NodeName| self.follows(other, roster.epoch);
        let followers = others.iter().copied().filter(follows).count();
        unconfirmed + 1 < majority(followers + 1)
    }

    fn confirmed(&self, by: &NodeName, name: &NodeName) -> bool {
        // A word given to an earlier leader may have been taken back since.
        self.last_renewals.get(by).is_some_and(|renewal| {
            renewal.term == self.term
                && renewal.refusing.as_ref() == Some(name)
                && !renewal.promised.contains(name)
        })
    }

    fn leaving_member(&self) -> Option<NodeName> {
        let roster = self.roster.as_ref()?;
        let leaving = |name: &&NodeName| {
            self.last_renewals
                .get(*name)
                .is_some_and(|renewal| renewal.leaving)
        };
        // The last member keeps its endpoints to the end: nobody could take them.
        let others = roster.members.len() > 1;
        roster
            .members
            .iter()
            .find(|name| others && leaving(name))
            .cloned()
    }

    fn joining_entry(&self, now: Moment) -> Option<NodeName> {
        let roster = self.roster.as_ref()?;
        let is_recent =
            |renewal: &LastRenewal| !renewal.leaving && now < renewal.received_at + RENEWAL_TIMEOUT;
        self.last_renewals
            .iter()
            .find(|(name, renewal)| !roster.has(name) && is_recent(renewal))
            .map(|(name, _)| name.clone())
    }

    fn membership_for(&mut self, now: Moment, from: &NodeName, renew: &Renew) -> Membership {
        let Some(roster) = self.roster.clone() else {
            return Membership::default();
        };
        let refuse = self.suspect(now).filter(|name| name != from);
        let Some(next_roster) = self.next_roster(&roster, from, renew.roster.as_ref()) else {
            return Membership {
                refuse,
                ..Membership::default()
            };
        };
        self.joining.remove(from);
        let leased = self.trusted && next_roster.has(from);
        if leased {
            self.lease_ends
                .insert(from.clone(), now + LEASE_DURATION + LEASE_MARGIN);
        }
        Membership {
            roster: Some(next_roster),
            leased,
            refuse,
        }
    }

    /// The roster that the entry is to follow next, if any.
    fn next_roster(
        &self,
        newest: &Roster,
        from: &NodeName,
        followed: Option<&Roster>,
    ) -> Option<Roster> {
        let awaiting_others = self.awaiting_ack.as_ref().is_some_and(|name| name != from);
        let was_member = |followed: &&Roster| {
            followed.epoch.next() == newest.epoch
                && followed.has(from)
                && !self.joining.contains(from)
        };
        if followed.is_some_and(|followed| followed.epoch == newest.epoch) {
            return Some(newest.clone());
        }
        // One that was a member just before keeps what it has until the leaving member
        // has acknowledged, then it may gain.
        if let Some(followed) = followed.filter(was_member) {
            let next = if awaiting_others { followed } else { newest };
            return Some(next.clone());
        }
        // Any other one gains everything that it is named for: a new one, a restarted
        // one, and one that was removed and named again while it was cut off. It waits
        // for all the others, who lose that.
        let may_gain = !awaiting_others && self.others_follow(newest, from);
        may_gain.then(|| newest.clone())
    }

    /// Whether all other members follow the roster; those not yet granted any have
    /// nothing that could overlap.
    fn others_follow(&self, roster: &Roster, name: &NodeName) -> bool {
        let mut others = roster.members.iter().filter(|other| *other != name);
        others.all(|other| {
            self.last_renewals
                .get(other)
                .is_some_and(|renewal| renewal.epoch == roster.epoch || renewal.epoch == Epoch(0))
        })
    }
}
