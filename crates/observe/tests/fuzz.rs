//! Reading a sample file with arbitrary content returns valid records only.

use std::fs;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use filberthead_observe::samples::{Counts, Record, SampleStore, ServiceSample, read_history};
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEEDS: u64 = 1000;

/// Checks values that bolero generates from fixed seeds. Its own loop draws new seeds in
/// each run, but the test must have the same result in every run.
fn for_seeds<T: TypeGenerator>(mut check: impl FnMut(T)) {
    let options = Options::default();
    for seed in 0..SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        let value = T::generate(&mut driver).expect("the driver has bytes left");
        check(value);
    }
}

fn record(n: u64) -> Record {
    Record {
        start: n * 60,
        entries: 1,
        sample: ServiceSample {
            service: "intake".parse().expect("a valid name"),
            region: "sul".parse().expect("a valid name"),
            counts: Counts {
                refused: n,
                ..Counts::default()
            },
        },
    }
}

#[test]
fn random_files_hold_no_records() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("samples-0000000001.log");
    for_seeds(|bytes: Vec<u8>| {
        let mut file = b"fhsampl1".to_vec();
        file.extend_from_slice(&bytes);
        fs::write(&path, &file).expect("the file is written");
        let history = read_history(dir.path(), 0).expect("the file is read");
        assert_eq!(history.records, []);
        let lost: u64 = history.damage.iter().map(|damage| damage.lost).sum();
        assert_eq!(lost, bytes.len() as u64);
    });
}

#[test]
fn flipped_bytes_lose_records_and_invent_none() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("samples-0000000001.log");
    let written: Vec<_> = (0..20).map(record).collect();
    let mut store = SampleStore::open(dir.path(), 1024 * 1024).expect("the store opens");
    store.append(&written).expect("records are written");
    let whole = fs::read(&path).expect("the file is read");
    for_seeds(|(place, mask, cut): (u32, u8, u32)| {
        let mut file = whole.clone();
        let place = place as usize % file.len();
        file[place] ^= mask;
        // Every other file is cut as well.
        if cut % 2 == 0 {
            file.truncate(cut as usize % (file.len() + 1));
        }
        fs::write(&path, &file).expect("the file is written");
        let history = read_history(dir.path(), 0).expect("the file is read");
        assert!(
            written.starts_with(&history.records),
            "place {place} mask {mask}"
        );
        // Opening the store repairs the file.
        let mut store = SampleStore::open(dir.path(), 1024 * 1024).expect("the store opens");
        store.append(&[record(99)]).expect("records are written");
        let again = read_history(dir.path(), 0).expect("the file is read");
        assert_eq!(again.damage, []);
        assert_eq!(again.records.last(), Some(&record(99)));
        assert_eq!(again.records.len(), history.records.len() + 1);
    });
}
