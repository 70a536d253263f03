//! Admission window for shifted requests.
//!
//! Traffic that moves to another region meets cold caches there, so the same number of
//! requests holds more slots than in its home region. The window therefore starts at one
//! request and grows by a factor only after a period in which it was fully used, nothing
//! was refused or shed, slots stayed free, and latency stayed near its long-run mean. It
//! never exceeds this entry's share of the row's shift cap.

use std::time::Duration;

use filberthead_types::Moment;

const MIN_WINDOW: f64 = 1.0;
const GROWTH_FACTOR: f64 = 1.5;
const SHRINK_FACTOR: f64 = 0.7;
/// Length of a period in mean hold times, within the bounds below: long enough for the last
/// change of the window to show in latency and refusals.
const PERIOD_IN_HOLD_TIMES: f64 = 10.0;
const MIN_PERIOD: Duration = Duration::from_millis(200);
const MAX_PERIOD: Duration = Duration::from_secs(4);
/// Multiple of the long-run mean latency above which a period counts as strained.
const STRAINED_LATENCY: f64 = 2.0;
/// Mean utilisation of the entry's slots above which a period counts as strained.
const STRAINED_LOAD: f64 = 0.95;
/// Time without shifted requests after which the window starts at its minimum again.
const RESET_AFTER: Duration = Duration::from_secs(60);

/// Counts and sums of the current period.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    /// Most shifted requests that ran at the same time.
    max_shifted: u32,
    answers: u32,
    /// Sum of the answers' latencies.
    latency_seconds: f64,
    refusals: u32,
    load_sum: f64,
    ticks: u32,
}

#[derive(Debug)]
pub(crate) struct ShiftWindow {
    /// Shifted requests that may run at the same time.
    window: f64,
    period: Period,
    period_ends: Moment,
    last_used: Moment,
    /// Long-run mean latency of answers, in seconds; `None` before the first one.
    baseline: Option<f64>,
}

impl ShiftWindow {
    pub(crate) fn new() -> Self {
        Self {
            window: MIN_WINDOW,
            period: Period::default(),
            period_ends: Moment::ZERO,
            last_used: Moment::ZERO,
            baseline: None,
        }
    }

    pub(crate) fn size(&self) -> u32 {
        self.window as u32
    }

    pub(crate) fn record_start(&mut self, now: Moment, shifted_running: u32) {
        self.last_used = now;
        self.period.max_shifted = self.period.max_shifted.max(shifted_running);
    }

    pub(crate) fn record_answer(&mut self, latency: Duration) {
        self.period.answers += 1;
        self.period.latency_seconds += latency.as_secs_f64();
    }

    pub(crate) fn record_refusal(&mut self) {
        self.period.refusals += 1;
    }

    /// Records `load`, the utilisation of the entry's slots, and ends the period when it is
    /// due. The mean load of the period decides, since a few slots are often all filled for
    /// moments.
    pub(crate) fn tick(&mut self, now: Moment, load: f64, cap: u32, hold_seconds: f64) {
        self.period.load_sum += load;
        self.period.ticks += 1;
        if now < self.period_ends {
            return;
        }
        let length = Duration::from_secs_f64(PERIOD_IN_HOLD_TIMES * hold_seconds);
        self.period_ends = now + length.clamp(MIN_PERIOD, MAX_PERIOD);
        let period = std::mem::take(&mut self.period);
        let mean_latency =
            (period.answers > 0).then(|| period.latency_seconds / f64::from(period.answers));
        let load = period.load_sum / f64::from(period.ticks.max(1));
        let strained = self.is_strained(period, mean_latency, load);
        if strained {
            self.window = (self.window * SHRINK_FACTOR).max(MIN_WINDOW);
        } else if f64::from(period.max_shifted) >= self.window.floor() {
            self.window = (self.window * GROWTH_FACTOR).max(self.window + 1.0);
        }
        if now > self.last_used + RESET_AFTER {
            self.window = MIN_WINDOW;
        }
        self.window = self.window.min(f64::from(cap.max(1)));
        self.update_baseline(mean_latency);
    }

    fn is_strained(&self, period: Period, mean_latency: Option<f64>, load: f64) -> bool {
        let slow = match (mean_latency, self.baseline) {
            (Some(mean_latency), Some(baseline)) => mean_latency > STRAINED_LATENCY * baseline,
            _ => false,
        };
        period.refusals > 0 || slow || load > STRAINED_LOAD
    }

    /// Moves the baseline towards a period's mean latency; slowly upwards, so that cold caches
    /// don't raise it.
    fn update_baseline(&mut self, mean_latency: Option<f64>) {
        let Some(mean_latency) = mean_latency else {
            return;
        };
        let baseline = self.baseline.get_or_insert(mean_latency);
        let gain = if mean_latency > *baseline { 0.01 } else { 0.1 };
        *baseline += gain * (mean_latency - *baseline);
    }
}
