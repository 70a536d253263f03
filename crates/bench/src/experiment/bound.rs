//! A lower bound on latency, worked out by hand.
//!
//! No plan can beat a request that finds a slot at once at a warm endpoint beside the
//! entry that its caller asked: two crossings between caller and entry, two between
//! entry and endpoint, and its own time. That time is half fixed and half exponential,
//! so its quantiles are known. The bound is tight where slots are enough for all, as on
//! a steady day; where a part of them is gone, nothing can reach it.

use std::time::Duration;

use super::deployment::Deployment;

/// Least time that the given part of a service's answers can keep to.
pub fn least_latency(deployment: &Deployment, service: usize, quantile: f64) -> Duration {
    let service_time = deployment.services[service].service_time;
    let tail = -(1.0 - quantile).ln();
    2 * (deployment.caller_delay + deployment.domain_delay) + service_time.mul_f64(0.5 + 0.5 * tail)
}
