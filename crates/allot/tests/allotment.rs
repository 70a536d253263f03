//! Allotments over many gateways: totals that are late, gateways that are cut off or restart, and
//! replicas that forget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_allot::{
    Admission, AdmitRatio, Contact, Limiter, LimiterConfig, Pool, Presence, RefusalMeter, Usage,
};
use filberthead_route::{Allotment, Workspace};
use filberthead_types::{Moment, ResultCode, Workspace as WorkspaceName};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const GATEWAYS: usize = 73;
const STEP: Duration = Duration::from_millis(10);
/// Steps between a gateway's reports, and until a total reaches it.
const REPORT_STEPS: usize = 50;
/// Steps between two reports of a gateway that sees a surge.
const EARLY_REPORT_STEPS: usize = 10;
/// Age of a report when it is added up: it is relayed between replicas.
const RELAY_STEPS: usize = 25;
const WINDOW: Duration = Duration::from_secs(5);
/// The budget of a service's retries, which all may be for one workspace.
const RETRY_RATIO: f64 = 0.2;
const RETRY_FLOOR: f64 = 56.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);

fn name() -> WorkspaceName {
    "yefi830".parse().expect("a valid name")
}

fn replica() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7540))
}

fn workspace(allotment: Allotment) -> Arc<Workspace> {
    Arc::new(Workspace {
        name: name(),
        keys: Vec::new(),
        regions: Vec::new(),
        priority: None,
        allotment: Some(allotment),
    })
}

fn limiter(seed: u64, allotment: Allotment) -> Limiter {
    let mut limiter = Limiter::new(LimiterConfig {
        seed,
        unreserved: 0.0,
    });
    limiter.set_workspaces(&[workspace(allotment)]);
    limiter
}

/// A gateway, its last report, and whether its reports and totals arrive.
struct Gateway {
    limiter: Limiter,
    reported: Vec<Usage>,
    is_cut_off: bool,
}

/// Gateways with one workspace's callers, who each use a few gateways at a time.
struct Fleet {
    rng: StdRng,
    now: Moment,
    step: usize,
    allotment: Allotment,
    gateways: Vec<Gateway>,
    pool: Pool,
    /// Totals on their way to the gateways.
    ratios: Vec<AdmitRatio>,
    /// Gateways that the callers use.
    used: Vec<usize>,
    sent: Vec<Moment>,
    offered: usize,
    /// Requests that were sent once or more.
    admitted: usize,
    /// Further attempts that each request asks for once it was sent.
    retries: usize,
    /// Those of the last window of the retry budget.
    retried: Vec<Moment>,
}

impl Fleet {
    fn new(seed: u64, allotment: Allotment) -> Self {
        let gateway = |number| Gateway {
            limiter: limiter(number as u64, allotment),
            reported: Vec::new(),
            is_cut_off: false,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(100),
            step: 0,
            allotment,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            pool: Pool::default(),
            ratios: Vec::new(),
            used: (0..8).collect(),
            sent: Vec::new(),
            offered: 0,
            admitted: 0,
            retries: 0,
            retried: Vec::new(),
        }
    }

    /// Lets callers send `per_s` requests for a while.
    fn run(&mut self, time: Duration, per_s: f64) {
        for _ in 0..(time.as_millis() / STEP.as_millis()) {
            self.now += STEP;
            self.step += 1;
            self.exchange();
            if self.rng.random_bool(0.01) {
                let all: Vec<usize> = (0..GATEWAYS).collect();
                let chosen = all.choose_multiple(&mut self.rng, 8);
                self.used = chosen.copied().collect();
            }
            let expected = per_s * STEP.as_secs_f64();
            let requests = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
            for _ in 0..requests {
                let at = *self
                    .used
                    .choose(&mut self.rng)
                    .expect("callers use gateways");
                self.request(at);
            }
        }
    }

