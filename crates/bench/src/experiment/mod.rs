//! Simulated comparison of our steering policy with baseline policies, on two deployments.
//!
//! The simulation has endpoints with slots, a backlog, caches that can be cold, and load
//! readings that can be late or wrong; callers that cache look-up results; and a platform's
//! endpoint list that lags. The policies are the ones that the daemon runs, driven by an
//! event loop over [`Moment`](filberthead_types::Moment), so a scenario runs in a fraction
//! of a second and gives the same figures every time.

mod baseline;
mod bound;
mod build;
mod deployment;
mod endpoint;
mod flow;
mod metrics;
mod policy;
mod report;
mod scenario;
mod simulation;
mod steps;

pub use baseline::{Baseline, Pick};
pub use bound::least_latency;
pub use deployment::{Deployment, ServiceSpec, associacao, kovceg};
pub use endpoint::ReadingMode;
pub use metrics::{Drain, Figures, ServiceFigures};
pub use policy::{PolicyKind, Version};
pub use report::{print_lines, print_table};
pub use scenario::{LENGTH, Scenario, Step, scenarios};

/// Figures of one policy in one scenario of one deployment.
#[derive(Debug)]
pub struct Run {
    /// The deployment's name.
    pub deployment: &'static str,
    /// The scenario's name.
    pub scenario: &'static str,
    /// Whether load or faults are uneven between endpoints in the scenario.
    pub skewed: bool,
    /// The policy.
    pub policy: PolicyKind,
    /// Names of the services, in the order of [`Figures::services`].
    pub services: Vec<&'static str>,
    /// Lower bound on the p99 latency of each service; see [`least_latency`].
    pub bounds: Vec<std::time::Duration>,
    /// What was measured.
    pub figures: Figures,
}

/// Runs a scenario under a policy.
pub fn run(deployment: &Deployment, scenario: &Scenario, policy: PolicyKind, seed: u64) -> Run {
    let simulation =
        simulation::Simulation::new(policy, deployment.clone(), scenario.clone(), seed);
    Run {
        deployment: deployment.name,
        scenario: scenario.name,
        skewed: scenario.skewed,
        policy,
        services: deployment.services.iter().map(|s| s.name).collect(),
        bounds: (0..deployment.services.len())
            .map(|service| least_latency(deployment, service, 0.99))
            .collect(),
        figures: simulation.run(),
    }
}
