//! Leases of endpoints, limits and shift caps, granted to entries.
//!
//! The keeper lives only as long as one leadership. It answers while this replica's
//! lease is valid and says nothing otherwise, so a deposed leader that doesn't know it
//! yet can't raise a share that the new one has given to somebody else. A new keeper
//! first waits out what the one before may have granted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filberthead_operator::RowReading;
use filberthead_peer::{Body, Origin};
use filberthead_steer::{LEASE_DURATION, Lessor, Message, Renew, ServiceDemand};
use filberthead_table::{RowKey, View};
use filberthead_types::{Epoch, Moment, NodeName, Region};

use super::core::Core;
use super::spreading::Domains;

/// Longest time that a request of an entry that fell silent may go on running: the
/// longest deadline that entries accept.
const LONGEST_RUN: Duration = Duration::from_secs(60);
/// Age from which on an entry's word says nothing about now.
const STALE: Duration = Duration::from_secs(10);

/// What an entry has in use, by its last renewal.
#[derive(Debug)]
struct Usage {
    region: Region,
    demand: Vec<ServiceDemand>,
    heard: Moment,
}

/// Keeper of one leadership, with the readings that renewals bring.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    keeper: Option<(Epoch, Lessor)>,
    usage: BTreeMap<NodeName, Usage>,
}

impl Shares {
    /// Takes in whether this replica leads, and in which term.
    fn lead(&mut self, now: Moment, term: Option<Epoch>, view: impl FnOnce() -> Arc<View>) {
        let Some(term) = term else {
            self.keeper = None;
            return;
        };
        if self.keeper.as_ref().is_some_and(|(of, _)| *of == term) {
            return;
        }
        let mut keeper = Lessor::new(now, term, LONGEST_RUN);
        keeper.set_table(view());
        self.keeper = Some((term, keeper));
        self.usage.clear();
    }

    /// Takes in a committed table.
    pub(crate) fn committed(&mut self, view: Arc<View>) {
        if let Some((_, keeper)) = &mut self.keeper {
            keeper.set_table(view);
        }
    }

    fn renew(&mut self, now: Moment, from: &NodeName, renew: &Renew) -> Option<Message> {
        let (_, keeper) = self.keeper.as_mut()?;
        let grant = keeper.renew(now, from, renew);
        // One without a number answers a renewal that was overtaken.
        if grant.serial > 0 {
            let usage = Usage {
                region: renew.region.clone(),
                demand: renew.demand.clone(),
                heard: now,
            };
            self.usage.insert(from.clone(), usage);
        }
        Some(Message::Grant(grant))
    }

    /// What runs in each row, by the renewals of the last seconds. `domains` are all
    /// failure domains that control knows of, with their regions.
    pub(crate) fn readings(&self, now: Moment, domains: &Domains) -> Vec<RowReading> {
        let mut rows: BTreeMap<RowKey, RowReading> = BTreeMap::new();
        for usage in self.usage.values() {
            let age = now.saturating_sub(usage.heard);
            if age < STALE {
                usage.add_to(age, &mut rows);
            }
        }
        let mut rows: Vec<_> = rows.into_values().collect();
        for row in &mut rows {
            // The slots of some entries say nothing of what the region can carry, and
            // must not make a limit look too high; nor must those of entries that have
            // no endpoints yet.
            let knows = self.knows_slots(now, &row.region, domains);
            row.slots = row.slots.filter(|slots| *slots > 0 && knows);
        }
        rows
    }

    fn knows_slots(&self, now: Moment, region: &Region, domains: &Domains) -> bool {
        let Some((_, keeper)) = &self.keeper else {
            return false;
        };
        let here = domains.iter().filter(|(_, of)| *of == region);
        keeper.slots_are_complete(now, region, here.map(|(domain, _)| domain))
    }
}

impl Usage {
    fn add_to(&self, age: Duration, rows: &mut BTreeMap<RowKey, RowReading>) {
        for demand in &self.demand {
            let key = RowKey {
                service: demand.service.clone(),
                region: self.region.clone(),
            };
            let reading = rows.entry(key.clone()).or_insert_with(|| RowReading {
                service: key.service,
                region: key.region,
                running: Some(0),
                shifted: Some(0),
                slots: Some(0),
                age_ms: 0,
            });
            add(&mut reading.running, demand.running);
            add(&mut reading.shifted, demand.shifted);
            // An entry that is silent for longer may have lost its endpoints to others,
            // who count them now.
            if age < LEASE_DURATION {
                add(&mut reading.slots, demand.slots);
            }
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            reading.age_ms = reading.age_ms.max(age_ms);
        }
    }
}

fn add(sum: &mut Option<u64>, part: u32) {
    if let Some(sum) = sum {
        *sum += u64::from(part);
    }
}

impl Core {
    /// Answers an entry's renewal, if this replica leads at this moment.
    pub(super) fn take_renewal(&mut self, origin: &Origin, renew: &Renew) {
        let now = self.clock.now();
        self.keep_shares(now);
        if let Some(grant) = self.shares.renew(now, &origin.name, renew) {
            self.send(origin.addr, Body::Steer(grant));
        }
    }

    /// Brings the keeper in line with the lease.
    pub(super) fn keep_shares(&mut self, now: Moment) {
        let leads = self.replica.lease_until(now).is_some();
        let term = leads.then(|| self.replica.status(now).term);
        let table = &self.machine.table;
        self.shares.lead(now, term, || Arc::new(table.view()));
    }
}
