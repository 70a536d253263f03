//! A list of members sorted by name, with a hash to compare lists.

use crate::{Fingerprint, MemberInfo};

/// Members sorted by name, without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Roster {
    members: Vec<MemberInfo>,
    hash: Fingerprint,
}

impl Roster {
    /// Sorts the members; of several with the same name the first is kept.
    pub(crate) fn new(mut members: Vec<MemberInfo>) -> Self {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members.dedup_by(|later, first| later.name == first.name);
        let hash = Fingerprint::of(&members);
        Self { members, hash }
    }

    pub(crate) fn members(&self) -> &[MemberInfo] {
        &self.members
    }

    pub(crate) fn hash(&self) -> Fingerprint {
        self.hash
    }
}
