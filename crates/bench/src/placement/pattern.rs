//! The load patterns.

/// Something that changes while a pattern is played.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    /// Requests a second, as a multiple of the usual.
    Rate(f64),
    /// A part of the callers of a region connects to gateways of another one.
    MoveCallers(&'static str, &'static str, f64),
    /// All callers are back at their own gateways.
    RestoreCallers,
    /// Work at each n-th endpoint takes so much longer.
    Slow(usize, f64),
    /// Each n-th endpoint of a service refuses a part of what it gets, with slots free.
    Shed(&'static str, usize, f64),
    /// Each n-th endpoint falls silent, and has forgotten everything when it is back.
    Down(usize),
    /// The endpoints of a failure domain fall silent.
    DomainDown(&'static str),
    /// All that are silent answer again.
    Recover,
    /// Nothing is to be sent to the endpoints of a failure domain.
    Evacuate(&'static str),
    /// It may be sent again.
    EndEvacuation,
    /// All gateways start anew, and have forgotten everything.
    RestartGateways,
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Its name in reports and options.
    pub name: &'static str,
    /// Requests a second of each failure domain's callers.
    pub(super) requests_per_s: f64,
    /// How far demand of a region swings around its mean, a third of a period apart from
    /// one region to the next.
    pub(super) amplitude: f64,
    pub(super) seconds: u64,
    /// Gateways of each failure domain.
    pub(super) gateways: usize,
    /// Changes, by the millisecond in which they come.
    pub(super) changes: Vec<(u64, Change)>,
}

impl Pattern {
    fn new(name: &'static str, requests_per_s: f64, changes: &[(u64, Change)]) -> Self {
        Self {
            name,
            requests_per_s,
            amplitude: 0.3,
            seconds: 30,
            gateways: DEFAULT_GATEWAYS,
            changes: changes.to_vec(),
        }
    }

    fn with_amplitude(mut self, amplitude: f64) -> Self {
        self.amplitude = amplitude;
        self
    }

    fn with_gateways(mut self, gateways: usize) -> Self {
        self.gateways = gateways;
        self
    }

    /// How long it is played.
    pub fn seconds(&self) -> usize {
        self.seconds as usize
    }
}

/// Gateways of each failure domain, where a pattern names no other number.
const DEFAULT_GATEWAYS: usize = 2;
/// Gateways of each failure domain where there are hundreds of them: each sees an object
/// about once in a minute.
const MANY_GATEWAYS: usize = 40;
/// Requests a second of a failure domain on a usual day, in the busiest hour, and when more
/// is asked for than there are slots.
const USUAL_RATE: f64 = 29.0;
const BUSY_RATE: f64 = 45.0;
const OVERLOAD_RATE: f64 = 90.0;

/// All patterns.
pub fn patterns() -> Vec<Pattern> {
    use Change::{
        DomainDown, Down, EndEvacuation, Evacuate, MoveCallers, Rate, Recover, RestartGateways,
        RestoreCallers, Shed, Slow,
    };
    vec![
        Pattern::new("usual", USUAL_RATE, &[]),
        Pattern::new("busy", BUSY_RATE, &[]),
        Pattern::new("waves", USUAL_RATE, &[]).with_amplitude(0.55),
        Pattern::new("overload", OVERLOAD_RATE, &[]),
        Pattern::new(
            "burst",
            BUSY_RATE,
            &[(10_000, Rate(1.7)), (15_000, Rate(1.0))],
        ),
        Pattern::new(
            "callers-come-back",
            USUAL_RATE,
            &[
                (5000, MoveCallers("middle", "south", 0.8)),
                (12_000, RestoreCallers),
                (18_000, MoveCallers("middle", "south", 0.8)),
                (25_000, RestoreCallers),
            ],
        ),
        Pattern::new(
            "slow-endpoints",
            BUSY_RATE,
            &[(10_000, Slow(6, 5.0)), (17_000, Slow(1, 1.0))],
        ),
        Pattern::new(
            "all-refuse",
            BUSY_RATE,
            &[
                (10_000, Shed("desk", 1, 0.5)),
                (18_000, Shed("desk", 1, 0.0)),
            ],
        ),
        Pattern::new(
            "some-refuse",
            BUSY_RATE,
            &[
                (10_000, Shed("desk", 6, 0.5)),
                (18_000, Shed("desk", 6, 0.0)),
            ],
        ),
        Pattern::new(
            "silent-endpoints",
            BUSY_RATE,
            &[(10_000, Down(6)), (15_000, Recover)],
        ),
        Pattern::new(
            "domain-lost",
            BUSY_RATE,
            &[(10_000, DomainDown("south-2")), (16_000, Recover)],
        ),
        Pattern::new(
            "evacuation",
            BUSY_RATE,
            &[(8000, Evacuate("north-2")), (18_000, EndEvacuation)],
        ),
        Pattern::new("gateways-restart", BUSY_RATE, &[(12_000, RestartGateways)]),
        Pattern::new("many-gateways", USUAL_RATE, &[]).with_gateways(MANY_GATEWAYS),
        Pattern::new("many-gateways-overload", OVERLOAD_RATE, &[]).with_gateways(MANY_GATEWAYS),
    ]
}
