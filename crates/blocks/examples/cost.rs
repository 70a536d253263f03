//! Measures the map at the size that it is designed for; prints lines of `name: value unit`.
//!
//! Blocks are generated in runs of adjacent ones, like address allocations: 1.5 million of
//! IPv4, most of them /24, and 0.4 million of IPv6, most of them /48, with 61 sites.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Instant;

use filberthead_blocks::{BlockChange, BlockDelta, BlockMap, Site};
use filberthead_types::Version;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const V4_BLOCKS: usize = 1_500_000;
const V6_BLOCKS: usize = 400_000;
const SITES: u16 = 61;
const LOOKUP_COUNT: usize = 2_000_000;
const V4_LENS: [u8; 8] = [24, 24, 24, 24, 23, 22, 20, 16];
const V6_LENS: [u8; 8] = [48, 48, 48, 48, 56, 44, 40, 32];
const PAGE_BYTES: u64 = 4096;

fn main() {
    let mut rng = StdRng::seed_from_u64(7);
    let before = resident_bytes();
    let start = Instant::now();
    let mut map = BlockMap::default();
    while map.len() < V4_BLOCKS {
        apply_changes(&mut map, &v4_run(&mut rng));
    }
    while map.len() < V4_BLOCKS + V6_BLOCKS {
        apply_changes(&mut map, &v6_run(&mut rng));
    }
    let built = start.elapsed();
    let bytes = resident_bytes().saturating_sub(before);
    let blocks = map.len() as f64;
    println!("blocks: {} blocks", map.len());
    println!("blocks_memory: {:.1} B/block", bytes as f64 / blocks);
    println!("blocks_memory_all: {:.1} MiB", bytes as f64 / 1_048_576.0);
    println!("blocks_build: {:.0} ms", built.as_secs_f64() * 1000.0);
    measure_lookups(&map, &mut rng);
    measure_changes(&map, &mut rng);
}

fn measure_lookups(map: &BlockMap, rng: &mut StdRng) {
    let entries = BlockMap::default().delta_to(map).changes;
    for (name, v4) in [("v4", true), ("v6", false)] {
        let blocks: Vec<_> = entries.iter().map(|change| change.block).collect();
        let in_family = blocks
            .iter()
            .filter(|block| matches!(block, IpNet::V4(_)) == v4);
        let in_family: Vec<_> = in_family.collect();
        let draw =
            |rng: &mut StdRng| client_in(in_family[rng.random_range(0..in_family.len())], rng);
        let clients: Vec<_> = (0..LOOKUP_COUNT).map(|_| draw(rng)).collect();
        let start = Instant::now();
        let found = clients
            .iter()
            .filter(|client| map.site_of(**client).is_some());
        let found = found.count();
        let time = start.elapsed();
        assert_eq!(found, LOOKUP_COUNT, "each client has a block");
        let each = time.as_nanos() as f64 / LOOKUP_COUNT as f64;
        println!("blocks_look_up_{name}: {each:.0} ns");
    }
}

fn measure_changes(map: &BlockMap, rng: &mut StdRng) {
    let full_map = BlockMap::default().delta_to(map);
    let encoded = postcard::to_stdvec(&full_map).map_or(0, |buf| buf.len());
    println!("blocks_whole_map: {:.1} MiB", encoded as f64 / 1_048_576.0);
    let start = Instant::now();
    let mut copy = map.clone();
    println!(
        "blocks_copy: {:.0} ms",
        start.elapsed().as_secs_f64() * 1000.0
    );
    let delta = BlockDelta {
        from: map.version(),
        to: map.version().next(),
        changes: v4_run(rng),
    };
    let encoded = postcard::to_stdvec(&delta).map_or(0, |buf| buf.len());
    let each = encoded as f64 / delta.changes.len() as f64;
    println!("blocks_change: {each:.1} B/block");
    let start = Instant::now();
    copy.apply(&delta).expect("made from this version");
    let each = start.elapsed().as_nanos() as f64 / delta.changes.len() as f64;
    println!("blocks_change_apply: {each:.0} ns");
}

fn apply_changes(map: &mut BlockMap, changes: &[BlockChange]) {
    let version = map.version();
    let delta = BlockDelta {
        from: version,
        to: Version(version.0 + 1),
        changes: changes.to_vec(),
    };
    map.apply(&delta).expect("made from this version");
}

fn v4_run(rng: &mut StdRng) -> Vec<BlockChange> {
    let first: u32 = rng.random::<u32>() & 0xffff_ff00;
    let count = rng.random_range(1..200);
    let block = |rng: &mut StdRng, offset: u32| {
        let addr = Ipv4Addr::from(first.wrapping_add(offset << 8));
        let len = V4_LENS[rng.random_range(0..V4_LENS.len())];
        IpNet::V4(Ipv4Net::new_assert(addr, len))
    };
    (0..count)
        .map(|offset| change(block(rng, offset), rng))
        .collect()
}

fn v6_run(rng: &mut StdRng) -> Vec<BlockChange> {
    let first = 0x2000_0000_0000_0000 | (rng.random::<u64>() >> 3 & !0xffff_ffff);
    let count = rng.random_range(1..60);
    let block = |rng: &mut StdRng, offset: u64| {
        let addr = Ipv6Addr::from(u128::from(first | (offset << 16)) << 64);
        let len = V6_LENS[rng.random_range(0..V6_LENS.len())];
        IpNet::V6(Ipv6Net::new_assert(addr, len))
    };
    (0..count)
        .map(|offset| change(block(rng, offset), rng))
        .collect()
}

fn change(block: IpNet, rng: &mut StdRng) -> BlockChange {
    BlockChange {
        block,
        site: Some(Site(rng.random_range(0..SITES))),
    }
}

fn client_in(block: &IpNet, rng: &mut StdRng) -> IpAddr {
    match block {
        IpNet::V4(net) => {
            let host = rng.random::<u32>() & u32::from(net.hostmask());
            IpAddr::V4(Ipv4Addr::from(u32::from(net.network()) | host))
        }
        IpNet::V6(net) => {
            let host = rng.random::<u128>() & u128::from(net.hostmask());
            IpAddr::V6(Ipv6Addr::from(u128::from(net.network()) | host))
        }
    }
}

/// Resident memory of this process in bytes, assuming pages of 4 KiB.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).map(str::parse::<u64>);
    pages.and_then(Result::ok).unwrap_or(0) * PAGE_BYTES
}
