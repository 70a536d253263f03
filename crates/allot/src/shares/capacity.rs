//! Estimates how much work a service can serve.

use std::time::Duration;

use filberthead_types::Moment;

/// Factor on the work that is served. What is admitted beyond it finds out whether more can be
/// served; a factor below 1 would lower the estimate on and on while requests are refused for other
/// reasons than their number.
const HEADROOM: f64 = 1.1;
/// Time in which the estimate follows a lower measurement. Work is served unevenly, and a service that
/// serves less for a moment may do so because less was asked for.
const DECAY: Duration = Duration::from_secs(5);
/// Growth per second while a service whose capacity is divided isn't short of it.
const GROWTH: f64 = 0.1;
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
        let before = match self.is_divided() && !is_short {
            true => self.work * (1.0 + GROWTH * step),
            false => self.work * (-step / DECAY.as_secs_f64()).exp(),
        };
        self.work = before.max(HEADROOM * served);
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
