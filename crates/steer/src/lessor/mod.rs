//! Control's side of leases: rosters of failure domains and parts of limits.
//!
//! Two invariants hold in any order of events:
//!
//! - The parts of a limit that entries may be using add up to at most the limit. A part is
//!   reduced first, and another one raised only after the reduction was acknowledged, or
//!   after the reduced entry's lease has lapsed and the requests under it have ended.
//! - No two entries may admit to the same endpoint. The members that lose endpoints by a
//!   new roster follow it first, those that gain them only afterwards.
//!
//! The lessor runs only on the control leader. A new leader restores the rosters, collects
//! from renewals which parts are held, renews exactly these, and changes nothing until
//! every lease that its predecessor may have granted has lapsed.

mod quota;
mod roster;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filberthead_table::{RowKey, View};
use filberthead_types::{Epoch, FailureDomain, Incarnation, Moment, NodeName, Region};

use crate::lease::{Grant, LEASE_DURATION, LEASE_MARGIN, Part, Renew, ServiceParts, StoredRoster};
use quota::{Demand, Quota};
use roster::DomainRoster;

/// The quotas for a row's limit and shift cap.
#[derive(Debug, Default)]
struct RowQuota {
    limit: Quota,
    shift: Quota,
}

/// Which renewals of an entry were handled.
#[derive(Debug, Default)]
struct RenewalHistory {
    /// Incarnation and serial of the newest renewal; `None` before the first.
    newest: Option<(Incarnation, u64)>,
    earlier_incarnations: Vec<Incarnation>,
}

/// Grants leases to entries; a step function without I/O.
#[derive(Debug)]
pub struct Lessor {
    term: Epoch,
    /// Until then leases are only renewed, and rosters and parts don't change.
    frozen_until: Moment,
    max_request_duration: Duration,
    view: Arc<View>,
    renewals: BTreeMap<NodeName, RenewalHistory>,
    rosters: BTreeMap<FailureDomain, DomainRoster>,
    quotas: BTreeMap<RowKey, RowQuota>,
}

impl Lessor {
    /// The lessor of a leader that has just won `term`.
    ///
    /// `max_request_duration` bounds how long a request may go on running after the last
    /// renewal of its entry; it must be at least the longest deadline that entries accept.
    pub fn new(now: Moment, term: Epoch, max_request_duration: Duration) -> Self {
        Self {
            term,
            // Grants of the previous leader may be valid until then. The requests admitted
            // under them are reported by the entries' renewals.
            frozen_until: now + LEASE_DURATION + LEASE_MARGIN,
            max_request_duration,
            view: Arc::default(),
            renewals: BTreeMap::new(),
            rosters: BTreeMap::new(),
            quotas: BTreeMap::new(),
        }
    }

    /// Sets the limits and shift caps by the table in force; ignores an older version.
    pub fn set_table(&mut self, view: Arc<View>) {
        if view.version < self.view.version {
            return;
        }
        for (key, row) in &view.rows {
            let quota = self.quotas.entry(key.clone()).or_default();
            quota.limit.set_total(row.values.limit);
            quota.shift.set_total(row.values.shift_cap);
        }
        for (key, quota) in &mut self.quotas {
            if !view.rows.contains_key(key) {
                quota.limit.set_total(0);
                quota.shift.set_total(0);
            }
        }
        self.view = view;
    }

    /// The current roster of a failure domain, for the next leader; `None` if it has none yet.
    /// Control must have a changed roster in its log before it sends a grant by it.
    pub fn roster(&self, domain: &FailureDomain) -> Option<StoredRoster> {
        self.rosters.get(domain)?.to_stored(domain)
    }

    /// All current rosters.
    pub fn rosters(&self) -> Vec<StoredRoster> {
        let rosters = self.rosters.iter();
        rosters
            .filter_map(|(domain, roster)| roster.to_stored(domain))
            .collect()
    }

    /// Restores the rosters of the previous leader.
    ///
    /// A new leader gets most rosters from renewals, but not one whose members can't reach
    /// it. Without that roster, a new entry of the same failure domain would get a roster of
    /// its own and admit to the endpoints of members that are still in force by each other's
    /// promises; and these members' parts of the region's limits would be granted again.
    pub fn restore(&mut self, rosters: impl IntoIterator<Item = StoredRoster>) {
        for stored in rosters {
            let (term, frozen_until) = (self.term, self.frozen_until);
            let roster = self.rosters.entry(stored.failure_domain.clone());
            roster
                .or_insert_with(|| DomainRoster::new(stored.region.clone(), term, frozen_until))
                .restore(stored);
        }
    }

    /// Whether an entry may hold a lease: it has renewed lately, or may have with the previous leader.
    pub fn may_hold_lease(&self, now: Moment, name: &NodeName) -> bool {
        let mut rosters = self.rosters.values();
        now < self.frozen_until || rosters.any(|roster| roster.has_recent_renewal(now, name))
    }