    fn request(&mut self, at: usize) {
        let gateway = &mut self.gateways[at];
        let contact = match gateway.is_cut_off {
            false => Contact::Current,
            true => Contact::Alone {
                gateways: GATEWAYS as u32,
            },
        };
        self.offered += 1;
        if gateway.limiter.admit(self.now, &name(), contact) == Admission::Admitted {
            self.sent.push(self.now);
            self.admitted += 1;
            for _ in 0..self.retries {
                let now = self.now;
                self.retried.retain(|at| now < *at + RETRY_WINDOW);
                let recent = self
                    .sent
                    .iter()
                    .rev()
                    .take_while(|at| now < **at + RETRY_WINDOW);
                let budget = RETRY_RATIO * recent.count() as f64 + RETRY_FLOOR;
                if (self.retried.len() as f64) < budget
                    && gateway.limiter.admit_retry(now, &name(), contact) == Admission::Admitted
                {
                    self.sent.push(now);
                    self.retried.push(now);
                }
            }
        }
    }

    /// Reports and totals, each gateway at its own time, and at once while a workspace surges.
    fn exchange(&mut self) {
        let mut is_early = false;
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            let is_due = (self.step + number).is_multiple_of(REPORT_STEPS);
            let is_surging = gateway.limiter.is_report_due()
                && (self.step + number).is_multiple_of(EARLY_REPORT_STEPS);
            if gateway.is_cut_off || !(is_due || is_surging) {
                continue;
            }
            is_early |= !is_due;
            gateway.reported = gateway.limiter.usage(self.now);
            let ratios = &self.ratios;
            gateway.limiter.set_ratios(self.now, replica(), ratios);
            gateway.limiter.confirm_report();
        }
        if is_early || self.step.is_multiple_of(RELAY_STEPS) {
            self.add_up();
        }
    }

    fn add_up(&mut self) {
        let usage = self.gateways.iter().flat_map(|gateway| {
            let presence = match gateway.is_cut_off {
                true => Presence::Silent,
                false => Presence::Live,
            };
            gateway.reported.iter().map(move |usage| (presence, usage))
        });
        let allotment = self.allotment;
        self.ratios = self.pool.update(self.now, |_| Some(allotment), usage);
    }

    fn set_allotment(&mut self, allotment: Allotment) {
        self.allotment = allotment;
        for gateway in &mut self.gateways {
            gateway.limiter.set_workspaces(&[workspace(allotment)]);
        }
    }

    fn cut(&mut self, gateways: std::ops::Range<usize>, is_cut_off: bool) {
        for gateway in &mut self.gateways[gateways] {
            gateway.is_cut_off = is_cut_off;
        }
    }

    /// Most requests sent in any window that begins `from` or later.
    fn most_in_window(&self, from: Moment) -> usize {
        let sent: Vec<Moment> = self.sent.iter().copied().filter(|at| *at >= from).collect();
        let in_window = |(first, start): (usize, &Moment)| {
            sent[first..]
                .iter()
                .take_while(|at| **at < *start + WINDOW)
                .count()
        };
        sent.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    /// What an operator allows in a window, with the overage and the slack of a deployment.
    fn bound(&self) -> f64 {
        let Allotment { rate, burst } = self.allotment;
        (rate * WINDOW.as_secs_f64() + burst) * 1.1 + 20.0
    }

    #[track_caller]
    fn check(&self, from: Moment) {
        let most = self.most_in_window(from) as f64;
        assert!(
            most <= self.bound(),
            "{most} in a window of {}",
            self.bound()
        );
    }
}

fn allotment(rate: f64) -> Allotment {
    Allotment { rate, burst: rate }
}

/// A workspace below its rate loses requests although it has done nothing wrong.
#[test]
fn a_workspace_below_its_rate_is_not_refused() {
    for rate in [4.0, 16.0, 176.0] {
        let mut fleet = Fleet::new(1, allotment(rate));
        fleet.run(Duration::from_secs(60), 0.8 * rate);
        let refused = fleet.offered - fleet.sent.len();
        assert!(
            refused * 100 <= fleet.offered,
            "{refused} of {} at {rate} per second",
            fleet.offered
        );
    }
}

