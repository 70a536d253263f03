//! Benchmarks the log and prints one `name: value unit` per line.
//!
//! `cargo run --release -p filberthead-storage --example figures [FOLDER]`; FOLDER, by
//! default the system's temporary folder, selects the disk to measure.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use filberthead_consensus::{
    Action, Config, Entry, Event, Members, Message, Payload, Persist, Proposal, Replica, Token,
};
use filberthead_storage::Disk;
use filberthead_types::{Epoch, Moment, ReplicaId};
use hdrhistogram::Histogram;

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Approximate size of an encoded change of a few rows.
const COMMAND_BYTES: usize = 300;
const APPENDS: u64 = 2000;
const PROPOSALS: u64 = 20_000;
/// Concurrent proposals, as from this many operators.
const CONCURRENT_PROPOSALS: usize = 64;

fn main() -> Outcome<()> {
    let folder = std::env::args_os().nth(1);
    let folder = folder.map_or_else(std::env::temp_dir, PathBuf::from);
    let scratch = tempfile::tempdir_in(folder)?;
    measure_appends(&scratch.path().join("one"))?;
    measure_proposals("in_memory", None, PROPOSALS, CONCURRENT_PROPOSALS)?;
    measure_proposals(
        "synced",
        Some(&scratch.path().join("many")),
        PROPOSALS / 10,
        CONCURRENT_PROPOSALS,
    )?;
    measure_proposals(
        "synced_singly",
        Some(&scratch.path().join("few")),
        PROPOSALS / 100,
        1,
    )?;
    measure_encodings()
}

fn command(index: u64) -> Entry {
    Entry {
        term: Epoch(1),
        index,
        payload: Payload::Command(vec![index as u8; COMMAND_BYTES]),
    }
}

fn measure_appends(path: &Path) -> Outcome<()> {
    let mut disk = Disk::open(path, "figures")?;
    let mut micros = Histogram::<u64>::new(3)?;
    for index in 1..=APPENDS {
        let persist = Persist {
            entries: vec![command(index)],
            ..Persist::default()
        };
        let began = Instant::now();
        disk.persist(&persist)?;
        micros.record(began.elapsed().as_micros() as u64)?;
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let value = micros.value_at_quantile(quantile);
        println!("synced_append_{name}: {value} us");
    }
    Ok(())
}

/// Three replicas in one thread that exchange messages in memory.
struct Cluster {
    replicas: Vec<Replica>,
    disks: Vec<Option<Disk>>,
    /// Pending sync of each replica, performed once the messages in flight are delivered.
    unsynced: Vec<Option<Persist>>,
    net: Vec<(ReplicaId, ReplicaId, Message)>,
    now: Moment,
    accepted: u64,
    syncs: u64,
}

impl Cluster {
    fn new(folder: Option<&Path>) -> Outcome<Self> {
        let ids: Vec<_> = (1..=3).map(ReplicaId).collect();
        let members = Members {
            voters: ids.iter().copied().collect(),
            ..Members::default()
        };
        let mut cluster = Self {
            replicas: Vec::new(),
            disks: Vec::new(),
            unsynced: vec![None; 3],
            net: Vec::new(),
            now: Moment::ZERO,
            accepted: 0,
            syncs: 0,
        };
        let scratch = tempfile::tempdir()?;
        for id in ids {
            let folder = folder.unwrap_or(scratch.path());
            let mut disk = Disk::open(folder.join(id.to_string()), "figures")?;
            disk.bootstrap(&members, Vec::new())?;
            let cfg = Config::builder().seed(id.0).build();
            cluster
                .replicas
                .push(Replica::new(id, cfg, disk.load()?, Moment::ZERO));
            let synced = folder != scratch.path();
            cluster.disks.push(synced.then_some(disk));
        }
        Ok(cluster)
    }

    fn step(&mut self, at: usize, event: Event) -> Outcome<()> {
        let from = ReplicaId(at as u64 + 1);
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.replicas[at].step(self.now, event) {
                match action {
                    Action::Send { to, message } => self.net.push((from, to, message)),
                    Action::Persist(persist) => self.unsynced[at] = Some(persist),
                    Action::Proposed { result: Ok(_), .. } => self.accepted += 1,
                    Action::TakeSnapshot => events.push(Event::SnapshotTaken {
                        index: self.replicas[at].status(self.now).commit,
                        data: vec![0; 64 * 1024],
                    }),
                    _ => {}
                }
            }
        }
        Ok(())
    }

    fn deliver_all(&mut self) -> Outcome<()> {
        while !self.net.is_empty() || self.unsynced.iter().any(Option::is_some) {
            for (from, to, message) in std::mem::take(&mut self.net) {
                self.step(to.0 as usize - 1, Event::Received { from, message })?;
            }
            for at in 0..self.disks.len() {
                self.sync(at)?;
            }
        }
        Ok(())
    }

    fn sync(&mut self, at: usize) -> Outcome<()> {
        let Some(persist) = self.unsynced[at].take() else {
            return Ok(());
        };
        self.syncs += 1;
        if let Some(disk) = &mut self.disks[at] {
            disk.persist(&persist)?;
        }
        self.step(at, Event::Persisted { seq: persist.seq })
    }

    fn tick_all(&mut self, elapsed: Duration) -> Outcome<()> {
        self.now += elapsed;
        for at in 0..self.replicas.len() {
            self.step(at, Event::Tick)?;
        }
        self.deliver_all()
    }

    fn leader(&self) -> Option<usize> {
        let holds_lease = |replica: &Replica| replica.status(self.now).holds_lease;
        self.replicas.iter().position(holds_lease)
    }
}

fn measure_proposals(
    name: &str,
    folder: Option<&Path>,
    count: u64,
    concurrency: usize,
) -> Outcome<()> {
    let mut cluster = Cluster::new(folder)?;
    while cluster.leader().is_none() {
        cluster.tick_all(Duration::from_millis(25))?;
    }
    cluster.syncs = 0;
    let began = Instant::now();
    let mut token = 0;
    while cluster.accepted < count {
        cluster.tick_all(Duration::from_millis(25))?;
        let leader = cluster.leader().ok_or("the leader is gone")?;
        for _ in 0..concurrency {
            token += 1;
            let proposal = Proposal::Command(vec![0; COMMAND_BYTES]);
            let token = Token(token);
            cluster.step(leader, Event::Propose { token, proposal })?;
        }
        cluster.deliver_all()?;
    }
    let rate = cluster.accepted as f64 / began.elapsed().as_secs_f64();
    let syncs = cluster.syncs as f64 / cluster.accepted as f64;
    println!("proposals_{name}: {rate:.0} 1/s");
    println!("syncs_per_proposal_{name}: {syncs:.2} of three replicas");
    Ok(())
}

fn measure_encodings() -> Outcome<()> {
    const ROUNDS: u32 = 20_000;
    let entries: Vec<_> = (1..=10).map(command).collect();
    let began = Instant::now();
    let mut bytes = 0;
    for _ in 0..ROUNDS {
        bytes = std::hint::black_box(postcard::to_stdvec(&entries)?).len();
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    println!("encode_10_entries_postcard: {micros:.2} us");
    println!("size_10_entries_postcard: {bytes} bytes");
    let began = Instant::now();
    for _ in 0..ROUNDS {
        bytes = std::hint::black_box(serde_json::to_vec(&entries)?).len();
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    println!("encode_10_entries_json: {micros:.2} us");
    println!("size_10_entries_json: {bytes} bytes");
    Ok(())
}
