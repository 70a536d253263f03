//! A randomised soak: the real programs as processes of one machine, with callers,
//! operators and endpoints around them, while faults are injected from outside.
//!
//! A [`Plan`] is drawn from a seed: what happens when. [`run_plan`] carries it out: it kills,
//! pauses, stops and restarts processes by signals, tears and wipes their data, and
//! delays, resets, cuts and silences their connections by the proxies before them. In the
//! end all faults are taken back, and service has to come back too.
//!
//! What must hold is judged by what callers and operators were told and by what endpoints
//! ran ([`History`], [`find_violations`]), never by what the processes say of themselves, but for
//! whether a group is whole before another disk is lost. The order of events differs from
//! run to run, since real processes race; the plan of a seed doesn't.

mod callers;
mod history;
mod nodes;
mod operators;
mod plan;
mod runner;
mod shared;
mod violations;

pub use history::{CallerRequest, History, RequestOutcome, RouteProbe, RoutesChange, RoutesRead};
pub use plan::{Plan, Size, Step, Target, TimedStep};
pub use runner::{Report, run_plan};
pub use violations::{EndpointRun, Violation, find_violations};
