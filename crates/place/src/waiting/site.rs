//! What the placer knows about a request before an endpoint is chosen.

use std::time::Duration;

use filberthead_types::{Moment, Region, ServiceName};

use crate::{Affinity, EndpointRef, Placer, Request, rank};

/// A service in a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Site {
    /// The service.
    pub service: ServiceName,
    /// Where its endpoints run.
    pub region: Region,
}

/// An endpoint, as far as a window needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteEndpoint {
    /// Where it runs.
    pub site: Site,
    /// Hash of its id.
    pub key: u64,
    /// Its slots.
    pub slots: u32,
}

/// Time that a request is expected to take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedWork {
    /// Time at the endpoint, without a wait.
    pub work: Duration,
    /// Whether this gateway has lately sent the object to an endpoint.
    pub is_cached: bool,
}

impl Placer {
    /// Where a request that wants a place is going to run, as far as is known before an endpoint is chosen.
    pub fn site(&mut self, now: Moment, req: &Request<'_>) -> Site {
        let planned = self.planned_region(req, self.object_key(req));
        self.record_planned(now, req, planned.as_ref());
        let planned = self.bounded(req, planned).0;
        Site {
            service: req.service.clone(),
            region: planned.unwrap_or_else(|| self.cfg.region.clone()),
        }
    }

    /// Where an endpoint runs; `None` if it isn't listed.
    pub fn site_of<'a>(&self, endpoint: impl Into<EndpointRef<'a>>) -> Option<SiteEndpoint> {
        let endpoint = endpoint.into();
        let state = self.endpoints.iter().find(|e| e.is_target(endpoint))?;
        let site = Site {
            service: state.service.clone(),
            region: state.region.clone()?,
        };
        Some(SiteEndpoint {
            site,
            key: rank::hash_name(state.id.as_bytes()),
            slots: state.slots,
        })
    }

    /// Time that a request is expected to take at its endpoint.
    pub fn work_of(&self, now: Moment, req: &Request<'_>) -> ExpectedWork {
        let times = self.response_times(req);
        let object = self.object_key(req);
        let is_cached = object.is_some_and(|object| {
            let mut of_service = self.endpoints.iter().filter(|e| e.service == *req.service);
            of_service.any(|e| e.was_recently_sent(now, object))
        });
        let affinity = match is_cached {
            true => Affinity::Sent,
            false => Affinity::Perhaps(0),
        };
        ExpectedWork {
            work: Duration::from_secs_f64(times.expected(affinity).max(0.0)),
            is_cached,
        }
    }
}
