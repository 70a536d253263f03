//! Baseline policies: load balancing without counted slots or leases.
//!
//! They have more information than our policy: every entry may send to each endpoint of its
//! region directly, and the two that use readings probe more often.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_steer::{Action, Decision, EndpointInfo, EntryInfo, Event, RequestInfo, Steering};
use filberthead_table::View;
use filberthead_types::{Moment, NodeName, Region, RequestId, ResultCode, ServiceName};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a baseline selects an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Round robin over the endpoints that the platform's list doesn't show as leaving.
    RoundRobin,
    /// The endpoint with the lowest load in its last reading. Endpoints whose reading says
    /// not ready or leaving are excluded.
    LeastReported,
    /// Of two endpoints drawn at random, the one with fewer requests from this entry.
    /// Endpoints whose reading says not ready or leaving are excluded.
    TwoChoices,
}

/// An endpoint as the baseline sees it.
#[derive(Debug)]
struct EndpointState {
    info: Arc<EndpointInfo>,
    /// From the last reading.
    load: f64,
    /// Whether the last probe showed it as ready and not leaving.
    ready: bool,
    /// Whether the platform's list shows it as leaving.
    listed_leaving: bool,
    /// Requests from this entry that are in progress.
    running: u32,
}

/// A baseline policy.
#[derive(Debug)]
pub struct Baseline {
    pick: Pick,
    endpoints: Vec<EndpointState>,
    entries: Vec<EntryInfo>,
    view: Option<Arc<View>>,
    /// Endpoint of each request in progress.
    running: HashMap<RequestId, NodeName>,
    /// Position of the round robin, which also breaks ties.
    next: usize,
    next_probe: Moment,
    rng: StdRng,
}

impl Baseline {
    /// A baseline without endpoints, entries or a table.
    pub fn new(pick: Pick, seed: u64) -> Self {
        Self {
            pick,
            endpoints: Vec::new(),
            entries: Vec::new(),
            view: None,
            running: HashMap::new(),
            next: 0,
            next_probe: Moment::ZERO,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn usable(&self, state: &EndpointState, req: &RequestInfo) -> bool {
        state.info.service == req.service
            && !state.listed_leaving
            && !req.tried.contains(&state.info.name)
            && (self.pick == Pick::RoundRobin || state.ready)
    }

    fn choose(&mut self, req: &RequestInfo) -> Option<usize> {
        let usable: Vec<_> = (0..self.endpoints.len())
            .filter(|&i| self.usable(&self.endpoints[i], req))
            .collect();
        if usable.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        let mut draw = || usable[self.rng.random_range(0..usable.len())];
        match self.pick {
            Pick::RoundRobin => Some(usable[self.next % usable.len()]),
            Pick::TwoChoices => {
                let (one, two) = (draw(), draw());
                let less = self.endpoints[two].running < self.endpoints[one].running;
                Some(if less { two } else { one })
            }
            Pick::LeastReported => {
                let least = usable
                    .iter()
                    .map(|&i| self.endpoints[i].load)
                    .fold(f64::INFINITY, f64::min);
                let ties: Vec<_> = usable
                    .iter()
                    .copied()
                    .filter(|&i| self.endpoints[i].load <= least)
                    .collect();
                Some(ties[self.next % ties.len()])
            }
        }
    }

    /// Draws a region by the weights of the service's rows, among the regions that have
    /// entries.
    fn draw_region(&mut self, service: &ServiceName) -> Option<Region> {
        let view = self.view.as_ref()?;
        let has_entry = |region: &Region| self.entries.iter().any(|entry| entry.region == *region);
        let rows: Vec<_> = view
            .rows
            .iter()
            .filter(|(key, _)| key.service == *service && has_entry(&key.region))
            .collect();
        let sum: u32 = rows.iter().map(|(_, row)| row.values.weight).sum();
        let mut remaining = self.rng.random_range(0..sum.max(1));
        for (key, row) in rows {
            if remaining < row.values.weight {
                return Some(key.region.clone());
            }
            remaining -= row.values.weight;
        }
        None
    }

    fn find(&mut self, name: &NodeName) -> Option<&mut EndpointState> {
        self.endpoints
            .iter_mut()
            .find(|state| state.info.name == *name)
    }

    fn set_endpoints(&mut self, infos: Vec<EndpointInfo>) {
        self.endpoints = infos
            .into_iter()
            .map(|info| EndpointState {
                info: Arc::new(info),
                load: 0.0,
                ready: true,
                listed_leaving: false,
                running: 0,
            })
            .collect();
    }

    fn probes(&mut self, now: Moment) -> Vec<Action> {
        if self.pick == Pick::RoundRobin || now < self.next_probe {
            return Vec::new();
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.endpoints
            .iter()
            .map(|state| Action::Probe {
                endpoint: Arc::clone(&state.info),
            })
            .collect()
    }
}

impl Steering for Baseline {
    fn place(&mut self, _now: Moment, req: &RequestInfo) -> Decision {
        let Some(index) = self.choose(req) else {
            return Decision::Refuse {
                code: ResultCode::NoEndpoint,
                retry_after: RETRY_AFTER,
            };
        };
        let state = &mut self.endpoints[index];
        state.running += 1;
        self.running.insert(req.id, state.info.name.clone());
        Decision::Endpoint(Arc::clone(&state.info))
    }

    fn look_up(
        &mut self,
        _now: Moment,
        service: &ServiceName,
        _caller: Option<IpAddr>,
    ) -> Vec<NodeName> {
        let region = self.draw_region(service);
        let mut serving: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| !entry.leaving)
            .cloned()
            .collect();
        serving.shuffle(&mut self.rng);
        serving.sort_by_key(|entry| Some(&entry.region) != region.as_ref());
        serving.into_iter().map(|entry| entry.name).collect()
    }

    fn observe(&mut self, now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => return self.probes(now),
            Event::Table(view) => self.view = Some(view),
            Event::Endpoints(infos) => self.set_endpoints(infos),
            Event::Entries(entries) => self.entries = entries,
            Event::Leaving(names) => {
                for state in &mut self.endpoints {
                    state.listed_leaving = names.contains(&state.info.name);
                }
            }
            Event::Reading { endpoint, reading } => {
                if let Some(state) = self.find(&endpoint) {
                    state.load = reading.load;
                    state.ready = reading.ready && !reading.leaving;
                }
            }
            Event::ProbeFailed { endpoint } => {
                if let Some(state) = self.find(&endpoint) {
                    state.ready = false;
                }
            }
            Event::Finished { id, .. } => {
                if let Some(name) = self.running.remove(&id)
                    && let Some(state) = self.find(&name)
                {
                    state.running -= 1;
                }
            }
            _ => {}
        }
        Vec::new()
    }
}
