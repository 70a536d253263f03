//! Scenes: what happens to a deployment, and when.

use std::time::Duration;

use filberthead_types::Moment;

use super::endpoint::ReadingMode;

/// Something that a scene does at a moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A few callers add this part of the first service's slots to its load.
    Surge(f64),
    /// The endpoints of a failure domain say that they are leaving, its entries start
    /// their planned stop, and the platform's list shows it only much later.
    DrainDomain(usize),
    /// The endpoints of a failure domain stop, done or not.
    StopEndpoints(usize),
    /// The platform's list shows the endpoints of a failure domain as leaving.
    ListLeaving(usize),
    /// A region falls silent; what runs there is lost.
    LoseRegion(usize),
    /// It starts anew with empty caches.
    RestoreRegion(usize),
    /// What all probes get from now on.
    SetReadings(ReadingMode),
    /// Messages between entries get lost, or get through again.
    DeliverReports(bool),
    /// The first endpoint of the first service refuses everything and the second one
    /// turns slow; both say that they are idle.
    MisreportLoad,
    /// An entry loses its peers and control, or has them back.
    IsolateEntry(usize, bool),
    /// Control is out of everybody's reach, or back.
    IsolateControl(bool),
    /// The first region's weights are set to nought.
    DrainRegion,
}

/// A scene.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name, as in the figures.
    pub name: &'static str,
    /// Whether load or trouble is uneven between endpoints.
    pub skewed: bool,
    /// How long callers keep the answer to a look-up.
    pub lookup_ttl: Duration,
    /// What happens.
    pub steps: Vec<(Moment, Step)>,
}

/// Length of every scene.
pub const LENGTH: Duration = Duration::from_secs(30);
/// Requests born before this moment aren't measured: counts and estimates settle.
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

/// All scenes.
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
