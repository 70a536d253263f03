//! Crowds of clients that stop short of the end of what they send and keep their connections open. They may
//! connect to any port of a process; its memory and descriptors stay bounded, and it serves others.
//!
//! These tests run one at a time, apart from other load.

mod control;
mod entry;
mod gateway;

use std::time::Duration;

use filberthead_testing::crowd::Crowd;
use filberthead_testing::process::Process;
use filberthead_testing::soak::deployed::TroubleKind;
use filberthead_testing::wait_until;

use crate::soak::{assert_kept, play_deployed};

const BOUND: Duration = Duration::from_secs(60);
/// Descriptors that a process may have open in the tests that exhaust them.
const FEW_FILES: u32 = 256;
/// Descriptors of them that clients leave for connections of its own.
const KEPT_FILES: usize = 64;
/// More clients than that.
const MANY_FOR_FILES: usize = 400;

/// Seed of a soak with crowds at all ports, its duration and the mean time between two crowds.
const SEED: u64 = 8101;
const CROWDS: (Duration, Duration) = (Duration::from_secs(40), Duration::from_secs(3));

/// Crowds of all kinds come to gateways and control replicas that serve ordinary callers.
#[test]
fn processes_outlive_crowds_in_a_soak() {
    let report = play_deployed(SEED, CROWDS, TroubleKind::ClientsHoldOn);
    assert_kept(&report, &report.violations, &report.dir);
}

/// The process lives within its bounds, and an ordinary request is answered beside the crowd.
#[track_caller]
fn assert_holds(process: &Process, memory: u64, crowd: Crowd, is_answered: impl FnMut() -> bool) {
    wait_until("an ordinary request is answered", BOUND, is_answered);
    let (peak, files) = (process.peak_resident_bytes(), process.open_files());
    println!("{peak} bytes, {files} descriptors, {} clients", crowd.len());
    assert!(peak < memory, "{peak} bytes");
    drop(crowd);
}

/// Clients leave descriptors for others and for the process's own connections.
#[track_caller]
fn assert_keeps_files(process: &Process, crowd: Crowd, is_answered: impl FnMut() -> bool) {
    let files = process.open_files();
    println!("{files} descriptors, {} clients", crowd.len());
    assert!(files <= FEW_FILES as usize - KEPT_FILES, "{files}");
    wait_until("an ordinary request is answered", BOUND, is_answered);
    drop(crowd);
}
