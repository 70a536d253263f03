//! The two simulated deployments.

use std::time::Duration;

use filberthead_table::{Objective, RowValues};

/// A service with its endpoints and its load.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name, as in the figures.
    pub name: &'static str,
    /// Endpoints in each failure domain.
    pub endpoints: [usize; DOMAINS],
    /// Slots of an endpoint.
    pub slots: u32,
    /// Connections of an endpoint.
    pub connections: u32,
    /// Mean service time at a warm endpoint.
    pub service_time: Duration,
    /// Time after which a caller cancels a request.
    pub caller_timeout: Duration,
    /// Utilisation of all slots under the base load, from 0 to 1.
    pub load: f64,
}

/// Failure domains in a deployment.
pub(crate) const DOMAINS: usize = 6;
/// Failure domains in a region.
pub(crate) const DOMAINS_PER_REGION: usize = 2;
/// Regions in a deployment.
pub(crate) const REGIONS: usize = DOMAINS / DOMAINS_PER_REGION;

/// The deployment of one user.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name, as in the figures.
    pub name: &'static str,
    /// Names of its regions.
    pub regions: [&'static str; REGIONS],
    /// Entries in each failure domain.
    pub entries: [usize; DOMAINS],
    /// One-way delay within a failure domain.
    pub domain_delay: Duration,
    /// One-way delay between the failure domains of a region.
    pub region_delay: Duration,
    /// One-way delay between regions.
    pub inter_region_delay: Duration,
    /// One-way delay between callers and entries.
    pub caller_delay: Duration,
    /// Time to open a connection. Not used by the simulation.
    pub connect: Duration,
    /// Time from a probe to its result.
    pub probe_delay: Duration,
    /// Objective of all its rows.
    pub objective: Objective,
    /// Its services. Headroom, shift excess and `p99-to-bound` are measured for the first
    /// one only.
    pub services: Vec<ServiceSpec>,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service(
    name: &'static str,
    endpoints: [usize; DOMAINS],
    service_time: u64,
    caller_timeout: u64,
) -> ServiceSpec {
    ServiceSpec {
        name,
        endpoints,
        slots: 3,
        connections: 330,
        service_time: ms(service_time),
        caller_timeout: ms(caller_timeout),
        load: 0.55,
    }
}

/// Deployment of a franchise of magic shops.
pub fn kovceg() -> Deployment {
    Deployment {
        name: "kovceg",
        regions: ["zagreb", "split", "osijek"],
        entries: [2, 2, 2, 2, 2, 1],
        domain_delay: Duration::from_micros(200),
        region_delay: Duration::from_micros(1500),
        inter_region_delay: ms(35),
        caller_delay: ms(3),
        connect: ms(1),
        probe_delay: ms(6),
        objective: Objective::Latency,
        services: vec![
            service("catalogue", [3, 3, 3, 3, 2, 2], 20, 1000),
            service("orders", [2; DOMAINS], 50, 3000),
            service("lessons", [2; DOMAINS], 400, 10_000),
        ],
    }
}

/// Deployment of a network of weather stations.
pub fn associacao() -> Deployment {
    let mut services = vec![
        service("readings", [3; DOMAINS], 15, 1000),
        service("intake", [2; DOMAINS], 40, 3000),
        service("archive", [2; DOMAINS], 600, 10_000),
    ];
    for service in &mut services {
        service.connections = 390;
    }
    Deployment {
        name: "associacao",
        regions: ["norte", "sul", "ilhas"],
        entries: [2, 1, 2, 1, 1, 1],
        domain_delay: Duration::from_micros(200),
        region_delay: Duration::from_micros(500),
        inter_region_delay: ms(35),
        caller_delay: ms(3),
        connect: ms(1),
        probe_delay: ms(6),
        objective: Objective::Headroom,
        services,
    }
}

impl Deployment {
    /// Slots of a service in a region.
    pub fn region_slots(&self, service: usize, region: usize) -> u32 {
        let spec = &self.services[service];
        let first = region * DOMAINS_PER_REGION;
        let endpoints: usize = spec.endpoints[first..first + DOMAINS_PER_REGION]
            .iter()
            .sum();
        endpoints as u32 * spec.slots
    }

    /// Slots of a service in all regions.
    pub fn slots(&self, service: usize) -> u32 {
        (0..REGIONS).map(|r| self.region_slots(service, r)).sum()
    }

    /// The table row of a service in a region: weight and limit equal the slots, the shift
    /// cap is half of them.
    pub fn row(&self, service: usize, region: usize) -> RowValues {
        let slots = self.region_slots(service, region);
        RowValues {
            weight: slots,
            limit: slots,
            shift_cap: slots / 2,
            objective: self.objective,
        }
    }

    /// Requests a second that give a service's slots the utilisation `load`.
    pub fn rate(&self, service: usize, load: f64) -> f64 {
        f64::from(self.slots(service)) * load / self.services[service].service_time.as_secs_f64()
    }

    /// Name of a failure domain.
    pub fn domain_name(&self, domain: usize) -> String {
        let letter = if domain.is_multiple_of(DOMAINS_PER_REGION) {
            'a'
        } else {
            'b'
        };
        format!("{}-{letter}", self.regions[domain / DOMAINS_PER_REGION])
    }
}
