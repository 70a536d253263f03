//! The budget for retries.
//!
//! When an endpoint or a whole service is failing, retrying each failure can be what keeps it
//! overloaded. The limit holds for the sum over all gateways: each spends only in proportion
//! to its own requests, plus its part of the floor (see [`LimitShare`](crate::LimitShare)). A
//! gateway that is cut off from control has no part of the floor, and one that has just started
//! doesn't have it until what its predecessor spent is out of the window.
//!
//! What is limited are arrivals at endpoints, and when a retry arrives is known only afterwards. So a
//! retry counts from the moment at which it is granted until a window has passed since it is known to
//! have arrived: by a response, or by the end of the connection on the endpoint's side. One that the
//! gateway gave up on without either may still be in the buffers of a suspended endpoint. It
//! counts until that start of the endpoint has answered something that was sent later, or is gone. One
//! that was relayed through another gateway counts here until that gateway has answered something that
//! was sent later, and at that gateway while the endpoint may still read it.
//!
//! So what was granted counts unless it is known that nothing of it was sent.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{Incarnation, Moment, ServiceName};

use crate::EndpointId;

/// Slices that the window is divided into.
const SLICES: u64 = 20;
/// Slices of the shortest part of the window that the ratio holds for. Callers may move to other
/// gateways, whose windows then have their requests too. So a gateway may not spend at once what its
/// requests of the whole window allow.
const MIN_SLICES: u64 = 3;
/// Share of the ratio and the floor that is spent: within [`MIN_SLICES`], first attempts of callers
/// that move from one gateway to another count at both.
const SAFETY_FACTOR: f64 = 0.9;
/// Time that an endpoint may take to read everything that it has received, once it answers again.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Time after which a retry without a response is taken to be lost. An endpoint that is silent for
/// longer is taken off the list.
const LOST_AFTER: Duration = Duration::from_secs(60);

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
    /// Retries that ended without a response and may still arrive.
    pub unanswered: u32,
    /// Number of gateways that the floor was divided by; `None` if this gateway has no part of it.
    pub gateways: Option<u32>,
}

impl BudgetUsage {
    fn left(&self) -> f64 {
        self.allowed - f64::from(self.retries)
    }
}

/// A retry that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryId(u64);

/// Where an attempt without an answer may still be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// This start of an endpoint may still read it.
    Endpoint(EndpointId, Option<Incarnation>),
    /// The gateway at this address may still read it, to which it was relayed at this moment. Once that
    /// gateway has read it, it counts what it sends to endpoints.
    Gateway(SocketAddr, Moment),
    /// Nobody who can be asked knows; only time settles it.
    Unknown,
}

/// How a retry ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryEnd {
    /// No byte of it was sent.
    NotSent,
    /// It has arrived, or never will: there was a response, or the endpoint closed the connection.
    Settled,
    /// The gateway gave up on it.
    Unanswered(Holder),
}

/// The decision about a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryDecision {
    /// It is spent and may be sent. Its end has to be reported.
    Granted(RetryId, BudgetUsage),
    /// The budget has none left.
    Refused(BudgetUsage),
}

impl RetryDecision {
    /// Whether the retry may be sent.
    pub fn is_granted(&self) -> bool {
        matches!(self, Self::Granted(..))
    }
}

/// Attempts in one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the slice since time zero.
    number: u64,
    first: u32,
    granted: u32,
}

/// An attempt that ended without an answer and may still arrive.
#[derive(Clone, Debug)]
struct Unanswered {
    since: Moment,
    holder: Holder,
}

impl Unanswered {
    /// Whether it may have arrived within the window before `now`, or later.
    fn counts(&self, now: Moment, window: Duration) -> bool {
        now < self.since + LOST_AFTER + window
    }
}

/// A retry, and what is known of its arrival.
#[derive(Clone, Debug)]
struct Retry {
    granted_at: Moment,
    /// Whether it is being sent, or a response is awaited.
    is_pending: bool,
    /// Attempts of its request that may still arrive.
    unanswered: Vec<Unanswered>,
    /// By then all others had arrived, or never will.
    settled_at: Moment,
}

impl Retry {
    /// Whether it may have arrived within the window before `now`, or later.
    fn counts(&self, now: Moment, window: Duration) -> bool {
        let mut unanswered = self.unanswered.iter();
        self.is_pending
            || now < self.settled_at + window
            || unanswered.any(|attempt| attempt.counts(now, window))
    }

