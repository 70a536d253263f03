//! A stand-in endpoint of the cluster with the proxy in front of it.

use std::net::SocketAddr;

use super::place::Place;
use crate::platform::{Vm, VmKind, VmState};
use crate::proxy::FaultProxy;
use crate::standin::Standin;

/// An endpoint of a service in a place.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its region and failure domain.
    pub place: Place,
    /// The server that executes its requests.
    pub standin: Standin,
    /// The proxy through which entries reach it.
    pub proxy: FaultProxy,
}

impl Endpoint {
    /// The address of its proxy, which entries use.
    pub fn addr(&self) -> SocketAddr {
        self.proxy.addr()
    }

    /// Its entry for the platform's list, with these limits.
    pub fn vm(&self, slots: u32, connections: u32) -> Vm {
        Vm {
            name: self.name.clone(),
            kind: VmKind::Endpoint,
            service: self.service.clone(),
            region: self.place.region.clone(),
            failure_domain: self.place.failure_domain.clone(),
            address: self.addr(),
            slots,
            connections,
            state: VmState::Live,
        }
    }
}
