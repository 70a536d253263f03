//! Which entries a look-up returns.
//!
//! Callers cache an answer for its TTL, so answers are kept as stable as possible: regions
//! and entries are in rendezvous order, which depends on the table, the regions' mean
//! utilisation, and the live entries and their slots. Short-term load is moved by spillover
//! between entries, which takes effect at once and needs no new look-up.

use std::net::IpAddr;

use filberthead_types::{NodeName, Region, ServiceName};

use crate::hash::Key;
use crate::policy::Policy;

/// Most entries in an answer.
const MAX_ENTRIES: usize = 6;
/// Most entries of one region in an answer.
const MAX_ENTRIES_PER_REGION: usize = 3;
/// Weight of an entry that has not reported slots for the service. Above 0, since it may be
/// the only entry.
const UNREPORTED_WEIGHT: f64 = 0.1;
/// Weight of an entry that has no slots for the service.
const NO_SLOTS_WEIGHT: f64 = 1e-6;

struct Ranked<'a> {
    distance: f64,
    name: &'a NodeName,
    failure_domain: &'a str,
}

impl Policy {
    pub(crate) fn list_entries(
        &mut self,
        service: &ServiceName,
        caller: Option<IpAddr>,
    ) -> Vec<NodeName> {
        let mut regions = self.regions.region_order(service, caller, &mut self.rng);
        if regions.is_empty() && !self.regions.has_table() {
            regions = vec![self.cfg.region.clone()];
        }
        let mut names = Vec::new();
        for region in regions {
            if names.len() >= MAX_ENTRIES {
                break;
            }
            names.extend(self.list_region(service, caller, &region));
        }
        names.truncate(MAX_ENTRIES);
        names
    }

    fn list_region(
        &self,
        service: &ServiceName,
        caller: Option<IpAddr>,
        region: &Region,
    ) -> Vec<NodeName> {
        let mut key = Key::new().text(service.as_str());
        if let Some(addr) = caller {
            key = key.address(addr);
        }
        let mut ranked = self.candidates(service, region, &key);
        ranked.sort_by(|a, b| a.distance.total_cmp(&b.distance));
        promote_other_domain(&mut ranked);
        ranked
            .iter()
            .take(MAX_ENTRIES_PER_REGION)
            .map(|entry| entry.name.clone())
            .collect()
    }

    fn candidates<'a>(
        &'a self,
        service: &ServiceName,
        region: &Region,
        key: &Key,
    ) -> Vec<Ranked<'a>> {
        let mut ranked = Vec::new();
        let mut add = |name: &'a NodeName, failure_domain: &'a str, weight: f64| {
            ranked.push(Ranked {
                distance: key.clone().text(name.as_str()).distance(weight),
                name,
                failure_domain,
            });
        };
        for peer in self.peers.iter() {
            let info = &peer.info;
            if info.region != *region || info.leaving {
                continue;
            }
            let slots = peer.slots(service);
            // An entry without slots for the service ranks last but is not left out: its
            // whole region may just be starting, and callers that were sent to another
            // region would cache that answer.
            let weight = slots
                .map_or(UNREPORTED_WEIGHT, f64::from)
                .max(NO_SLOTS_WEIGHT);
            add(&info.name, info.failure_domain.as_str(), weight);
        }
        if self.cfg.region == *region && !self.stopping {
            let slots = self.pools.get(service).map_or(0, |pool| pool.slots());
            let domain = self.cfg.failure_domain.as_str();
            add(
                &self.cfg.node,
                domain,
                f64::from(slots).max(NO_SLOTS_WEIGHT),
            );
        }
        ranked
    }
}

/// Moves the first entry of another failure domain to the second position, so that the
/// caller has an alternative if the failure domain of its first entry fails.
fn promote_other_domain(ranked: &mut [Ranked<'_>]) {
    let Some((first, rest)) = ranked.split_first_mut() else {
        return;
    };
    let index = rest
        .iter()
        .position(|entry| entry.failure_domain != first.failure_domain);
    if let Some(index) = index {
        rest[..=index].rotate_right(1);
    }
}
