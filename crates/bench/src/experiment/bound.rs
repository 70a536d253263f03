//! An analytical lower bound on latency.
//!
//! No policy can beat a request that finds a free slot at a warm endpoint in the failure
//! domain of the entry that its caller contacted: two one-way delays between caller and
//! entry, two between entry and endpoint, and the service time. The service time is half
//! fixed and half exponentially distributed, so its quantiles are known. The bound is tight
//! where all demand fits the slots, as in the scenario `steady`; it can't be reached where
//! some of the slots are gone.

use std::time::Duration;

use super::deployment::Deployment;

/// Lower bound on the given quantile of a service's latency.
pub fn least_latency(deployment: &Deployment, service: usize, quantile: f64) -> Duration {
    let service_time = deployment.services[service].service_time;
    let tail = -(1.0 - quantile).ln();
    2 * (deployment.caller_delay + deployment.domain_delay) + service_time.mul_f64(0.5 + 0.5 * tail)
}
