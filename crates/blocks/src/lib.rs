//! Which site the clients of an address block belong to.
//!
//! A block is an IPv4 or IPv6 prefix; of two that hold an address the longer one counts.
//! The map is made for 1.9 million blocks: a look-up takes no lock and no message, and a
//! change is shared as a [`BlockDelta`], never as the whole map. An empty map is fine;
//! look-ups then go by the table's weights alone.
//!
//! Invariant: two maps of one version are equal wherever they are, because a delta
//! applies to exactly the version that it was made from.

use std::net::IpAddr;

use filberthead_types::Version;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// A place that clients are sent to, by its number in the list of sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Site(pub u16);

/// A block and its site; `None` takes the block out of the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlockChange {
    /// The block; bits behind its length count for nothing.
    pub block: IpNet,
    /// Where its clients belong.
    pub site: Option<Site>,
}

/// What turns a map of one version into a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlockDelta {
    /// Version that it applies to.
    pub from: Version,
    /// Version that it makes.
    pub to: Version,
    /// The blocks that differ.
    pub changes: Vec<BlockChange>,
}

/// A delta that doesn't begin at the map's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("a delta from version {from} doesn't apply to a map of version {version}"))]
pub struct WrongVersionError {
    from: Version,
    version: Version,
}

/// Client blocks and their sites.
#[derive(Clone, Debug, Default)]
pub struct BlockMap {
    version: Version,
    v4: PrefixMap<Ipv4Net, Site>,
    v6: PrefixMap<Ipv6Net, Site>,
}

impl BlockMap {
    /// Version that the last delta made.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.v4.is_empty() && self.v6.is_empty()
    }

    /// The site of the longest block that holds the address.
    ///
    /// A socket that listens on IPv6 shows an IPv4 client under a mapped address; it
    /// belongs to the IPv4 block all the same.
    pub fn site_of(&self, client: IpAddr) -> Option<Site> {
        let found = match client.to_canonical() {
            IpAddr::V4(addr) => self.v4.get_lpm(&Ipv4Net::from(addr)).map(|(_, site)| site),
            IpAddr::V6(addr) => self.v6.get_lpm(&Ipv6Net::from(addr)).map(|(_, site)| site),
        };
        found.copied()
    }

    /// Takes a delta in.
    ///
    /// # Errors
    ///
    /// Fails, with the map as it was, if the delta begins at another version: what lies
    /// between would be missing.
    pub fn apply(&mut self, delta: &BlockDelta) -> Result<(), WrongVersionError> {
        let (from, version) = (delta.from, self.version);
        ensure!(from == version, WrongVersionSnafu { from, version });
        for change in &delta.changes {
            self.apply_change(change);
        }
        self.version = delta.to;
        Ok(())
    }

    /// What turns this map into a later one.
    pub fn delta_to(&self, later: &Self) -> BlockDelta {
        let updated = later.all_blocks().filter(|change| {
            // A block that is there with the same site needs no word.
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

    /// Every block with its site.
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
