//! What starts of endpoints have said that the platform's list doesn't name at the moment.
//!
//! A promise to a start holds whatever the list says: an entry may be missing for a while, or move to
//! another address.

use std::collections::VecDeque;
use std::net::SocketAddr;

use filberthead_types::{Incarnation, Moment};

use crate::endpoint::TrackedEndpoint;
use crate::rest::EndpointRest;
use crate::{EndpointId, EndpointRef};

/// Starts that are remembered; the oldest is dropped first.
const MAX_STARTS: usize = 1024;

/// A start that isn't listed.
#[derive(Clone, Debug)]
pub(crate) struct UnlistedStart {
    id: EndpointId,
    incarnation: Option<Incarnation>,
    addr: SocketAddr,
    /// Whether it has said that it is leaving.
    pub(crate) leaving: bool,
    /// The rest that it asks for.
    pub(crate) rest: EndpointRest,
}

impl UnlistedStart {
    fn is(&self, endpoint: EndpointRef<'_>) -> bool {
        let start = EndpointRef {
            id: &self.id,
            incarnation: self.incarnation,
            addr: self.addr,
        };
        endpoint.is_start(start)
    }
}

/// What starts have said that aren't listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnlistedStarts {
    starts: VecDeque<UnlistedStart>,
}

impl UnlistedStarts {
    /// Keeps what a start has said that is no longer listed.
    pub(crate) fn keep(&mut self, now: Moment, e: &TrackedEndpoint) {
        if e.leaving || e.rest.is_resting(now) {
            let start = self.start(e.into());
            start.leaving = e.leaving;
            start.rest = e.rest;
        }
    }

    /// Gives a start that is listed now what it has said, or may have said before it was listed.
    pub(crate) fn restore(&mut self, now: Moment, e: &mut TrackedEndpoint) {
        let index = self.starts.iter().position(|start| start.is((&*e).into()));
        if let Some(start) = index.and_then(|index| self.starts.remove(index)) {
            e.leaving = start.leaving;
            e.rest = start.rest;
        } else if let Some(earlier) = self.earlier_start(e) {
            e.rest = earlier.rest.for_later_start(now);
        }
    }

    /// The last start with this identity that listened at the same address.
    fn earlier_start(&self, e: &TrackedEndpoint) -> Option<&UnlistedStart> {
        let mut starts = self.starts.iter();
        starts.rfind(|start| start.id == e.id && start.addr == e.addr)
    }

    /// What this start has said.
    pub(crate) fn start(&mut self, endpoint: EndpointRef<'_>) -> &mut UnlistedStart {
        let index = self.starts.iter().position(|start| start.is(endpoint));
        let index = index.unwrap_or_else(|| self.add(endpoint));
        &mut self.starts[index]
    }

    fn add(&mut self, endpoint: EndpointRef<'_>) -> usize {
        if self.starts.len() >= MAX_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back(UnlistedStart {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            addr: endpoint.addr,
            leaving: false,
            rest: EndpointRest::default(),
        });
        self.starts.len() - 1
    }

    /// Whether nothing that this start has said speaks against a request.
    pub(crate) fn allows(&self, now: Moment, endpoint: EndpointRef<'_>) -> bool {
        let mut starts = self.starts.iter();
        let start = starts.find(|start| start.is(endpoint));
        start.is_none_or(|start| !start.leaving && !start.rest.is_resting(now))
    }
}
