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
const PEAK_DECAY: Duration = Duration::from_secs(60);
const MIN_OF_PEAK: f64 = 0.7;
/// Time without shortage after which the capacity isn't divided any more, if it exceeds what is asked
/// for. Otherwise, division would end whenever it has taken effect.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Part of the estimate up to which the work asked for must have fallen for that.
const SETTLED_BELOW: f64 = 0.9;
/// Longest step at once. After a longer pause the measurements say nothing about the time between.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Estimate of the capacity of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    work: f64,
    peak: f64,
    updated_at: Moment,
    /// When shortage was last seen, while the capacity is divided.
    short_at: Option<Moment>,
}

impl Capacity {
    /// Whether the capacity is divided.
    pub(super) fn is_divided(&self) -> bool {
        self.short_at.is_some()
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
        if is_short {
            self.short_at = Some(now);
        }
        let is_settled = self
            .short_at
            .is_some_and(|at| now >= at + SETTLED_AFTER && offered <= SETTLED_BELOW * self.work);
        if is_settled {
            self.short_at = None;
        }
        self.is_divided().then_some(self.work)
    }
}
