//! The load patterns.

/// A change of load or of the system while a pattern runs.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    /// Sets the request rate, as a multiple of the pattern's own.
    Rate(f64),
    /// This share of the callers of the first region connects to gateways of the second
    /// one.
    MoveCallers(&'static str, &'static str, f64),
    /// All callers connect to gateways of their own region again.
    RestoreCallers,
    /// Multiplies the service time at each n-th endpoint.
    Slow(usize, f64),
    /// Each n-th endpoint of a service refuses this share of its requests, even with free
    /// slots.
    Shed(&'static str, usize, f64),
    /// Each n-th endpoint stops answering, and restarts with an empty cache at
    /// [`Change::Recover`].
    Down(usize),
    /// The endpoints of a failure domain stop answering.
    DomainDown(&'static str),
    /// All endpoints that are down restart.
    Recover,
    /// The endpoints of a failure domain are evacuated: gateways send them no new requests.
    Evacuate(&'static str),
    /// No failure domain is evacuated any more.
    EndEvacuation,
    /// All gateways restart without their state. Requests that they had sent are lost.
    RestartGateways,
}

/// A load pattern.
#[derive(Clone, Debug)]
pub struct Pattern {
    /// Name in printed figures and in `--pattern`.
    pub name: &'static str,
    /// Mean request rate of each failure domain's callers.
    pub(super) requests_per_s: f64,
    /// Amplitude of a region's demand as a share of its mean. The regions' waves are a
    /// third of a period apart.
    pub(super) amplitude: f64,
    pub(super) seconds: u64,
    /// Gateways in each failure domain.
    pub(super) gateways: usize,
    /// Whether the kinds of request differ in priority; else all have the same.
    pub(super) has_priorities: bool,
    /// Changes, each with its time in milliseconds since the start.
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
            has_priorities: false,
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

    fn with_priorities(mut self) -> Self {
        self.has_priorities = true;
        self
    }

    /// Length of the simulation in seconds.
    pub fn seconds(&self) -> usize {
        self.seconds as usize
    }
}

/// Gateways in each failure domain, unless a pattern sets another number.
const DEFAULT_GATEWAYS: usize = 2;
/// Gateways in each failure domain in the patterns with hundreds of gateways: there, a
/// gateway sees an object about once a minute.
const MANY_GATEWAYS: usize = 40;
/// Requests a second from a failure domain's callers: on a usual day, in the busiest hour,
/// and when demand exceeds the slots.
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
        Pattern::new("urgent-and-others-overload", OVERLOAD_RATE, &[]).with_priorities(),
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
