//! Where requests for popular objects go, under contention control.
//!
//! Hashing a few hundred objects onto dozens of endpoints loads them unevenly: with three to ten objects
//! each, the busiest gets more than twice the mean. And half of the requests cross failure domains. Here an
//! object has one endpoint in each failure domain of its region: the first of that domain in the object's
//! order. A gateway uses the one in its own domain, and the other one if that has clearly less load by what
//! the endpoints have reported over the last seconds. Gateways that judge differently do no harm, since the
//! object is cached at both.
//!
//! A second endpoint has to learn the object and takes memory there, so objects get it only where answers are
//! large enough for the saved bytes to pay for it, once most objects were asked for, gradually, and only while
//! endpoints have memory for all of them.
//!
//! An object whose own rate of work outgrows a part of an endpoint gets further ones (`rates`).

mod rates;

use std::time::Duration;

use filberthead_types::{FailureDomain, Moment, ServiceName};

use crate::endpoint::TrackedEndpoint;
use crate::{Placer, Request, rank};

pub(crate) use rates::ObjectRates;

/// Mean length in bytes of a service's answers from which objects get second endpoints. To learn an object
/// once more takes about as long as a request beyond its objective; with answers of a few hundred bytes that
/// costs callers more than the saved bytes are worth.
const MIN_ANSWER_BYTES: f64 = 2048.0;
/// Weight of a new answer in the mean length: about the last fifty count.
const ANSWER_WEIGHT: f64 = 0.02;
/// Time after the first request from which objects get second endpoints. All objects are learned at first,
/// which takes a region about two seconds of all its slots. A second time at once made 13 to 15 of 100 more
/// requests of the first five seconds late in replays of large regions.
const SETTLE: Duration = Duration::from_secs(8);
/// Time in which all objects get their second endpoints.
const RAMP: Duration = Duration::from_secs(6);
/// Objects for each endpoint of a failure domain up to which they get second endpoints there, and beyond
/// which they lose them. Endpoints remember a few dozen objects. The smallest known memory holds 19.
const OBJECTS_PER_ENDPOINT: (f64, f64) = (18.0, 20.0);
/// Share of requests for cached objects that turn out to be forgotten beyond which no object gets a second
/// endpoint: the endpoints remember fewer than assumed.
const MAX_FORGOTTEN: f64 = 0.15;
/// How much more load than the other endpoint the one in the own domain has before an object leaves it: at
/// least none, at most this part. Each object has its own threshold, so that not all leave at once.
const LOAD_MARGIN: f64 = 0.5;
/// Load, as a part of the mean, below which differences don't count.
const MIN_LOAD: f64 = 0.5;

/// The objects of one service, and how they are distributed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceObjects {
    pub(crate) rates: ObjectRates,
    /// Share of the objects that have an endpoint in each failure domain.
    near_share: f64,
    /// Moving average of the length of answers in bytes.
    answer_bytes: f64,
    /// Whether the last change that was told was to all objects.
    told_near: bool,
    /// Number of objects with more than one endpoint.
    replicated: usize,
    /// Mean load of this region's endpoints for each slot.
    mean_load: f64,
    updated_at: Moment,
}

impl ServiceObjects {
    /// Whether an object has an endpoint in each failure domain.
    fn is_near(&self, object: u64) -> bool {
        // Independent of the object's position in the plan.
        let position = rank::unit_position(rank::spread_sequence(object ^ 1));
        position < self.near_share
    }

    /// Whether an object has more than one endpoint.
    pub(crate) fn is_replicated(&self, object: u64) -> bool {
        self.rates.copies(object) > 1 || self.is_near(object)
    }
}

/// A change of how a service's objects are distributed.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectChange {
    /// The service.
    pub service: ServiceName,
    /// Whether all objects have an endpoint in each failure domain of the region now, or none has any more.
    pub in_each_domain: bool,
    /// Estimated number of the objects that callers of the region ask for.
    pub objects: Option<u64>,
}

impl Placer {
    /// Records a request for an object.
    pub(crate) fn record_object(&mut self, now: Moment, req: &Request<'_>, object: Option<u64>) {
        let Some(object) = object.filter(|_| self.contention_control() && !req.large) else {
            return;
        };
        let work = self.response_times(req).cached();
        if !self.objects.contains_key(req.service) {
            let objects = ServiceObjects::default();
            self.objects.insert(req.service.clone(), objects);
        }
        if let Some(objects) = self.objects.get_mut(req.service) {
            objects.rates.record(now, object, work);
        }
    }

    /// Records the length of an answer of a service.
    pub fn record_answer_bytes(&mut self, service: &ServiceName, bytes: usize) {
        if let Some(objects) = self.objects.get_mut(service) {
            objects.answer_bytes += ANSWER_WEIGHT * (bytes as f64 - objects.answer_bytes);
        }
    }

    /// Updates how the objects of all services are distributed.
    pub(crate) fn update_objects(&mut self, now: Moment) {
        if !self.contention_control() {
            return;
        }
        let mut all = std::mem::take(&mut self.objects);
        all.retain(|service, _| self.services.contains_key(service));
        for (service, objects) in &mut all {
            self.update_service_objects(now, service, objects);
        }
        self.objects = all;
    }

