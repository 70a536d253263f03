//! Generates the steps of a soak and their times from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::site::Behaviour;

/// Time before the first fault, in which callers connect and gateways learn the affinity of
/// objects.
const INITIAL_DELAY: Duration = Duration::from_millis(800);
/// Time between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Duration of a fault, in milliseconds: from shorter than any of the system's timeouts to longer
/// than its leases.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..3_500;
/// Share of the plans that contain only planned work, during which no request may be cut.
const PLANNED_ONLY_PROBABILITY: f64 = 0.25;
/// Behaviours that a plan gives to endpoints for a while.
const FAULTY_BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Sheds,
    Behaviour::LosesAnswer,
    Behaviour::Fails,
    Behaviour::WrongRequestId,
    Behaviour::Hangs,
    Behaviour::Truncates,
];

/// Behaviours of endpoints after which a read is retried.
const RETRIED_BEHAVIOURS: [Behaviour; 3] =
    [Behaviour::Fails, Behaviour::LosesAnswer, Behaviour::Sheds];
/// Time that a process is down, and until the next one is killed, in a series of restarts, in
/// milliseconds.
const SHORT_MS: std::ops::Range<u64> = 50..400;
/// Duration of a cut between failure domains, in milliseconds: from one that nobody notices to one
/// after which gateways on the other side aren't counted any more.
const LONG_CUT_MS: std::ops::Range<u64> = 2_000..45_000;
/// Time between the starts of two faults beside evacuations, in milliseconds.
const BESIDE_EVACUATIONS_MS: std::ops::Range<u64> = 500..2_000;
/// Duration of such a fault, in milliseconds: up to as long as an order is sent again.
const CONTROL_FAULT_MS: std::ops::Range<u64> = 300..4_000;
/// Duration of the suspension of a control replica, in milliseconds: most are so long that operators
/// turn to another replica.
const CONTROL_PAUSE_MS: std::ops::Range<u64> = 2_000..4_000;

/// What the callers of a soak ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Requests to all services, one after the other.
    Mixed,
    /// A few reads of one service.
    FewReads,
    /// The same as `Mixed`, while operators evacuate failure domains and end evacuations all the time.
    BesideEvacuations,
}

impl Load {
    /// Pause of a caller between two requests, in milliseconds.
    pub(super) fn pause_ms(self) -> std::ops::Range<u64> {
        match self {
            Self::Mixed | Self::BesideEvacuations => 5..60,
            Self::FewReads => 100..500,
        }
    }

    /// Retries of a service in each window beyond the ratio, over all gateways: the default of the
    /// settings, or what a deployment of eight gateways allows.
    pub fn retry_floor(self) -> u32 {
        match self {
            Self::Mixed | Self::BesideEvacuations => 10,
            Self::FewReads => 56,
        }
    }
}

/// Size of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of control replicas; the group tolerates the loss of a minority.
    pub controls: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Endpoints of each service in each failure domain.
    pub endpoints: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time during which faults start.
    pub duration: Duration,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            controls: 3,
            gateways: 3,
            endpoints: 2,
            callers: 8,
            duration: Duration::from_secs(9),
        }
    }
}

/// A process under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A control replica.
    Control(usize),
    /// A gateway.
    Gateway(usize),
}

/// Number of a suspension of the leader in a plan. Which replica that is turns out when it is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaderPause(pub usize);