/// Requests of a workspace suddenly multiply, and totals are a second late.
#[test]
fn a_surge_stays_within_the_allotment() {
    for (seed, rate) in [(1, 3.0), (2, 16.0), (3, 60.0), (4, 176.0)] {
        let mut fleet = Fleet::new(seed, allotment(rate));
        fleet.run(Duration::from_secs(10), 0.6 * rate);
        fleet.run(Duration::from_secs(15), 3.0 * rate);
        fleet.check(Moment::ZERO);
        let served = fleet.most_in_window(fleet.now - Duration::from_secs(10)) as f64;
        assert!(served >= 0.8 * 5.0 * rate, "{served} at {rate} per second");
    }
}

/// Callers of an idle workspace surged at many gateways, and control took the debt for paid at the next
/// reports.
#[test]
fn a_surge_beyond_the_longest_debt_is_made_up_for() {
    for rate in [10.0, 16.0, 20.0] {
        for seed in 0..12 {
            let mut fleet = Fleet::new(seed, allotment(rate));
            fleet.run(Duration::from_secs(10), 0.0);
            fleet.run(Duration::from_secs(12), 20.0 * rate);
            fleet.check(Moment::ZERO);
            let served = fleet.most_in_window(fleet.now - Duration::from_secs(8)) as f64;
            assert!(served >= 0.8 * 5.0 * rate, "{served} at {rate} per second");
        }
    }
}

/// The allotment falls far below what the workspace sends.
#[test]
fn a_lowered_allotment_binds_within_its_window() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, allotment(20.0));
        fleet.run(Duration::from_secs(10), 16.0);
        fleet.set_allotment(allotment(3.0));
        fleet.run(Duration::from_secs(15), 30.0);
        fleet.check(fleet.now - Duration::from_secs(12));
    }
}

/// Gateways are cut off while the workspace is at its limit; both sides go on sending.
#[test]
fn gateways_cut_off_at_the_limit_keep_to_it() {
    for seed in 0..4 {
        for cut in [0..12, 0..37, 0..GATEWAYS] {
            let mut fleet = Fleet::new(seed, allotment(30.0));
            fleet.run(Duration::from_secs(10), 40.0);
            fleet.cut(cut.clone(), true);
            fleet.run(Duration::from_secs(10), 90.0);
            fleet.cut(cut, false);
            fleet.run(Duration::from_secs(10), 90.0);
            fleet.check(Moment::ZERO);
        }
    }
}

/// All gateways lose control while a workspace surges: what was sent too much before has to be made
/// up for without control's word, and nothing that control doesn't count may be reserved.
#[test]
fn a_surge_while_control_is_lost_stays_within_the_allotment() {
    for (seed, rate) in [(1, 10.0), (2, 16.0), (3, 30.0), (4, 60.0)] {
        for surge_ms in [1000, 1500, 2500] {
            let mut fleet = Fleet::new(seed, allotment(rate));
            fleet.run(Duration::from_secs(10), 0.6 * rate);
            fleet.run(Duration::from_millis(surge_ms), 6.0 * rate);
            fleet.cut(0..GATEWAYS, true);
            fleet.run(Duration::from_secs(10), 6.0 * rate);
            fleet.check(Moment::ZERO);
        }
    }
}

/// Callers of a workspace send far more than its rate to one gateway, which no total shows yet.
#[test]
fn one_gateway_never_sends_more_than_the_allotment() {
    let rate = 20.0;
    let mut limiter = limiter(7, allotment(rate));
    let mut now = Moment::from_secs(100);
    let mut sent = Vec::new();
    for _ in 0..2000 {
        now += Duration::from_millis(5);
        if limiter.admit(now, &name(), Contact::Current) == Admission::Admitted {
            sent.push(now);
        }
    }
    for (first, start) in sent.iter().enumerate() {
        let window = sent[first..].iter();
        let count = window.take_while(|at| **at < *start + WINDOW).count();
        let bound = (rate * 5.0 + rate) * 1.1;
        assert!(count as f64 <= bound, "{count} of {bound}");
    }
    assert!(sent.len() as f64 >= 10.0 * rate, "{}", sent.len());
}

