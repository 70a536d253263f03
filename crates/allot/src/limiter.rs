//! The gateway side: admits requests of each workspace and measures them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_route::{Allotment, Workspace};
use filberthead_types::{Moment, Workspace as WorkspaceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::bucket::TokenBucket;
use crate::rate::Rate;
use crate::usage::{AVERAGING, to_milli};
use crate::{AdmitRatio, Usage};

/// Time over which the reserved rate is averaged. A gateway often has less than one request of
/// a workspace per second, and a shorter average would be zero at most moments.
const RESERVED_AVERAGING: Duration = Duration::from_secs(5);
/// Factor on the reserved rate of a workspace that is far below its allotment.
const RESERVED_GROWTH: f64 = 1.5;
/// Time after which the parts that a replica has sent expire: three report periods.
const RATIOS_TTL: Duration = Duration::from_millis(1600);
/// Offered rate, in requests per second, below which a workspace isn't reported.
const MIN_REPORTED: f64 = 0.01;
/// Part of rate and burst that a gateway may send beyond its reported rate before it reports
/// again at once.
const UNREPORTED_SHARE: f64 = 0.03;
/// Unreported requests that don't count as a surge, whatever the allotment.
const MIN_UNREPORTED: f64 = 3.0;
/// Factor by which more requests may arrive than were reported before a gateway reports again at once.
const OFFERED_GROWTH: f64 = 1.25;
/// Requests that may be sent at once without contact, as time of the reserved rate.
const RESERVED_BURST: Duration = Duration::from_secs(2);
/// Shortest and longest time after which a rejected caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));
/// Further attempts of a workspace near its rate that a gateway may send at once.
const MAX_RETRY_CREDIT: f64 = 2.0;
/// Time after which a caller that a gateway without contact rejects may try another gateway.
const RETRY_AFTER_ALONE: Duration = Duration::from_millis(100);

/// Whether this gateway knows the totals of all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The replicas heard from know the reports of all gateways that are in contact.
    Current,
    /// They may not, so the totals may be wrong.
    Alone {
        /// Number of gateways that may be in the same situation.
        gateways: u32,
    },
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Admitted,
    /// It exceeds the allotment.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Settings of a limiter.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimiterConfig {
    /// Differs between gateways, so that they don't all reject the first request.
    pub seed: u64,
    /// Requests that all gateways without contact may send together, at once, for a workspace
    /// that they have reserved nothing for.
    pub unreserved: f64,
}

/// A workspace's requests at this gateway.
#[derive(Clone, Copy, Debug)]
struct Meter {
    allotment: Allotment,
    offered: Rate,
    sent: Rate,
    sent_slowly: Rate,
    /// Requests that may be sent by the ratio; one is sent when it reaches 1.
    credit: f64,
    /// Further attempts that may be sent while the workspace is near its rate.
    retry_credit: f64,
    /// Requests that this gateway may send by the allotment, whatever others send.
    bucket: TokenBucket,
    /// Reserved rate of the last report.
    reported: f64,
    /// When the last report was made, and the rate that it shows as sent.
    reported_sent: (Moment, f64),
    /// Requests sent since.
    unreported: f64,
    /// Rate that the last report shows as offered, and the requests that have arrived since.
    reported_offered: f64,
    unreported_offered: f64,
    /// The least reserved rate of the last report that control has answered and of those since.
    /// It is used without contact: control counts no less, whichever of them it has received.
    reserved: f64,
    /// When the requests that may be sent without contact were last counted, and their number;
    /// `None` while there is contact.
    alone: Option<(Moment, f64)>,
}

/// Ratios from one control replica.
#[derive(Clone, Debug)]
struct Ratios {
    received_at: Moment,
    by_workspace: HashMap<WorkspaceName, AdmitRatio>,
}

/// Admits the requests of workspaces with an allotment at one gateway.
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimiterConfig,
    allotments: HashMap<WorkspaceName, Allotment>,
    meters: HashMap<WorkspaceName, Meter>,
    ratios: HashMap<SocketAddr, Ratios>,
    /// Whether a workspace sends far more than the last report shows, or its part is out of date.
    is_surging: bool,
}

