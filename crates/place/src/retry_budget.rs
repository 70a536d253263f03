//! The budget for retries.
//!
//! When an endpoint or a whole service is failing, retrying each failure can be what keeps it
//! overloaded. The limit holds for the sum over all gateways: each spends only in proportion
//! to its own requests, plus its share of the floor. So no communication is needed, and a
//! gateway that is partitioned from the others keeps to it as well.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, ServiceName};

/// Buckets that the window is divided into.
const BUCKETS: usize = 10;
/// Share of the ratio and the floor that is spent. Attempts are counted here when they are
/// sent but observed when they arrive, and a gateway that starts doesn't know yet how many
/// gateways share the floor.
const SAFETY_FACTOR: f64 = 0.85;

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

/// A service's budget at one gateway, at the moment of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// First attempts within the window.
    pub first: u32,
    /// Retries spent within the window, including the one just granted.
    pub retries: u32,
    /// Retries that the window allows.
    pub allowed: f64,
    /// Number of gateways that the floor was divided by.
    pub gateways: u32,
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

    /// Spends a retry if this gateway, one of `gateways`, has one left.
    pub fn try_spend(
        &mut self,
        now: Moment,
        service: &ServiceName,
        gateways: u32,
    ) -> RetryDecision {
        let mut usage = self.usage(now, service, gateways);
        if f64::from(usage.retries) + 1.0 > usage.allowed {
            return RetryDecision::Refused(usage);
        }
        self.bucket(now, service).retries += 1;
        usage.retries += 1;
        RetryDecision::Granted(usage)
    }

    fn usage(&self, now: Moment, service: &ServiceName, gateways: u32) -> BudgetUsage {
        let oldest = self.bucket_number(now).saturating_sub(BUCKETS as u64 - 1);
        let (mut first, mut retries) = (0, 0);
        if let Some(buckets) = self.services.get(service) {
            for bucket in buckets.iter().filter(|bucket| bucket.number >= oldest) {
                first += bucket.first;
                retries += bucket.retries;
            }
        }
        let gateways = gateways.max(1);
        let floor = self.cfg.floor / f64::from(gateways);
        let allowed = SAFETY_FACTOR * (self.cfg.ratio * f64::from(first) + floor);
        BudgetUsage {
            first,
            retries,
            allowed,
            gateways,
        }
    }

    fn bucket_number(&self, now: Moment) -> u64 {
        let width = self.cfg.window.as_millis().max(BUCKETS as u128) / BUCKETS as u128;
        (now.as_millis() / width) as u64
    }

    fn bucket(&mut self, now: Moment, service: &ServiceName) -> &mut Bucket {
        let number = self.bucket_number(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let buckets = self.services.entry(service.clone()).or_default();
        let bucket = &mut buckets[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
