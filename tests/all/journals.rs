//! The only entry of a failure domain, with a data folder, killed and restarted.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::cluster::Cluster;
use filberthead_testing::{eventually, wait_until};
use serde::Deserialize;

use crate::support::programs;

const BOUND: Duration = Duration::from_secs(120);
const REPLAYED: Option<u16> = Some(1001);
const HOME_LOST_RECORDS: Option<u16> = Some(1303);

#[derive(Debug)]
#[derive(Deserialize)]
struct Lookup {
    key_prefix: String,
}

/// A cluster with a single entry, an order that it has answered, and that order's key.
struct SingleEntry {
    cluster: Cluster,
    key: String,
    first: Answer,
}

impl SingleEntry {
    /// An entry at which an order was placed and answered.
    fn with_finished_order() -> Self {
        let mut cluster = Cluster::builder(programs())
            .places(&[("zagreb", "zagreb-a")])
            .service("orders", 2)
            .entry_data(true)
            .prepare();
        cluster.entries[0].start();
        let entry = cluster.entries[0].addr("caller");
        let (key, first) = eventually("an order is placed", BOUND, || {
            let key = format!("{}a", prefix(entry)?);
            let answer = order(&key).send(entry).ok()?;
            (answer.result() == Some(1000)).then_some((key, answer))
        });
        // A resend is answered from the record, so the outcome is in the ledger; it is on
        // disk once the start of a later order is, since writes keep their order.
        eventually("another order is placed", BOUND, || {
            let key = format!("{}b", prefix(entry)?);
            let answer = order(&key).send(entry).ok()?;
            (answer.result() == Some(1000)).then_some(())
        });
        Self {
            cluster,
            key,
            first,
        }
    }

    fn entry(&self) -> SocketAddr {
        self.cluster.entries[0].addr("caller")
    }

    /// Resends the first order until the entry serves again.
    fn resend(&self) -> Answer {
        eventually("the entry answers", BOUND, || {
            let answer = order(&self.key).send(self.entry()).ok()?;
            assert!(!answer.is_not_run(), "{}", answer.text());
            // While it starts, it may refuse before it consults the ledger.
            (answer.result() != Some(1307)).then_some(answer)
        })
    }

    fn kill(&mut self) {
        self.cluster.entries[0].kill();
    }

    fn start(&mut self) {
        self.cluster.entries[0].start();
    }

    /// The journal file of the home; the entry must not be running.
    fn journal(&self) -> PathBuf {
        let folder = self.cluster.entries[0].data().join("ledger");
        let mut files = fs::read_dir(folder).expect("a folder of journals");
        let journal = files.next().expect("a journal").expect("a readable folder");
        journal.path()
    }
}

fn prefix(entry: SocketAddr) -> Option<String> {
    let answer = Call::get("/v1/lookup?service=orders").send(entry).ok()?;
    let lookup: Lookup = (answer.status == 200).then(|| answer.json())?;
    Some(lookup.key_prefix).filter(|prefix| !prefix.is_empty())
}

fn order(key: &str) -> Call {
    Call::post("/v1/services/orders/place", key, "three rabbits")
}

/// The only entry of a failure domain loses power after an order. The caller resends it
/// when the entry is back, and gets the lost answer.
#[test]
fn an_answer_survives_the_only_entry() {
    let mut site = SingleEntry::with_finished_order();
    site.kill();
    site.start();
    let resent = site.resend();
    assert_eq!(resent.result(), REPLAYED, "{}", resent.text());
    assert_eq!(resent.body, site.first.body);
    let record = site.cluster.record();
    assert_eq!(record.executions_of(&site.key), 1);
}

/// Power failed in the middle of a write, so the journal ends in a partial step. That
/// step was never acknowledged; all before it counts.
#[test]
fn a_torn_journal_keeps_what_was_synced() {
    let mut site = SingleEntry::with_finished_order();
    site.kill();
    let journal = fs::OpenOptions::new().append(true).open(site.journal());
    let torn = [0x40, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7];
    journal
        .and_then(|mut f| f.write_all(&torn))
        .expect("a torn write");
    site.start();
    assert_eq!(site.resend().result(), REPLAYED);
}

/// A bit of the journal has flipped on the disk. An order's start may be missing from
/// what can be read, so the entry must not continue from it; it answers "may have run".
#[test]
fn a_damaged_journal_loses_the_home() {
    let mut site = SingleEntry::with_finished_order();
    site.kill();
    let path = site.journal();
    let mut content = fs::read(&path).expect("a journal");
    let middle = content.len() / 2;
    content[middle] ^= 0x10;
    fs::write(&path, content).expect("a damaged journal");
    site.start();
    let resent = site.resend();
    assert_eq!(resent.result(), HOME_LOST_RECORDS, "{}", resent.text());
}

/// The entry restarts with an empty disk.
#[test]
fn a_wiped_disk_loses_the_home() {
    let mut site = SingleEntry::with_finished_order();
    site.kill();
    site.cluster.entries[0].wipe();
    site.start();
    let resent = site.resend();
    assert_eq!(resent.result(), HOME_LOST_RECORDS, "{}", resent.text());
    wait_until("new orders are accepted", BOUND, || {
        prefix(site.entry()).is_some()
    });
}