impl Limiter {
    /// A limiter without workspaces.
    pub fn new(cfg: LimiterConfig) -> Self {
        Self {
            cfg,
            allotments: HashMap::new(),
            meters: HashMap::new(),
            ratios: HashMap::new(),
            is_surging: false,
        }
    }

    /// Applies the allotments in force. What was measured for workspaces that remain is kept.
    pub fn set_workspaces(&mut self, workspaces: &[Arc<Workspace>]) {
        let limited = workspaces
            .iter()
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.allotment?)));
        self.allotments = limited.collect();
        let allotments = &self.allotments;
        self.meters
            .retain(|name, meter| match allotments.get(name) {
                Some(allotment) => {
                    meter.allotment = *allotment;
                    true
                }
                None => false,
            });
    }

    /// Applies the parts that a control replica has sent.
    pub fn set_ratios(&mut self, now: Moment, from: SocketAddr, ratios: &[AdmitRatio]) {
        self.ratios
            .retain(|_, ratios| now < ratios.received_at + RATIOS_TTL);
        let by_workspace = ratios.iter().map(|r| (r.workspace.clone(), r.clone()));
        let received = Ratios {
            received_at: now,
            by_workspace: by_workspace.collect(),
        };
        self.ratios.insert(from, received);
    }

    /// Control has answered the last report, so it counts what was reported as reserved.
    pub fn confirm_report(&mut self) {
        let in_contact = self
            .meters
            .values_mut()
            .filter(|meter| meter.alone.is_none());
        in_contact.for_each(|meter| meter.reserved = meter.reported);
    }

    /// Decides about a request that has arrived, and counts it as sent if it is admitted.
    pub fn admit(&mut self, now: Moment, workspace: &WorkspaceName, contact: Contact) -> Admission {
        let Some(allotment) = self.allotments.get(workspace) else {
            return Admission::Admitted;
        };
        let part = self.ratio(now, workspace);
        let ratio = part.unwrap_or(1.0);
        let headroom = self.headroom(now, workspace);
        let debt = self.debt(now, workspace);
        let cfg = self.cfg;
        if !self.meters.contains_key(workspace) {
            let meter = Meter::new(*allotment, cfg.unit(workspace));
            self.meters.insert(workspace.clone(), meter);
        }
        let Some(meter) = self.meters.get_mut(workspace) else {
            return Admission::Admitted;
        };
        meter.offered.record(now, 1.0, AVERAGING);
        meter.unreported_offered += 1.0;
        self.is_surging |= part.is_some() && meter.outgrows_part(now);
        meter.retry_credit = (meter.retry_credit + headroom).min(MAX_RETRY_CREDIT);
        let admission = match contact {
            Contact::Current => {
                meter.alone = None;
                meter.admit_part(now, ratio)
            }
            Contact::Alone { gateways } => {
                let has_first = cfg.unit(workspace) * f64::from(gateways.max(1)) < cfg.unreserved;
                meter.admit_reserved(now, if has_first { 1.0 } else { 0.0 }, debt)
            }
        };
        if admission == Admission::Admitted {
            meter.record_sent(now, 1.0);
            self.is_surging |= meter.is_surging(now);
        }
        admission
    }

    /// Whether a report is due at once, since a workspace sends far more than the last one shows, or its
    /// part was derived from far fewer requests than arrive.
    pub fn is_report_due(&self) -> bool {
        self.is_surging
    }

    /// Decides about a further attempt of a request of which an earlier one may have run, and counts it
    /// as sent if it is admitted. Of a workspace that is near its rate only as many are sent again as the
    /// totals leave room for. They don't count as offered, so that they never make other requests be
    /// rejected.
    pub fn admit_retry(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        contact: Contact,
    ) -> Admission {
        if !self.allotments.contains_key(workspace) {
            return Admission::Admitted;
        }
        let is_near = self.ratio(now, workspace).is_some();
        let debt = self.debt(now, workspace);
        let Some(meter) = self.meters.get_mut(workspace) else {
            return Admission::Admitted;
        };
        let refused = Admission::Refused {
            retry_after: RETRY_AFTER_ALONE,
        };
        let admission = match contact {
            Contact::Current => match meter.admit_further(now, is_near) {
                true => Admission::Admitted,
                false => refused,
            },
            Contact::Alone { .. } => meter.admit_reserved(now, 0.0, debt),
        };
        if admission == Admission::Admitted {
            meter.record_sent(now, 1.0);
            self.is_surging |= meter.is_surging(now);
        }
        admission
    }

    /// Takes back the count of an attempt that no endpoint has run.
    pub fn refund(&mut self, now: Moment, workspace: &WorkspaceName) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.record_sent(now, -1.0);
            meter.credit = (meter.credit + 1.0).min(1.0);
        }
    }

    /// The requests at this gateway, for its report to control.
    pub fn usage(&mut self, now: Moment) -> Vec<Usage> {
        self.is_surging = false;
        self.meters
            .retain(|_, meter| meter.sent_slowly_or_offered(now) >= MIN_REPORTED);
        let names: Vec<WorkspaceName> = self.meters.keys().cloned().collect();
        let report = |name: WorkspaceName| {
            let growth = match self.ratio(now, &name) {
                Some(_) => 1.0,
                None => RESERVED_GROWTH,
            };
            let meter = self.meters.get_mut(&name)?;
            meter.reported = match meter.alone {
                None => growth * meter.sent_slowly.get(now, RESERVED_AVERAGING),
                Some(_) => meter.reserved,
            };
            // Control may count this report although its answer is lost.
            meter.reserved = meter.reserved.min(meter.reported);
            let sent = meter.sent.get(now, AVERAGING);
            meter.reported_sent = (now, sent);
            meter.unreported = 0.0;
            let offered = meter.offered.get(now, AVERAGING);
            (meter.reported_offered, meter.unreported_offered) = (offered, 0.0);
            Some(Usage {
                offered_milli: to_milli(offered),
                sent_milli: to_milli(sent),
                reserved_milli: to_milli(meter.reported),
                workspace: name,
            })
        };
        names.into_iter().filter_map(report).collect()
    }

    /// The smallest part that a replica has sent lately; `None` if none mentions the workspace.
    /// A replica that has just started doesn't know all gateways yet.
    fn ratio(&self, now: Moment, workspace: &WorkspaceName) -> Option<f64> {
        let current = self
            .ratios
            .values()
            .filter(|ratios| now < ratios.received_at + RATIOS_TTL);
        let ratios = current.filter_map(|ratios| ratios.by_workspace.get(workspace));
        ratios.map(AdmitRatio::ratio).min_by(f64::total_cmp)
    }

    /// Further attempts that may be sent for each request, by the replica that leaves least; none while
    /// no replica mentions the workspace, as all may be sent then.
    fn headroom(&self, now: Moment, workspace: &WorkspaceName) -> f64 {
        let current = self
            .ratios
            .values()
            .filter(|ratios| now < ratios.received_at + RATIOS_TTL);
        let ratios = current.filter_map(|ratios| ratios.by_workspace.get(workspace));
        let least = ratios.map(AdmitRatio::headroom).min_by(f64::total_cmp);
        least.unwrap_or(0.0)
    }

    /// Time until the workspace has made up for what was sent too much, by the last notice of each
    /// replica, however old.
    fn debt(&self, now: Moment, workspace: &WorkspaceName) -> Duration {
        let left = |ratios: &Ratios| {
            let ratio = ratios.by_workspace.get(workspace)?;
            Some((ratios.received_at + ratio.debt()).saturating_sub(now))
        };
        self.ratios
            .values()
            .filter_map(left)
            .max()
            .unwrap_or_default()
    }
}

