//! Requests that wait for a slot, earliest deadline first.
//!
//! Under overload a queue mostly adds latency, so its length is bounded by the caller of
//! `push`, and a request whose deadline can't be met is refused on arrival, while its caller
//! still has time to try elsewhere.

use std::collections::{BTreeMap, HashMap};

use filberthead_types::{Moment, RequestId};

use crate::RequestInfo;

/// A queue ordered by deadline, then by arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    by_deadline: BTreeMap<(Moment, u64), RequestInfo>,
    keys: HashMap<RequestId, (Moment, u64)>,
    arrivals: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.by_deadline.len()
    }

    pub(crate) fn push(&mut self, req: RequestInfo) {
        self.arrivals += 1;
        let key = (req.deadline, self.arrivals);
        self.keys.insert(req.id, key);
        self.by_deadline.insert(key, req);
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestInfo> {
        let key = self.keys.remove(&id)?;
        self.by_deadline.remove(&key)
    }

    pub(crate) fn front(&self) -> Option<&RequestInfo> {
        self.by_deadline.values().next()
    }

    pub(crate) fn pop(&mut self) -> Option<RequestInfo> {
        let (_, req) = self.by_deadline.pop_first()?;
        self.keys.remove(&req.id);
        Some(req)
    }

    /// Removes and returns one request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Moment) -> Option<RequestInfo> {
        let expired = self.front().is_some_and(|req| req.deadline <= now);
        if expired { self.pop() } else { None }
    }
}
