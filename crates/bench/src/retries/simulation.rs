//! One simulation.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_fleet::{GatewayInfo, Load, Member};
use filberthead_place::RetryBudgetConfig;
use filberthead_types::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::control::{Control, Links, REPLICAS, addr};
use super::way::{GatewayBudget, Way, budget};

/// Length of a step.
const STEP: Duration = Duration::from_millis(50);
/// Duration of a simulation.
const DURATION: Duration = Duration::from_secs(180);
/// When faults begin: by then every way uses the whole budget.
const FAULTS_FROM: Duration = Duration::from_secs(40);
/// Time between two faults of a series, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 300..1500;
/// Time for which gateways are down in a restart, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 100..800;

/// Time between two moves of callers, and how long their requests run.
const MOVE_INTERVAL: Duration = Duration::from_secs(20);
const RUN_TIME: Duration = Duration::from_secs(1);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Gateways are restarted one after the other, all the time.
    GatewayRestarts,
    /// Control replicas are restarted one after the other, all the time.
    ControlRestarts,
    /// Half of the gateways and a replica are cut off for 60 s.
    Cut,
    /// All gateways and replicas are restarted at once.
    AllRestart,
    /// Callers move from one half of the gateways to the other again and again. Requests fail from
    /// each move on, also those that are running, and are served from halfway to the next one.
    CallersMove,
}

/// Load, limits and faults of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name in the output.
    pub name: &'static str,
    /// Number of gateways.
    pub gateways: usize,
    /// Requests per second over all gateways.
    pub per_s: f64,
    /// Part of them that arrives at the first gateway, beyond its equal part.
    pub skew: f64,
    /// Limits.
    pub budget: RetryBudgetConfig,
    /// What goes wrong.
    pub fault: Fault,
}

/// Figures of one simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Retries in the worst window, as part of what the budget allows in it.
    pub worst: f64,
    /// All retries, as part of what a budget that sees every request grants.
    pub granted: f64,
}

struct Gateway {
    member: Member,
    budget: Box<dyn GatewayBudget>,
    /// When it starts again; `None` while it is up.
    down_until: Option<Moment>,
    next_counts: Moment,
}

struct Cut {
    active: bool,
}

impl Cut {
    fn is_inside(number: usize) -> bool {
        number % 2 == 1
    }

    /// Whether messages pass between a gateway and a replica.
    fn passes(&self, gateway: usize, replica: usize) -> bool {
        !self.active || Self::is_inside(gateway) == Self::is_inside(replica)
    }
}

impl Links for Cut {
    fn between(&self, a: usize, b: usize) -> bool {
        !self.active || Self::is_inside(a) == Self::is_inside(b)
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    way: Way,
    rng: StdRng,
    control: Control,
    gateways: Vec<Gateway>,
    cut: Cut,
    next_fault: Moment,
    faults: usize,
    /// Requests that haven't failed, with the moment of their arrival and their gateway.
    running: VecDeque<(Moment, usize)>,
    first: Vec<Moment>,
    /// Moments at which a retry was asked for.
    wanted: Vec<Moment>,
    retries: Vec<Moment>,
}

/// Runs a scenario with one way.
pub fn run(way: Way, scenario: &Scenario, seed: u64) -> Figures {
    let mut simulation = Simulation {
        scenario,
        way,
        rng: StdRng::seed_from_u64(seed),
        control: Control::new(),
        gateways: Vec::new(),
        cut: Cut { active: false },
        next_fault: FAULTS_FROM,
        faults: 0,
        running: VecDeque::new(),
        first: Vec::new(),
        wanted: Vec::new(),
        retries: Vec::new(),
    };
    for number in 0..scenario.gateways {
        let gateway = simulation.gateway(number);
        simulation.gateways.push(gateway);
    }
    let mut now = Moment::ZERO;
    while now < DURATION {
        simulation.step(now);
        now += STEP;
    }
    simulation.figures()
}

impl Simulation<'_> {
    fn gateway(&mut self, number: usize) -> Gateway {
        let info = GatewayInfo {
            name: format!("gateway-{number}").parse().expect("a name"),
            region: "north".parse().expect("a name"),
            domain: "north-1".parse().expect("a name"),
            caller_addr: gateway_addr(number),
            relay_addr: gateway_addr(number),
        };
        Gateway {
            member: Member::new(info, (0..REPLICAS).map(addr), self.rng.random()),
            budget: budget(self.way, self.scenario.budget),
            down_until: None,
            next_counts: Moment::ZERO,
        }
    }

    fn step(&mut self, now: Moment) {
        self.inject_faults(now);
        self.control.tick(now, &self.cut);
        for number in 0..self.gateways.len() {
            if self.gateways[number].down_until.is_some_and(|at| now >= at) {
                self.gateways[number] = self.gateway(number);
            }
            if self.gateways[number].down_until.is_none() {
                self.report(now, number);
            }
        }
        let expected = self.scenario.per_s * STEP.as_secs_f64();
        let whole = expected as usize;
        let extra = usize::from(self.rng.random_bool(expected - whole as f64));
        for _ in 0..whole + extra {
            self.request(now);
        }
    }

