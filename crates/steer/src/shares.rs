//! An entry's parts of limits and shift caps.
//!
//! A share holds while its lease does; a floor holds for good, so that a failure domain
//! that is cut off goes on serving. A cut counts as acknowledged only when what runs
//! has come down to the new share: until then renewals report what runs.

use std::collections::BTreeMap;

use filberthead_types::{Epoch, Moment, ServiceName};

use crate::lease::{Grant, LEASE_DURATION, Part, ServiceParts};

/// Renewals without answer that are remembered.
const MAX_PENDING_RENEWALS: usize = 16;

/// Holds what control granted.
#[derive(Debug, Default)]
pub struct LeasedShares {
    term: Epoch,
    accepted: u64,
    /// For each renewal not answered yet, the grant that was in force when it was sent.
    accepted_when_sent: BTreeMap<u64, u64>,
    valid_until: Moment,
    parts: BTreeMap<ServiceName, ServiceParts>,
}

impl LeasedShares {
    /// Takes in a grant; `sent` is when the renewal that it answers was sent. Returns
    /// whether the grant is newer than what is held.
    pub fn apply_grant(&mut self, grant: &Grant, sent: Moment) -> bool {
        // A grant of an earlier leader, or one overtaken by a later one, would bring
        // back a share that has been given to another entry since.
        if grant.term < self.term || grant.serial <= self.accepted {
            return false;
        }
        // A renewal that was on its way while a cut came in reports what was held before
        // it; a new leader, which knows nothing else, would grant just that again, though
        // the cut was acknowledged and the part given to another entry.
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

    /// Whether a part was granted for the service.
    pub(crate) fn has_part(&self, service: &ServiceName) -> bool {
        self.parts.contains_key(service)
    }

    /// A renewal of this number is sent now.
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

    /// Number of the grant that is in force; 0 for none.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// All parts, as renewals report them: of a lapsed share only the floor, since the
    /// rest may be another entry's by now, and a new leader grants what is reported.
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

    /// Most requests of the service that may be in progress at this entry's endpoints.
    pub fn limit(&self, now: Moment, service: &ServiceName) -> u32 {
        self.usable(now, self.parts.get(service).map(|parts| parts.limit))
    }

    /// Most of these that may be shifted ones.
    pub fn shift(&self, now: Moment, service: &ServiceName) -> u32 {
        self.usable(now, self.parts.get(service).map(|parts| parts.shift))
    }

    fn usable(&self, now: Moment, part: Option<Part>) -> u32 {
        let part = part.unwrap_or_default();
        if now < self.valid_until {
            part.share
        } else {
            part.floor
        }
    }
}
