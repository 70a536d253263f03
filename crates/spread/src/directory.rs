//! The live and leaving entries of all failure domains.
//!
//! Each failure domain has a line of its own with a stamp, and the higher stamp wins.
//! So two directories merge in any order to the same result, a leader that has just
//! taken over may publish a failure domain that has reported to it without knowing the
//! others, and a deposed leader's lines lose against its successor's.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use filberthead_types::{Epoch, FailureDomain};
use serde::{Deserialize, Serialize};

use crate::{DomainRecord, Fingerprint, MemberInfo};

/// Orders the lines of one failure domain: by the term of the leader that wrote them,
/// then by its count of lines written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader.
    pub term: Epoch,
    /// Counts the lines that the leader wrote.
    pub number: u64,
}

/// A line for each failure domain.
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
    /// The line of a failure domain, if there is one.
    pub fn record(&self, domain: &FailureDomain) -> Option<&DomainRecord> {
        self.records.get(domain)
    }

    /// All lines.
    pub fn records(&self) -> impl Iterator<Item = (&FailureDomain, &DomainRecord)> {
        self.records.iter()
    }

    /// All members, by failure domain and name.
    pub fn members(&self) -> impl Iterator<Item = &MemberInfo> {
        self.records.values().flat_map(|record| &record.members)
    }

    /// Equal for two directories whose lines have the same stamps. A stamp is written
    /// once, so their members are the same as well.
    pub fn hash(&self) -> Fingerprint {
        self.hash
    }

    pub(crate) fn stamps(&self) -> Vec<(FailureDomain, Stamp)> {
        self.records
            .iter()
            .map(|(domain, record)| (domain.clone(), record.stamp))
            .collect()
    }

    /// Takes the lines that are newer than those held; says which.
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

    /// The lines that are newer than the stamps, or have none there.
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
