//! The service-level burn report.
//!
//! For each service and region, and for a service as a whole, four measures are compared
//! with the objective from control's settings: latency, headroom, drain time and refusals.
//! Each is a count of events, of which a share may be bad: that share is the error budget.
//! A burn rate of 1 uses up the budget of its window exactly; at a burn rate of 14 a
//! three-day budget lasts about five hours.
//!
//! Missing samples don't count as good: the burn rate is computed over the samples that
//! exist, and the report shows how many minutes of each window have any.

mod html;
mod measure;
mod plot;
mod report;
mod series;
mod text;

pub use html::html;
pub use measure::{Measure, MeasureKind, WindowBurn};
pub use report::{Report, ReportBuilder, Scope, Source, build};
pub use series::Point;
pub use text::text;

/// Windows over which the burn rate is measured, in seconds. The last is also the window of
/// the error budget.
pub const WINDOWS: [u64; 4] = [5 * 60, 60 * 60, 6 * 60 * 60, 3 * 24 * 60 * 60];

/// Names of [`WINDOWS`] in the report.
pub const WINDOW_NAMES: [&str; 4] = ["5 m", "1 h", "6 h", "3 d"];

/// The longest window, in seconds: that of the error budget and of the plots.
pub(crate) const BUDGET_WINDOW: u64 = WINDOWS[WINDOWS.len() - 1];
