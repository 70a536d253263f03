//! The roster of one failure domain.
//!
//! An entry admits to its endpoints while its membership is leased by control, or while
//! a majority of the members, itself included, promise not to confirm its removal. So a
//! failure domain that is partitioned from control keeps serving, and so does an entry that
//! is partitioned from its peers only. An entry with neither stops admitting when its last
//! lease or promise expires.
//!
//! Why no endpoint ever has two owners:
//!
//! - A silent member is removed only after control's lease to it has lapsed, and after so
//!   many other members have confirmed the removal, with their own promises to it expired,
//!   that it has no majority together with the rest.
//! - A leaving member must acknowledge its removal before others gain its endpoints.
//! - A new member is granted the roster that includes it only after all others follow it.
//! - A new leader trusts the highest roster among the renewals only after a majority of its
//!   members has reported it: a later removal would have needed at least one of these.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_types::{Epoch, FailureDomain, Moment, NodeName, Region, ServiceName};

use crate::contact::CUT_OFF_SILENCE;
use crate::lease::{LEASE_DURATION, LEASE_MARGIN, Renew, Roster, StoredRoster, majority};

/// Time since its last renewal after which an entry counts as silent: it isn't added, and
/// its slot counts are outdated.
const RENEWAL_TIMEOUT: std::time::Duration = LEASE_DURATION;

/// Number of unanswered renewals from which on an entry's lease may have lapsed without
/// control's notice: half of the renewals during a lease.
const MAX_UNANSWERED: u64 = 3;

/// An entry's last renewal with this lessor.
#[derive(Debug)]
struct LastRenewal {
    received_at: Moment,
    /// Epoch of the roster that it follows; 0 for none.
    epoch: Epoch,
    /// Term of its newest grant.
    term: Epoch,
    refusing: Option<NodeName>,
    promised: Vec<NodeName>,
    leaving: bool,
    /// When an endpoint last answered it; `None` if it knows of none.
    heard_at: Option<Moment>,
    /// Renewals that it sent since the last one whose answer it accepted.
    unanswered: u64,
    /// Services for which it has a list of endpoints.
    services: BTreeSet<ServiceName>,
}

/// The part of a grant that concerns the roster.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    pub(crate) roster: Option<Roster>,
    pub(crate) leased: bool,
    pub(crate) refuse: Option<NodeName>,
}

/// The roster of one failure domain, and its members' state by their renewals.
#[derive(Debug)]
pub(crate) struct DomainRoster {
    region: Region,
    term: Epoch,
    roster: Option<Roster>,
    /// Whether no roster with a higher epoch can exist.
    trusted: bool,
    last_renewals: BTreeMap<NodeName, LastRenewal>,
    /// When control's lease to each member lapses, by this clock and with the margin.
    lease_ends: BTreeMap<NodeName, Moment>,
    /// When leases that a previous leader granted have lapsed at the latest.
    inherited_lease_end: Moment,
    /// Promises of a member that has left may be valid until then.
    no_removal_before: Moment,
    /// A removed member, formerly leaving, that hasn't acknowledged its removal yet.
    awaiting_ack: Option<NodeName>,
    /// Members that this lessor has added and that haven't been granted a roster yet.
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

    /// Whether a member may be in force that hasn't renewed with this lessor, so that its
    /// parts are unknown.
    pub(crate) fn has_unreported_member(&self) -> bool {
        let mut members = self.roster.iter().flat_map(|r| &r.members);
        members.any(|name| !self.last_renewals.contains_key(name) && !self.joining.contains(name))
    }

