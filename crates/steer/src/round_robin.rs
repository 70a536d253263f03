//! Round robin over the endpoints of the own failure domain: the baseline for comparing
//! policies.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_types::{Moment, NodeName, ResultCode, ServiceName};

use crate::{Action, Decision, EndpointInfo, Event, RequestInfo, Steering};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Round robin placement without counting, queueing or health checks.
#[derive(Debug, Default)]
pub struct RoundRobin {
    endpoints: Vec<Arc<EndpointInfo>>,
    entries: Vec<NodeName>,
    next: usize,
}

impl Steering for RoundRobin {
    fn place(&mut self, _now: Moment, req: &RequestInfo) -> Decision {
        let usable: Vec<_> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.service == req.service)
            .filter(|endpoint| !req.tried.contains(&endpoint.name))
            .collect();
        if usable.is_empty() {
            return Decision::Refuse {
                code: ResultCode::NoEndpoint,
                retry_after: RETRY_AFTER,
            };
        }
        self.next = self.next.wrapping_add(1);
        Decision::Endpoint(Arc::clone(usable[self.next % usable.len()]))
    }

    fn look_up(
        &mut self,
        _now: Moment,
        _service: &ServiceName,
        _caller: Option<IpAddr>,
    ) -> Vec<NodeName> {
        self.next = self.next.wrapping_add(1);
        let mut names = self.entries.clone();
        if !names.is_empty() {
            let len = names.len();
            names.rotate_left(self.next % len);
        }
        names
    }

    fn observe(&mut self, _now: Moment, event: Event) -> Vec<Action> {
        match event {
            Event::Endpoints(endpoints) => {
                self.endpoints = endpoints.into_iter().map(Arc::new).collect();
            }
            Event::Entries(entries) => {
                let serving = entries.into_iter().filter(|entry| !entry.leaving);
                self.entries = serving.map(|entry| entry.name).collect();
            }
            _ => {}
        }
        Vec::new()
    }
}
