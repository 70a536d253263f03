//! One limit and its division among entries.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, Moment, NodeName};

use crate::lease::{LEASE_DURATION, LEASE_MARGIN, Part};

/// Weight of the newest demand in the mean demand.
const DEMAND_GAIN: f64 = 0.1;
/// Fraction of a share that stays valid without a lease, so that entries without a
/// connection to control can serve steady traffic.
const FLOOR_FRACTION: f64 = 0.9;

/// The contents of a renewal that concern one limit.
#[derive(Debug)]
pub(crate) struct Demand {
    pub(crate) incarnation: Incarnation,
    /// Serial of the newest grant in force at the entry; 0 for none.
    pub(crate) accepted: u64,
    /// Serial of the renewal.
    pub(crate) serial: u64,
    /// The part that the entry holds.
    pub(crate) held: Part,
    pub(crate) slots: u32,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) max_request_duration: Duration,
    /// Whether the entry may only be granted what it holds.
    pub(crate) frozen: bool,
    pub(crate) failure_domain: FailureDomain,
}

/// An entry's use of the limit, as far as grants and renewals show it.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    failure_domain: FailureDomain,
    last_seen: Moment,
    /// Serials and parts of the grants that may be in force at the entry: the one that it
    /// accepted last and all later ones, which may still arrive.
    grants: Vec<(u64, Part)>,
    /// Requests in progress at its last renewal; more than the share right after a reduction.
    running: u32,
    /// Until then it may use shares, afterwards only floors.
    committed_until: Moment,
    /// Requests that may still run from before the entry's last restart.
    residue: u32,
    /// When `residue` expires.
    residue_until: Moment,
    slots: u32,
    /// Moving average of its running and waiting requests.
    mean_demand: f64,
    /// Its weight in the division of the limit.
    weight: f64,
}

impl Holder {
    fn new(incarnation: Incarnation, failure_domain: FailureDomain) -> Self {
        Self {
            incarnation,
            failure_domain,
            last_seen: Moment::ZERO,
            grants: Vec::new(),
            running: 0,
            committed_until: Moment::ZERO,
            residue: 0,
            residue_until: Moment::ZERO,
            slots: 0,
            mean_demand: 0.0,
            weight: 0.0,
        }
    }

    fn floor(&self) -> u32 {
        let floors = self.grants.iter().map(|(_, part)| part.floor);
        floors.max().unwrap_or(0)
    }

    /// Maximum number of requests that the entry may have in progress.
    fn committed(&self, now: Moment) -> u32 {
        let residue = if now < self.residue_until {
            self.residue
        } else {
            0
        };
        let leased = if now < self.committed_until {
            let shares = self.grants.iter().map(|(_, part)| part.share);
            shares.max().unwrap_or(0).max(self.running)
        } else {
            self.floor()
        };
        residue.max(leased)
    }

    /// Resets the holder for a restarted entry: it holds nothing, but requests from before the
    /// restart may still run.
    fn restart(&mut self, now: Moment, incarnation: Incarnation, max_request_duration: Duration) {
        let residue = self.committed(now);
        *self = Self::new(incarnation, self.failure_domain.clone());
        self.residue = residue;
        self.residue_until = now + max_request_duration;
    }

    fn record_renewal(&mut self, now: Moment, demand: &Demand) {
        if self.grants.is_empty() {
            // First renewal with this lessor: its part is from the previous leader.
            self.grants.push((demand.accepted, demand.held));
        }
        self.grants.retain(|(serial, _)| *serial >= demand.accepted);
        self.running = demand.running;
        self.last_seen = now;
        // Requests admitted under a share run on after it has lapsed.
        self.committed_until = now + LEASE_DURATION + LEASE_MARGIN + demand.max_request_duration;
        // Waiting requests count up to the number of slots; a longer queue can't use more.
        let in_use = demand.running + demand.waiting.min(demand.slots);
        self.mean_demand += DEMAND_GAIN * (f64::from(in_use) - self.mean_demand);
        // Based on slots, since a share beyond them is of no use.
        self.slots = demand.slots;
        self.weight = f64::from(demand.slots) + self.mean_demand;
    }

