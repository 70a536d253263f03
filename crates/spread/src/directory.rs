//! The live and leaving entries of all failure domains.
//!
//! Each failure domain has its own record with a stamp, and the higher stamp wins. So
//! directories merge to the same result in any order, a new leader can publish a failure
//! domain that has reported to it without having the others, and a deposed leader's
//! records lose against its successor's.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use filberthead_types::{Epoch, FailureDomain};
use serde::{Deserialize, Serialize};

use crate::{DomainRecord, Fingerprint, MemberInfo};

/// Orders the records of a failure domain by the term of the leader that wrote them, then
/// by a counter of that leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader.
    pub term: Epoch,
    /// Number of records that the leader had written, this one included.
    pub number: u64,
}

/// The records of all failure domains.
#[derive(Clone, Debug)]
pub struct Directory {
    records: BTreeMap<FailureDomain, DomainRecord>,
    hash: Fingerprint,
}

impl Default for Directory {
    fn default() -> Self {
        let mut directory = Self {
            records: BTreeMap::new(),
            hash: Fingerprint::default(),
        };
        directory.rehash();
        directory
    }
}

impl Directory {
    /// The record of a failure domain; `None` if it has none.
    pub fn record(&self, domain: &FailureDomain) -> Option<&DomainRecord> {
        self.records.get(domain)
    }

    /// All records, sorted by failure domain.
    pub fn records(&self) -> impl Iterator<Item = (&FailureDomain, &DomainRecord)> {
        self.records.iter()
    }

    /// All members, sorted by failure domain and name.
    pub fn members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.records.values().flat_map(|record| &record.members)
    }

    /// Hash over the stamps of all records. Each stamp is assigned once, so directories with
    /// equal hashes have the same members.
    pub fn hash(&self) -> Fingerprint {
        self.hash
    }

    pub(crate) fn stamps(&self) -> Vec<(FailureDomain, Stamp)> {
        self.records
            .iter()
            .map(|(domain, record)| (domain.clone(), record.stamp))
            .collect()
    }

    /// Applies the records that are newer than those held; returns their failure domains.
    pub(crate) fn merge(
        &mut self,
        records: impl IntoIterator<Item = (FailureDomain, DomainRecord)>,
    ) -> Vec<FailureDomain> {
        let mut updated = Vec::new();
        for (domain, record) in records {
            if self.merge_record(domain.clone(), record) {
                updated.push(domain);
            }
        }
        if !updated.is_empty() {
            self.rehash();
        }
        updated
    }

    /// The records that are newer than `stamps`, or missing there.
    pub(crate) fn newer_than(
        &self,
        stamps: &[(FailureDomain, Stamp)],
    ) -> Vec<(FailureDomain, DomainRecord)> {
        let held: BTreeMap<_, _> = stamps
            .iter()
            .map(|(domain, stamp)| (domain, *stamp))
            .collect();
        self.records
            .iter()
            .filter(|(domain, record)| held.get(domain).is_none_or(|stamp| *stamp < record.stamp))
            .map(|(domain, record)| (domain.clone(), record.clone()))
            .collect()
    }

    fn merge_record(&mut self, domain: FailureDomain, record: DomainRecord) -> bool {
        match self.records.entry(domain) {
            Entry::Vacant(e) => {
                e.insert(record);
                true
            }
            Entry::Occupied(mut e) if e.get().stamp < record.stamp => {
                e.insert(record);
                true
            }
            Entry::Occupied(_) => false,
        }
    }

    fn rehash(&mut self) {
        self.hash = Fingerprint::of(&self.stamps());
    }
}