    /// Removes an entry that the platform reports as permanently gone: none of its requests
    /// run any more.
    pub fn forget(&mut self, name: &NodeName) {
        for roster in self.rosters.values_mut() {
            roster.forget(name);
        }
        for quota in self.quotas.values_mut() {
            quota.limit.forget(name);
            quota.shift.forget(name);
        }
    }

    /// Answers a renewal.
    pub fn renew(&mut self, now: Moment, from: &NodeName, renew: &Renew) -> Grant {
        if !self.is_newest(from, renew) {
            // No renewal has the serial 0, so the entry ignores this grant.
            return Grant {
                term: self.term,
                serial: 0,
                roster: None,
                leased: false,
                refuse: None,
                parts: Vec::new(),
            };
        }
        let frozen = now < self.frozen_until;
        let roster = self
            .rosters
            .entry(renew.failure_domain.clone())
            .or_insert_with(|| {
                DomainRoster::new(renew.region.clone(), self.term, self.frozen_until)
            });
        let membership = roster.renew(now, frozen, from, renew);
        // The parts of a member that hasn't renewed with this leader are unknown, so
        // nothing is raised in its region before it renews or is removed.
        let mut domains = self.rosters.values();
        let has_unreported =
            domains.any(|d| *d.region() == renew.region && d.has_unreported_member());
        let frozen = frozen || has_unreported;
        Grant {
            term: self.term,
            serial: renew.serial,
            roster: membership.roster,
            leased: membership.leased,
            refuse: membership.refuse,
            parts: self.parts(now, frozen, from, renew),
        }
    }

    /// Records a renewal; returns whether it is the newest one of the entry. One that arrives
    /// after a later one, or after one of a later incarnation, reports outdated promises,
    /// parts and requests.
    fn is_newest(&mut self, from: &NodeName, renew: &Renew) -> bool {
        let history = self.renewals.entry(from.clone()).or_default();
        if history.earlier_incarnations.contains(&renew.incarnation) {
            return false;
        }
        match history.newest {
            Some((incarnation, serial)) if incarnation == renew.incarnation => {
                let newer = renew.serial > serial;
                if newer {
                    history.newest = Some((incarnation, renew.serial));
                }
                return newer;
            }
            Some((incarnation, _)) => history.earlier_incarnations.push(incarnation),
            None => {}
        }
        history.newest = Some((renew.incarnation, renew.serial));
        true
    }

    fn parts(
        &mut self,
        now: Moment,
        frozen: bool,
        from: &NodeName,
        renew: &Renew,
    ) -> Vec<ServiceParts> {
        let max_request_duration = self.max_request_duration;
        let rows = self
            .quotas
            .iter_mut()
            .filter(|(key, _)| key.region == renew.region);
        rows.map(|(key, quota)| {
            let held = renew.parts.iter().find(|held| held.service == key.service);
            let demand = renew.demand.iter().find(|d| d.service == key.service);
            let demand_for = |part: Option<Part>, running: u32, waiting: u32| Demand {
                incarnation: renew.incarnation,
                accepted: renew.accepted,
                serial: renew.serial,
                held: part.unwrap_or_default(),
                slots: demand.map_or(0, |d| d.slots),
                running,
                waiting,
                max_request_duration,
                frozen,
                failure_domain: renew.failure_domain.clone(),
            };
            let limit = demand_for(
                held.map(|held| held.limit),
                demand.map_or(0, |d| d.running),
                demand.map_or(0, |d| d.waiting),
            );
            let shift = demand_for(
                held.map(|held| held.shift),
                demand.map_or(0, |d| d.shifted),
                demand.map_or(0, |d| d.shifted_waiting),
            );
            ServiceParts {
                service: key.service.clone(),
                limit: quota.limit.grant(now, from, &limit),
                shift: quota.shift.grant(now, from, &shift),
            }
        })
        .collect()
    }

    /// Whether the slots in the last renewals of a region's entries are all its slots, as far
    /// as this leader can determine. `domains` are the region's failure domains from another
    /// source: one whose entries haven't renewed with this leader has slots too.
    pub fn slots_are_complete<'a>(
        &self,
        now: Moment,
        region: &Region,
        domains: impl IntoIterator<Item = &'a FailureDomain>,
    ) -> bool {
        let mut in_region = self.rosters.values().filter(|r| r.region() == region);
        let mut domains = domains.into_iter();
        now >= self.frozen_until
            && in_region.all(|roster| roster.slots_are_complete(now))
            && domains.all(|domain| self.rosters.contains_key(domain))
    }

    /// Maximum number of requests that entries may have in progress under a row's limit, by the
    /// grants: never more than the highest limit that was in force while a granted part of it
    /// may still be valid.
    pub fn committed(&self, now: Moment, key: &RowKey) -> u32 {
        self.quotas
            .get(key)
            .map_or(0, |quota| quota.limit.committed(now))
    }
}
