//! Maps client address blocks to sites.
//!
//! A block is an IPv4 or IPv6 prefix; the longest prefix that contains an address decides.
//! The map is designed for 1.9 million blocks: a look-up needs no lock and no communication,
//! and a change is distributed as a [`BlockDelta`], never as the full map. The map may be
//! empty; look-ups then use the table's weights alone.
//!
//! Invariant: all maps of one version are equal in every process, because a delta applies
//! only to the version that it was made from.

use std::net::IpAddr;

use filberthead_types::Version;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// A site that clients are sent to, as an index in the list of sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Site(pub u16);

/// A block and its new site; `None` removes the block from the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlockChange {
    /// The block; bits after the prefix length are ignored.
    pub block: IpNet,
    /// The site of its clients.
    pub site: Option<Site>,
}

/// The difference between a map and a later version of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlockDelta {
    /// The version that it applies to.
    pub from: Version,
    /// The version that it produces.
    pub to: Version,
    /// The blocks that differ, with their new sites.
    pub changes: Vec<BlockChange>,
}

/// The delta starts from another version than the map's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("a delta from version {from} doesn't apply to a map of version {version}"))]
pub struct WrongVersionError {
    from: Version,
    version: Version,
}

/// Client blocks and their sites, with longest prefix match.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    version: Version,
    v4: PrefixMap<Ipv4Net, Site>,
    v6: PrefixMap<Ipv6Net, Site>,
}

impl BlockMap {
    /// The version that the last applied delta produced; 0 for a new map.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Number of blocks of both address families.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.v4.is_empty() && self.v6.is_empty()
    }

    /// The site of the longest block that contains the address; `None` if no block does.
    ///
    /// A socket that listens on IPv6 reports IPv4 clients by IPv4-mapped addresses. These are
    /// looked up as IPv4.
    pub fn site_of(&self, client: IpAddr) -> Option<Site> {
        let found = match client.to_canonical() {
            IpAddr::V4(addr) => self.v4.get_lpm(&Ipv4Net::from(addr)).map(|(_, site)| site),
            IpAddr::V6(addr) => self.v6.get_lpm(&Ipv6Net::from(addr)).map(|(_, site)| site),
        };
        found.copied()
    }

    /// Applies a delta.
    ///
    /// # Errors
    ///
    /// Fails and leaves the map unchanged if the delta starts from another version, since the
    /// changes between the two would be missing.
    pub fn apply(&mut self, delta: &BlockDelta) -> Result<(), WrongVersionError> {
        let (from, version) = (delta.from, self.version);
        ensure!(from == version, WrongVersionSnafu { from, version });
        for change in &delta.changes {
            self.apply_change(change);
        }
        self.version = delta.to;
        Ok(())
    }

    /// The delta from this map to a later one.
    pub fn delta_to(&self, later: &Self) -> BlockDelta {
        let updated = later.all_blocks().filter(|change| {
            // Blocks with an unchanged site are left out.
            self.get(&change.block) != change.site
        });
        let removed = self
            .all_blocks()
            .filter(|change| later.get(&change.block).is_none());
        let removed = removed.map(|change| BlockChange {
            site: None,
            ..change
        });
        BlockDelta {
            from: self.version,
            to: later.version,
            changes: updated.chain(removed).collect(),
        }
    }

    fn get(&self, block: &IpNet) -> Option<Site> {
        let found = match block {
            IpNet::V4(block) => self.v4.get(block),
            IpNet::V6(block) => self.v6.get(block),
        };
        found.copied()
    }

    fn apply_change(&mut self, change: &BlockChange) {
        match (change.block, change.site) {
            (IpNet::V4(block), Some(site)) => drop(self.v4.insert(block.trunc(), site)),
            (IpNet::V6(block), Some(site)) => drop(self.v6.insert(block.trunc(), site)),
            (IpNet::V4(block), None) => drop(self.v4.remove(&block.trunc())),
            (IpNet::V6(block), None) => drop(self.v6.remove(&block.trunc())),
        }
    }

    /// All blocks with their sites.
    fn all_blocks(&self) -> impl Iterator<Item = BlockChange> {
        let v4 = self.v4.iter();
        let v4 = v4.map(|(block, site)| (IpNet::V4(block), *site));
        let v6 = self.v6.iter();
        let v6 = v6.map(|(block, site)| (IpNet::V6(block), *site));
        v4.chain(v6).map(|(block, site)| BlockChange {
            block,
            site: Some(site),
        })
    }
}
