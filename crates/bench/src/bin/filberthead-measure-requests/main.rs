//! Measures look-ups and requests through a real entry, each against a direct counterpart.
//!
//! The loads of a comparison alternate within one run, because other work on the machine
//! affects both. Rates are also printed per second of processor time of the serving thread,
//! which other work affects less.

mod drain;
mod load;
mod process;
mod responder;
mod system;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use filberthead_testing::{eventually, wait_until};

use load::{Load, Sample};
use system::System;

/// Duration of each load in a round of a comparison.
const RUN_DURATION: Duration = Duration::from_secs(1);
const ROUNDS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(60);
const STATUS_OK: &[u8; 12] = b"HTTP/1.1 200";
const SLOW_READERS: usize = 1000;
/// Change of resident memory within `RUN_DURATION`, in bytes, below which it counts as
/// settled.
const MAX_MEMORY_CHANGE: u64 = 1_000_000;

fn main() -> ExitCode {
    let system = System::start();
    lookups(&system);
    reads(&system);
    orders(&system);
    drain::entry();
    drain::endpoint();
    downloads(&system);
    ExitCode::SUCCESS
}

fn print(name: &str, value: f64, unit: &str) {
    println!("{name}: {value:.3} {unit}");
}

/// Alternates between two loads and returns the samples of each.
fn compare(a: &Load, b: &Load) -> (Sample, Sample) {
    let mut samples = (Sample::default(), Sample::default());
    for _ in 0..ROUNDS {
        samples.0.add(a.run(RUN_DURATION));
        samples.1.add(b.run(RUN_DURATION));
    }
    samples
}

fn lookups(system: &System) {
    let path = "/v1/lookup?service=catalogue";
    let bare = responder::Responder::start(system.lookup_answer());
    let entry = Load::new(system.entry(), "GET", path).thread(system.thread("callers"));
    let bare = Load::new(bare.addr(), "GET", path).thread(bare.thread());
    let (entry, bare) = compare(&entry, &bare);
    print("lookups", entry.rate(), "1/s");
    print("lookups_per_core", entry.rate_per_core(), "1/s");
    print("lookup_p50", entry.micros(0.5), "us");
    print("lookup_p99", entry.micros(0.99), "us");
    print("bare_responder", bare.rate(), "1/s");
    print("bare_responder_per_core", bare.rate_per_core(), "1/s");
    print("bare_responder_p99", bare.micros(0.99), "us");
    print("lookups_to_bare", entry.rate() / bare.rate(), "ratio");
    let per_core = entry.rate_per_core() / bare.rate_per_core();
    print("lookups_to_bare_per_core", per_core, "ratio");
}

fn reads(system: &System) {
    let through = Load::new(system.entry(), "GET", "/v1/services/catalogue/read");
    let direct = Load::new(system.endpoint(), "GET", "/read");
    compare_reads("read", through, direct);
    let through = Load::new(system.entry(), "GET", "/v1/services/quick/read");
    let direct = Load::new(system.responder(), "GET", "/read");
    compare_reads("quick_read", through, direct);
}

fn compare_reads(name: &str, through: Load, direct: Load) {
    let (through_busy, direct_busy) = compare(&through, &direct);
    let print = |suffix: &str, value, unit| print(&format!("{name}{suffix}"), value, unit);
    print("s", through_busy.rate(), "1/s");
    print("s_direct", direct_busy.rate(), "1/s");
    let ratio = through_busy.rate() / direct_busy.rate();
    print("s_to_direct", ratio, "ratio");
    let (through, direct) = compare(&through.connections(1), &direct.connections(1));
    print("_p50", through.micros(0.5), "us");
    print("_p99", through.micros(0.99), "us");
    print("_direct_p50", direct.micros(0.5), "us");
    print("_direct_p99", direct.micros(0.99), "us");
    print("_added_p50", through.micros(0.5) - direct.micros(0.5), "us");
    print(
        "_added_p99",
        through.micros(0.99) - direct.micros(0.99),
        "us",
    );
}

fn orders(system: &System) {
    let path = "/v1/services/catalogue/place";
    let order = Load::order(system.entry(), path, &system.key_prefix());
    let read = Load::new(system.entry(), "GET", "/v1/services/catalogue/read");
    let (busy_order, busy_read) = compare(&order, &read);
    print("orders", busy_order.rate(), "1/s");
    let ratio = busy_order.rate() / busy_read.rate();
    print("orders_to_reads", ratio, "ratio");
    let (order, read) = compare(&order.connections(1), &read.connections(1));
    print("order_p50", order.micros(0.5), "us");
    print("order_p99", order.micros(0.99), "us");
    let added = order.micros(0.5) - read.micros(0.5);
    print("order_added_to_read_p50", added, "us");
}

/// Measures the entry's memory for downloads whose readers have stopped reading.
fn downloads(system: &System) {
    let before = system.resident_bytes();
    let readers: Vec<_> = (0..SLOW_READERS)
        .map(|number| slow_reader(system.entry(), number))
        .collect();
    wait_until("all downloads run", TIMEOUT, || {
        system.running() as usize == SLOW_READERS
    });
    // The memory settles when all buffers between endpoint and reader are full.
    let mut last = 0;
    wait_until("the memory settles", TIMEOUT, || {
        std::thread::sleep(RUN_DURATION);
        let now = system.resident_bytes();
        let settled = now.abs_diff(last) < MAX_MEMORY_CHANGE;
        last = now;
        settled
    });
    let added = last.saturating_sub(before);
    print("slow_downloads", readers.len() as f64, "count");
    print("slow_downloads_memory", added as f64 / 1e6, "MB");
    print(
        "slow_download_memory",
        added as f64 / 1e3 / readers.len() as f64,
        "KB",
    );
}

/// Starts a download and reads only the first bytes of its response.
fn slow_reader(entry: SocketAddr, number: usize) -> TcpStream {
    let path = format!("/v1/services/catalogue/download/{number}?bytes=1000000000");
    eventually("the download begins", TIMEOUT, || {
        let mut reader = TcpStream::connect(entry).ok()?;
        write!(reader, "GET {path} HTTP/1.1\r\nhost: {entry}\r\n\r\n").ok()?;
        let mut status = [0; STATUS_OK.len()];
        reader.read_exact(&mut status).ok()?;
        (status == *STATUS_OK).then_some(reader)
    })
}
