//! The control side: adds up the requests of each workspace and derives the part that may be
//! sent.

use std::collections::BTreeMap;
use std::time::Duration;

use filberthead_route::Allotment;
use filberthead_types::{Moment, Workspace};

use crate::usage::{AVERAGING, from_milli};
use crate::{AdmitRatio, Usage};

/// Part of its rate from which a workspace is mentioned to gateways. Below it, requests may
/// double within the age of a total without reaching the rate.
const MENTIONED_FROM: f64 = 0.5;
/// Time in which a balance is spent or recovered. A shorter time than the age of the totals
/// would make the sums oscillate.
const RECOVERY: Duration = Duration::from_secs(2);
/// Longest debt, as time of the rate. It bounds for how long a workspace pays for a past excess.
const MAX_DEBT: Duration = Duration::from_secs(4);
/// Longest step in which a balance changes at once. After a longer pause the reported rates say
/// nothing about the time in between.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Whether a gateway is in contact with control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Its reports arrive.
    Live,
    /// It has not been heard lately, and may go on sending at the rate it has reserved.
    Silent,
}

/// Sums of a workspace's requests over all gateways, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceTotals {
    /// Arriving at live gateways.
    pub offered: f64,
    /// Sent by live gateways.
    pub sent: f64,
    /// Reserved by silent gateways.
    pub reserved: f64,
}

/// What a workspace may still send at once.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    /// Requests; negative if it has sent too many.
    requests: f64,
    /// Requests that were charged although the integral of the average rates lacks them.
    charged_ahead: f64,
}

/// The balances of all workspaces with an allotment that have sent requests lately.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    balances: BTreeMap<Workspace, Balance>,
    started_at: Option<Moment>,
    updated_at: Moment,
}

impl Pool {
    /// Advances the balances to `now`, and returns the parts to tell the gateways.
    /// `allotment_of` returns the limit of a workspace, `usage` is the last report of each
    /// gateway.
    pub fn update<'a>(
        &mut self,
        now: Moment,
        allotment_of: impl Fn(&Workspace) -> Option<Allotment>,
        usage: impl IntoIterator<Item = (Presence, &'a Usage)>,
    ) -> Vec<AdmitRatio> {
        // A workspace that is new to a replica that has watched for long enough has sent nothing.
        let watched_for = now.saturating_sub(*self.started_at.get_or_insert(now));
        let has_watched = watched_for >= MAX_DEBT;
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.updated_at, now));
        let step = elapsed.min(MAX_STEP).as_secs_f64();
        let sums = sum_up(usage);
        self.balances
            .retain(|workspace, _| sums.contains_key(workspace));
        let mut ratios = Vec::new();
        for (workspace, sums) in sums {
            let Some(allotment) = allotment_of(workspace) else {
                continue;
            };
            let balance = match self.balances.get_mut(workspace) {
                Some(balance) => balance,
                None => {
                    let initial = match has_watched {
                        true => Balance::full(&allotment),
                        false => Balance::empty(&sums),
                    };
                    let balance = self.balances.entry(workspace.clone());
                    balance.or_insert(initial)
                }
            };
            balance.advance(step, &allotment, &sums);
            ratios.extend(balance.ratio(workspace, &allotment, &sums));
        }
        ratios
    }
}

/// The totals of each workspace by the last report of each gateway.
pub fn sum_up<'a>(
    usage: impl IntoIterator<Item = (Presence, &'a Usage)>,
) -> BTreeMap<&'a Workspace, WorkspaceTotals> {
    let mut all: BTreeMap<&Workspace, WorkspaceTotals> = BTreeMap::new();
    for (presence, usage) in usage {
        let sums = all.entry(&usage.workspace).or_default();
        match presence {
            Presence::Live => {
                sums.offered += from_milli(usage.offered_milli);
                sums.sent += from_milli(usage.sent_milli);
            }
            Presence::Silent => sums.reserved += from_milli(usage.reserved_milli),
        }
    }
    all
}

impl WorkspaceTotals {
    /// Requests that arrive per second, less what may be chance: a few requests that happen to
    /// arrive together are no reason to reject any. What is sent too many lowers the balance.
    fn steady_offered(&self) -> f64 {
        let deviation = (self.offered / AVERAGING.as_secs_f64()).sqrt();
        (self.offered - deviation).max(0.0)
    }

    /// Requests sent that the integral of the average rate lacks until the average has decayed.
    fn not_in_integral(&self) -> f64 {
        self.sent * AVERAGING.as_secs_f64()
    }
}

impl Balance {
    /// That of a workspace that has sent nothing so far.
    fn full(allotment: &Allotment) -> Self {
        Self {
            requests: allotment.burst,
            charged_ahead: 0.0,
        }
    }

    /// That of a workspace of which it isn't known what it has sent so far.
    fn empty(sums: &WorkspaceTotals) -> Self {
        Self {
            requests: 0.0,
            charged_ahead: sums.not_in_integral(),
        }
    }

    /// Adds what the rate earns, and charges what was sent.
    fn advance(&mut self, step: f64, allotment: &Allotment, sums: &WorkspaceTotals) {
        let earned = step * (allotment.rate - sums.sent - sums.reserved);
        let ahead = sums.not_in_integral();
        let charged = ahead - self.charged_ahead;
        let debt = allotment.rate * MAX_DEBT.as_secs_f64();
        let requests = self.requests + earned - charged;
        self.requests = requests.clamp(-debt, allotment.burst);
        // What the longest debt cut off was not charged, so it isn't refunded as the average decays.
        let cut_off = (-debt - requests).max(0.0);
        self.charged_ahead = (ahead - cut_off).max(0.0);
    }

    /// The part of the requests at live gateways that may be sent; `None` if the workspace is
    /// far below its rate and has sent nothing too much.
    fn ratio(
        &self,
        workspace: &Workspace,
        allotment: &Allotment,
        sums: &WorkspaceTotals,
    ) -> Option<AdmitRatio> {
        let extra = self.requests / RECOVERY.as_secs_f64();
        let allowed = (allotment.rate - sums.reserved + extra).max(0.0);
        let debt = (-self.requests / allotment.rate).max(0.0);
        let is_near = sums.offered + sums.reserved >= MENTIONED_FROM * allotment.rate;
        // A few requests that happen to arrive together may take the balance below zero for a moment.
        let is_settled = -self.requests <= self.charged_ahead;
        if !is_near && is_settled && allowed >= sums.steady_offered() {
            return None;
        }
        let ratio = (allowed / sums.steady_offered().max(f64::MIN_POSITIVE)).min(1.0);
        // Only what isn't chance leaves room for further attempts.
        let ratio = ratio.max(allowed / sums.offered.max(f64::MIN_POSITIVE));
        Some(AdmitRatio {
            workspace: workspace.clone(),
            // Saturates at 65 times what is offered.
            ratio_milli: (ratio * 1000.0) as u16,
            debt_ms: (debt * 1000.0) as u16,
        })
    }
}
