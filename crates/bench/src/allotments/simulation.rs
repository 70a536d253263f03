//! Plays a scenario with one way.

use std::time::Duration;

use filberthead_route::Allotment;
use filberthead_types::Moment;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::way::{Divider, Way};

const STEP: Duration = Duration::from_millis(10);
/// Time between a gateway's reports, and between two derivations of control.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Time between two reports of a gateway that reports early.
const EARLY_REPORT_PERIOD: Duration = Duration::from_millis(100);
const DERIVE_PERIOD: Duration = Duration::from_millis(250);
/// Time over which the sum of requests is bounded.
const WINDOW: Duration = Duration::from_secs(5);
/// Gateways that the callers of the workspace use at a time, and the mean time until they choose
/// others.
const USED_GATEWAYS: usize = 8;
const MOVE_PERIOD: Duration = Duration::from_secs(3);
/// Time before the first fault or surge, and from then to the end.
const CALM: Duration = Duration::from_secs(15);
const TROUBLE: Duration = Duration::from_secs(20);

/// What happens to a workspace.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name in figures.
    pub name: &'static str,
    /// Number of gateways.
    pub gateways: usize,
    /// The workspace's allotment.
    pub allotment: Allotment,
    /// Offered load before the trouble and from then on, as parts of the rate.
    pub load: (f64, f64),
    /// Part of the gateways that are cut off from control when the trouble begins.
    pub cut_off: f64,
    /// Part of the gateways that restart when the trouble begins.
    pub restarted: f64,
}

/// Figures of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Most requests sent within any window, as part of what rate and burst allow there.
    pub most_sent: f64,
    /// Requests sent, as part of what a token bucket that sees every request admits.
    pub sent: f64,
}

/// Plays a scenario.
pub fn run(way: Way, scenario: &Scenario, seed: u64) -> Figures {
    let mut divider = way.divider(scenario.gateways, scenario.allotment);
    let mut rng = StdRng::seed_from_u64(seed);
    let all: Vec<usize> = (0..scenario.gateways).collect();
    let choose = |rng: &mut StdRng| -> Vec<usize> {
        let chosen = all.choose_multiple(rng, USED_GATEWAYS);
        chosen.copied().collect()
    };
    let mut used = choose(&mut rng);
    let mut is_cut_off = vec![false; scenario.gateways];
    let mut ideal = Bucket::new(scenario.allotment);
    let mut sent = Vec::new();
    let mut allowed = 0_u32;
    let mut now = WINDOW;
    let (start, end) = (now + CALM, now + CALM + TROUBLE);
    while now < end {
        now += STEP;
        if now == start {
            begin_trouble(scenario, &mut rng, &mut is_cut_off, divider.as_mut());
        }
        exchange(now, divider.as_mut(), &is_cut_off);
        if rng.random_bool(STEP.as_secs_f64() / MOVE_PERIOD.as_secs_f64()) {
            used = choose(&mut rng);
        }
        let load = if now < start {
            scenario.load.0
        } else {
            scenario.load.1
        };
        let expected = load * scenario.allotment.rate * STEP.as_secs_f64();
        let requests = expected as u32 + u32::from(rng.random_bool(expected.fract()));
        for _ in 0..requests {
            let gateway = *used.choose(&mut rng).expect("callers use gateways");
            let admits = divider.admit(now, gateway, is_cut_off[gateway]);
            allowed += u32::from(ideal.admit(now));
            if admits {
                sent.push(now);
            }
        }
    }
    Figures {
        most_sent: most_in_window(&sent) as f64 / ideal.most_in(WINDOW),
        sent: sent.len() as f64 / f64::from(allowed.max(1)),
    }
}

fn begin_trouble(
    scenario: &Scenario,
    rng: &mut StdRng,
    is_cut_off: &mut [bool],
    divider: &mut dyn Divider,
) {
    for (gateway, is_cut_off) in is_cut_off.iter_mut().enumerate() {
        *is_cut_off = rng.random_bool(scenario.cut_off);
        if rng.random_bool(scenario.restarted) {
            divider.restart(gateway);
        }
    }
}

/// Reports, each gateway at its own time, and what control derives from them.
fn exchange(now: Moment, divider: &mut dyn Divider, is_cut_off: &[bool]) {
    let step = (now.as_millis() / STEP.as_millis()) as usize;
    let steps = |period: Duration| (period.as_millis() / STEP.as_millis()) as usize;
    let mut is_early = false;
    for (gateway, is_cut_off) in is_cut_off.iter().enumerate() {
        let is_due = (step + gateway).is_multiple_of(steps(REPORT_PERIOD));
        let is_due_early = divider.is_report_due(gateway)
            && (step + gateway).is_multiple_of(steps(EARLY_REPORT_PERIOD));
        if !is_cut_off && (is_due || is_due_early) {
            divider.report(now, gateway);
            is_early |= !is_due;
        }
    }
    if is_early || step.is_multiple_of(steps(DERIVE_PERIOD)) {
        divider.derive(now, is_cut_off);
    }
}

fn most_in_window(sent: &[Moment]) -> usize {
    let in_window = |(first, start): (usize, &Moment)| {
        sent[first..].partition_point(|at| *at < *start + WINDOW)
    };
    sent.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// A token bucket that sees every request.
struct Bucket {
    allotment: Allotment,
    tokens: f64,
    updated_at: Moment,
}

impl Bucket {
    fn new(allotment: Allotment) -> Self {
        Self {
            allotment,
            tokens: allotment.burst,
            updated_at: Moment::ZERO,
        }
    }

    fn admit(&mut self, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let earned = elapsed * self.allotment.rate;
        self.tokens = (self.tokens + earned).min(self.allotment.burst.max(1.0));
        let admits = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(admits));
        admits
    }

    fn most_in(&self, window: Duration) -> f64 {
        self.allotment.rate * window.as_secs_f64() + self.allotment.burst
    }
}