    fn report(&mut self, now: Moment, number: usize) {
        let gateway = &mut self.gateways[number];
        for (to, message) in gateway.member.tick(now, Load::default) {
            let Some(replica) = (0..REPLICAS).find(|replica| addr(*replica) == to) else {
                continue;
            };
            if !self.cut.passes(number, replica) {
                continue;
            }
            let from = (&mut gateway.member, gateway_addr(number));
            let updates = self
                .control
                .exchange(now, from, (replica, message), &self.cut);
            for update in &updates {
                gateway.budget.apply(now, update);
            }
        }
        if now < gateway.next_counts {
            return;
        }
        gateway.next_counts = now + Duration::from_millis(500);
        if self.cut.active && Cut::is_inside(number) {
            gateway.budget.drop_first();
            return;
        }
        let counts = gateway.budget.take_counts();
        if let Some(part) = self.control.add_up(now, &self.scenario.budget, counts) {
            // Of parts below one retry, as many gateways get one as there are retries.
            let extra = self.rng.random_bool(part - part.floor());
            gateway
                .budget
                .set_allowance(now, part.floor() + f64::from(extra));
        }
    }

    /// A request arrives at a gateway that is up, fails, and asks for a retry.
    fn request(&mut self, now: Moment) {
        let up: Vec<usize> = (0..self.gateways.len())
            .filter(|number| self.gateways[*number].down_until.is_none())
            .filter(|number| self.is_used(*number))
            .collect();
        if up.is_empty() {
            return;
        }
        let number = match self.rng.random_bool(self.scenario.skew) {
            true => up[0],
            false => up[self.rng.random_range(0..up.len())],
        };
        self.first.push(now);
        self.gateways[number].budget.record_first(now);
        match self.is_failing(now) {
            true => self.retry(now, number),
            false => self.running.push_back((now, number)),
        }
    }

    fn retry(&mut self, now: Moment, number: usize) {
        self.wanted.push(now);
        if self.gateways[number].budget.try_spend(now) {
            self.retries.push(now);
        }
    }

    /// Whether callers use a gateway.
    fn is_used(&self, number: usize) -> bool {
        let moves = self.scenario.fault == Fault::CallersMove;
        !moves || (number + self.faults).is_multiple_of(2)
    }

    fn is_failing(&self, now: Moment) -> bool {
        let moves = self.scenario.fault == Fault::CallersMove;
        !moves || self.faults == 0 || now + MOVE_INTERVAL / 2 < self.next_fault
    }

    fn inject_faults(&mut self, now: Moment) {
        if now < self.next_fault {
            return;
        }
        let wait = self.rng.random_range(FAULT_INTERVAL_MS);
        self.next_fault = now + Duration::from_millis(wait);
        let number = self.faults;
        self.faults += 1;
        match self.scenario.fault {
            Fault::None => {}
            Fault::GatewayRestarts => self.take_down(now, number % self.scenario.gateways),
            Fault::ControlRestarts => self.control.restart(now, number % REPLICAS),
            Fault::Cut => {
                self.cut.active = !self.cut.active;
                self.next_fault = now + Duration::from_secs(60);
            }
            Fault::CallersMove => {
                self.next_fault = now + MOVE_INTERVAL;
                for (started, gateway) in std::mem::take(&mut self.running) {
                    if now < started + RUN_TIME {
                        self.retry(now, gateway);
                    }
                }
            }
            Fault::AllRestart => {
                (0..self.scenario.gateways).for_each(|gateway| self.take_down(now, gateway));
                (0..REPLICAS).for_each(|replica| self.control.restart(now, replica));
                self.next_fault = now + Duration::from_secs(50);
            }
        }
    }

    fn take_down(&mut self, now: Moment, gateway: usize) {
        let down = Duration::from_millis(self.rng.random_range(DOWN_MS));
        self.gateways[gateway].down_until = Some(now + down);
    }

    fn figures(&self) -> Figures {
        let RetryBudgetConfig {
            ratio,
            floor,
            window,
        } = self.scenario.budget;
        let count = |moments: &[Moment], from: Moment| {
            let before = moments.partition_point(|at| *at < from);
            moments.partition_point(|at| *at < from + window) - before
        };
        let part = |from: &Moment| {
            let earlier = [window / 2, window].map(|by| from.saturating_sub(by));
            let requests = earlier
                .iter()
                .chain([from])
                .map(|from| count(&self.first, *from));
            let allowed = ratio * requests.max().unwrap_or(0) as f64 + floor;
            count(&self.retries, *from) as f64 / allowed
        };
        let worst = self.retries.iter().map(part).fold(0.0, f64::max);
        let since = |moments: &[Moment]| {
            let counted = moments.iter().filter(|at| **at >= FAULTS_FROM);
            counted.count() as f64
        };
        Figures {
            worst,
            granted: since(&self.retries) / since(&self.ideal_retries()).max(1.0),
        }
    }

    /// The retries that a budget that sees every request grants.
    fn ideal_retries(&self) -> Vec<Moment> {
        let RetryBudgetConfig {
            ratio,
            floor,
            window,
        } = self.scenario.budget;
        let mut spent: VecDeque<Moment> = VecDeque::new();
        let mut granted = Vec::new();
        for at in &self.wanted {
            while spent.front().is_some_and(|front| *front + window <= *at) {
                spent.pop_front();
            }
            let arrived = self.first.partition_point(|first| first <= at);
            let old = self.first.partition_point(|first| *first + window <= *at);
            if spent.len() as f64 + 1.0 <= ratio * (arrived - old) as f64 + floor {
                spent.push_back(*at);
                granted.push(*at);
            }
        }
        granted
    }
}

fn gateway_addr(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1], 1000 + number as u16))
}
