//! Which region a caller belongs to, by the weights in force and by the stable weights.
//!
//! A caller's home region is chosen by weighted rendezvous hashing of its address, so
//! every process computes the same one without communication, and a change of weights
//! moves only as many callers as the weights differ by.
//!
//! A request is *shifted* if it runs outside of its caller's home region under the stable
//! weights. These are the weights from before the latest change, until that change has
//! settled. So the shift cap limits only the traffic that a change of weights, a drain or
//! a failure adds to a region, never the region's own.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_table::{Objective, RowKey, RowValues, View};
use filberthead_types::{Moment, Region, ServiceName};
use rand::RngCore;
use rand::rngs::StdRng;

use crate::hash::Key;

/// How long new weights must be in force before the traffic that they moved counts as the
/// region's own. Long compared to the lifetime of a cached look-up and to cache warm-up.
const SETTLE_TIME: Duration = Duration::from_secs(300);

/// Headroom assumed even for a full region, so that the adjustment stays finite and the
/// region keeps callers whose data its endpoints have cached.
const MIN_HEADROOM: f64 = 0.1;
/// Largest factor by which a weight is raised or lowered.
const MAX_ADJUSTMENT: f64 = 3.0;
/// Weight of a tick in a region's mean utilisation. The mean spans several seconds, since
/// callers repeat a look-up no sooner.
const LOAD_GAIN: f64 = 0.03;

/// Weights of a service's regions.
type Weights = Vec<(Region, f64)>;

#[derive(Debug)]
struct ServiceWeights {
    current: Weights,
    stable: Weights,
    changed_at: Moment,
    /// Mean utilisation of each region's slots, in the order of `current`.
    mean_utilisation: Vec<f64>,
}

impl ServiceWeights {
    /// The weights in force, adjusted by each region's headroom relative to the headroom at
    /// the mean utilisation of all regions.
    ///
    /// Weights are shares of traffic, but rendezvous hashing assigns callers, some of which
    /// send far more than others, and a region may have lost some of its slots.
    fn load_adjusted(&self) -> impl Iterator<Item = (&Region, f64)> {
        let total_weight: f64 = self.current.iter().map(|(_, weight)| weight).sum();
        let loads = self.current.iter().zip(&self.mean_utilisation);
        let mean_load: f64 =
            loads.map(|((_, weight), load)| weight * load).sum::<f64>() / total_weight.max(1.0);
        let headroom = |load: f64| (1.0 - load).max(MIN_HEADROOM);
        let weights = self.current.iter().zip(&self.mean_utilisation);
        weights.map(move |((region, weight), load)| {
            // The exponent keeps the loop stable: with look-ups that are cached for long,
            // callers act on an adjustment from before the last callers moved, and at
            // utilisations over a half the plain ratio overshoots further each time.
            let adjustment = (headroom(*load) / headroom(mean_load)).powf(0.75);
            (
                region,
                weight * adjustment.clamp(1.0 / MAX_ADJUSTMENT, MAX_ADJUSTMENT),
            )
        })
    }
}

/// The table's rows, and the weights that steering derives from them.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    view: Option<Arc<View>>,
    /// Whether weights may be used: false until a table version is in force, and while
    /// none is proven to be the newest.
    in_force: bool,
    services: HashMap<ServiceName, ServiceWeights>,
}

impl Regions {
    pub(crate) fn set_table(&mut self, now: Moment, view: Arc<View>) {
        let mut services: HashMap<ServiceName, Weights> = HashMap::new();
        for (key, row) in &view.rows {
            let weight = f64::from(row.values.weight);
            let rows = services.entry(key.service.clone()).or_default();
            rows.push((key.region.clone(), weight));
        }
        self.services
            .retain(|service, _| services.contains_key(service));
        for (service, current) in services {
            self.set_service(now, service, current);
        }
        self.view = Some(view);
        self.in_force = true;
    }

    /// Stops using the weights. They are kept for comparison with the next table, so that
    /// traffic that it moves still counts as shifted.
    pub(crate) fn suspend(&mut self) {
        self.in_force = false;
    }

