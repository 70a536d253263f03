//! Callers of the simulation: when requests arrive, for which objects, and at which
//! gateway.

use filberthead_types::{FailureDomain, Region};
use rand::Rng;
use rand::rngs::StdRng;

use super::pattern::Pattern;
use super::site::{KINDS, KindOfRequest, domains, regions};

/// Period of the sine wave that a region's demand follows, in seconds.
const DEMAND_PERIOD_S: f64 = 36.0;

/// What a caller requests, and of which gateway.
#[derive(Clone, Debug)]
pub(super) struct RequestSpec {
    pub(super) kind: &'static KindOfRequest,
    /// Region of the caller.
    pub(super) region: Region,
    /// Identifies the object at endpoints, unique over all regions and kinds.
    pub(super) object: u64,
    /// Object name in the request. Equal for the objects of the same number on different
    /// routes.
    pub(super) name: String,
    /// Index of the gateway that receives it.
    pub(super) gateway: usize,
    /// Service time where the object isn't cached, in milliseconds.
    pub(super) work_ms: f64,
    /// 0 is the most urgent.
    pub(super) priority: u8,
}

/// Draws requests for every failure domain.
#[derive(Debug)]
pub(super) struct Callers {
    domains: Vec<FailureDomain>,
    /// Region of each failure domain, by its index.
    regions_by_domain: Vec<Region>,
    requests_per_s: f64,
    amplitude: f64,
    has_priorities: bool,
    /// Gateways in each failure domain.
    pub(super) gateways: usize,
    /// Factor on `requests_per_s`, set by [`Change::Rate`](super::pattern::Change::Rate).
    pub(super) rate_factor: f64,
    /// Home region, other region, and the share of the home region's callers that connect
    /// to gateways of the other one.
    pub(super) moved: Option<(Region, Region, f64)>,
}

impl Callers {
    pub(super) fn new(pattern: &Pattern) -> Self {
        let domains = domains();
        let regions = regions();
        let regions_by_domain = domains.iter().map(|domain| regions[domain].clone());
        Self {
            regions_by_domain: regions_by_domain.collect(),
            domains,
            requests_per_s: pattern.requests_per_s,
            amplitude: pattern.amplitude,
            has_priorities: pattern.has_priorities,
            gateways: pattern.gateways,
            rate_factor: 1.0,
            moved: None,
        }
    }

    /// Failure domains, by index.
    pub(super) fn domains(&self) -> &[FailureDomain] {
        &self.domains
    }

    /// Draws the milliseconds until the next request of a failure domain's callers,
    /// exponentially distributed.
    pub(super) fn interarrival_ms(&self, rng: &mut StdRng, now: u64, domain: usize) -> f64 {
        let region_phase = (domain / 2) as f64 / 3.0;
        let phase = now as f64 / 1000.0 / DEMAND_PERIOD_S + region_phase;
        let wave = 1.0 + self.amplitude * (phase * std::f64::consts::TAU).sin();
        let per_ms = self.requests_per_s * self.rate_factor * wave / 1000.0;
        -(1.0 - rng.random::<f64>()).ln() / per_ms
    }

    /// Draws the next request of a failure domain's callers.
    pub(super) fn draw_request(&self, rng: &mut StdRng, domain: usize) -> RequestSpec {
        let kind = draw_kind(rng);
        let number = rng.random_range(0..kind.objects);
        let region = domain / 2;
        let kind_index = KINDS.iter().position(|each| each.name == kind.name);
        let spread = super::site::WORK_SPREAD * (2.0 * rng.random::<f64>() - 1.0);
        RequestSpec {
            kind,
            region: self.regions_by_domain[domain].clone(),
            object: (kind_index.unwrap_or(0) as u64) << 40
                | (region as u64) << 32
                | u64::from(number),
            name: format!("{region}-{number}"),
            gateway: self.gateway(rng, domain),
            work_ms: kind.work_ms * (1.0 + spread),
            priority: match self.has_priorities {
                true => kind.priority,
                false => 0,
            },
        }
    }

    /// Draws the gateway that a caller of a failure domain connects to.
    fn gateway(&self, rng: &mut StdRng, domain: usize) -> usize {
        let mut domain = domain;
        if let Some((from, to, part)) = &self.moved
            && self.regions_by_domain[domain] == *from
            && rng.random::<f64>() < *part
        {
            let first_domain = self
                .regions_by_domain
                .iter()
                .position(|region| region == to);
            domain = first_domain.unwrap_or(domain) + rng.random_range(0..2);
        }
        domain * self.gateways + rng.random_range(0..self.gateways)
    }
}

fn draw_kind(rng: &mut StdRng) -> &'static KindOfRequest {
    let mut remaining = rng.random::<f64>();
    for kind in &KINDS {
        remaining -= kind.share;
        if remaining < 0.0 {
            return kind;
        }
    }
    &KINDS[0]
}
