//! Measures the control plane with real processes: three control replicas and eleven
//! entries in six failure domains, the size of the larger user's deployment.
//!
//! Every process is behind a proxy in this process, so that replicas keep their addresses
//! over a restart; times include the proxies' share.

mod changes;
mod failover;
mod figures;
mod load;
mod restart;
mod system;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut system = system::System::start();
    load::idle(&system);
    changes::in_force(&system);
    load::changing(&system);
    restart::after_missed_changes(&mut system);
    failover::leader_killed(&mut system);
    ExitCode::SUCCESS
}
