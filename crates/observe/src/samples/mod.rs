//! Samples of service levels: a few numbers per minute for each service and region.
//!
//! Once a minute each entry sends its counts to the relay of its failure domain. The relay
//! adds them up and sends one report for all its entries to every control replica. Samples
//! are pushed to the replicas instead of polled by them, because the peer connections exist
//! anyway and the cost doesn't depend on how many readers there are. They go through
//! relays, because 600 entries that each send some kilobytes to one replica would exceed
//! the traffic that a replica may have. Every replica stores what it receives in its data
//! folder, so a burn report needs one replica and no lease, and a lost disk loses no more
//! than its own copy.
//!
//! A relay repeats the previous period, so that one lost message loses no data. Data that
//! is missing all the same is absent from the samples, never zero: each record has the
//! number of entries that it covers.
//!
//! No decision of the system depends on samples. They are bounded, stored apart from the
//! replicated log, and may be deleted.

mod collector;
mod frame;
mod message;
mod period_counter;
mod sparse_histogram;
mod store;

pub use collector::Collector;
pub use message::{Counts, PeriodSamples, Reporter, SampleReport, ServiceSample};
pub(crate) use period_counter::{PeriodCounter, PeriodCounters};
pub use sparse_histogram::SparseHistogram;
pub use store::{Damage, History, Record, SampleStore, StoreError, read_history, visit_history};

/// Length of the period that a sample covers, in seconds.
pub const PERIOD_SECONDS: u64 = 60;
