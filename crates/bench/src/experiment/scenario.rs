//! Scenarios: load changes and faults, and when they occur.

use std::time::Duration;

use filberthead_types::Moment;

use super::endpoint::ReadingMode;

/// A change that a scenario makes.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A few callers add load worth this share of the first service's slots.
    Surge(f64),
    /// The endpoints of a failure domain report that they are leaving, and its entries
    /// start their planned stop. The platform's list shows it only later, with
    /// [`Step::ListLeaving`].
    DrainDomain(usize),
    /// The endpoints of a failure domain stop; requests in progress are lost.
    StopEndpoints(usize),
    /// The platform's list shows the endpoints of a failure domain as leaving.
    ListLeaving(usize),
    /// The endpoints and entries of a region stop; requests in progress are lost.
    LoseRegion(usize),
    /// The endpoints and entries of a region restart, the endpoints with empty caches.
    RestoreRegion(usize),
    /// Sets how all endpoints answer probes.
    SetReadings(ReadingMode),
    /// Whether messages between entries are delivered.
    DeliverReports(bool),
    /// The first endpoint of the first service refuses everything and the second one
    /// becomes slow; both report that they are idle.
    MisreportLoad,
    /// Whether an entry is cut off from its peers and control.
    IsolateEntry(usize, bool),
    /// Whether control is cut off from all entries.
    IsolateControl(bool),
    /// Sets the weights of the first region to 0.
    DrainRegion,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name, as in the figures.
    pub name: &'static str,
    /// Whether load or faults are uneven between endpoints.
    pub skewed: bool,
    /// How long callers cache a look-up result.
    pub lookup_ttl: Duration,
    /// What changes, and when.
    pub steps: Vec<(Moment, Step)>,
}

/// Length of every scenario.
pub const LENGTH: Duration = Duration::from_secs(30);
/// Requests that callers sent before this moment aren't measured, so that counts and
/// estimates can settle.
pub(crate) const WARM_UP: Duration = Duration::from_secs(6);
const LOOKUP_TTL: Duration = Duration::from_secs(10);

fn at(seconds: u64, step: Step) -> (Moment, Step) {
    (Duration::from_secs(seconds), step)
}

fn scenario(name: &'static str, skewed: bool, steps: Vec<(Moment, Step)>) -> Scenario {
    Scenario {
        name,
        skewed,
        lookup_ttl: LOOKUP_TTL,
        steps,
    }
}

fn drain_steps() -> Vec<(Moment, Step)> {
    vec![
        at(10, Step::DrainDomain(0)),
        at(20, Step::ListLeaving(0)),
        at(24, Step::StopEndpoints(0)),
    ]
}

/// All scenarios.
pub fn scenarios() -> Vec<Scenario> {
    let late = ReadingMode::Delayed(Duration::from_secs(3));
    let mut drain_and_surge = drain_steps();
    drain_and_surge.push(at(11, Step::Surge(0.15)));
    drain_and_surge.push(at(21, Step::Surge(0.0)));
    let mut cached = scenario("cached-answers", true, vec![at(8, Step::DrainRegion)]);
    cached.lookup_ttl = Duration::from_secs(15);
    vec![
        scenario("steady", false, vec![]),
        scenario(
            "storm",
            true,
            vec![at(10, Step::Surge(0.30)), at(20, Step::Surge(0.0))],
        ),
        scenario("drain", true, drain_steps()),
        scenario(
            "region-lost",
            true,
            vec![at(10, Step::LoseRegion(0)), at(18, Step::RestoreRegion(0))],
        ),
        scenario("readings-late", false, vec![at(2, Step::SetReadings(late))]),
        scenario(
            "readings-frozen",
            false,
            vec![at(8, Step::SetReadings(ReadingMode::Frozen(0.3)))],
        ),
        scenario("readings-lie", true, vec![at(8, Step::MisreportLoad)]),
        scenario(
            "measurements-stop",
            false,
            vec![
                at(8, Step::SetReadings(ReadingMode::Missing)),
                at(8, Step::DeliverReports(false)),
            ],
        ),
        scenario(
            "entry-cut-off",
            true,
            vec![
                at(10, Step::IsolateEntry(0, true)),
                at(22, Step::IsolateEntry(0, false)),
            ],
        ),
        scenario(
            "control-cut-off",
            false,
            vec![
                at(8, Step::IsolateControl(true)),
                at(22, Step::IsolateControl(false)),
            ],
        ),
        cached,
        scenario(
            "lost-and-frozen",
            true,
            vec![
                at(8, Step::SetReadings(ReadingMode::Frozen(0.3))),
                at(10, Step::LoseRegion(0)),
                at(18, Step::RestoreRegion(0)),
            ],
        ),
        scenario("drain-and-storm", true, drain_and_surge),
    ]
}