    fn is_unanswered(&self, now: Moment, window: Duration) -> bool {
        let mut unanswered = self.unanswered.iter();
        unanswered.any(|attempt| attempt.counts(now, window))
    }

    /// Settles the attempts that `has_arrived` is true for.
    fn settle(&mut self, at: Moment, has_arrived: impl Fn(&Unanswered) -> bool) {
        let before = self.unanswered.len();
        self.unanswered.retain(|attempt| !has_arrived(attempt));
        if self.unanswered.len() < before {
            self.settled_at = self.settled_at.max(at);
        }
    }
}

/// Attempts for one service.
#[derive(Clone, Debug, Default)]
struct ServiceAttempts {
    buckets: [Bucket; SLICES as usize],
    /// Retries that count against the whole window.
    retries: BTreeMap<RetryId, Retry>,
}

impl ServiceAttempts {
    fn bucket(&mut self, number: u64) -> &mut Bucket {
        let bucket = &mut self.buckets[(number % SLICES) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// First attempts, and retries granted, in the last slices up to `current`.
    fn counts(&self, current: u64, slices: u64) -> (u32, u32) {
        let recent = self.buckets.iter();
        let recent = recent.filter(|bucket| current.saturating_sub(bucket.number) < slices);
        recent.fold((0, 0), |(first, granted), bucket| {
            (first + bucket.first, granted + bucket.granted)
        })
    }

    /// Retries without a response that still count.
    fn unanswered(&self, now: Moment, window: Duration) -> u32 {
        let retries = self.retries.values();
        let unanswered = retries.filter(|retry| retry.is_unanswered(now, window));
        unanswered.count() as u32
    }
}

/// Counts first attempts and retries of each service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    services: HashMap<ServiceName, ServiceAttempts>,
    granted: u64,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            services: HashMap::new(),
            granted: 0,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first(&mut self, now: Moment, service: &ServiceName) {
        let number = self.bucket_number(now);
        self.attempts(service).bucket(number).first += 1;
    }

    /// Spends a retry if this gateway has one left. `gateways` is the number that the floor is
    /// divided by; `None` if this gateway has no part of it.
    pub fn try_spend(
        &mut self,
        now: Moment,
        service: &ServiceName,
        gateways: Option<u32>,
    ) -> RetryDecision {
        let (number, window) = (self.bucket_number(now), self.cfg.window);
        let attempts = self.attempts(service);
        attempts
            .retries
            .retain(|_, retry| retry.counts(now, window));
        let mut usage = self.usage(now, service, gateways);
        if usage.left() < 1.0 {
            return RetryDecision::Refused(usage);
        }
        self.granted += 1;
        let id = RetryId(self.granted);
        let attempts = self.attempts(service);
        attempts.bucket(number).granted += 1;
        let retry = Retry {
            granted_at: now,
            is_pending: true,
            unanswered: Vec::new(),
            settled_at: now,
        };
        attempts.retries.insert(id, retry);
        usage.retries += 1;
        RetryDecision::Granted(id, usage)
    }

    /// Records how a retry ended.
    pub fn record_end(&mut self, now: Moment, service: &ServiceName, id: RetryId, end: RetryEnd) {
        if end == RetryEnd::NotSent {
            self.refund(service, id);
            return;
        }
        if let Some(retry) = self.attempts(service).retries.get_mut(&id) {
            retry.is_pending = false;
            retry.settled_at = retry.settled_at.max(now);
            if let RetryEnd::Unanswered(holder) = end {
                let attempt = Unanswered { since: now, holder };
                retry.unanswered.push(attempt);
            }
        }
    }

    /// Records that an earlier attempt of the request that was granted this retry has ended without an
    /// answer. If it arrives later than the retry, it is the repeat.
    pub fn record_earlier(
        &mut self,
        now: Moment,
        service: &ServiceName,
        id: RetryId,
        holder: Holder,
    ) {
        let attempt = Unanswered { since: now, holder };
        // The retry may have arrived so long ago that it doesn't count any more.
        let retry = self.attempts(service).retries.entry(id).or_insert(Retry {
            granted_at: now,
            is_pending: false,
            unanswered: Vec::new(),
            settled_at: now,
        });
        retry.unanswered.push(attempt);
    }

    /// Counts a retry that was sent for another gateway, which has granted it, and ended without an answer.
    /// That gateway doesn't know that it may still arrive.
    pub fn record_foreign(&mut self, now: Moment, service: &ServiceName, holder: Holder) {
        self.granted += 1;
        let id = RetryId(self.granted);
        let retry = Retry {
            granted_at: now,
            is_pending: false,
            unanswered: vec![Unanswered { since: now, holder }],
            settled_at: now,
        };
        self.attempts(service).retries.insert(id, retry);
    }

    /// Records that a start of an endpoint has answered a request that was sent at `sent_at`: it has
    /// read what was sent to it before.
    pub fn record_answer(
        &mut self,
        now: Moment,
        service: &ServiceName,
        from: (&EndpointId, Option<Incarnation>),
        sent_at: Moment,
    ) {
        let Some(attempts) = self.services.get_mut(service) else {
            return;
        };
        let has_arrived = |attempt: &Unanswered| match &attempt.holder {
            Holder::Endpoint(id, incarnation) => {
                (id, *incarnation) == from && attempt.since <= sent_at
            }
            Holder::Gateway(..) | Holder::Unknown => false,
        };
        for retry in attempts.retries.values_mut() {
            retry.settle(now + CATCH_UP, has_arrived);
        }
    }

    /// Records that a gateway, whose process had started by `started_at`, has answered a request that was
    /// sent to it at `sent_at`: it has read what was sent to it before, and counts what it sent on.
    pub fn record_gateway_answer(
        &mut self,
        now: Moment,
        from: SocketAddr,
        started_at: Moment,
        sent_at: Moment,
    ) {
        let has_arrived = |attempt: &Unanswered| match attempt.holder {
            Holder::Gateway(addr, at) => {
                addr == from && attempt.since <= sent_at && started_at <= at
            }
            Holder::Endpoint(..) | Holder::Unknown => false,
        };
        let services = self.services.values_mut();
        for retry in services.flat_map(|attempts| attempts.retries.values_mut()) {
            retry.settle(now + CATCH_UP, has_arrived);
        }
    }

    /// Settles the retries without a response whose endpoint isn't known any more.
    pub fn settle_unknown(
        &mut self,
        now: Moment,
        is_known: impl Fn(&EndpointId, Option<Incarnation>) -> bool,
    ) {
        let is_gone = |attempt: &Unanswered| match &attempt.holder {
            Holder::Endpoint(id, incarnation) => !is_known(id, *incarnation),
            Holder::Gateway(..) | Holder::Unknown => false,
        };
        let services = self.services.values_mut();
        for retry in services.flat_map(|attempts| attempts.retries.values_mut()) {
            retry.settle(now, is_gone);
        }
    }

    /// Retries of all services that ended without a response and may still arrive.
    pub fn unanswered(&self, now: Moment) -> u32 {
        let services = self.services.values();
        let unanswered = services.map(|attempts| attempts.unanswered(now, self.cfg.window));
        unanswered.sum()
    }

    /// Takes back a retry that was not sent.
    fn refund(&mut self, service: &ServiceName, id: RetryId) {
        let Some(retry) = self.attempts(service).retries.remove(&id) else {
            return;
        };
        let number = self.bucket_number(retry.granted_at);
        let buckets = &mut self.attempts(service).buckets;
        let bucket = buckets.iter_mut().find(|bucket| bucket.number == number);
        if let Some(bucket) = bucket {
            bucket.granted = bucket.granted.saturating_sub(1);
        }
    }

    fn usage(&self, now: Moment, service: &ServiceName, gateways: Option<u32>) -> BudgetUsage {
        let floor = gateways.map_or(0.0, |gateways| self.cfg.floor / f64::from(gateways.max(1)));
        let current = self.bucket_number(now);
        let attempts = self.services.get(service);
        let counts = |slices| attempts.map_or((0, 0), |attempts| attempts.counts(current, slices));
        let unanswered = attempts.map_or(0, |a| a.unanswered(now, self.cfg.window));
        let within = |slices, retries, minimum| {
            let (first, _) = counts(slices);
            BudgetUsage {
                within: self.cfg.window.mul_f64(slices as f64 / SLICES as f64),
                first,
                retries,
                allowed: (SAFETY_FACTOR * (self.cfg.ratio * f64::from(first) + floor)).max(minimum),
                unanswered,
                gateways,
            }
        };
        let counted = attempts.map_or(0, |attempts| attempts.retries.len() as u32);
        let whole = within(SLICES, counted, 0.0);
        // With few requests, fractions of a retry add up over the whole window only.
        let parts = (MIN_SLICES..SLICES).map(|slices| within(slices, counts(slices).1, 1.0));
        parts.fold(whole, |least, part| match part.left() < least.left() {
            true => part,
            false => least,
        })
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

    fn attempts(&mut self, service: &ServiceName) -> &mut ServiceAttempts {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceAttempts::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}