/// Requests grow only after gateways were cut off, on both sides at once.
#[test]
fn a_surge_on_both_sides_of_a_cut_stays_within_the_allotment() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, allotment(30.0));
        fleet.run(Duration::from_secs(10), 14.0);
        fleet.cut(0..37, true);
        fleet.run(Duration::from_secs(10), 100.0);
        fleet.check(Moment::ZERO);
    }
}

/// Control forgets all balances in the middle of a window, as after a change of all replicas.
#[test]
fn replicas_that_forget_keep_to_the_allotment() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, allotment(16.0));
        for _ in 0..4 {
            fleet.run(Duration::from_secs(4), 40.0);
            fleet.pool = Pool::default();
            fleet.ratios.clear();
        }
        fleet.check(Moment::ZERO);
    }
}

/// Gateways restart in the middle of a window and have forgotten what they sent.
#[test]
fn gateways_that_restart_keep_to_the_allotment() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, allotment(16.0));
        fleet.run(Duration::from_secs(8), 40.0);
        for number in 0..GATEWAYS {
            let (seed, allotment) = (1000 + number as u64, fleet.allotment);
            fleet.gateways[number].limiter = limiter(seed, allotment);
            fleet.run(Duration::from_millis(100), 40.0);
        }
        fleet.check(Moment::ZERO);
    }
}

/// Endpoints begin to fail while a workspace uses its allotment and gateways restart.
#[test]
fn retries_keep_to_the_allotment_too() {
    for seed in 0..4 {
        for (rate, load) in [(16.0, 0.9), (16.0, 0.5), (160.0, 0.9), (160.0, 0.5)] {
            let mut fleet = Fleet::new(seed, allotment(rate));
            fleet.run(Duration::from_secs(8), load * rate);
            fleet.retries = 2;
            for number in 0..GATEWAYS / 4 {
                let (seed, allotment) = (1000 + number as u64, fleet.allotment);
                fleet.gateways[number].limiter = limiter(seed, allotment);
                fleet.run(Duration::from_millis(400), load * rate);
            }
            fleet.check(Moment::ZERO);
        }
    }
}

/// Retries of a workspace below its rate made its other requests be rejected.
#[test]
fn retries_take_nothing_from_other_requests() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, allotment(160.0));
        fleet.retries = 2;
        fleet.run(Duration::from_secs(20), 0.8 * 160.0);
        let rejected = fleet.offered - fleet.admitted;
        assert!(
            rejected * 50 <= fleet.offered,
            "{rejected} of {}",
            fleet.offered
        );
    }
}

/// A workspace far below its allotment has its requests retried.
#[test]
fn retries_below_the_allotment_are_sent() {
    let mut fleet = Fleet::new(1, allotment(160.0));
    fleet.retries = 1;
    fleet.run(Duration::from_secs(1), 40.0);
    assert_eq!(fleet.sent.len(), 2 * fleet.offered);
}

/// A request that no endpoint has run doesn't count against the allotment.
#[test]
fn a_request_that_did_not_run_is_given_back() {
    let mut limiter = limiter(1, allotment(10.0));
    let now = Duration::from_secs(100);
    for _ in 0..100 {
        assert_eq!(
            limiter.admit(now, &name(), Contact::Current),
            Admission::Admitted
        );
        limiter.refund(now, &name());
    }
    let usage = limiter.usage(now);
    assert_eq!((usage[0].sent_milli, usage[0].reserved_milli), (0, 0));
    assert!(usage[0].offered_milli > 0);
}

