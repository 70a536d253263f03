//! A randomised soak test: the real programs run as processes on one machine and serve callers,
//! operators and endpoints, while faults are injected from outside.
//!
//! A [`Plan`] is generated from a seed and says which step is taken when. [`run_plan`] executes
//! it: it kills, suspends, stops and restarts processes with signals, tears and wipes their data,
//! and delays, resets, cuts and silences their connections with the proxies in front of them. At
//! the end it reverts all faults, and the system has to recover.
//!
//! [`find_violations`] checks the answers that callers and operators received, kept in a
//! [`History`], against the requests that endpoints ran. It uses nothing that the processes
//! report about themselves, with three exceptions: the decision whether a group is healthy enough to
//! lose another disk, which control replica leads when the leader is to be suspended, and the sequence
//! of evacuations that control replicas log. The order of events differs between runs, since real processes race; the plan of a
//! seed doesn't.

mod callers;
pub mod deployed;
mod evacuations;
mod evacuators;
mod history;
mod nodes;
mod operators;
mod plan;
mod retries;
mod runner;
mod shared;
mod violations;
mod workspaces;

pub use evacuations::{
    AppliedSet, EvacuationChange, EvacuationOrder, EvacuationRecord, OrderOutcome, OrderSend,
    applied_sets, find_evacuation_violations,
};
pub use history::{
    CallerRequest, History, RequestOutcome, RouteMove, RouteProbe, RoutesChange, RoutesRead, Told,
};
pub use plan::{LeaderPause, Load, Plan, Size, Step, Target, TimedStep};
pub use retries::{ServiceArrival, WorstWindow};
pub use runner::{Report, run_plan};
pub use violations::{EndpointRun, Limits, Violation, find_violations};
pub use workspaces::Workspaces;