/// An action on the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The process is killed.
    Kill(Target),
    /// The process receives `SIGTERM`, and is restarted once it has ended.
    Stop(Target),
    /// The process receives `SIGHUP`, which makes it reload its settings.
    HangUp(Target),
    /// The process is suspended.
    Freeze(Target),
    /// The process is resumed.
    Resume(Target),
    /// The control replica that leads is suspended, if there is one.
    FreezeLeader(LeaderPause),
    /// The replica that was suspended under this number is resumed.
    ResumeLeader(LeaderPause),
    /// The process is started if it is down.
    Start(Target),
    /// A control replica is killed, its log gets a torn record at the end, and it is restarted.
    Tear(usize),
    /// A control replica loses its disk, if the group is healthy.
    Wipe(usize),
    /// All control replicas are killed at once and restarted; the one given, if any, also loses its
    /// disk if the group was healthy.
    PowerCut(Option<usize>),
    /// These processes are cut off from all others.
    Partition(Vec<Target>),
    /// Bytes from the first process to the second are held back.
    OneWay(Target, Target),
    /// All links between processes are delayed by this many milliseconds.
    Slow(u64),
    /// All links between processes work again.
    Heal,
    /// Connections to the process are reset.
    Reset(Target),
    /// Existing connections to the process forward nothing any more.
    Silence(Target),
    /// A control replica's answers to operators are held back.
    HoldAnswers(usize),
    /// A control replica's held answers and all later ones are delivered.
    PassAnswers(usize),
    /// An endpoint changes its behaviour.
    SetBehaviour(usize, Behaviour),
    /// The link to an endpoint forwards nothing.
    CutEndpoint(usize),
    /// The link to an endpoint works again.
    HealEndpoint(usize),
    /// An endpoint is marked as draining on the list.
    Drain(usize),
    /// Another instance takes an endpoint's address while the list still names the old one.
    ReplaceInstance(usize),
    /// A cold endpoint of the service with this index is added.
    Join(usize),
    /// An operator evacuates the second failure domain.
    Evacuate,
    /// An operator ends the evacuation of the second failure domain.
    EndEvacuation,
}

/// A step and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
    /// Time since traffic started.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// All steps of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed that it was generated from.
    pub seed: u64,
    /// Size of the system and duration.
    pub size: Size,
    /// What its callers ask for.
    pub load: Load,
    /// Whether it contains only planned work.
    pub planned_only: bool,
    /// The steps, sorted by time.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// Generates the plan of a seed; the same seed and size give the same plan.
    pub fn new(seed: u64, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let planned_only = rng.random_bool(PLANNED_ONLY_PROBABILITY);
        let mut generator = Generator::new(rng, size);
        let mut at = INITIAL_DELAY;
        while at < size.duration {
            if planned_only {
                generator.planned_step(at);
            } else {
                generator.any_step(at);
            }
            at += Duration::from_millis(generator.rng.random_range(FAULT_INTERVAL_MS));
        }
        Self {
            seed,
            size,
            load: Load::Mixed,
            planned_only,
            steps: generator.into_steps(),
        }
    }

    /// Generates a plan in which retries are many and requests few: endpoints fail at first and
    /// again and again, while processes are restarted in series, paused or cut off.
    pub fn with_failing_endpoints(seed: u64, size: Size) -> Self {
        let mut generator = Generator::new(StdRng::seed_from_u64(seed), size);
        generator.fail_all_endpoints(Duration::ZERO);
        let mut at = INITIAL_DELAY;
        while at < size.duration {
            at = match generator.rng.random_range(0..10) {
                0..=3 => generator.restart_series(at, Target::Gateway, size.gateways),
                4 | 5 => generator.restart_series(at, Target::Control, size.controls),
                6 => generator.pause_gateways(at),
                7 => generator.cut_off_half(at),
                8 => generator.fail_all_endpoints(at),
                _ => generator.recover_endpoints(at),
            };
        }
        Self {
            seed,
            size,
            load: Load::FewReads,
            planned_only: false,
            steps: generator.into_steps(),
        }
    }

    /// Generates a plan in which operators evacuate failure domains and end evacuations all the time,
    /// while control replicas, the leader above all, are suspended, cut off, killed or lose their disk,
    /// and gateways are restarted.
    pub fn with_evacuations(seed: u64, size: Size) -> Self {
        let mut generator = Generator::new(StdRng::seed_from_u64(seed), size);
        let mut at = INITIAL_DELAY;
        while at < size.duration {
            generator.fault_beside_evacuations(at);
            at += generator.millis(BESIDE_EVACUATIONS_MS);
        }
        Self {
            seed,
            size,
            load: Load::BesideEvacuations,
            planned_only: false,
            steps: generator.into_steps(),
        }
    }
}

/// Draws random steps. The order of draws determines the plan of a seed.
struct Generator {
    rng: StdRng,
    size: Size,
    /// Whether a step that drains an endpoint was added; a plan has at most one.
    drained: bool,
    /// Whether the last step about evacuations evacuates.
    evacuated: bool,
    steps: Vec<TimedStep>,
}

impl Generator {
    fn new(rng: StdRng, size: Size) -> Self {
        Self {
            rng,
            size,
            drained: false,
            evacuated: false,
            steps: Vec::new(),
        }
    }

