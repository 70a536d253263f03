//! The samples duty, which aggregates the counts reported by entries and stores them, and the
//! page that builds the burn report from them.
//!
//! It has a thread and a queue of its own, apart from the replicated log: samples may be lost,
//! and neither their number nor a slow disk may delay consensus.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use filberthead_observe::burn::{Report, ReportBuilder};
use filberthead_observe::samples::{
    Collector, Record, SampleReport, SampleStore, StoreError, visit_history,
};
use filberthead_operator::{BoxFuture, Page};
use filberthead_peer::Origin;
use filberthead_ring::{Receiver, Sender, ring};
use filberthead_settings::{ControlSettings, ObjectiveSettings};
use log::warn;
use tokio::sync::Mutex;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::stop::Stop;
use crate::{Duty, DutyError};

/// Capacity of the queue of reports. When it is full, further ones are dropped: a relay repeats
/// each period in its next report, and what is lost anyway shows as missing.
const REPORT_QUEUE_CAPACITY: usize = 2048;
/// How often the duty looks for periods that are old enough to be stored.
const CLOSE_PERIOD: Duration = Duration::from_secs(5);
/// How long a burn report is cached: samples come once a minute.
const REPORT_REUSE: Duration = Duration::from_secs(5);
/// Folder of samples inside the data folder.
const SAMPLES_FOLDER: &str = "samples";

/// Counts of entries, and the process that sent them.
#[derive(Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) origin: Origin,
    pub(crate) report: SampleReport,
}

/// Creates the queue to the samples duty.
pub(crate) fn report_queue() -> (Sender<ReceivedReport>, Receiver<ReceivedReport>) {
    ring(REPORT_QUEUE_CAPACITY)
}

/// Starts the duty.
pub(crate) fn spawn(
    cfg: &ControlSettings,
    rx: Receiver<ReceivedReport>,
    stop: Stop,
) -> Result<Duty, DutyError> {
    let duty = SamplesDuty {
        dir: samples_folder(&cfg.data),
        max_bytes: cfg.samples.max_bytes,
        collector: Collector::for_control(),
        store: None,
    };
    Duty::spawn("samples", move || duty.run(rx, stop))
}

fn samples_folder(data: &Path) -> PathBuf {
    data.join(SAMPLES_FOLDER)
}

struct SamplesDuty {
    dir: PathBuf,
    max_bytes: u64,
    collector: Collector,
    store: Option<SampleStore>,
}

impl SamplesDuty {
    async fn run(mut self, mut rx: Receiver<ReceivedReport>, mut stop: Stop) {
        let mut ticks = interval(CLOSE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = rx.recv() => match received {
                    Some(received) => self.record(received),
                    // The transport has stopped before this duty.
                    None => break,
                },
                _ = ticks.tick() => self.close_periods(unix_seconds()),
                () = stop.wait() => break,
            }
        }
        // Planned stop: everything received or still queued is stored, complete or not.
        while let Some(received) = rx.try_recv() {
            self.record(received);
        }
        self.close_periods(u64::MAX);
    }

    fn record(&mut self, received: ReceivedReport) {
        let Origin {
            name, incarnation, ..
        } = &received.origin;
        self.collector
            .add_report(unix_seconds(), name, *incarnation, received.report);
    }

    fn close_periods(&mut self, now: u64) {
        let periods = self.collector.close(now);
        let records: Vec<_> = periods.into_iter().flat_map(Record::from_period).collect();
        if records.is_empty() {
            return;
        }
        if let Err(e) = self.append(&records) {
            // A replica that can't store samples still works otherwise. The store is opened again
            // for the next records.
            self.store = None;
            warn!(error:% = e, lost = records.len(); "can't store samples");
        }
    }

    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut store = match self.store.take() {
            Some(store) => store,
            None => SampleStore::open(&self.dir, self.max_bytes)?,
        };
        store.append(records)?;
        self.store = Some(store);
        Ok(())
    }
}

/// Builds the burn report from the samples in a replica's data folder, as of now.
///
/// # Errors
///
/// Fails if the samples folder can't be read; a missing one counts as empty.
pub fn burn_report(cfg: &ControlSettings) -> Result<Report, StoreError> {
    ReportSource::new(cfg).report()
}

#[derive(Debug)]
struct ReportSource {
    cluster: String,
    objectives: Vec<ObjectiveSettings>,
    dir: PathBuf,
}

impl ReportSource {
    fn new(cfg: &ControlSettings) -> Self {
        Self {
            cluster: cfg.cluster.clone(),
            objectives: cfg.objectives.clone(),
            dir: samples_folder(&cfg.data),
        }
    }

    fn report(&self) -> Result<Report, StoreError> {
        let now = unix_seconds();
        let mut builder = ReportBuilder::new(&self.cluster, &self.objectives, now);
        let since = builder.since();
        let damage = visit_history(&self.dir, since, |record| builder.add(&record))?;
        Ok(builder.finish(&damage))
    }
}

/// `/v1/report`: the burn report of this replica's samples, as JSON. Needs no lease.
#[derive(Debug)]
pub(crate) struct ReportPage {
    source: Arc<ReportSource>,
    /// The last report and when it was built. The lock allows one build at a time, since each
    /// reads up to all stored samples.
    last: Mutex<Option<(Instant, Bytes)>>,
}

impl ReportPage {
    pub(crate) fn new(cfg: &ControlSettings) -> Self {
        Self {
            source: Arc::new(ReportSource::new(cfg)),
            last: Mutex::new(None),
        }
    }

    async fn content(&self) -> Bytes {
        let mut last = self.last.lock().await;
        if let Some((built_at, content)) = &*last
            && built_at.elapsed() < REPORT_REUSE
        {
            return content.clone();
        }
        let content = self.build().await;
        *last = Some((Instant::now(), content.clone()));
        content
    }

    async fn build(&self) -> Bytes {
        let source = Arc::clone(&self.source);
        // Not on the duty's thread, so that changes of the table don't wait for the disk.
        let built = tokio::task::spawn_blocking(move || source.report()).await;
        let json = match built {
            Ok(Ok(report)) => serde_json::to_vec(&report).map_err(|e| e.to_string()),
            Ok(Err(e)) => Err(e.to_string()),
            Err(e) => Err(e.to_string()),
        };
        match json {
            Ok(json) => json.into(),
            Err(error) => {
                warn!(error = error.as_str(); "can't build the burn report");
                serde_json::json!({ "error": error }).to_string().into()
            }
        }
    }
}

impl Page for ReportPage {
    fn content_type(&self) -> &'static str {
        "application/json"
    }

    fn render<'a>(&'a self, _query: &'a str) -> BoxFuture<'a, Bytes> {
        Box::pin(self.content())
    }
}

fn unix_seconds() -> u64 {
    // A clock before 1970 is wrong in any case; the collector tolerates wrong clocks.
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
