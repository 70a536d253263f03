//! Samples of service levels: a few numbers a minute for each service and region.
//!
//! Each entry counts what it sees and hands it, once a minute, to the relay of its failure
//! domain, which adds up what it gets and sends one report for all of them to every
//! control replica. Samples come to the replicas, rather than being fetched by them,
//! since the way is there anyway and its cost doesn't hang on who asks; and they come by
//! relays, since 600 entries that each send some kilobytes to one replica would take it
//! beyond the traffic that it may have. Every replica keeps what it hears in its data
//! folder, so a report needs one replica and no lease, and a lost disk loses no more than
//! its own copy.
//!
//! A relay repeats the period before, so that one lost message loses nothing. What is
//! missing all the same is missing in the samples, never zero: a record says how many
//! entries it was heard from.
//!
//! Samples are of no use to any decision of the system. They are counted, bounded, kept
//! apart from the replicated log, and may be deleted.

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

/// Seconds that a sample covers.
pub const PERIOD_SECONDS: u64 = 60;
