//! Builds a simulation from a deployment.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use filberthead_steer::{EndpointInfo, EntryInfo, Event, Steering};
use filberthead_table::{Row, RowKey, View};
use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, Revision, Version};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::deployment::{DOMAINS, DOMAINS_PER_REGION, Deployment, REGIONS};
use super::endpoint::SimulatedEndpoint;
use super::policy::PolicyKind;
use super::scenario::Scenario;
use super::simulation::{Caller, SimulatedEntry, Simulation};

const CALLERS: u32 = 300;

impl Simulation {
    /// A simulation at its start, with all entries informed of table, endpoints and
    /// members.
    pub(crate) fn new(
        kind: PolicyKind,
        deployment: Deployment,
        scenario: Scenario,
        seed: u64,
    ) -> Self {
        let view = view(&deployment, 1, |_| false);
        let arrivals = StdRng::seed_from_u64(seed);
        let mut simulation = Self::empty(kind, deployment, scenario, view, arrivals);
        simulation.callers = (0..CALLERS).map(caller).collect();
        for domain in 0..DOMAINS {
            simulation.add_domain(domain);
        }
        for entry in 0..simulation.entries.len() {
            simulation.send_initial_state(entry);
        }
        simulation.send_members();
        simulation
    }

    fn add_domain(&mut self, domain: usize) {
        for service in 0..self.deployment.services.len() {
            for number in 0..self.deployment.services[service].endpoints[domain] {
                let info = endpoint_info(&self.deployment, service, domain, number);
                let name = info.name.clone();
                self.endpoint_by_name.insert(name, self.endpoints.len());
                let endpoint = SimulatedEndpoint::new(info, service, domain);
                self.endpoints.push(endpoint);
            }
        }
        for number in 0..self.deployment.entries[domain] {
            let info = entry_info(&self.deployment, domain, number);
            let index = self.entries.len();
            self.entry_by_name.insert(info.name.clone(), index);
            let policy = self.build_policy(&info);
            self.entries.push(SimulatedEntry {
                info,
                domain,
                policy,
                up: true,
                isolated: false,
            });
        }
    }

    /// A new policy for an entry; its seed depends on the incarnation in `info`.
    pub(crate) fn build_policy(&self, info: &EntryInfo) -> Box<dyn Steering> {
        self.kind.build(self.now, &self.deployment, info)
    }

    /// Passes an entry's policy the table and the endpoints that it may send to.
    pub(crate) fn send_initial_state(&mut self, entry: usize) {
        let domain = self.entries[entry].domain;
        let region = domain / DOMAINS_PER_REGION;
        let region_wide = self.kind.sends_to_whole_region();
        let is_reachable = |e: &&SimulatedEndpoint| {
            e.domain == domain || (region_wide && e.domain / DOMAINS_PER_REGION == region)
        };
        let infos = self.endpoints.iter().filter(is_reachable);
        let infos = infos.map(|e| (*e.info).clone()).collect();
        let view = std::sync::Arc::clone(&self.view);
        self.observe(entry, Event::Table(view));
        self.observe(entry, Event::Endpoints(infos));
    }

    /// Passes every entry's policy the entries that it can reach.
    pub(crate) fn send_members(&mut self) {
        for entry in 0..self.entries.len() {
            let reachable = (0..self.entries.len())
                .filter(|&other| other == entry || self.are_connected(entry, other));
            let infos = reachable
                .map(|other| self.entries[other].info.clone())
                .collect();
            self.observe(entry, Event::Entries(infos));
        }
    }
}

/// The table, with weight 0 in the regions for which `drained` holds.
pub(crate) fn view(deployment: &Deployment, version: u64, drained: impl Fn(usize) -> bool) -> View {
    let mut view = View {
        version: Version(version),
        ..View::default()
    };
    for (index, service) in deployment.services.iter().enumerate() {
        for region in 0..REGIONS {
            let key = RowKey {
                service: parse(service.name),
                region: parse(deployment.regions[region]),
            };
            let mut values = deployment.row(index, region);
            if drained(region) {
                values.weight = 0;
            }
            let revision = Revision(version);
            view.rows.insert(key, Row { values, revision });
        }
    }
    view
}

fn caller(number: u32) -> Caller {
    Caller {
        addr: IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number * 257)),
        cached_lookups: HashMap::new(),
        avoided_until: HashMap::new(),
        home: None,
    }
}

fn endpoint_info(
    deployment: &Deployment,
    service: usize,
    domain: usize,
    number: usize,
) -> EndpointInfo {
    let spec = &deployment.services[service];
    let domain_name = deployment.domain_name(domain);
    EndpointInfo {
        name: parse(&format!("{}-{domain_name}-{number}", spec.name)),
        service: parse(spec.name),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: parse(deployment.regions[domain / DOMAINS_PER_REGION]),
        failure_domain: parse(&domain_name),
        slots: spec.slots,
        connections: spec.connections,
    }
}

fn entry_info(deployment: &Deployment, domain: usize, number: usize) -> EntryInfo {
    let domain_name = deployment.domain_name(domain);
    let name: NodeName = parse(&format!("entry-{domain_name}-{number}"));
    let region: Region = parse(deployment.regions[domain / DOMAINS_PER_REGION]);
    let failure_domain: FailureDomain = parse(&domain_name);
    EntryInfo {
        name,
        incarnation: Incarnation(1),
        caller_addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        region,
        failure_domain,
        leaving: false,
    }
}

/// Parses a name made by this package, which is valid by construction.
pub(crate) fn parse<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse()
        .unwrap_or_else(|e| unreachable!("the names of deployments are valid: {e}"))
}