impl LimiterConfig {
    /// A number from 0 to 1 that differs between gateways and workspaces.
    fn unit(&self, workspace: &WorkspaceName) -> f64 {
        let hash = xxh3_64_with_seed(workspace.as_str().as_bytes(), self.seed);
        (hash >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Meter {
    fn new(allotment: Allotment, credit: f64) -> Self {
        Self {
            allotment,
            offered: Rate::default(),
            sent: Rate::default(),
            sent_slowly: Rate::default(),
            credit,
            retry_credit: 0.0,
            bucket: TokenBucket::default(),
            reported: 0.0,
            reported_sent: (Moment::ZERO, 0.0),
            unreported: 0.0,
            reported_offered: 0.0,
            unreported_offered: 0.0,
            reserved: 0.0,
            alone: None,
        }
    }

    fn record_sent(&mut self, now: Moment, requests: f64) {
        self.sent.record(now, requests, AVERAGING);
        self.sent_slowly.record(now, requests, RESERVED_AVERAGING);
        self.bucket.take(now, requests, &self.allotment);
        self.unreported += requests;
    }

    fn is_surging(&self, now: Moment) -> bool {
        let (reported_at, rate) = self.reported_sent;
        let expected = rate * now.saturating_sub(reported_at).as_secs_f64();
        let Allotment { rate, burst } = self.allotment;
        self.unreported > expected + (UNREPORTED_SHARE * (rate + burst)).max(MIN_UNREPORTED)
    }

    /// Whether far more requests arrive than the last report shows, from which the part in force was derived.
    fn outgrows_part(&self, now: Moment) -> bool {
        let elapsed = now.saturating_sub(self.reported_sent.0).as_secs_f64();
        let expected = self.reported_offered * elapsed * OFFERED_GROWTH;
        self.unreported_offered > expected + MIN_UNREPORTED
    }

    fn sent_slowly_or_offered(&self, now: Moment) -> f64 {
        let sent = self.sent_slowly.get(now, RESERVED_AVERAGING);
        sent.max(self.offered.get(now, AVERAGING))
    }

    /// Admits this part of the requests, as far as the allotment allows them to one gateway.
    fn admit_part(&mut self, now: Moment, ratio: f64) -> Admission {
        if let Some(wait) = self.bucket.wait(now, &self.allotment) {
            return Admission::Refused {
                retry_after: wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
            };
        }
        self.credit = (self.credit + ratio).min(2.0);
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return Admission::Admitted;
        }
        let per_s = ratio * self.offered.get(now, AVERAGING);
        // Without any credit to come the balance has to recover first.
        let wait = match per_s > 0.0 {
            true => Duration::try_from_secs_f64((1.0 - self.credit) / per_s),
            false => Ok(RETRY_AFTER_RANGE.1),
        };
        let wait = wait.unwrap_or(RETRY_AFTER_RANGE.1);
        Admission::Refused {
            retry_after: wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
        }
    }

    /// Whether a further attempt may be sent; of a workspace near its rate only for credit.
    fn admit_further(&mut self, now: Moment, is_near: bool) -> bool {
        if self.bucket.wait(now, &self.allotment).is_some() {
            return false;
        }
        if !is_near {
            return true;
        }
        let is_admitted = self.retry_credit >= 1.0;
        if is_admitted {
            self.retry_credit -= 1.0;
        }
        is_admitted
    }

    /// Admits requests at the reserved rate, once the workspace has made up for its debt. `first`
    /// may be sent at once in addition.
    fn admit_reserved(&mut self, now: Moment, first: f64, debt: Duration) -> Admission {
        let rate = self.reserved.min(self.allotment.rate);
        let initial = match debt.as_secs_f64() {
            0.0 => rate + first,
            debt => -rate * debt,
        };
        let (at, tokens) = self.alone.unwrap_or((now, initial));
        let limit = (rate * RESERVED_BURST.as_secs_f64()).max(1.0);
        let tokens = (tokens + rate * now.saturating_sub(at).as_secs_f64()).min(limit.max(tokens));
        let is_admitted = tokens >= 1.0;
        self.alone = Some((now, tokens - if is_admitted { 1.0 } else { 0.0 }));
        if is_admitted {
            Admission::Admitted
        } else {
            Admission::Refused {
                retry_after: RETRY_AFTER_ALONE,
            }
        }
    }
}
