//! What the scripts of the review share: a small deployment, its operator, its callers and the record.

mod callers;
mod deployment;
mod endpoint;
mod evacuation;
mod operator;
mod record;

pub use callers::{Callers, Sent};
pub use deployment::{ZONE, deploy, leader, note_pids, others, programs};
pub use endpoint::{Run, RunEnd, TimedEndpoint};
pub use evacuation::{CONTACT, EVACUATION, judge};
pub use operator::Operator;
pub use record::{Record, Verdict, is_troubled, run_case};
