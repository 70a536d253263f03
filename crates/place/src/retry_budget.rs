//! The budget for retries.
//!
//! When an endpoint or a whole service is failing, retrying each failure can be what keeps it
//! overloaded. The limit holds for the sum over all gateways: each spends only in proportion
//! to its own requests, plus its part of the floor (see [`LimitShare`](crate::LimitShare)). A
//! gateway that is cut off from control has no part of the floor, and one that has just started
//! doesn't have it until what its predecessor spent is out of the window.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, ServiceName};

/// Slices that the window is divided into.
const SLICES: u64 = 20;
/// Slices of the shortest part of the window that the ratio holds for. Callers may move to other
/// gateways, whose windows then have their requests too. So a gateway may not spend at once what its
/// requests of the whole window allow.
const MIN_SLICES: u64 = 3;
/// Further slices for which a retry counts as spent. A retry at the end of a slice is that much
/// younger than the slice, and attempts are counted when they are sent but observed when they
/// arrive.
const EXTRA_SLICES: u64 = 2;
const BUCKETS: usize = (SLICES + EXTRA_SLICES) as usize;
/// Share of the ratio and the floor that is spent: within [`MIN_SLICES`], first attempts of callers
/// that move from one gateway to another count at both.
const SAFETY_FACTOR: f64 = 0.9;

/// Limits of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries allowed in each window in addition to `ratio`, over all gateways.
    pub floor: f64,
    /// The window.
    pub window: Duration,
}

/// A service's budget at one gateway, at the moment of a decision, in the part of the window that
/// leaves least.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Length of that part, up to the whole window.
    pub within: Duration,
    /// First attempts within it.
    pub first: u32,
    /// Retries spent within it, including the one just granted.
    pub retries: u32,
    /// Retries that it allows.
    pub allowed: f64,
    /// Number of gateways that the floor was divided by; `None` if this gateway has no part of it.
    pub gateways: Option<u32>,
}

impl BudgetUsage {
    fn left(&self) -> f64 {
        self.allowed - f64::from(self.retries)
    }
}

/// The decision about a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDecision {
    /// It is spent and may be sent.
    Granted(BudgetUsage),
    /// The budget has none left.
    Refused(BudgetUsage),
}

impl RetryDecision {
    /// Whether the retry may be sent.
    pub fn is_granted(&self) -> bool {
        matches!(self, Self::Granted(_))
    }
}

/// Attempts in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the slice since time zero.
    number: u64,
    first: u32,
    retries: u32,
}

/// Counts first attempts and retries of each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    services: HashMap<ServiceName, [Bucket; BUCKETS]>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            services: HashMap::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first(&mut self, now: Moment, service: &ServiceName) {
        self.bucket(now, service).first += 1;
    }

    /// Spends a retry if this gateway has one left. `gateways` is the number that the floor is
    /// divided by; `None` if this gateway has no part of it.
    pub fn try_spend(
        &mut self,
        now: Moment,
        service: &ServiceName,
        gateways: Option<u32>,
    ) -> RetryDecision {
        let mut usage = self.usage(now, service, gateways);
        if usage.left() < 1.0 {
            return RetryDecision::Refused(usage);
        }
        self.bucket(now, service).retries += 1;
        usage.retries += 1;
        RetryDecision::Granted(usage)
    }

    /// Takes back a retry that was granted at `granted_at` and not sent.
    pub fn refund(&mut self, granted_at: Moment, service: &ServiceName) {
        let number = self.bucket_number(granted_at);
        let Some(buckets) = self.services.get_mut(service) else {
            return;
        };
        let bucket = buckets.iter_mut().find(|bucket| bucket.number == number);
        if let Some(bucket) = bucket {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    fn usage(&self, now: Moment, service: &ServiceName, gateways: Option<u32>) -> BudgetUsage {
        let floor = gateways.map_or(0.0, |gateways| self.cfg.floor / f64::from(gateways.max(1)));
        let parts = (MIN_SLICES..=SLICES).map(|slices| {
            let (first, retries) = self.counts(now, service, slices);
            // With few requests, fractions of a retry add up over the whole window only.
            let minimum = if slices < SLICES { 1.0 } else { 0.0 };
            BudgetUsage {
                within: self.cfg.window.mul_f64(slices as f64 / SLICES as f64),
                first,
                retries,
                allowed: (SAFETY_FACTOR * (self.cfg.ratio * f64::from(first) + floor)).max(minimum),
                gateways,
            }
        });
        let least = parts.min_by(|a, b| a.left().total_cmp(&b.left()));
        least.unwrap_or(BudgetUsage {
            within: self.cfg.window,
            first: 0,
            retries: 0,
            allowed: 0.0,
            gateways,
        })
    }

    /// First attempts of the last slices, and the retries that count as spent in them. Those of the
    /// whole window count for longer.
    fn counts(&self, now: Moment, service: &ServiceName, slices: u64) -> (u32, u32) {
        let current = self.bucket_number(now);
        let extra = if slices == SLICES { EXTRA_SLICES } else { 0 };
        let (mut first, mut retries) = (0, 0);
        for bucket in self.services.get(service).into_iter().flatten() {
            let age = current.saturating_sub(bucket.number);
            if age < slices {
                first += bucket.first;
            }
            if age < slices + extra {
                retries += bucket.retries;
            }
        }
        (first, retries)
    }

    fn bucket_number(&self, now: Moment) -> u64 {
        let width = self
            .cfg
            .window
            .as_micros()
            .div_ceil(u128::from(SLICES))
            .max(1);
        (now.as_micros() / width) as u64
    }

    fn bucket(&mut self, now: Moment, service: &ServiceName) -> &mut Bucket {
        let number = self.bucket_number(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let buckets = self.services.entry(service.clone()).or_default();
        let bucket = &mut buckets[(number % (SLICES + EXTRA_SLICES)) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
