//! Measures the requests of each workspace that a gateway refuses, for operators.

use std::collections::HashMap;
use std::time::Duration;

use filberthead_types::{Moment, ResultCode, Workspace};
use serde::{Deserialize, Serialize};

use crate::rate::Rate;
use crate::usage::to_milli;

/// Time over which refusals are averaged: long enough to be read by a person.
const REFUSALS_AVERAGING: Duration = Duration::from_secs(5);
/// Rate, in requests per second, below which refusals are forgotten.
const MIN_REPORTED: f64 = 0.01;
/// Most pairs of workspace and code that are measured. Those beyond it are left out.
const MAX_PAIRS: usize = 1024;

/// Requests of a workspace that were refused with one code.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedRate {
    /// The workspace.
    pub workspace: Workspace,
    /// Why they were refused.
    pub code: ResultCode,
    /// Number of them, in thousandths of a request per second.
    pub refused_milli: u32,
}

/// Measures refusals at one gateway.
#[derive(Clone, Debug, Default)]
pub struct RefusalMeter {
    rates: HashMap<(Workspace, ResultCode), Rate>,
}

impl RefusalMeter {
    /// Counts a refused request.
    pub fn record(&mut self, now: Moment, workspace: &Workspace, code: ResultCode) {
        let pair = (workspace.clone(), code);
        if self.rates.len() >= MAX_PAIRS && !self.rates.contains_key(&pair) {
            return;
        }
        let rate = self.rates.entry(pair).or_default();
        rate.record(now, 1.0, REFUSALS_AVERAGING);
    }

    /// The refusals of the last seconds, for the report to control.
    pub fn report(&mut self, now: Moment) -> Vec<RefusedRate> {
        self.rates
            .retain(|_, rate| rate.get(now, REFUSALS_AVERAGING) >= MIN_REPORTED);
        let report = |((workspace, code), rate): (&(Workspace, ResultCode), &Rate)| RefusedRate {
            workspace: workspace.clone(),
            code: *code,
            refused_milli: to_milli(rate.get(now, REFUSALS_AVERAGING)),
        };
        self.rates.iter().map(report).collect()
    }
}
