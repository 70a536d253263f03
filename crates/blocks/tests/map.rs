//! Compares the map with a linear search of the list of changes.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use bolero::{TypeGenerator, check};
use filberthead_blocks::{BlockChange, BlockDelta, BlockMap, Site};
use filberthead_types::Version;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// A change among few addresses, so that blocks often contain each other.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
struct Step {
    v6: bool,
    bits: u8,
    len: u8,
    site: Option<u8>,
}

impl Step {
    fn change(self) -> BlockChange {
        let block = if self.v6 {
            let len = 32 + self.len % 97;
            let net = Ipv6Net::new(v6(self.bits), len).expect("a length in bounds");
            IpNet::V6(net)
        } else {
            let len = self.len % 33;
            IpNet::V4(Ipv4Net::new(v4(self.bits), len).expect("a length in bounds"))
        };
        BlockChange {
            block,
            site: self.site.map(|site| Site(u16::from(site))),
        }
    }
}

/// An IPv4 address that spreads `bits` over its first, middle and last bits.
fn v4(bits: u8) -> Ipv4Addr {
    Ipv4Addr::new(bits & 0xc0, bits & 0x30, bits & 0x0c, bits & 0x03)
}

/// An IPv6 address likewise.
fn v6(bits: u8) -> Ipv6Addr {
    let parts = [bits & 0xc0, bits & 0x30, bits & 0x0c, bits & 0x03].map(u16::from);
    Ipv6Addr::new(0x2001, 0xdb8, parts[0], parts[1], parts[2], 0, 0, parts[3])
}

fn delta(from: u64, changes: &[BlockChange]) -> BlockDelta {
    BlockDelta {
        from: Version(from),
        to: Version(from + 1),
        changes: changes.to_vec(),
    }
}

fn map_from(changes: &[BlockChange], version: u64) -> BlockMap {
    let mut map = BlockMap::default();
    let full_delta = BlockDelta {
        from: Version(0),
        to: Version(version),
        changes: changes.to_vec(),
    };
    map.apply(&full_delta).expect("an empty map has version 0");
    map
}

/// The site by linear search: the longest block that contains the client, by the latest change
/// of each block.
fn expected_site(changes: &[BlockChange], client: IpAddr) -> Option<Site> {
    let latest_change = |block: IpNet| {
        let mut later = changes.iter().rev();
        later.find(|change| change.block.trunc() == block.trunc())
    };
    let blocks = changes
        .iter()
        .filter_map(|change| latest_change(change.block));
    let holding = blocks.filter(|change| change.site.is_some() && change.block.contains(&client));
    holding.max_by_key(|change| change.block.prefix_len())?.site
}

#[test]
fn the_longest_block_that_contains_the_client_decides() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let changes: Vec<_> = steps.iter().map(|step| step.change()).collect();
        let map = map_from(&changes, 1);
        for bits in 0..=u8::MAX {
            for client in [IpAddr::V4(v4(bits)), IpAddr::V6(v6(bits))] {
                assert_eq!(map.site_of(client), expected_site(&changes, client));
            }
        }
    });
}

#[test]
fn a_delta_turns_one_map_into_the_other() {
    check!()
        .with_type::<(Vec<Step>, Vec<Step>)>()
        .for_each(|(older, newer)| {
            let changes = |steps: &[Step]| steps.iter().map(|s| s.change()).collect::<Vec<_>>();
            let mut older = map_from(&changes(older), 3);
            let newer = map_from(&changes(newer), 8);
            let delta = older.delta_to(&newer);
            older.apply(&delta).expect("made from this version");
            assert_eq!(older.version(), newer.version());
            assert_eq!(older.len(), newer.len());
            assert_eq!(older.delta_to(&newer).changes, []);
        });
}

/// A node misses one delta and gets the next. Blocks of the missed one would keep sending
/// clients to their old site, so the later delta must be rejected as a whole.
#[test]
fn a_delta_after_a_missed_one_is_rejected() {
    let block = "192.0.2.0/24".parse().expect("a block");
    let site = Some(Site(4));
    let mut map = BlockMap::default();
    let later_delta = delta(1, &[BlockChange { block, site }]);
    assert!(map.apply(&later_delta).is_err());
    assert!(map.is_empty());
    assert_eq!(map.version(), Version(0));
}

#[test]
fn an_ipv4_client_is_found_under_its_mapped_address() {
    let block = "192.0.2.0/24".parse().expect("a block");
    let site = Some(Site(4));
    let map = map_from(&[BlockChange { block, site }], 1);
    let mapped = "::ffff:192.0.2.9".parse().expect("an address");
    assert_eq!(map.site_of(mapped), site);
}
