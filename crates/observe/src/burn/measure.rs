//! One measure compared with its objective.

use filberthead_settings::ObjectiveSettings;
use serde::{Deserialize, Serialize};

use super::{BUDGET_WINDOW, WINDOWS};
use crate::samples::{Counts, PERIOD_SECONDS};

/// A kind of measure, with the events that it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MeasureKind {
    /// Responses; bad if slower than the threshold.
    Latency,
    /// Minutes; bad if fewer slots were free than the objective demands.
    Headroom,
    /// Drains; bad if they took longer than their deadline.
    DrainTime,
    /// Requests; bad if they were refused or lost.
    Refusals,
}

impl MeasureKind {
    /// Every measure, in the order of the report.
    pub const ALL: [Self; 4] = [
        Self::Latency,
        Self::Headroom,
        Self::DrainTime,
        Self::Refusals,
    ];

    /// The name in the report.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Headroom => "headroom",
            Self::DrainTime => "drain time",
            Self::Refusals => "refusals",
        }
    }

    pub(super) fn target(self, objective: &ObjectiveSettings) -> f64 {
        match self {
            Self::Latency => objective.latency_target,
            Self::Headroom => objective.headroom_target,
            Self::DrainTime => objective.drain_target,
            Self::Refusals => objective.served_target,
        }
    }

    /// The objective as text for the report.
    fn objective(self, objective: &ObjectiveSettings) -> String {
        let share = percent(self.target(objective));
        match self {
            Self::Latency => format!("{share} within {:?}", objective.latency_threshold),
            Self::Headroom => format!("{share} with {} free", percent(objective.headroom_min)),
            Self::DrainTime => {
                let deadline = humantime::format_duration(objective.drain_deadline);
                format!("{share} within {deadline}")
            }
            Self::Refusals => format!("{share} served"),
        }
    }

    /// The limit between good and bad, in the unit of the plots; see [`Measure::bound`].
    fn bound(self, objective: &ObjectiveSettings) -> Option<f64> {
        match self {
            Self::Latency => Some(objective.latency_threshold.as_secs_f64() * 1000.0),
            Self::Headroom => Some(objective.headroom_min * 100.0),
            Self::DrainTime => Some(objective.drain_deadline.as_secs_f64()),
            Self::Refusals => None,
        }
    }

    /// Returns the events in some counts. For headroom they must be the counts of a whole
    /// minute; for the other measures, counts may be split and added in any way.
    pub(super) fn events(self, objective: &ObjectiveSettings, counts: &Counts) -> Events {
        match self {
            Self::Latency => Events {
                total: counts.answered(),
                bad: counts
                    .latency_us
                    .above(saturating_u64(objective.latency_threshold.as_micros())),
            },
            Self::Headroom => match counts.headroom() {
                None => Events::default(),
                Some(headroom) => Events {
                    total: 1,
                    bad: (headroom < objective.headroom_min).into(),
                },
            },
            Self::DrainTime => Events {
                total: counts.drain_ms.total(),
                bad: counts
                    .drain_ms
                    .above(saturating_u64(objective.drain_deadline.as_millis())),
            },
            Self::Refusals => {
                let bad = counts.refused.saturating_add(counts.lost);
                Events {
                    total: counts.answered().saturating_add(bad),
                    bad,
                }
            }
        }
    }
}

fn saturating_u64(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

/// Rounds to six decimals. This removes floating-point noise, so that a report that has been
/// written to JSON and read back is equal.
pub(super) fn rounded(figure: f64) -> f64 {
    const SCALE: f64 = 1e6;
    (figure * SCALE).round() / SCALE
}

/// Formats a share, 0 to 1, as a percentage with up to three decimals.
pub(super) fn percent(share: f64) -> String {
    let text = format!("{:.3}", share * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

/// Number of events, and of bad ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Events {
    total: u64,
    bad: u64,
}

impl Events {
    pub(super) fn add(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// The burn rate: share of bad events divided by the share that may be bad; `None`
    /// without events.
    fn burn(self, target: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        let share = self.bad as f64 / self.total as f64;
        Some(rounded(share / (1.0 - target)))
    }
}

/// A measure's events and burn rate in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window in seconds.
    pub seconds: u64,
    /// Number of events in it.
    pub events: u64,
    /// Number of bad ones among them.
    pub bad: u64,
    /// Burn rate: 1 uses up the window's budget exactly; `None` without events.
    pub burn: Option<f64>,
}

/// A measure of a service in one region, or in all regions together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Measure {
    /// The kind of measure.
    pub kind: MeasureKind,
    /// The objective as text.
    pub objective: String,
    /// Share of events that are to be good, 0 to 1.
    pub target: f64,
    /// The limit between good and bad: latency in milliseconds, headroom in percent, drain
    /// time in seconds; `None` for refusals.
    pub bound: Option<f64>,
    /// Remaining share of the longest window's budget: 1 if nothing is used, below 0 if it
    /// is exceeded; `None` without events.
    pub budget_left: Option<f64>,
    /// One for each of [`WINDOWS`], in the same order.
    pub windows: Vec<WindowBurn>,
}

/// Whether the minute that starts at `start` ends within the last `window` seconds.
pub(super) fn is_within_window(start: u64, window: u64, now: u64) -> bool {
    let end = start + PERIOD_SECONDS;
    end + window > now && start <= now
}

/// The events of a measure in each of [`WINDOWS`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WindowEvents([Events; WINDOWS.len()]);

impl WindowEvents {
    /// Adds the events of a minute to each window that contains it.
    pub(super) fn add(&mut self, events: Events, start: u64, now: u64) {
        for (window, seconds) in self.0.iter_mut().zip(WINDOWS) {
            if is_within_window(start, seconds, now) {
                window.add(events);
            }
        }
    }
}

pub(super) fn measure(
    kind: MeasureKind,
    objective: &ObjectiveSettings,
    events: &WindowEvents,
) -> Measure {
    let target = kind.target(objective);
    let windows: Vec<_> = WINDOWS
        .iter()
        .zip(events.0)
        .map(|(seconds, events)| WindowBurn {
            seconds: *seconds,
            events: events.total,
            bad: events.bad,
            burn: events.burn(target),
        })
        .collect();
    let budget = windows
        .iter()
        .find(|window| window.seconds == BUDGET_WINDOW);
    Measure {
        kind,
        objective: kind.objective(objective),
        target,
        bound: kind.bound(objective).map(rounded),
        budget_left: budget
            .and_then(|window| window.burn)
            .map(|burn| rounded(1.0 - burn)),
        windows,
    }
}
