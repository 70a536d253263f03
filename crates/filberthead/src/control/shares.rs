//! Grants entries their leases of endpoints, their limits and their shift caps.
//!
//! A lessor lives for one leadership. It replies only while this replica's lease is valid,
//! so a deposed leader that isn't aware of it can't raise a share that the new leader has granted
//! to another entry. A new lessor first waits until grants of its predecessor have expired.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filberthead_consensus::{Event, Proposal};
use filberthead_operator::RowReading;
use filberthead_peer::{Body, Origin};
use filberthead_steer::{LEASE_DURATION, Lessor, Message, Renew, ServiceDemand, StoredRoster};
use filberthead_table::{Command, Operation, RowKey, View};
use filberthead_types::{Epoch, Moment, NodeName, Region};
use log::warn;

use super::core::{Core, Pending};
use super::machine::{Entry, Machine};
use super::spreading::Domains;

/// Longest time that a request of a silent entry may go on running: the longest deadline that
/// entries accept.
const MAX_REQUEST_DURATION: Duration = Duration::from_secs(60);
/// Age from which on an entry's renewal says nothing about its present usage.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// What to do about an entry's renewal.
enum Renewal {
    /// Send this grant.
    Grant(Message),
    /// Log the roster that the grant is by. The entry renews again after that.
    Log(StoredRoster),
}

/// What an entry uses, by its last renewal.
#[derive(Debug)]
struct Usage {
    region: Region,
    demand: Vec<ServiceDemand>,
    last_renewal: Moment,
}

/// The lessor of the current leadership, and the usage that renewals report.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    lessor: Option<(Epoch, Lessor)>,
    /// Usage by entry, from renewals in this leadership.
    usage: BTreeMap<NodeName, Usage>,
}

impl Shares {
    /// Replaces the lessor when the term changes, and drops it for `None`, when this replica
    /// doesn't lead. A new one begins with what earlier leaders have logged.
    fn set_term(&mut self, now: Moment, term: Option<Epoch>, machine: &Machine) {
        let Some(term) = term else {
            self.lessor = None;
            return;
        };
        if self
            .lessor
            .as_ref()
            .is_some_and(|(current, _)| *current == term)
        {
            return;
        }
        let mut lessor = Lessor::new(now, term, MAX_REQUEST_DURATION);
        lessor.set_table(Arc::new(machine.table.view()));
        lessor.restore(machine.rosters.values().cloned());
        self.lessor = Some((term, lessor));
        self.usage.clear();
    }

    /// Passes a committed table to the lessor.
    pub(crate) fn set_table(&mut self, view: Arc<View>) {
        if let Some((_, lessor)) = &mut self.lessor {
            lessor.set_table(view);
        }
    }

    /// Whether an entry may hold a lease of this leader or the previous one.
    fn may_hold_lease(&self, now: Moment, name: &NodeName) -> bool {
        let lessor = self.lessor.as_ref();
        lessor.is_some_and(|(_, lessor)| lessor.may_hold_lease(now, name))
    }

    /// Removes an entry that an operator has declared gone, as [`Machine::apply`] does for the
    /// logged rosters.
    pub(crate) fn forget(&mut self, name: &NodeName) {
        if let Some((_, lessor)) = &mut self.lessor {
            lessor.forget(name);
        }
    }

    /// Answers a renewal. Guards against a leader that dies after a grant by a roster that only
    /// it knew: the next one would grant its members' endpoints and parts to others.
    fn renew(
        &mut self,
        now: Moment,
        from: &NodeName,
        renew: &Renew,
        logged: Option<&StoredRoster>,
    ) -> Option<Renewal> {
        let (_, lessor) = self.lessor.as_mut()?;
        let grant = lessor.renew(now, from, renew);
        let roster = lessor.roster(&renew.failure_domain);
        if roster.as_ref() != logged
            && let Some(roster) = roster
        {
            return Some(Renewal::Log(roster));
        }
        // A grant without a serial number replies to a renewal that was superseded.
        if grant.serial > 0 {
            let usage = Usage {
                region: renew.region.clone(),
                demand: renew.demand.clone(),
                last_renewal: now,
            };
            self.usage.insert(from.clone(), usage);
        }
        Some(Renewal::Grant(Message::Grant(grant)))
    }