    fn weights(&self, service: &ServiceName) -> Option<&ServiceWeights> {
        self.services.get(service).filter(|_| self.in_force)
    }

    fn set_service(&mut self, now: Moment, service: ServiceName, current: Weights) {
        match self.services.get_mut(&service) {
            Some(existing) if existing.current == current => {}
            Some(existing) => {
                existing.mean_utilisation = vec![0.0; current.len()];
                existing.current = current;
                existing.changed_at = now;
            }
            None => {
                let weights = ServiceWeights {
                    mean_utilisation: vec![0.0; current.len()],
                    stable: current.clone(),
                    current,
                    changed_at: now,
                };
                self.services.insert(service, weights);
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        for weights in self.services.values_mut() {
            if now >= weights.changed_at + SETTLE_TIME && weights.stable != weights.current {
                weights.stable = weights.current.clone();
            }
        }
    }

    /// Adds each region's current utilisation to its mean. `utilisation` returns `None` for a
    /// region without fresh reports, whose mean stays as it is.
    pub(crate) fn record_loads(
        &mut self,
        service: &ServiceName,
        mut utilisation: impl FnMut(&Region) -> Option<f64>,
    ) {
        let Some(weights) = self.services.get_mut(service) else {
            return;
        };
        for ((region, _), load) in weights.current.iter().zip(&mut weights.mean_utilisation) {
            if let Some(utilisation) = utilisation(region) {
                *load += LOAD_GAIN * (utilisation.min(1.0) - *load);
            }
        }
    }

    /// Whether a table version is in force.
    pub(crate) fn has_table(&self) -> bool {
        self.in_force
    }

    pub(crate) fn has_service(&self, service: &ServiceName) -> bool {
        self.weights(service).is_some()
    }

    pub(crate) fn values(&self, service: &ServiceName, region: &Region) -> Option<RowValues> {
        let key = RowKey {
            service: service.clone(),
            region: region.clone(),
        };
        Some(self.view.as_ref()?.rows.get(&key)?.values)
    }

    pub(crate) fn objective(&self, service: &ServiceName, region: &Region) -> Objective {
        self.values(service, region)
            .map_or_else(Objective::default, |values| values.objective)
    }

    /// Whether the region has a weight above 0 for the service, or no weights are in force
    /// for it.
    pub(crate) fn accepts_traffic(&self, service: &ServiceName, region: &Region) -> bool {
        self.weights(service).is_none_or(|weights| {
            weights
                .current
                .iter()
                .any(|(name, weight)| name == region && *weight > 0.0)
        })
    }

    /// The caller's home region under the stable weights; `None` if no weights are in force
    /// for the service or the caller's address is unknown.
    pub(crate) fn home_region(
        &self,
        service: &ServiceName,
        caller: Option<IpAddr>,
    ) -> Option<&Region> {
        let weights = self.weights(service)?;
        let key = Key::new().text(service.as_str()).address(caller?);
        let distances = weights
            .stable
            .iter()
            .map(|(region, weight)| (key.clone().text(region.as_str()).distance(*weight), region));
        distances
            .filter(|(distance, _)| distance.is_finite())
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, region)| region)
    }

    /// Regions in the order in which the caller should use them, by the adjusted weights.
    /// Without an address the order is drawn at random by the same weights.
    pub(crate) fn region_order(
        &self,
        service: &ServiceName,
        caller: Option<IpAddr>,
        rng: &mut StdRng,
    ) -> Vec<Region> {
        let Some(weights) = self.weights(service) else {
            return Vec::new();
        };
        let key = Key::new().text(service.as_str());
        let key = match caller {
            Some(addr) => key.address(addr),
            None => key.number(rng.next_u64()),
        };
        let mut ranked: Vec<_> = weights
            .load_adjusted()
            .map(|(region, weight)| (key.clone().text(region.as_str()).distance(weight), region))
            .filter(|(distance, _)| distance.is_finite())
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked
            .into_iter()
            .map(|(_, region)| region.clone())
            .collect()
    }
}
