//! An entry's parts of limits and shift caps.
//!
//! A share is valid while its lease is; a floor stays valid without one, so that a
//! partitioned failure domain keeps serving. A reduced share frees capacity for other
//! entries only once the running requests have dropped to it: until then renewals report
//! the running requests.

use std::collections::BTreeMap;

use filberthead_types::{Epoch, Moment, ServiceName};

use crate::lease::{Grant, LEASE_DURATION, Part, ServiceParts};

/// Most unanswered renewals that are tracked.
const MAX_PENDING_RENEWALS: usize = 16;

/// The parts that control has granted to this entry.
#[derive(Debug, Default)]
pub struct LeasedShares {
    term: Epoch,
    accepted: u64,
    /// Serial of the grant that was in force when each unanswered renewal was sent, by the
    /// renewal's serial.
    accepted_when_sent: BTreeMap<u64, u64>,
    /// When the lease of the shares expires.
    valid_until: Moment,
    parts: BTreeMap<ServiceName, ServiceParts>,
}

impl LeasedShares {
    /// Applies a grant unless it is outdated; returns whether it was applied. `sent` is when
    /// the renewal that it answers was sent.
    pub fn apply_grant(&mut self, grant: &Grant, sent: Moment) -> bool {
        // A grant of an earlier leader, or one that arrives after a later one, would
        // restore a share that may have been granted to another entry since.
        if grant.term < self.term || grant.serial <= self.accepted {
            return false;
        }
        // A renewal that was in flight when a reduced share arrived reports the old share.
        // A new leader has no other information and would grant the old share again, though
        // the reduction was acknowledged and the difference granted to another entry.
        if self.accepted_when_sent.get(&grant.serial) != Some(&self.accepted) {
            return false;
        }
        self.accepted_when_sent = self.accepted_when_sent.split_off(&grant.serial);
        self.term = grant.term;
        self.accepted = grant.serial;
        self.valid_until = sent + LEASE_DURATION;
        self.parts = grant
            .parts
            .iter()
            .map(|parts| (parts.service.clone(), parts.clone()))
            .collect();
        true
    }

    /// Whether the grant in force has parts for the service.
    pub(crate) fn has_part(&self, service: &ServiceName) -> bool {
        self.parts.contains_key(service)
    }

    /// Records that the renewal with this serial is sent now.
    pub fn record_renewal_sent(&mut self, serial: u64) {
        self.accepted_when_sent.insert(serial, self.accepted);
        if self.accepted_when_sent.len() > MAX_PENDING_RENEWALS {
            self.accepted_when_sent.pop_first();
        }
    }

    /// Term of the grant that is in force.
    pub fn term(&self) -> Epoch {
        self.term
    }

    /// Serial of the grant that is in force; 0 if there is none.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// All parts as renewals report them. An expired share is reported as its floor: the
    /// rest may belong to another entry by now, and a new leader grants what is reported.
    pub fn held_parts(&self, now: Moment) -> Vec<ServiceParts> {
        let usable = |part: Part| Part {
            share: self.usable(now, Some(part)),
            floor: part.floor,
        };
        let parts = self.parts.values().map(|parts| ServiceParts {
            service: parts.service.clone(),
            limit: usable(parts.limit),
            shift: usable(parts.shift),
        });
        parts.collect()
    }

    /// Maximum number of the service's requests in progress at this entry's endpoints.
    pub fn limit(&self, now: Moment, service: &ServiceName) -> u32 {
        self.usable(now, self.parts.get(service).map(|parts| parts.limit))
    }

    /// Maximum number of shifted ones among them.
    pub fn shift(&self, now: Moment, service: &ServiceName) -> u32 {
        self.usable(now, self.parts.get(service).map(|parts| parts.shift))
    }

    /// The share while its lease is valid, else the floor; 0 without a part.
    fn usable(&self, now: Moment, part: Option<Part>) -> u32 {
        let part = part.unwrap_or_default();
        if now < self.valid_until {
            part.share
        } else {
            part.floor
        }
    }
}