/// Memory and reports must not grow with every workspace that was ever seen.
#[test]
fn workspaces_without_requests_are_forgotten() {
    let mut limiter = limiter(1, allotment(10.0));
    let now = Duration::from_secs(100);
    limiter.admit(now, &name(), Contact::Current);
    assert_eq!(limiter.usage(now).len(), 1);
    assert_eq!(limiter.usage(now + Duration::from_secs(60)).len(), 0);
}

/// The caller of a rejected request learns when there is room again.
#[test]
fn a_refusal_says_when_to_retry() {
    let mut limiter = limiter(1, allotment(10.0));
    let now = Duration::from_secs(100);
    let half = AdmitRatio {
        workspace: name(),
        ratio_milli: 100,
        debt_ms: 0,
    };
    limiter.set_ratios(now, replica(), &[half]);
    let decisions: Vec<Admission> = (0..40)
        .map(|_| limiter.admit(now, &name(), Contact::Current))
        .collect();
    let admitted = decisions.iter().filter(|d| **d == Admission::Admitted);
    assert!((3..=5).contains(&admitted.count()));
    let waits = decisions.iter().filter_map(|decision| match decision {
        Admission::Refused { retry_after } => Some(*retry_after),
        Admission::Admitted => None,
    });
    assert!(waits.into_iter().all(|wait| !wait.is_zero()));
}

/// Reports whose answers are lost may have been counted or not: a gateway that loses contact may use
/// no more than the least rate among them.
#[test]
fn without_contact_a_gateway_uses_what_control_counts_at_least() {
    let rate = 20.0;
    for (answered, later) in [(8.0, 2.0), (2.0, 8.0)] {
        let mut limiter = limiter(7, allotment(rate));
        let mut now = Moment::from_secs(100);
        send(&mut limiter, &mut now, answered);
        let counted = limiter.usage(now)[0].reserved_milli;
        limiter.confirm_report();
        send(&mut limiter, &mut now, later);
        let least = counted.min(limiter.usage(now)[0].reserved_milli);
        let alone = Contact::Alone { gateways: 4 };
        let before = now;
        let mut sent = 0;
        while now < before + Duration::from_secs(20) {
            now += STEP;
            sent += usize::from(limiter.admit(now, &name(), alone) == Admission::Admitted);
        }
        // Two seconds of the rate may go at once.
        let most = f64::from(least) / 1000.0 * 22.0;
        assert!(
            sent as f64 <= most,
            "{sent} of {most}, {answered} then {later}"
        );
        assert!(sent > 0, "the gateway goes on");
    }
}

/// Sends this many requests per second for twenty seconds, all of which are admitted.
fn send(limiter: &mut Limiter, now: &mut Moment, per_s: f64) {
    let interval = Duration::from_secs_f64(1.0 / per_s);
    for _ in 0..(20.0 * per_s) as usize {
        *now += interval;
        let admission = limiter.admit(*now, &name(), Contact::Current);
        assert_eq!(admission, Admission::Admitted);
    }
}

/// Refusals are averaged by code, and forgotten once they have ended.
#[test]
fn refusals_are_reported_by_code_until_they_end() {
    let mut meter = RefusalMeter::default();
    let step = Duration::from_millis(100);
    let mut now = Moment::from_secs(1000);
    for number in 0..600 {
        now += step;
        meter.record(now, &name(), ResultCode::AllotmentUsed);
        if number % 10 == 0 {
            meter.record(now, &name(), ResultCode::NoEndpoint);
        }
    }
    let report = meter.report(now);
    let rate = |code| {
        let refused = report.iter().find(|refused| refused.code == code);
        refused.expect("reported").refused_milli
    };
    assert!((9_000..11_000).contains(&rate(ResultCode::AllotmentUsed)));
    assert!((800..1_200).contains(&rate(ResultCode::NoEndpoint)));
    assert!(meter.report(now + Duration::from_secs(60)).is_empty());
}
