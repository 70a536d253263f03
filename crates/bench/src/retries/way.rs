//! Ways of dividing the budget.

use std::time::Duration;

use filberthead_fleet::Update;
use filberthead_place::{LimitShare, RetryBudget, RetryBudgetConfig, RetryDecision, RetryEnd};
use filberthead_types::{Moment, ServiceName};

/// Slices of the window in which [`Announced`] counts.
const SLICES: u64 = 10;
/// Part of the budget that is spent.
const SAFETY_FACTOR: f64 = 0.85;
/// Time for which an allowance of [`Totals`] holds: two reports.
const ALLOWANCE_TTL: Duration = Duration::from_millis(1100);

/// A way of dividing the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// An equal part of the floor from the start, by the number that any replica announces.
    Announced,
    /// An equal part of the floor while the leader proves the number, and not before what was spent
    /// unseen is out of the window.
    Proven,
    /// Control adds up what all gateways spend, and hands out parts of the rest.
    Totals,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Announced, Self::Proven, Self::Totals];

    /// Its name in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Proven => "proven",
            Self::Totals => "totals",
        }
    }
}

/// The budget as one gateway keeps it.
pub(super) trait GatewayBudget {
    fn record_first(&mut self, now: Moment);

    /// Spends a retry if there is one left.
    fn try_spend(&mut self, now: Moment) -> bool;

    /// Applies what control sent.
    fn apply(&mut self, _now: Moment, _update: &Update) {}

    /// First attempts and retries since the last call, for control's totals.
    fn take_counts(&mut self) -> (u32, u32) {
        (0, 0)
    }

    /// Forgets the first attempts that couldn't be reported: control would count them too late.
    fn drop_first(&mut self) {}

    /// Applies the retries that this gateway may send until the next totals.
    fn set_allowance(&mut self, _now: Moment, _retries: f64) {}
}

pub(super) fn budget(way: Way, cfg: RetryBudgetConfig) -> Box<dyn GatewayBudget> {
    match way {
        Way::Announced => Box::new(Announced {
            cfg,
            gateways: 1,
            slices: [Slice::default(); SLICES as usize],
        }),
        Way::Proven => Box::new(Proven {
            service: "service".parse().expect("a name"),
            budget: RetryBudget::new(cfg),
            share: LimitShare::new(cfg.window),
        }),
        Way::Totals => Box::new(Totals::default()),
    }
}

#[derive(Clone, Copy, Default)]
struct Slice {
    number: u64,
    first: u32,
    retries: u32,
}

struct Announced {
    cfg: RetryBudgetConfig,
    gateways: u32,
    slices: [Slice; SLICES as usize],
}

impl Announced {
    fn number(&self, now: Moment) -> u64 {
        (now.as_millis() * u128::from(SLICES) / self.cfg.window.as_millis()) as u64
    }

    fn slice(&mut self, now: Moment) -> &mut Slice {
        let number = self.number(now);
        let slice = &mut self.slices[(number % SLICES) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }
}

impl GatewayBudget for Announced {
    fn record_first(&mut self, now: Moment) {
        self.slice(now).first += 1;
    }

    fn try_spend(&mut self, now: Moment) -> bool {
        let oldest = (self.number(now) + 1).saturating_sub(SLICES);
        let current = self.slices.iter().filter(|slice| slice.number >= oldest);
        let (first, retries) = current.fold((0, 0), |(first, retries), slice| {
            (first + slice.first, retries + slice.retries)
        });
        let floor = self.cfg.floor / f64::from(self.gateways);
        let allowed = SAFETY_FACTOR * (self.cfg.ratio * f64::from(first) + floor);
        let may_spend = f64::from(retries) < allowed - 1.0;
        if may_spend {
            self.slice(now).retries += 1;
        }
        may_spend
    }

    fn apply(&mut self, _: Moment, update: &Update) {
        if let Update::Gateways(counts) = update {
            let sum: u32 = counts.iter().map(|(_, count)| count).sum();
            self.gateways = sum.max(1);
        }
    }
}

struct Proven {
    service: ServiceName,
    budget: RetryBudget,
    share: LimitShare,
}

impl GatewayBudget for Proven {
    fn record_first(&mut self, now: Moment) {
        self.budget.record_first(now, &self.service);
    }

    fn try_spend(&mut self, now: Moment) -> bool {
        let gateways = self.share.divisor(now);
        match self.budget.try_spend(now, &self.service, gateways) {
            RetryDecision::Granted(id, _) => {
                let arrived = RetryEnd::Settled;
                self.budget.record_end(now, &self.service, id, arrived);
                true
            }
            RetryDecision::Refused(_) => false,
        }
    }

    fn apply(&mut self, now: Moment, update: &Update) {
        if let Update::Proven { asked_at, gateways } = update {
            self.share.record_proof(now, *asked_at, *gateways);
        }
    }
}

#[derive(Default)]
struct Totals {
    first: u32,
    retries: u32,
    allowance: f64,
    until: Moment,
}

impl GatewayBudget for Totals {
    fn record_first(&mut self, _: Moment) {
        self.first += 1;
    }

    fn try_spend(&mut self, now: Moment) -> bool {
        let may_spend = now < self.until && self.allowance >= 1.0;
        if may_spend {
            self.allowance -= 1.0;
            self.retries += 1;
        }
        may_spend
    }

    fn take_counts(&mut self) -> (u32, u32) {
        (
            std::mem::take(&mut self.first),
            std::mem::take(&mut self.retries),
        )
    }

    fn drop_first(&mut self) {
        self.first = 0;
    }

    fn set_allowance(&mut self, now: Moment, retries: f64) {
        self.allowance = retries;
        self.until = now + ALLOWANCE_TTL;
    }
}
