//! The gateway side: admits requests of workspaces to services that are short of capacity.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{Moment, ServiceName, Workspace};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::messages::ratio_from_milli;
use super::{PRIORITIES, ServiceShares, ServiceWork, ShareMeter, class};
use crate::Admission;

/// Time after which the shares that a replica has sent expire: three report periods.
const SHARES_TTL: Duration = Duration::from_millis(1600);
/// Shortest and longest time after which a refused caller is asked to come back.
const RETRY_AFTER_RANGE: (f64, f64) = (0.25, 5.0);
/// How far times to come back are spread around their mean, as a part of it.
const RETRY_AFTER_SPREAD: f64 = 0.25;
/// Credit that a workspace may gather, in requests.
const MAX_CREDIT: f64 = 2.0;

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// The caller's workspace.
    pub workspace: &'a Workspace,
    /// 0 is the most urgent.
    pub priority: u8,
    /// How long an endpoint is expected to work on it.
    pub work: Duration,
}

/// The shares of one service that are in force.
#[derive(Clone, Debug)]
struct InForce {
    named: [HashMap<Workspace, f64>; PRIORITIES],
    others: [f64; PRIORITIES],
}

impl Default for InForce {
    fn default() -> Self {
        Self {
            named: Default::default(),
            others: [1.0; PRIORITIES],
        }
    }
}

/// Shares from one control replica.
#[derive(Clone, Debug)]
struct Received {
    at: Moment,
    shares: Vec<ServiceShares>,
}

/// Admits requests of workspaces at one gateway.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Differs between gateways, so that they don't all refuse the first request.
    seed: u64,
    meter: ShareMeter,
    received: HashMap<SocketAddr, Received>,
    /// The smallest share of each workspace among those that haven't expired.
    in_force: HashMap<ServiceName, InForce>,
    /// When the first of them expires; `None` without any.
    expires: Option<Moment>,
    refused: u64,
}

impl Shares {
    /// Admits by its own counts until control sends shares.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// What is measured at this gateway.
    pub fn meter(&mut self) -> &mut ShareMeter {
        &mut self.meter
    }

    /// Applies the shares that a control replica has sent.
    pub fn set(&mut self, now: Moment, from: SocketAddr, shares: Vec<ServiceShares>) {
        self.received.insert(from, Received { at: now, shares });
        self.combine(now);
    }

    /// Services whose capacity is divided by control's notices.
    pub fn divided(&mut self, now: Moment) -> impl Iterator<Item = &ServiceName> {
        self.expire(now);
        self.in_force.keys()
    }

    /// The workspaces that control names, with service and priority, and the part of their requests that is
    /// admitted.
    pub fn named(
        &mut self,
        now: Moment,
    ) -> impl Iterator<Item = (ServiceName, u8, Workspace, f64)> {
        self.expire(now);
        self.in_force.iter().flat_map(|(service, shares)| {
            let classes = shares.named.iter().enumerate();
            classes.flat_map(move |(class, named)| {
                named.iter().map(move |(workspace, ratio)| {
                    (service.clone(), class as u8, workspace.clone(), *ratio)
                })
            })
        })
    }

    /// The work at this gateway, for its report to control.
    pub fn report(&mut self, now: Moment) -> Vec<ServiceWork> {
        self.expire(now);
        let in_force = &self.in_force;
        self.meter.report(
            now,
            |service| in_force.contains_key(service),
            |service, class, workspace| {
                let in_force = in_force.get(service);
                in_force.is_some_and(|shares| shares.named[class].contains_key(workspace))
            },
        )
    }

    /// Decides about a request that has arrived, and counts what it asks for.
    pub fn admit(&mut self, now: Moment, offer: Offer<'_>) -> Admission {
        self.expire(now);
        let ratio = self.ratio(now, &offer);
        let Offer {
            service,
            workspace,
            priority,
            work,
        } = offer;
        self.meter.record(now, service, (workspace, priority), work);
        if ratio >= 1.0 {
            return Admission::Admitted;
        }
        let work = work.as_secs_f64();
        let seed = self.seed;
        let meter = self.meter.service(service).workspace(workspace, priority);
        let initial = || work * unit(seed, workspace.as_str().as_bytes());
        let credit = meter.credit.get_or_insert_with(initial);
        *credit = (*credit + ratio * work).min(MAX_CREDIT * work);
        if *credit >= work {
            *credit -= work;
            return Admission::Admitted;
        }
        self.refused += 1;
        let spread = unit(seed, &self.refused.to_le_bytes()) * 2.0 - 1.0;
        let (shortest, longest) = RETRY_AFTER_RANGE;
        // The time in which what is asked for now could be sent, less that in which it arrives.
        let wait = (1.0 / ratio.max(f64::MIN_POSITIVE) - 1.0).clamp(shortest, longest);
        Admission::Refused {
            retry_after: Duration::from_secs_f64(wait * (1.0 + RETRY_AFTER_SPREAD * spread)),
        }
    }

    /// The part of the workspace's requests that may be sent.
    fn ratio(&mut self, now: Moment, offer: &Offer<'_>) -> f64 {
        let class = class(offer.priority);
        let level = if self.expires.is_some() {
            let Some(shares) = self.in_force.get(offer.service) else {
                return 1.0;
            };
            if let Some(ratio) = shares.named[class].get(offer.workspace) {
                return *ratio;
            }
            let ratio = shares.others[class];
            if ratio >= 1.0 {
                return 1.0;
            }
            let named = &shares.named[class];
            let meter = self.meter.service(offer.service);
            meter.part_level(now, offer.priority, ratio, |name| named.contains_key(name))
        } else {
            self.meter
                .service(offer.service)
                .own_level(now, offer.priority)
        };
        if level == f64::INFINITY {
            return 1.0;
        }
        let service = self.meter.service(offer.service);
        let asked = service
            .workspace(offer.workspace, offer.priority)
            .local(now);
        if asked <= level { 1.0 } else { level / asked }
    }

    /// Drops shares that have expired.
    fn expire(&mut self, now: Moment) {
        if self.expires.is_some_and(|expires| now >= expires) {
            self.combine(now);
        }
    }

    /// Takes the smallest share of each workspace among those that haven't expired. A replica that is
    /// behind knows less of what is asked for, and names larger ones.
    fn combine(&mut self, now: Moment) {
        self.received
            .retain(|_, received| now < received.at + SHARES_TTL);
        let expiries = self
            .received
            .values()
            .map(|received| received.at + SHARES_TTL);
        self.expires = expiries.min();
        self.in_force.clear();
        let all = self.received.values().flat_map(|received| &received.shares);
        for shares in all {
            let in_force = self.in_force.entry(shares.service.clone()).or_default();
            for share in &shares.shares {
                let named = &mut in_force.named[class(share.priority)];
                let least = named.entry(share.workspace.clone()).or_insert(1.0);
                *least = least.min(share.ratio());
            }
            for other in &shares.others {
                let least = &mut in_force.others[class(other.priority)];
                *least = least.min(ratio_from_milli(other.ratio_milli));
            }
        }
    }
}

/// A number from 0 to 1.
fn unit(seed: u64, bytes: &[u8]) -> f64 {
    (xxh3_64_with_seed(bytes, seed) >> 11) as f64 / (1_u64 << 53) as f64
}
