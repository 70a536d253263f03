//! A short surge of load on endpoints that cache a few objects each.

use std::collections::{BTreeMap, VecDeque};

use filberthead_place::{Decision, EndpointId, Load, Outcome, Placer, Target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::{endpoint, ms, placer, request, service};

/// Milliseconds that a request takes with its object cached, and without.
const CACHED_MS: u64 = 75;
const UNCACHED_MS: u64 = 240;
const OBJECTIVE_MS: u64 = 300;
const SLOTS: usize = 3;
/// Objects that an endpoint caches, and objects that there are.
const CACHE_SIZE: usize = 20;
const OBJECTS: u32 = 60;

struct Job {
    gateway: usize,
    object: u32,
    target: Target,
    arrived_at: u64,
}

#[derive(Default)]
struct SimulatedEndpoint {
    running: Vec<(u64, Job)>,
    waiting: VecDeque<Job>,
    cache: VecDeque<u32>,
}

impl SimulatedEndpoint {
    /// Starts waiting jobs, and returns those that are finished at `now`.
    fn advance(&mut self, now: u64) -> Vec<Job> {
        let running = std::mem::take(&mut self.running);
        let (done, running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, _)| *end <= now);
        self.running = running;
        while self.running.len() < SLOTS {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let duration = if self.cache.contains(&job.object) {
                CACHED_MS
            } else {
                UNCACHED_MS
            };
            self.cache.retain(|object| *object != job.object);
            self.cache.push_back(job.object);
            if self.cache.len() > CACHE_SIZE {
                self.cache.pop_front();
            }
            self.running.push((now + duration, job));
        }
        done.into_iter().map(|(_, job)| job).collect()
    }
}

/// Simulates `seconds` of requests at `per_s(second)` through two gateways on four endpoints.
/// Returns the share of each second's requests that met the objective.
fn simulate(seed: u64, seconds: u64, per_s: impl Fn(u64) -> f64) -> Vec<f64> {
    let names = ["a", "b", "c", "d"];
    let list = || names.map(|name| endpoint(name, "north-1")).into();
    let mut gateways: Vec<Placer> = (0..2).map(|_| placer("north-1", list())).collect();
    let mut endpoints: BTreeMap<EndpointId, SimulatedEndpoint> = BTreeMap::new();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counts = vec![(0, 0); seconds as usize + 1];
    let service = service();
    for now in 0..seconds * 1000 {
        let second = (now / 1000) as usize;
        if rng.random::<f64>() < per_s(now / 1000) / 1000.0 {
            counts[second].0 += 1;
            let object = rng.random_range(0..OBJECTS);
            let gateway = rng.random_range(0..gateways.len());
            let name = object.to_string();
            let decision = gateways[gateway].place(ms(now), request(&service, name.as_bytes()));
            if let Decision::Send(target) = decision {
                let endpoint = endpoints.entry(target.id.clone()).or_default();
                endpoint.waiting.push_back(Job {
                    gateway,
                    object,
                    target,
                    arrived_at: now,
                });
            }
        }
        for endpoint in endpoints.values_mut() {
            for job in endpoint.advance(now) {
                let took = now - job.arrived_at;
                let load = Load {
                    running: endpoint.running.len() as u32,
                    waiting: endpoint.waiting.len() as u32,
                    slowdown: None,
                };
                let placer = &mut gateways[job.gateway];
                placer.record_outcome(ms(now), &service, &job.target, Outcome::Served(ms(took)));
                placer.record_load(ms(now), &job.target, load);
                let arrival_second = (job.arrived_at / 1000) as usize;
                counts[arrival_second].1 += u32::from(took <= OBJECTIVE_MS);
            }
        }
    }
    let share = |(all, good): &(u32, u32)| f64::from(*good) / f64::from((*all).max(1));
    counts.iter().take(seconds as usize).map(share).collect()
}

/// Callers send three times the usual rate for three seconds, more than the endpoints can
/// handle. Within seconds after that, responses must be in time again. If a surge could move
/// objects to whatever slot is free, endpoints would drop the objects they have cached, every
/// request would cost three times the work, and the usual rate would be too much permanently.
#[test]
fn a_surge_does_not_become_a_lasting_overload() {
    let usual = 0.7 * 12.0 * 1000.0 / CACHED_MS as f64;
    for seed in 0..5 {
        let shares = simulate(seed, 30, |second| match second {
            10..13 => 3.0 * usual,
            _ => usual,
        });
        let mean = |range: std::ops::Range<usize>| {
            shares[range.clone()].iter().sum::<f64>() / range.len() as f64
        };
        let (before, after) = (mean(5..10), mean(18..30));
        assert!(before > 0.85, "seed {seed}: {before} before, {shares:?}");
        assert!(after > 0.85, "seed {seed}: {after} after, {shares:?}");
    }
}
