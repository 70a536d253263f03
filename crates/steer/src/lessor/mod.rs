//! Control's side of leases: rosters of failure domains and parts of limits.
//!
//! Two invariants carry the promises, in any order of events:
//!
//! - The parts of a limit that entries may be using add up to no more than the limit.
//!   A part is cut first, and raised elsewhere only after the cut was acknowledged, or
//!   has lapsed and what ran under it has ended.
//! - No two entries may admit to the same endpoint. A roster's losers follow it first
//!   and its gainers only afterwards.
//!
//! The keeper runs on the control leader alone. A new leader takes over the rosters,
//! learns from renewals what is held, renews just that, and changes nothing until every
//! lease that its predecessor may have granted has lapsed.

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

/// Both quotas of a row.
#[derive(Debug, Default)]
struct RowQuota {
    limit: Quota,
    shift: Quota,
}

/// The newest renewal of an entry.
#[derive(Debug, Default)]
struct RenewalHistory {
    newest: Option<(Incarnation, u64)>,
    earlier_incarnations: Vec<Incarnation>,
}

/// Grants leases to entries; a step function without I/O.
#[derive(Debug)]
pub struct Lessor {
    term: Epoch,
    frozen_until: Moment,
    max_request_duration: Duration,
    view: Arc<View>,
    renewals: BTreeMap<NodeName, RenewalHistory>,
    rosters: BTreeMap<FailureDomain, DomainRoster>,
    quotas: BTreeMap<RowKey, RowQuota>,
}

impl Lessor {
    /// A keeper for a leader that has just won `term`.
    ///
    /// `max_request_duration` bounds how long a request may run on after its entry fell silent;
    /// it must be at least the longest deadline that entries accept.
    pub fn new(now: Moment, term: Epoch, max_request_duration: Duration) -> Self {
        Self {
            term,
            // Grants of the leader before may hold until then, and what was admitted
            // under them is reported by whoever renews here.
            frozen_until: now + LEASE_DURATION + LEASE_MARGIN,
            max_request_duration,
            view: Arc::default(),
            renewals: BTreeMap::new(),
            rosters: BTreeMap::new(),
            quotas: BTreeMap::new(),
        }
    }

    /// Takes in the table in force.
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

    /// The rosters as they stand, for the next leader. Control must have them in its log
    /// before it sends a grant that follows a change of them.
    pub fn rosters(&self) -> Vec<StoredRoster> {
        let rosters = self.rosters.iter();
        rosters
            .filter_map(|(domain, roster)| roster.to_stored(domain))
            .collect()
    }

    /// Takes over the rosters of the leader before.
    ///
    /// Renewals tell a new leader of most rosters, but not of one whose members can't
    /// reach it. Without its word a late-coming entry of the same failure domain would
    /// get a roster of its own and share endpoints with members that are still in force
    /// by their own promises; and what they hold of their region's limits would be given
    /// to others.
    pub fn restore(&mut self, rosters: impl IntoIterator<Item = StoredRoster>) {
        for stored in rosters {
            let (term, frozen_until) = (self.term, self.frozen_until);
            let roster = self.rosters.entry(stored.failure_domain.clone());
            roster
                .or_insert_with(|| DomainRoster::new(stored.region.clone(), term, frozen_until))
                .restore(stored);
        }
    }

    /// An entry is gone for good, by the platform's word: nothing of it runs any more.
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
            // No renewal has the number 0, so nobody takes this grant in.
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
        // What a member holds that this leader hasn't heard of is not known, so nothing
        // is raised in its region before it reports or is removed.
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

    /// Whether nothing newer has been heard from the entry. A renewal that was overtaken
    /// tells of promises, parts and requests as they were, and so does one of a start
    /// that the entry has left behind.
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

    /// Whether the slots that entries of a region reported last are all its slots, so far
    /// as can be known here. `domains` are failure domains of the region that are known
    /// by other ways: one whose entries haven't renewed with this leader has slots too.
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

    /// Most requests that holders may have in progress under a row, by what was granted:
    /// never more than the highest limit that was in force while a part of it may hold.
    pub fn committed(&self, now: Moment, key: &RowKey) -> u32 {
        self.quotas
            .get(key)
            .map_or(0, |quota| quota.limit.committed(now))
    }
}
