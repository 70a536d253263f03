//! The endpoints of one service in the own failure domain, and what waits for them.

use std::sync::Arc;
use std::time::Duration;

use filberthead_types::{Moment, NodeName};
use rand::Rng;
use rand::rngs::StdRng;

use crate::config::{Config, EndpointSelection};
use crate::endpoint::Endpoint;
use crate::estimate::Mean;
use crate::health::Usability;
use crate::queue::Queue;
use crate::{EndpointInfo, FinishKind};

/// First guess of a service's latency, until answers have been seen.
const LATENCY_GUESS: Duration = Duration::from_millis(50);

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) endpoints: Vec<Endpoint>,
    /// Requests of this region's own callers that wait.
    pub(crate) home_queue: Queue,
    /// Shifted requests that wait, apart because the shift cap may hold only them.
    pub(crate) shifted_queue: Queue,
    /// Time to the first byte of an answer.
    pub(crate) latency: Mean,
    /// Time for which a request holds its slot.
    pub(crate) hold: Mean,
    pub(crate) running: u32,
    pub(crate) shifted_running: u32,
    /// Price of a slot in the region, in seconds: what its use costs those who wait.
    pub(crate) price: f64,
    /// Mean filled part of the slots here.
    pub(crate) mean: f64,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            home_queue: Queue::default(),
            shifted_queue: Queue::default(),
            latency: Mean::new(LATENCY_GUESS),
            hold: Mean::new(LATENCY_GUESS),
            running: 0,
            shifted_running: 0,
            price: 0.0,
            mean: 0.0,
        }
    }

    pub(crate) fn waiting(&self) -> u32 {
        (self.home_queue.len() + self.shifted_queue.len()) as u32
    }

    /// Requests in progress at the endpoints that this entry admits to, those of an
    /// earlier owner included.
    pub(crate) fn in_progress(&self, now: Moment) -> u32 {
        let foreign: u32 = self.endpoints.iter().map(|e| e.foreign(now)).sum();
        self.running + foreign
    }

    /// Takes in the list of endpoints.
    pub(crate) fn set_endpoints(&mut self, infos: &[Arc<EndpointInfo>], cfg: &Config) {
        for endpoint in &mut self.endpoints {
            endpoint.gone = true;
        }
        let guess = Duration::from_secs_f64(self.latency.seconds());
        for info in infos {
            match self.find(&info.name) {
                Some(endpoint) => {
                    endpoint.gone = false;
                    endpoint.info = Arc::clone(info);
                }
                None => {
                    let info = Arc::clone(info);
                    self.endpoints
                        .push(Endpoint::new(info, guess, cfg.slow_start));
                }
            }
        }
        self.forget_gone();
    }

    pub(crate) fn forget_gone(&mut self) {
        self.endpoints
            .retain(|endpoint| !endpoint.gone || endpoint.running > 0);
    }

    pub(crate) fn find(&mut self, name: &NodeName) -> Option<&mut Endpoint> {
        self.endpoints
            .iter_mut()
            .find(|endpoint| endpoint.info.name == *name)
    }

    /// Whether silence of probes says something about endpoints. When most of them fall
    /// silent at once, the measurement is the likelier fault, and giving all of them up
    /// would turn a lost probe into an outage.
    fn trusts_silence(&self, now: Moment, cfg: &Config) -> bool {
        let silent = self
            .endpoints
            .iter()
            .filter(|e| e.usability(now, cfg.reading_ttl) == Usability::Silent)
            .count();
        2 * silent <= self.endpoints.len()
    }

    /// Slots of usable endpoints that this entry may fill.
    pub(crate) fn capacity(&self, now: Moment, cfg: &Config) -> u32 {
        let trusts_silence = self.trusts_silence(now, cfg);
        self.endpoints
            .iter()
            .filter(|e| usable(e, now, cfg, trusts_silence))
            .map(|e| e.capacity(now))
            .sum()
    }

    /// All slots that this entry may fill when its endpoints are well; stable, unlike
    /// [`Pool::capacity`], so that look-ups don't change with each back-off.
    pub(crate) fn slots(&self) -> u32 {
        self.endpoints
            .iter()
            .filter(|e| !e.gone && !e.health.leaving())
            .map(Endpoint::granted)
            .sum()
    }

    /// Index of the endpoint that the next request would go to.
    pub(crate) fn pick(
        &self,
        now: Moment,
        cfg: &Config,
        tried: &[NodeName],
        rng: &mut StdRng,
    ) -> Option<usize> {
        let trusts_silence = self.trusts_silence(now, cfg);
        let service_seconds = self.latency.seconds();
        let candidate = |e: &Endpoint| {
            e.free(now) > 0
                && usable(e, now, cfg, trusts_silence)
                && e.connectable()
                && !e.slow(now, service_seconds)
                && !tried.contains(&e.info.name)
        };
        let free = || (0..self.endpoints.len()).filter(|&i| candidate(&self.endpoints[i]));
        match cfg.endpoint_selection {
            EndpointSelection::LeastLoaded => free().min_by_key(|&i| {
                let e = &self.endpoints[i];
                (e.running, (e.latency.seconds() * 1e6) as u64)
            }),
            EndpointSelection::PowerOfTwoChoices => {
                let free: Vec<_> = free().collect();
                if free.is_empty() {
                    return None;
                }
                let one = free[rng.random_range(0..free.len())];
                let two = free[rng.random_range(0..free.len())];
                let less = self.endpoints[two].running < self.endpoints[one].running;
                Some(if less { two } else { one })
            }
            EndpointSelection::LatencyTimesLoad => free().min_by_key(|&i| {
                let e = &self.endpoints[i];
                (e.latency.seconds() * f64::from(e.running + 1) * 1e6) as u64
            }),
        }
    }

    /// Expected time until a request that joins the queue gets a slot, in seconds.
    pub(crate) fn wait_seconds(&self, now: Moment, cfg: &Config) -> f64 {
        let capacity = self.capacity(now, cfg).max(1);
        f64::from(self.waiting() + 1) * self.hold.seconds() / f64::from(capacity)
    }

    pub(crate) fn start(&mut self, now: Moment, index: usize, shifted: bool) {
        self.endpoints[index].start(now);
        self.running += 1;
        self.shifted_running += u32::from(shifted);
    }

    pub(crate) fn finish(
        &mut self,
        now: Moment,
        endpoint: &NodeName,
        shifted: bool,
        kind: FinishKind,
        first_byte: Duration,
        held: Duration,
    ) {
        self.running = self.running.saturating_sub(1);
        self.shifted_running = self.shifted_running.saturating_sub(u32::from(shifted));
        if kind == FinishKind::Answered {
            self.latency.add(first_byte);
            self.hold.add(held);
        }
        if let Some(endpoint) = self.find(endpoint) {
            endpoint.finish(now, kind, first_byte);
            if endpoint.gone {
                self.forget_gone();
            }
        }
    }
}

fn usable(endpoint: &Endpoint, now: Moment, cfg: &Config, trusts_silence: bool) -> bool {
    match endpoint.usability(now, cfg.reading_ttl) {
        Usability::Usable => true,
        Usability::Silent => !trusts_silence,
        Usability::Unusable => false,
    }
}
