//! Slots and queues in use, for metrics.

use filberthead_types::ServiceName;

use crate::endpoint::Endpoint;
use crate::policy::Policy;
use crate::pool::Pool;
use crate::{EndpointUsage, ServiceUsage};

impl Policy {
    pub(crate) fn in_use(&self) -> Vec<ServiceUsage> {
        self.pools.iter().map(service_usage).collect()
    }
}

fn service_usage((service, pool): (&ServiceName, &Pool)) -> ServiceUsage {
    ServiceUsage {
        service: service.clone(),
        waiting: pool.waiting(),
        endpoints: pool.endpoints.iter().map(endpoint_usage).collect(),
    }
}

fn endpoint_usage(endpoint: &Endpoint) -> EndpointUsage {
    EndpointUsage {
        name: endpoint.info.name.clone(),
        slots: endpoint.owned_slots(),
        running: endpoint.running,
        leaving: endpoint.delisted || endpoint.health.is_leaving(),
    }
}
