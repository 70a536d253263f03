//! Estimates how much work a service can serve.

use std::time::Duration;

use filberthead_types::Moment;

/// Factor on the work that is served while the service isn't short of capacity. What is admitted beyond
/// it finds out whether more can be served: the estimate grows by this factor within the time over
/// which served work is averaged.
const HEADROOM: f64 = 1.05;
/// The factor while the service is short of capacity, which lets queues at endpoints drain. With 1.05 in
/// the replay of tests/shares.rs, they stayed full, and a workspace at six times its rate and a low
/// priority got 0.32 of its share, with 0.95 at least 0.85.
const HEADROOM_WHEN_SHORT: f64 = 0.95;
/// Time in which the estimate follows a lower measurement. Work is served unevenly, and a service that
/// serves less for a moment may do so because less was asked for.
const DECAY: Duration = Duration::from_secs(5);
/// Time in which the most that was served is forgotten, and the part of it below which the estimate
/// doesn't fall. Requests may fail for other reasons than their number, and then each estimate would be
/// lower than the one before.
const PEAK_DECAY: Duration = Duration::from_secs(300);
const MIN_OF_PEAK: f64 = 0.7;
/// Time after which the capacity isn't divided any more, if nothing is short of it and what is asked for
/// doesn't exceed the estimate. Otherwise, division would end whenever it has taken effect.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Longest step at once. After a longer pause the measurements say nothing about the time between.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Estimate of the capacity of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    work: f64,
    peak: f64,
    updated_at: Moment,
    /// When the service was last short or more was asked for than the estimate, while the capacity is
    /// divided.
    needed_at: Option<Moment>,
}

impl Capacity {
    /// Whether the capacity is divided.
    pub(super) fn is_divided(&self) -> bool {
        self.needed_at.is_some()
    }

    /// Updates the estimate by the work that is served and asked for, and returns it if it has to be
    /// divided.
    pub(super) fn update(
        &mut self,
        now: Moment,
        served: f64,
        offered: f64,
        is_short: bool,
    ) -> Option<f64> {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now));
        let step = elapsed.min(MAX_STEP).as_secs_f64();
        let headroom = match is_short {
            true => HEADROOM_WHEN_SHORT,
            false => HEADROOM,
        };
        let decayed = |work: f64, time: Duration| work * (-step / time.as_secs_f64()).exp();
        self.peak = decayed(self.peak, PEAK_DECAY).max(served);
        self.work = decayed(self.work, DECAY)
            .max(headroom * served)
            .max(MIN_OF_PEAK * self.peak);
        if is_short || (self.is_divided() && offered > self.work) {
            self.needed_at = Some(now);
        }
        if self.needed_at.is_some_and(|at| now >= at + SETTLED_AFTER) {
            self.needed_at = None;
        }
        self.is_divided().then_some(self.work)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Updates every 250 ms for a while, and returns the last result.
    fn run(
        capacity: &mut Capacity,
        now: &mut Moment,
        seconds: u32,
        (served, offered, is_short): (f64, f64, bool),
    ) -> Option<f64> {
        let mut last = None;
        for _ in 0..4 * seconds {
            *now += Duration::from_millis(250);
            last = capacity.update(*now, served, offered, is_short);
        }
        last
    }

    /// Guards against a division that goes on while as much is served as is asked for, and against one that
    /// ends because it has taken effect.
    #[test]
    fn division_lasts_while_more_is_asked_for_than_served() {
        let (mut capacity, mut now) = (Capacity::default(), Duration::from_secs(100));
        let calm = (150.0, 150.0, false);
        assert_eq!(run(&mut capacity, &mut now, 10, calm), None);
        let short = run(&mut capacity, &mut now, 20, (200.0, 300.0, true));
        assert!(
            short.is_some_and(|work| (189.0..200.0).contains(&work)),
            "{short:?}"
        );
        let shared = run(&mut capacity, &mut now, 20, (200.0, 300.0, false));
        assert!(
            shared.is_some_and(|work| (200.0..220.0).contains(&work)),
            "{shared:?}"
        );
        assert_eq!(run(&mut capacity, &mut now, 5, calm), None);
    }

    /// Guards against an estimate that falls on and on while a part of the requests fails whatever is
    /// admitted.
    #[test]
    fn failures_without_overload_take_a_bounded_part() {
        let (mut capacity, mut now) = (Capacity::default(), Duration::from_secs(100));
        run(&mut capacity, &mut now, 10, (200.0, 200.0, false));
        let mut work = 200.0;
        for _ in 0..20 {
            let failing = (0.8 * work, 200.0, true);
            work = run(&mut capacity, &mut now, 1, failing).expect("it is divided");
        }
        assert!(work >= 0.65 * 200.0, "{work}");
    }
}
