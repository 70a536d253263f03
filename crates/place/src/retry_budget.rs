//! The budget for further attempts.
//!
//! The load it answers: an endpoint or a whole service in trouble, where each failure is
//! tried again and the tries are what keeps it in trouble. The bound holds for the sum
//! over all gateways: each spends only in proportion to its own requests, and its part of
//! the floor, so no message is needed and a gateway that is cut off keeps to it as well.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, ServiceName};

/// Parts that the window is counted in.
const PARTS: usize = 10;
/// Part of the ratio and floor that is spent: attempts are counted when they are made
/// here and judged when they arrive, and a gateway that starts doesn't know yet how many
/// share the floor.
const SPENT: f64 = 0.85;

/// What bounds further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Further attempts as a part of first ones.
    pub ratio: f64,
    /// Further attempts allowed besides in each window, over all gateways.
    pub floor: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    first: u32,
    further: u32,
}

/// Counts first and further attempts of each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    services: HashMap<ServiceName, [Part; PARTS]>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            services: HashMap::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn record_first(&mut self, now: Moment, service: &ServiceName) {
        self.part(now, service).first += 1;
    }

    /// Spends a further attempt, if there is one left for this gateway, one of `gateways`.
    pub fn try_spend(&mut self, now: Moment, service: &ServiceName, gateways: u32) -> bool {
        let oldest = self.number(now).saturating_sub(PARTS as u64 - 1);
        let (mut first, mut further) = (0, 0);
        if let Some(parts) = self.services.get(service) {
            for part in parts.iter().filter(|part| part.number >= oldest) {
                first += part.first;
                further += part.further;
            }
        }
        let floor = self.cfg.floor / f64::from(gateways.max(1));
        let allowed = SPENT * (self.cfg.ratio * f64::from(first) + floor);
        if f64::from(further) + 1.0 > allowed {
            return false;
        }
        self.part(now, service).further += 1;
        true
    }

    fn number(&self, now: Moment) -> u64 {
        let part = self.cfg.window.as_millis().max(PARTS as u128) / PARTS as u128;
        (now.as_millis() / part) as u64
    }

    fn part(&mut self, now: Moment, service: &ServiceName) -> &mut Part {
        let number = self.number(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Default::default());
        }
        let parts = self.services.entry(service.clone()).or_default();
        let part = &mut parts[(number % PARTS as u64) as usize];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        part
    }
}
