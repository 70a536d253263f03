//! Measures how soon a restarted entry has the newest table in force and serves callers.

use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::eventually;
use filberthead_testing::operator::BOUND;

use crate::figures::Times;
use crate::system::System;

const MISSED: u32 = 300;
const RESTARTS: usize = 3;

pub(crate) fn after_missed_changes(system: &mut System) {
    let mut in_force_times = Times::new();
    let mut serving_times = Times::new();
    for _ in 0..RESTARTS {
        system.cluster.entries[0].kill();
        let newest = system.change_often(MISSED, Duration::ZERO);
        let entry = &mut system.cluster.entries[0];
        let start = Instant::now();
        entry.start();
        let in_force = eventually("the newest version in force", BOUND, || {
            let version = entry.version_in_force();
            version
                .is_some_and(|version| version >= newest)
                .then(|| start.elapsed())
        });
        let look_up = Call::get("/v1/lookup?service=orders");
        let answered = eventually("an answered look-up", BOUND, || {
            let answer = look_up.send(entry.direct_addr("caller")).ok()?;
            answer.status.is_success().then(|| start.elapsed())
        });
        in_force_times.add(in_force);
        serving_times.add(answered.max(in_force));
    }
    in_force_times.print("restart_to_newest_table_after_300_changes");
    serving_times.print("restart_to_serving_after_300_changes");
}