    /// The steps added so far, sorted by time.
    fn into_steps(mut self) -> Vec<TimedStep> {
        self.steps.sort_by_key(|timed| timed.at);
        self.steps
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push(TimedStep { at, step });
    }

    /// Adds a step and, after a random duration, another that reverts it.
    fn push_with_undo(&mut self, at: Duration, step: Step, undo: Step) {
        let duration = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        self.push(at, step);
        self.push(at + duration, undo);
    }

    fn control(&mut self) -> usize {
        self.rng.random_range(0..self.size.controls)
    }

    fn target(&mut self) -> Target {
        if self.rng.random_bool(0.5) {
            Target::Control(self.control())
        } else {
            Target::Gateway(self.rng.random_range(0..self.size.gateways))
        }
    }

    /// Index of an endpoint that exists from the start.
    fn endpoint(&mut self) -> usize {
        let count = self.endpoint_count();
        self.rng.random_range(0..count)
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn endpoint_count(&self) -> usize {
        2 * super::shared::SERVICES.len() * self.size.endpoints
    }

    /// Makes every endpoint fail in a way that a read is retried after. Returns when to go on.
    fn fail_all_endpoints(&mut self, at: Duration) -> Duration {
        for endpoint in 0..self.endpoint_count() {
            let behaviour = RETRIED_BEHAVIOURS[self.rng.random_range(0..RETRIED_BEHAVIOURS.len())];
            self.push(at, Step::SetBehaviour(endpoint, behaviour));
        }
        at
    }

    /// Lets the endpoints serve for a moment. Returns when they fail again.
    fn recover_endpoints(&mut self, at: Duration) -> Duration {
        for endpoint in 0..self.endpoint_count() {
            self.push(at, Step::SetBehaviour(endpoint, Behaviour::Serves));
        }
        let end = at + self.millis(FAULT_INTERVAL_MS);
        self.fail_all_endpoints(end)
    }

    /// Kills and restarts these processes one after the other. Returns when the series is over.
    fn restart_series(
        &mut self,
        at: Duration,
        target: impl Fn(usize) -> Target,
        count: usize,
    ) -> Duration {
        let mut at = at;
        for number in 0..count {
            let down_for = self.millis(SHORT_MS);
            self.push(at, Step::Kill(target(number)));
            self.push(at + down_for, Step::Start(target(number)));
            at += down_for + self.millis(SHORT_MS);
        }
        at + self.millis(FAULT_INTERVAL_MS)
    }

    /// Pauses some gateways at the same moment. Returns when they have been resumed.
    fn pause_gateways(&mut self, at: Duration) -> Duration {
        let end = at + self.millis(FAULT_DURATION_MS);
        for gateway in 0..self.size.gateways {
            if self.rng.random_bool(0.5) {
                self.push(at, Step::Freeze(Target::Gateway(gateway)));
                self.push(end, Step::Resume(Target::Gateway(gateway)));
            }
        }
        end
    }

    /// Cuts every second process off from the others: those of one failure domain. Returns when to
    /// go on; the cut may last longer.
    fn cut_off_half(&mut self, at: Duration) -> Duration {
        let controls = (1..self.size.controls).step_by(2).map(Target::Control);
        let gateways = (1..self.size.gateways).step_by(2).map(Target::Gateway);
        self.push(at, Step::Partition(controls.chain(gateways).collect()));
        let lasts = self.millis(LONG_CUT_MS);
        self.push(at + lasts, Step::Heal);
        at + self.millis(FAULT_INTERVAL_MS)
    }

    /// Adds planned work: stops, reloads, and endpoints that join, drain or are evacuated.
    fn planned_step(&mut self, at: Duration) {
        let target = self.target();
        match self.rng.random_range(0..10) {
            0..=3 => self.push(at, Step::Stop(target)),
            4 => {
                // Overlapping signals: two requests to stop with a reload between them.
                self.push(at, Step::Stop(target));
                self.push(at + Duration::from_millis(100), Step::HangUp(target));
                self.push(at + Duration::from_millis(200), Step::Stop(target));
            }
            5 | 6 => self.push(at, Step::HangUp(target)),
            7 => {
                let service = self.rng.random_range(0..super::shared::SERVICES.len());
                self.push(at, Step::Join(service));
            }
            8 if !self.drained => {
                self.drained = true;
                let endpoint = self.endpoint();
                self.push(at, Step::Drain(endpoint));
            }
            _ => self.change_evacuation(at),
        }
    }

    /// Evacuates the second failure domain, or ends its evacuation.
    fn change_evacuation(&mut self, at: Duration) {
        self.evacuated = !self.evacuated;
        match self.evacuated {
            true => self.push(at, Step::Evacuate),
            false => self.push(at, Step::EndEvacuation),
        }
    }

    /// Adds a fault of a control replica, or now and then the restart of a gateway.
    fn fault_beside_evacuations(&mut self, at: Duration) {
        let control = Target::Control(self.control());
        let gateway = Target::Gateway(self.rng.random_range(0..self.size.gateways));
        let pause = LeaderPause(self.steps.len());
        let (step, undo) = match self.rng.random_range(0..13) {
            0..=3 => (Step::Freeze(control), Step::Resume(control)),
            // A former leader that goes on acts on what it held before others led.
            4..=7 => (Step::FreezeLeader(pause), Step::ResumeLeader(pause)),
            8 => (Step::Kill(control), Step::Start(control)),
            9 => (Step::Partition(vec![control]), Step::Heal),
            10 => (Step::Kill(gateway), Step::Start(gateway)),
            11 => return self.push(at, Step::Stop(control)),
            _ => return self.disk_fault(at),
        };
        let duration = match step {
            Step::Freeze(_) | Step::FreezeLeader(_) => self.millis(CONTROL_PAUSE_MS),
            _ => self.millis(CONTROL_FAULT_MS),
        };
        self.push(at, step);
        self.push(at + duration, undo);
    }

    /// Adds planned work or a fault.
    fn any_step(&mut self, at: Duration) {
        match self.rng.random_range(0..22) {
            0..=3 => self.planned_step(at),
            4..=7 => self.process_fault(at),
            8..=10 => self.disk_fault(at),
            11..=14 => self.link_fault(at),
            15 | 16 => self.connection_fault(at),
            _ => self.endpoint_fault(at),
        }
    }

    fn process_fault(&mut self, at: Duration) {
        let target = self.target();
        if self.rng.random_bool(0.5) {
            self.push_with_undo(at, Step::Kill(target), Step::Start(target));
        } else {
            self.push_with_undo(at, Step::Freeze(target), Step::Resume(target));
        }
    }

    fn disk_fault(&mut self, at: Duration) {
        let control = self.control();
        let lost = self.rng.random_bool(0.4).then_some(control);
        match self.rng.random_range(0..3) {
            0 => self.push(at, Step::Tear(control)),
            1 => self.push(at, Step::Wipe(control)),
            _ => self.push(at, Step::PowerCut(lost)),
        }
    }

    fn link_fault(&mut self, at: Duration) {
        let (from, to) = (self.target(), self.target());
        let step = match self.rng.random_range(0..4) {
            0 => Step::Partition(vec![from]),
            1 => Step::Partition(vec![from, to]),
            2 => Step::OneWay(from, to),
            _ => Step::Slow(self.rng.random_range(5..150)),
        };
        self.push_with_undo(at, step, Step::Heal);
    }

    fn connection_fault(&mut self, at: Duration) {
        let target = self.target();
        let control = self.control();
        match self.rng.random_range(0..3) {
            0 => self.push(at, Step::Reset(target)),
            1 => self.push(at, Step::Silence(target)),
            _ => self.push_with_undo(at, Step::HoldAnswers(control), Step::PassAnswers(control)),
        }
    }

    fn endpoint_fault(&mut self, at: Duration) {
        let endpoint = self.endpoint();
        match self.rng.random_range(0..8) {
            0 => self.push(at, Step::ReplaceInstance(endpoint)),
            1 => {
                let (cut, heal) = (Step::CutEndpoint(endpoint), Step::HealEndpoint(endpoint));
                self.push_with_undo(at, cut, heal);
            }
            _ => {
                let behaviour =
                    FAULTY_BEHAVIOURS[self.rng.random_range(0..FAULTY_BEHAVIOURS.len())];
                let undo = Step::SetBehaviour(endpoint, Behaviour::Serves);
                self.push_with_undo(at, Step::SetBehaviour(endpoint, behaviour), undo);
            }
        }
    }
}