    /// Another entry now owns this one's endpoints and counts the requests that still run
    /// there, so none have to be counted for this holder.
    fn release_if_lapsed(&mut self, now: Moment) {
        self.residue = 0;
        if now >= self.last_seen + LEASE_DURATION + LEASE_MARGIN {
            self.grants.clear();
            self.running = 0;
        }
    }

    fn record_grant(&mut self, serial: u64, part: Part) {
        match self.grants.last_mut() {
            // Otherwise grants that don't arrive would accumulate. The later serial only keeps
            // the part for longer.
            Some((last, same)) if *same == part => *last = serial,
            _ => self.grants.push((serial, part)),
        }
    }
}

/// A limit and the entries that hold parts of it.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    total: u32,
    holders: BTreeMap<NodeName, Holder>,
}

impl Quota {
    pub(crate) fn set_total(&mut self, total: u32) {
        self.total = total;
    }

    pub(crate) fn forget(&mut self, name: &NodeName) {
        self.holders.remove(name);
    }

    pub(crate) fn committed(&self, now: Moment) -> u32 {
        self.holders.values().map(|h| h.committed(now)).sum()
    }

    /// Records an entry's renewal and returns the part that it is granted.
    pub(crate) fn grant(&mut self, now: Moment, name: &NodeName, demand: &Demand) -> Part {
        let holder = self
            .holders
            .entry(name.clone())
            .or_insert_with(|| Holder::new(demand.incarnation, demand.failure_domain.clone()));
        if holder.incarnation != demand.incarnation {
            holder.restart(now, demand.incarnation, demand.max_request_duration);
        }
        holder.record_renewal(now, demand);
        if demand.slots > 0 {
            self.supersede_others(now, name, demand);
        }
        let part = if demand.frozen {
            // Other entries may hold parts that they haven't reported yet.
            demand.held
        } else {
            self.part(now, name)
        };
        if let Some(holder) = self.holders.get_mut(name) {
            holder.record_grant(demand.serial, part);
        }
        part
    }

    /// Releases the commitments of previous owners. A service's endpoints in a failure domain
    /// have one owner at a time, and `name`, which reports slots, is the current one.
    fn supersede_others(&mut self, now: Moment, name: &NodeName, demand: &Demand) {
        for (other, holder) in &mut self.holders {
            if other != name && holder.failure_domain == demand.failure_domain {
                holder.release_if_lapsed(now);
            }
        }
        if let Some(owner) = self.holders.get_mut(name) {
            owner.residue = 0;
        }
    }

    fn part(&self, now: Moment, name: &NodeName) -> Part {
        let others = self.holders.iter().filter(|(other, _)| *other != name);
        let taken: u32 = others.map(|(_, other)| other.committed(now)).sum();
        let holder = self.holders.get(name);
        let residue = holder.map_or(0, |holder| {
            let lasts = now < holder.residue_until;
            if lasts { holder.residue } else { 0 }
        });
        let free = self.total.saturating_sub(taken).saturating_sub(residue);
        let share = self.fair_share(name).min(free);
        let floor = (f64::from(share) * FLOOR_FRACTION) as u32;
        Part { share, floor }
    }

    /// The entry's fair share of the limit: in proportion to slots and demand, capped at its
    /// slots. The excess of capped entries is divided among the others.
    fn fair_share(&self, name: &NodeName) -> u32 {
        let mut uncapped: Vec<_> = self.holders.iter().filter(|(_, h)| h.slots > 0).collect();
        let mut remaining = self.total;
        loop {
            let total_weight: f64 = uncapped.iter().map(|(_, h)| h.weight).sum();
            let proportional =
                |holder: &Holder| f64::from(remaining) * holder.weight / total_weight;
            let Some(holder) = self.holders.get(name).filter(|holder| holder.slots > 0) else {
                return 0;
            };
            if proportional(holder) >= f64::from(holder.slots) {
                return holder.slots.min(remaining);
            }
            let (capped, others): (Vec<_>, Vec<_>) = uncapped
                .into_iter()
                .partition(|(_, h)| proportional(h) >= f64::from(h.slots));
            if capped.is_empty() {
                return proportional(holder).ceil() as u32;
            }
            let taken: u32 = capped.iter().map(|(_, h)| h.slots).sum();
            remaining = remaining.saturating_sub(taken);
            uncapped = others;
        }
    }
}
