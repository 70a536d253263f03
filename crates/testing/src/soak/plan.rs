//! What happens when, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::site::Behaviour;

/// Time before the first fault: callers come and objects are learned.
const INITIAL_DELAY: Duration = Duration::from_millis(800);
/// Time between the beginnings of two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// How long a fault lasts, in milliseconds: from shorter than any timeout of the system to
/// longer than its leases.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..3_500;
/// Part of the plans in which only planned work happens, so that nothing may be cut.
const PLANNED_ONLY_PROBABILITY: f64 = 0.25;
/// How endpoints misbehave.
const FAULTY_BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Sheds,
    Behaviour::LosesAnswer,
    Behaviour::Fails,
    Behaviour::WrongRequestId,
    Behaviour::Hangs,
    Behaviour::Truncates,
];

/// How large a soak is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Control replicas; a minority of them may be lost.
    pub controls: usize,
    /// Gateways.
    pub gateways: usize,
    /// Endpoints of each service in each failure domain.
    pub endpoints: usize,
    /// Callers.
    pub callers: usize,
    /// Time over which faults begin.
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

/// Something that is done to the system.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It dies at once.
    Kill(Target),
    /// It is asked to stop, and started again once it has.
    Stop(Target),
    /// It is told that its settings have changed.
    HangUp(Target),
    /// It stands still.
    Freeze(Target),
    /// It goes on.
    Resume(Target),
    /// It is started if it is down.
    Start(Target),
    /// A control replica dies and its last write is torn.
    Tear(usize),
    /// A control replica loses its disk, if the group is whole.
    Wipe(usize),
    /// All control replicas die at the same moment, and one loses its disk if the group is
    /// whole.
    PowerCut(Option<usize>),
    /// These are cut off from all other processes.
    Partition(Vec<Target>),
    /// What the first sends to the second doesn't arrive.
    OneWay(Target, Target),
    /// All links between processes are slower by so many milliseconds.
    Slow(u64),
    /// All links pass again.
    Heal,
    /// The connections of others to it are reset.
    Reset(Target),
    /// The connections of others to it go silent for good.
    Silence(Target),
    /// Answers of a control replica to operators are held back.
    HoldAnswers(usize),
    /// They come again.
    ReleaseAnswers(usize),
    /// An endpoint changes how it answers.
    SetBehaviour(usize, Behaviour),
    /// The way to an endpoint carries nothing.
    CutEndpoint(usize),
    /// The way to an endpoint carries again.
    HealEndpoint(usize),
    /// The list says that an endpoint is to go.
    Drain(usize),
    /// Another start of an endpoint has its address before the list says so.
    ReplaceInstance(usize),
    /// A cold endpoint comes, of the service with this number.
    Join(usize),
    /// Operators evacuate the second failure domain.
    Evacuate,
}

/// A step and when it is taken, from the beginning of traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
    /// When.
    pub at: Duration,
    /// What.
    pub step: Step,
}

/// All that happens in a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// How large it is.
    pub size: Size,
    /// Whether only planned work happens.
    pub planned_only: bool,
    /// The steps, in order of time.
    pub steps: Vec<TimedStep>,
}

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let planned_only = rng.random_bool(PLANNED_ONLY_PROBABILITY);
        let mut generator = Generator {
            rng,
            size,
            drained: false,
            steps: Vec::new(),
        };
        let mut at = INITIAL_DELAY;
        while at < size.duration {
            if planned_only {
                generator.planned_step(at);
            } else {
                generator.any_step(at);
            }
            at += Duration::from_millis(generator.rng.random_range(FAULT_INTERVAL_MS));
        }
        let mut steps = generator.steps;
        steps.sort_by_key(|timed| timed.at);
        Self {
            seed,
            size,
            planned_only,
            steps,
        }
    }
}

struct Generator {
    rng: StdRng,
    size: Size,
    drained: bool,
    steps: Vec<TimedStep>,
}

impl Generator {
    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push(TimedStep { at, step });
    }

    /// A step now, and another that takes it back.
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

    /// An endpoint that is there from the beginning.
    fn endpoint(&mut self) -> usize {
        let domains_and_services = 2 * super::shared::SERVICES.len();
        self.rng
            .random_range(0..self.size.endpoints * domains_and_services)
    }

    fn planned_step(&mut self, at: Duration) {
        let target = self.target();
        match self.rng.random_range(0..10) {
            0..=3 => self.push(at, Step::Stop(target)),
            4 => {
                // Signals that overlap: it is told twice, and to reload in between.
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
            _ => self.push(at, Step::Evacuate),
        }
    }

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
            _ => self.push_with_undo(
                at,
                Step::HoldAnswers(control),
                Step::ReleaseAnswers(control),
            ),
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