    fn update_service_objects(
        &self,
        now: Moment,
        service: &ServiceName,
        objects: &mut ServiceObjects,
    ) {
        let elapsed = now.saturating_sub(objects.updated_at);
        objects.updated_at = now;
        objects.rates.expire(now);
        let of_region = || self.region_endpoints(service);
        let loads = of_region().filter_map(TrackedEndpoint::mean_load);
        let (count, sum) = loads.fold((0, 0.0), |(count, sum), load| (count + 1, sum + load));
        objects.mean_load = sum / f64::from(count.max(1));
        let slots = of_region().map(|e| e.slots).max().unwrap_or(1);
        let first = self.first_request_at.unwrap_or(now);
        let pays = objects.answer_bytes >= MIN_ANSWER_BYTES;
        let is_near = pays && now >= first + SETTLE && self.has_memory(service, objects);
        let step = elapsed.as_secs_f64() / RAMP.as_secs_f64();
        let step = if is_near { step } else { -step };
        objects.near_share = (objects.near_share + step).clamp(0.0, 1.0);
        let near_share = objects.near_share;
        let gateways = match near_share > 0.5 {
            true => self.gateways.get(&self.cfg.domain).copied(),
            false => self.gateways_of(now, Some(&self.cfg.region)),
        };
        objects.rates.update_copies(now, slots, gateways);
        let all = objects.rates.objects();
        objects.replicated = all.filter(|object| objects.is_replicated(*object)).count();
    }

    /// Whether the endpoints of each failure domain of this region remember all objects.
    fn has_memory(&self, service: &ServiceName, objects: &ServiceObjects) -> bool {
        let Some(count) = objects.rates.estimated_count() else {
            return false;
        };
        let times = self.response_times.get(service);
        if times.is_none_or(|times| times.forgotten() > MAX_FORGOTTEN) {
            return false;
        }
        let domains = self.cfg.regions.iter();
        let domains = domains.filter(|(_, region)| **region == self.cfg.region);
        let in_domain = |domain: &FailureDomain| {
            let of_region = self.region_endpoints(service);
            of_region.filter(|e| e.domain == *domain).count()
        };
        let counts = domains.map(|(domain, _)| in_domain(domain));
        let counts: Vec<usize> = counts.filter(|count| *count > 0).collect();
        let smallest = counts.iter().min().copied().unwrap_or(0);
        let (gain, lose) = OBJECTS_PER_ENDPOINT;
        let limit = if objects.near_share > 0.0 { lose } else { gain };
        counts.len() > 1 && count <= limit * smallest as f64
    }

    /// The endpoints of a service in this region that accept requests.
    fn region_endpoints(&self, service: &ServiceName) -> impl Iterator<Item = &TrackedEndpoint> {
        let all = self.endpoints.iter().filter(move |e| e.service == *service);
        all.filter(|e| e.region.as_ref() == Some(&self.cfg.region) && e.accepts_requests())
    }

    /// Whether an object of a service prefers endpoints of this failure domain.
    pub(crate) fn prefers_own_domain(&self, service: &ServiceName, object: u64) -> bool {
        let objects = self.objects.get(service);
        objects.is_some_and(|objects| objects.is_near(object))
    }

    /// Puts the endpoints that an object is sent to first. `order` is the object's order of this region's
    /// endpoints, with the own domain's first if it prefers them.
    pub(crate) fn arrange(&self, service: &ServiceName, object: u64, order: &mut [usize]) {
        let Some(objects) = self.objects.get(service) else {
            return;
        };
        if objects.is_near(object) {
            self.arrange_near(objects, object, order);
        }
        let copies = objects.rates.copies(object).min(order.len());
        if copies > 1 {
            let turn = self.request_counter % copies as u64;
            order[..copies].rotate_left(turn as usize);
        }
    }

    fn arrange_near(&self, objects: &ServiceObjects, object: u64, order: &mut [usize]) {
        let is_own = |index: &usize| self.endpoints[*index].domain == self.cfg.domain;
        let Some(other) = order.iter().position(|index| !is_own(index)) else {
            return;
        };
        if other == 0 {
            return;
        }
        order[1..=other].rotate_right(1);
        let load = |index: usize| self.endpoints[index].mean_load().unwrap_or(0.0);
        let (own, there) = (load(order[0]), load(order[1]));
        let threshold = rank::unit_position(rank::spread_sequence(object ^ 2));
        let floor = MIN_LOAD * objects.mean_load;
        let is_busier = own > (1.0 + LOAD_MARGIN * threshold) * there.max(floor);
        if is_busier && own > objects.mean_load {
            order.swap(0, 1);
        }
    }

    /// Number of objects that this gateway sends to more than one endpoint, as of the last update of the plans.
    pub fn replicated_objects(&self) -> usize {
        self.objects
            .values()
            .map(|objects| objects.replicated)
            .sum()
    }

    /// Changes of how objects are distributed since the last call.
    pub fn take_object_changes(&mut self) -> Vec<ObjectChange> {
        let mut changes = Vec::new();
        for (service, objects) in &mut self.objects {
            let in_each_domain = match objects.near_share {
                share if share >= 1.0 => true,
                share if share <= 0.0 => false,
                _ => continue,
            };
            if std::mem::replace(&mut objects.told_near, in_each_domain) != in_each_domain {
                changes.push(ObjectChange {
                    service: service.clone(),
                    in_each_domain,
                    objects: objects.rates.estimated_count().map(|count| count as u64),
                });
            }
        }
        changes
    }
}
