//! Which gateway sent a request that reached an endpoint.
//!
//! Requests may be relayed, so the gateway that a caller used may be another one. The proxies in front of
//! endpoints know whose connections they forward. Of a connection that they couldn't attribute, the request is
//! taken to be sent by its caller's gateway, or left out while that one may have had to relay it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::faults::Faults;
use crate::proxy::ProxiedConnection;
use crate::site::Records;
use crate::soak::history::CallerRequest;

/// Difference between the clocks of two processes as they convert the same time.
const CLOCK_ERROR: Duration = Duration::from_millis(1);

/// A proxy's and an endpoint's address of a connection between them.
type Addrs = (SocketAddr, SocketAddr);

/// Whose connections to endpoints were opened when.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    /// In order of time.
    opened: BTreeMap<Addrs, Vec<Opened>>,
}

/// A connection to an endpoint.
#[derive(Clone, Copy, Debug)]
struct Opened {
    at: Instant,
    /// Index of the gateway that it belongs to, if known.
    gateway: Option<usize>,
}

/// A request that reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent<'a> {
    pub(super) request: &'a CallerRequest,
    /// Index of the gateway that sent it to the endpoint.
    pub(super) gateway: usize,
    /// When it reached the endpoint.
    pub(super) at: Instant,
}

impl Senders {
    /// The senders of these connections; `gateway_of` is the index of the gateway with a name.
    pub fn new(
        connections: impl IntoIterator<Item = ProxiedConnection>,
        gateway_of: impl Fn(&str) -> Option<usize>,
    ) -> Self {
        let mut senders = Self::default();
        for connection in connections {
            let gateway = connection.client.as_deref().and_then(&gateway_of);
            let addrs = (connection.from, connection.to);
            let opened = senders.opened.entry(addrs).or_default();
            opened.push(Opened {
                at: connection.opened,
                gateway,
            });
        }
        senders
            .opened
            .values_mut()
            .for_each(|opened| opened.sort_by_key(|opened| opened.at));
        senders
    }

    /// The gateway whose connection with these addresses was open at this time, if known.
    fn gateway(&self, addrs: Addrs, at: Instant) -> Option<usize> {
        let opened = self.opened.get(&addrs)?;
        let before = opened.partition_point(|opened| opened.at <= at + CLOCK_ERROR);
        opened[..before].last()?.gateway
    }
}

/// The requests for a start of an endpoint that reached it, in order, without those of which it isn't known
/// who sent them.
pub(super) fn sent_to<'a>(
    start: &Records,
    requests: &BTreeMap<&str, &'a CallerRequest>,
    senders: &Senders,
    faults: Faults<'_>,
) -> Vec<Sent<'a>> {
    let misdirected: BTreeSet<&str> = start.misdirected.iter().map(|a| a.id.as_str()).collect();
    let origins = start.origins.iter().filter_map(|origin| {
        let gateway = senders.gateway((origin.from, origin.to), origin.at)?;
        Some(((origin.id.as_str(), origin.at), gateway))
    });
    let origins: BTreeMap<(&str, Instant), usize> = origins.collect();
    let for_it = start.arrivals.iter();
    let for_it = for_it.filter(|arrival| !misdirected.contains(arrival.id.as_str()));
    let sent = for_it.filter_map(|arrival| {
        let request = *requests.get(arrival.id.as_str())?;
        let known = origins.get(&(arrival.id.as_str(), arrival.at)).copied();
        let by_caller = || {
            let gateway = request.gateway;
            (!faults.may_relay(gateway, arrival.at)).then_some(gateway)
        };
        Some(Sent {
            request,
            gateway: known.or_else(by_caller)?,
            at: arrival.at,
        })
    });
    sent.collect()
}
