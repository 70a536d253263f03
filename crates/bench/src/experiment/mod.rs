//! Steering against baselines, on the two deployments that it is built for.
//!
//! Small fakes stand at the policy's border: endpoints with slots, a backlog, caches
//! that can be cold, and readings that lag or lie; callers that keep the answers to
//! look-ups; a platform's list that lags. The policies are the ones that the daemon
//! runs, driven by a plain event loop over [`Moment`](filberthead_types::Moment), so a
//! run of a scene takes a fraction of a second and gives the same figures every time.

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

/// Figures of one policy in one scene of one deployment.
#[derive(Debug)]
pub struct Run {
    /// The deployment's name.
    pub deployment: &'static str,
    /// The scene's name.
    pub scenario: &'static str,
    /// Whether the scene is an uneven one.
    pub skewed: bool,
    /// The policy.
    pub policy: PolicyKind,
    /// Names of the services, as in the figures.
    pub services: Vec<&'static str>,
    /// Least p99 that any plan could reach, by service.
    pub bounds: Vec<std::time::Duration>,
    /// What was measured.
    pub figures: Figures,
}

/// Runs a scene.
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
