//! Scenes: what happens to a deployment, and when.

use std::time::Duration;

use filberthead_types::Moment;

use super::endpoint::Readings;

/// Something that a scene does at a moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A few callers add this part of the first service's slots to its load.
    Surge(f64),
    /// The endpoints of a failure domain say that they are leaving, its entries start
    /// their planned stop, and the platform's list shows it only much later.
    Leave(usize),
    /// The endpoints of a failure domain stop, done or not.
    StopEndpoints(usize),
    /// The platform's list shows the endpoints of a failure domain as leaving.
    ListLeaving(usize),
    /// A region falls silent; what runs there is lost.
    Lose(usize),
    /// It starts anew with empty caches.
    Return(usize),
    /// What all probes get from now on.
    Readings(Readings),
    /// Messages between entries get lost, or get through again.
    Reports(bool),
    /// The first endpoint of the first service refuses everything and the second one
    /// turns slow; both say that they are idle.
    Lie,
    /// An entry loses its peers and control, or has them back.
    CutEntry(usize, bool),
    /// Control is out of everybody's reach, or back.
    CutControl(bool),
    /// The first region's weights are set to nought.
    DrainRegion,
}

/// A scene.
#[derive(Clone, Debug)]
pub struct Scene {
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

fn scene(name: &'static str, skewed: bool, steps: Vec<(Moment, Step)>) -> Scene {
    Scene {
        name,
        skewed,
        lookup_ttl: LOOKUP_TTL,
        steps,
    }
}

fn drain_steps() -> Vec<(Moment, Step)> {
    vec![
        at(10, Step::Leave(0)),
        at(20, Step::ListLeaving(0)),
        at(24, Step::StopEndpoints(0)),
    ]
}

/// All scenes.
pub fn scenes() -> Vec<Scene> {
    let late = Readings::Late(Duration::from_secs(3));
    let mut drain_and_surge = drain_steps();
    drain_and_surge.push(at(11, Step::Surge(0.15)));
    drain_and_surge.push(at(21, Step::Surge(0.0)));
    let mut cached = scene("cached-answers", true, vec![at(8, Step::DrainRegion)]);
    cached.lookup_ttl = Duration::from_secs(15);
    vec![
        scene("steady", false, vec![]),
        scene(
            "storm",
            true,
            vec![at(10, Step::Surge(0.30)), at(20, Step::Surge(0.0))],
        ),
        scene("drain", true, drain_steps()),
        scene(
            "region-lost",
            true,
            vec![at(10, Step::Lose(0)), at(18, Step::Return(0))],
        ),
        scene("readings-late", false, vec![at(2, Step::Readings(late))]),
        scene(
            "readings-frozen",
            false,
            vec![at(8, Step::Readings(Readings::Frozen(0.3)))],
        ),
        scene("readings-lie", true, vec![at(8, Step::Lie)]),
        scene(
            "measurements-stop",
            false,
            vec![
                at(8, Step::Readings(Readings::Missing)),
                at(8, Step::Reports(false)),
            ],
        ),
        scene(
            "entry-cut-off",
            true,
            vec![
                at(10, Step::CutEntry(0, true)),
                at(22, Step::CutEntry(0, false)),
            ],
        ),
        scene(
            "control-cut-off",
            false,
            vec![
                at(8, Step::CutControl(true)),
                at(22, Step::CutControl(false)),
            ],
        ),
        cached,
        scene(
            "lost-and-frozen",
            true,
            vec![
                at(8, Step::Readings(Readings::Frozen(0.3))),
                at(10, Step::Lose(0)),
                at(18, Step::Return(0)),
            ],
        ),
        scene("drain-and-storm", true, drain_and_surge),
    ]
}