    /// Usage per row of the table, from recent renewals. `domains` holds all failure domains that
    /// control knows of, with their regions.
    pub(crate) fn readings(&self, now: Moment, domains: &Domains) -> Vec<RowReading> {
        let mut rows: BTreeMap<RowKey, RowReading> = BTreeMap::new();
        for usage in self.usage.values() {
            let age = now.saturating_sub(usage.last_renewal);
            if age < STALE_AFTER {
                usage.add_to(age, &mut rows);
            }
        }
        let mut rows: Vec<_> = rows.into_values().collect();
        for row in &mut rows {
            // Slots reported by some entries only don't show the region's capacity, and could
            // make a limit look too high; nor do slots of entries that have no endpoints yet.
            let complete = self.has_all_slots(now, &row.region, domains);
            row.slots = row.slots.filter(|slots| *slots > 0 && complete);
        }
        rows
    }

    /// Whether the slots of all failure domains of a region have been reported.
    fn has_all_slots(&self, now: Moment, region: &Region, domains: &Domains) -> bool {
        let Some((_, lessor)) = &self.lessor else {
            return false;
        };
        let in_region = domains
            .iter()
            .filter(|(_, domain_region)| *domain_region == region);
        lessor.slots_are_complete(now, region, in_region.map(|(domain, _)| domain))
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
            // Endpoints of an entry that has been silent for longer may have moved to other
            // entries, which count them now.
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
    /// Replies to an entry's renewal, if this replica leads at this moment.
    pub(super) async fn handle_renewal(&mut self, origin: &Origin, renew: &Renew) {
        let now = self.clock.now();
        self.sync_lessor(now);
        let logged = self.machine.rosters.get(&renew.failure_domain);
        match self.shares.renew(now, &origin.name, renew, logged) {
            Some(Renewal::Grant(grant)) => self.send(origin.addr, Body::Steer(grant)),
            Some(Renewal::Log(roster)) => self.propose_roster(roster).await,
            None => {}
        }
    }

    /// Proposes a roster unless it has to wait. Entries renew again until they get a grant by it.
    async fn propose_roster(&mut self, roster: StoredRoster) {
        let domain = roster.failure_domain.clone();
        let must_wait = |pending: &Pending| match pending {
            Pending::Roster(pending) => *pending == domain,
            // The roster may have the entry, and would be applied after the entry was removed.
            Pending::ForgetEntry(_) => true,
            _ => false,
        };
        if self.pending.values().any(must_wait) {
            return;
        }
        let Ok(buf) = postcard::to_stdvec(&Entry::Roster(roster)) else {
            warn!("can't encode a roster");
            return;
        };
        let token = self.add_pending(Pending::Roster(domain));
        let proposal = Proposal::Command(buf);
        self.step(Event::Propose { token, proposal }).await;
    }

    /// Whether a command declares an entry gone that isn't known to be. It may have been held up on its
    /// way for so long that its entry has come back under the same name.
    pub(super) fn forgets_live_entry(&mut self, command: &Command) -> bool {
        let Operation::ForgetEntry(name) = &command.operation else {
            return false;
        };
        let now = self.clock.now();
        self.sync_lessor(now);
        // A resend has no effect, and gets the first outcome.
        let mut history = self.machine.table.history();
        !history.any(|record| record.command.id == command.id)
            && self.shares.may_hold_lease(now, name)
    }

    /// Aligns the lessor with this replica's lease.
    pub(super) fn sync_lessor(&mut self, now: Moment) {
        let leads = self.replica.lease_until(now).is_some();
        let term = leads.then(|| self.replica.status(now).term);
        self.shares.set_term(now, term, &self.machine);
    }
}