    /// Whether the slots in the members' last renewals are all slots of the failure domain.
    /// They are not while a member is silent, while endpoints move from one owner to another,
    /// or while a member owns none because it lacks a lease or the list of endpoints.
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
            || self.cut_off_member(now).is_some()
            || self.joining_entry(now).is_some();
        self.trusted
            && remaining.all(holds_endpoints)
            && self.lists_agree()
            && self.is_settled()
            && !in_transition
    }

    /// Whether a member has announced its planned stop and then fallen silent. The last member
    /// keeps its endpoints until it stops and stays in the roster afterwards.
    fn has_stopped(&self, now: Moment, name: &NodeName) -> bool {
        let renewal = self.last_renewals.get(name);
        renewal
            .is_some_and(|renewal| renewal.leaving && now >= renewal.received_at + RENEWAL_TIMEOUT)
    }

    /// Whether a member's last renewal is recent and shows that it holds a lease and has a list
    /// of endpoints.
    fn holds_endpoints(&self, now: Moment, renewal: &LastRenewal) -> bool {
        let leased = renewal.term == self.term && renewal.unanswered < MAX_UNANSWERED;
        now < renewal.received_at + RENEWAL_TIMEOUT && leased && !renewal.services.is_empty()
    }

    /// Whether all members have endpoints of the same services. Otherwise some haven't received
    /// the current list of endpoints, and don't own theirs yet.
    fn lists_agree(&self) -> bool {
        let members = self.roster.iter().flat_map(|r| &r.members);
        let renewals = members.filter_map(|name| self.last_renewals.get(name));
        let service_sets: BTreeSet<_> = renewals.map(|renewal| &renewal.services).collect();
        service_sets.len() <= 1
    }

    /// Restores the roster of the previous leader, which never granted a higher one.
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

    /// Whether an entry has renewed so lately that a lease of it may be valid.
    pub(crate) fn has_recent_renewal(&self, now: Moment, name: &NodeName) -> bool {
        let renewal = self.last_renewals.get(name);
        renewal.is_some_and(|renewal| now < renewal.received_at + LEASE_DURATION + LEASE_MARGIN)
    }

    pub(crate) fn forget(&mut self, name: &NodeName) {
        self.last_renewals.remove(name);
        self.lease_ends.remove(name);
        if self.awaiting_ack.as_ref() == Some(name) {
            self.awaiting_ack = None;
        }
        if let Some(roster) = &mut self.roster {
            roster.forget(name);
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
            heard_at: renew.silence.map(|silence| now.saturating_sub(silence)),
            unanswered: renew.serial.saturating_sub(renew.accepted),
            services: renew.demand.iter().map(|d| d.service.clone()).collect(),
        };
        self.last_renewals.insert(from.clone(), renewal);
        // An entry that follows no roster, as after a restart, or one without it admits to no
        // endpoint.
        let current = self.roster.as_ref().map(|r| r.epoch);
        let follows = renew
            .roster
            .as_ref()
            .is_none_or(|r| Some(r.epoch) == current || !r.has(from));
        if follows && self.awaiting_ack.as_ref() == Some(from) {
            self.awaiting_ack = None;
            // The promises that it gave as a member may be valid until then.
            self.no_removal_before = now + LEASE_DURATION + LEASE_MARGIN;
        }
    }

    fn adopt_reported(&mut self, renew: &Renew) {
        let Some(reported) = &renew.roster else {
            return;
        };
        self.adopt_if_newer(reported.clone());
    }

    /// Trusts the roster once a majority of its members follows it.
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
                self.remove_silent(&name);
            }
        } else if self.awaiting_ack.is_none() && self.is_settled() {
            self.update_settled(now);
        }
    }

    fn remove_silent(&mut self, name: &NodeName) {
        self.awaiting_ack.take_if(|waiting| waiting == name);
        if self.roster.as_ref().is_some_and(|roster| roster.has(name)) {
            self.replace_members(|members| members.retain(|member| member != name));
        }
    }

    /// Removes a leaving member or one that is cut off from the endpoints, or else adds a joining
    /// entry. All members must follow the roster.
    fn update_settled(&mut self, now: Moment) {
        let leaver = self.leaving_member();
        if let Some(name) = leaver.or_else(|| self.cut_off_member(now)) {
            self.replace_members(|members| members.retain(|member| *member != name));
            self.awaiting_ack = Some(name);
        } else if let Some(name) = self.joining_entry(now) {
            self.joining.insert(name.clone());
            self.replace_members(|members| members.push(name));
        }
    }

    /// Creates the first roster, with the entries that have renewed recently.
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

    /// Whether all members follow the current roster.
    fn is_settled(&self) -> bool {
        let Some(roster) = &self.roster else {
            return false;
        };
        roster
            .members
            .iter()
            .all(|name| self.follows(name, roster.epoch))
    }

    /// A member, or a leaving one that hasn't acknowledged its removal, whose lease has lapsed
    /// and that hasn't renewed for the length of a lease.
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

    /// A member that hasn't renewed for half a lease. Grants name it to the other members
    /// early, so that they have confirmed its removal when its lease lapses.
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

    /// Whether the members that haven't confirmed the removal are too few to keep the member in
    /// force by their promises.
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
        // The member may still follow a roster from before the newest members were added,
        // and so need fewer promises. Only members that follow the current roster certainly
        // had one. The roster from which a leaving member was removed was followed by all, and
        // they follow it until that member has acknowledged.
        let is_leaving = self.awaiting_ack.as_ref() == Some(name);
        let follows = |other: &&NodeName| {
            let renewal = self.last_renewals.get(*other);
            renewal.is_some_and(|renewal| {
                renewal.epoch == roster.epoch || is_leaving && renewal.epoch.next() == roster.epoch
            })
        };
        let followers = others.iter().copied().filter(follows).count();
        unconfirmed + 1 < majority(followers + 1)
    }

    /// Whether the member `by` has confirmed the removal of `name`, with its promise to it
    /// expired.
    fn confirmed(&self, by: &NodeName, name: &NodeName) -> bool {
        // A confirmation to an earlier leader may have been withdrawn since.
        self.last_renewals.get(by).is_some_and(|renewal| {
            renewal.term == self.term
                && renewal.refusing.as_ref() == Some(name)
                && !renewal.promised.contains(name)
        })
    }

    /// A member on a planned stop, unless it is the only member.
    fn leaving_member(&self) -> Option<NodeName> {
        let roster = self.roster.as_ref()?;
        let leaving = |name: &&NodeName| {
            self.last_renewals
                .get(*name)
                .is_some_and(|renewal| renewal.leaving)
        };
        // The last member keeps its endpoints until it stops: there is no other owner.
        let others = roster.members.len() > 1;
        roster
            .members
            .iter()
            .find(|name| others && leaving(name))
            .cloned()
    }

    /// A member that no endpoint answers any more although one answers another member. One that
    /// doesn't renew either is left to [`silent_member`](Self::silent_member): it can't
    /// acknowledge its removal.
    fn cut_off_member(&self, now: Moment) -> Option<NodeName> {
        let renews = |name: &NodeName| {
            let renewal = self.last_renewals.get(name);
            renewal.is_some_and(|renewal| now < renewal.received_at + LEASE_DURATION / 2)
        };
        let mut members = self.roster.iter().flat_map(|r| &r.members);
        let cut_off = members.find(|name| renews(name) && self.is_cut_off(now, name));
        cut_off.cloned()
    }

    /// Whether a member that can own the entry's endpoints had an answer of an endpoint so much
    /// later than the entry, by the last renewals, that the endpoints can't be at fault.
    fn is_cut_off(&self, now: Moment, name: &NodeName) -> bool {
        let Some(renewal) = self.last_renewals.get(name) else {
            return false;
        };
        let Some(last_heard) = renewal.heard_at else {
            return false;
        };
        let counts_from = last_heard + CUT_OFF_SILENCE;
        if renewal.received_at < counts_from {
            return false;
        }
        let members = self.roster.iter().flat_map(|r| &r.members);
        let mut owners = members
            .filter(|member| *member != name)
            .filter_map(|member| self.last_renewals.get(member))
            .filter(|renewal| !renewal.leaving && self.holds_endpoints(now, renewal));
        owners.any(|owner| owner.heard_at >= Some(counts_from))
    }

    /// An entry that has renewed recently, isn't a member and isn't cut off from the endpoints.
    fn joining_entry(&self, now: Moment) -> Option<NodeName> {
        let roster = self.roster.as_ref()?;
        let is_recent =
            |renewal: &LastRenewal| !renewal.leaving && now < renewal.received_at + RENEWAL_TIMEOUT;
        self.last_renewals
            .iter()
            .find(|(name, renewal)| {
                !roster.has(name) && is_recent(renewal) && !self.is_cut_off(now, name)
            })
            .map(|(name, _)| name.clone())
    }

    fn membership_for(&mut self, now: Moment, from: &NodeName, renew: &Renew) -> Membership {
        let Some(roster) = self.roster.clone() else {
            return Membership::default();
        };
        let refuse = self.suspect(now).filter(|name| name != from);
        self.withdraw_confirmation(from, refuse.as_ref());
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

    /// Drops the confirmation in an entry's last renewal unless its grant repeats whom to refuse. The
    /// entry may promise again from when it receives the grant, and its next renewal may be lost.
    fn withdraw_confirmation(&mut self, from: &NodeName, refuse: Option<&NodeName>) {
        if let Some(renewal) = self.last_renewals.get_mut(from) {
            renewal.refusing.take_if(|name| Some(&*name) != refuse);
        }
    }

    /// The roster that the entry must follow next; `None` while it may not follow any.
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
        // A member of the previous roster keeps following that until the leaving member has
        // acknowledged its removal; then it may gain endpoints.
        if let Some(followed) = followed.filter(was_member) {
            let next = if awaiting_others { followed } else { newest };
            return Some(next.clone());
        }
        // Any other entry gains all its endpoints by this roster: a new one, a restarted one,
        // and one that was removed and added again while it was partitioned. It waits until
        // all other members, which lose these endpoints, follow the roster.
        let may_gain = !awaiting_others && self.others_follow(newest, from);
        may_gain.then(|| newest.clone())
    }

    /// Whether all other members follow the roster. Members without a roster own nothing that
    /// could overlap.
    fn others_follow(&self, roster: &Roster, name: &NodeName) -> bool {
        let mut others = roster.members.iter().filter(|other| *other != name);
        others.all(|other| {
            self.last_renewals
                .get(other)
                .is_some_and(|renewal| renewal.epoch == roster.epoch || renewal.epoch == Epoch(0))
        })
    }
}
