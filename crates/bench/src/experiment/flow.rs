//! The course of a request: from the caller to an entry, perhaps a second entry, an
//! endpoint, and back.

use std::time::Duration;

use filberthead_steer::{Decision, Event, FinishKind, RequestInfo};
use filberthead_types::{NodeName, RequestId, ResultCode};
use rand::Rng;

use super::deployment::{DOMAINS_PER_REGION, REGIONS};
use super::endpoint::Arrival;
use super::metrics::RequestEnd;
use super::simulation::{Request, SimEvent, Simulation};

/// Time after which a connection attempt to a stopped entry or endpoint fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How often an entry places a request again whose endpoints change their owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a caller avoids an entry that it couldn't reach or that had no endpoint.
const AVOID_DURATION: Duration = Duration::from_secs(5);
/// Attempts for a request, over all entries.
const MAX_ATTEMPTS: u32 = 3;
/// Number of callers that send a surge's requests.
const SURGE_CALLERS: usize = 5;

impl Simulation {
    /// A caller sends a request; the service's next arrival is scheduled after a random
    /// interval.
    pub(crate) fn arrive(&mut self, service: usize) {
        let spec = &self.deployment.services[service];
        let caller_timeout = spec.caller_timeout;
        // Half of the service time is fixed, half is exponentially distributed.
        let tail = -self.arrivals.random::<f64>().max(1e-9).ln();
        let service_time = spec.service_time.mul_f64(0.5 + 0.5 * tail);
        let surge = if service == 0 { self.surge } else { 0.0 };
        let load = spec.load + surge;
        let rate = self.deployment.rate(service, load);
        let gap = -self.arrivals.random::<f64>().max(1e-9).ln() / rate;
        let is_surge = self.arrivals.random::<f64>() < surge / load;
        let drawn = self.arrivals.random_range(0..self.callers.len());
        let caller = if is_surge {
            drawn % SURGE_CALLERS
        } else {
            drawn
        };
        let entries = self.lookup(caller, service);
        let req = self.requests.len();
        self.requests.push(Request {
            service,
            caller,
            created: self.now,
            service_time,
            entries,
            tried: Vec::new(),
            attempts: 0,
            counted_by: Vec::new(),
            endpoint: None,
            sent: self.now,
            finished: false,
        });
        self.after(caller_timeout, SimEvent::Deadline { req });
        self.try_next_entry(req);
        self.after(Duration::from_secs_f64(gap), SimEvent::Arrival { service });
    }

    /// Entries for the service, from the caller's cached look-up or a new one; the first to
    /// try comes last. Empty if no entry answers look-ups.
    fn lookup(&mut self, caller: usize, service: usize) -> Vec<usize> {
        let cached = self.callers[caller].cached_lookups.get(&service);
        if let Some((entries, until)) = cached
            && *until > self.now
        {
            return entries.clone();
        }
        let count = self.entries.len();
        let answering = (0..count)
            .map(|offset| (caller + offset) % count)
            .find(|&entry| self.can_answer_lookup(caller, entry));
        let Some(answering) = answering else {
            return Vec::new();
        };
        let name = self.deployment.services[service].name;
        let name = name.parse().unwrap_or_else(|e| unreachable!("{e}"));
        let addr = self.callers[caller].addr;
        let names = self.entries[answering]
            .policy
            .look_up(self.now, &name, Some(addr));
        let mut entries: Vec<_> = names.iter().map(|name| self.entry_by_name[name]).collect();
        if service == 0 && self.callers[caller].home.is_none() {
            let home = entries.first().map(|&entry| self.region_of(entry));
            self.callers[caller].home = home;
        }
        entries.reverse();
        // The first look-ups expire at different times, as if callers had been running for
        // long.
        let first = !self.callers[caller].cached_lookups.contains_key(&service);
        let part = if first {
            f64::from((caller as u32 * 37) % 100) / 100.0
        } else {
            1.0
        };
        let until = self.now + self.scenario.lookup_ttl.mul_f64(part);
        let cached_lookups = &mut self.callers[caller].cached_lookups;
        cached_lookups.insert(service, (entries.clone(), until));
        entries
    }

    fn can_answer_lookup(&self, caller: usize, entry: usize) -> bool {
        let avoided_until = self.callers[caller].avoided_until.get(&entry);
        let is_avoided = avoided_until.is_some_and(|until| *until > self.now);
        let candidate = &self.entries[entry];
        candidate.up && !candidate.info.leaving && !is_avoided
    }

    fn region_of(&self, entry: usize) -> usize {
        self.entries[entry].domain / DOMAINS_PER_REGION
    }

    fn try_next_entry(&mut self, req: usize) {
        let caller = self.requests[req].caller;
        while let Some(entry) = self.requests[req].entries.pop() {
            let avoided_until = self.callers[caller].avoided_until.get(&entry);
            if avoided_until.is_some_and(|until| *until > self.now) {
                continue;
            }
            let delay = self.deployment.caller_delay;
            self.after(
                delay,
                SimEvent::AtEntry {
                    req,
                    entry,
                    via: None,
                },
            );
            return;
        }
        // No entry of the look-up is left: the next request makes a new look-up.
        let service = self.requests[req].service;
        self.callers[caller].cached_lookups.remove(&service);
        self.finish(req, RequestEnd::Refused);
    }

    pub(crate) fn at_entry(&mut self, req: usize, entry: usize, via: Option<usize>) {
        if self.requests[req].finished {
            return;
        }
        if let Some(origin) = via
            && !self.are_connected(origin, entry)
        {
            let kind = FinishKind::ConnectFailed;
            self.requests[req]
                .tried
                .push(self.entries[entry].info.name.clone());
            self.after(
                CONNECT_TIMEOUT,
                SimEvent::AttemptEnded {
                    req,
                    entry: origin,
                    kind,
                },
            );
            return;
        }
        if !self.entries[entry].up {
            self.avoid(req, entry);
            // The caller loses the time until its connection attempt fails.
            self.after(
                CONNECT_TIMEOUT,
                SimEvent::AtCaller {
                    req,
                    end: RequestEnd::Lost,
                },
            );
            return;
        }
        self.place(req, entry, via);
    }

    fn avoid(&mut self, req: usize, entry: usize) {
        let caller = self.requests[req].caller;
        let until = self.now + AVOID_DURATION;
        self.callers[caller].avoided_until.insert(entry, until);
    }

    fn place(&mut self, req: usize, entry: usize, via: Option<usize>) {
        let info = self.info(req, via);
        if !self.requests[req].counted_by.contains(&entry) {
            self.requests[req].counted_by.push(entry);
        }
        let decision = self.entries[entry].policy.place(self.now, &info);
        if matches!(decision, Decision::AwaitOwner) {
            self.after(OWNER_POLL_INTERVAL, SimEvent::AtEntry { req, entry, via });
            return;
        }
        self.apply_decision(req, entry, decision);
    }

    fn info(&self, req: usize, via: Option<usize>) -> RequestInfo {
        let request = &self.requests[req];
        let spec = &self.deployment.services[request.service];
        RequestInfo {
            id: RequestId(req as u128),
            service: spec.name.parse().unwrap_or_else(|e| unreachable!("{e}")),
            idempotent: true,
            deadline: request.created + spec.caller_timeout,
            caller: Some(self.callers[request.caller].addr),
            tried: request.tried.clone(),
            forwarded_by: via.map(|via| self.entries[via].info.name.clone()),
        }
    }

    pub(crate) fn apply_decision(&mut self, req: usize, entry: usize, decision: Decision) {
        match decision {
            Decision::Endpoint(info) => {
                self.requests[req].sent = self.now;
                let endpoint = self.endpoint_by_name[&info.name];
                let delay = self.delay(self.entries[entry].domain, self.endpoints[endpoint].domain);
                self.after(
                    delay,
                    SimEvent::AtEndpoint {
                        req,
                        endpoint,
                        entry,
                    },
                );
            }
            Decision::Entry { name, .. } => {
                let to = self.entry_by_name[&name];
                let delay = self.delay(self.entries[entry].domain, self.entries[to].domain);
                let via = Some(entry);
                self.after(
                    delay,
                    SimEvent::AtEntry {
                        req,
                        entry: to,
                        via,
                    },
                );
            }
            Decision::Queued => {}
            // `place` schedules it again; a queued request never gets this decision.
            Decision::AwaitOwner => {}
            Decision::Refuse {
                code: ResultCode::NoEndpoint,
                ..
            } => self.answered(req, entry, RequestEnd::NoEndpoint),
            Decision::Refuse { .. } => self.answered(req, entry, RequestEnd::Refused),
        }
    }

    pub(crate) fn at_endpoint(&mut self, req: usize, endpoint: usize, entry: usize) {
        if self.requests[req].finished {
            return;
        }
        let target = &mut self.endpoints[endpoint];
        let leaving = target.leaving;
        let delay = self.delay(self.entries[entry].domain, self.endpoints[endpoint].domain);
        match self.endpoints[endpoint].arrive(req) {
            Arrival::Started => self.start(req, endpoint),
            Arrival::Queued => self.figures.overfilled += 1,
            Arrival::Shed => {
                self.figures.overfilled += u64::from(!self.endpoints[endpoint].shedding);
                let kind = FinishKind::Shed;
                self.endpoint_rejected(req, endpoint, entry, delay, kind);
                return;
            }
            Arrival::Unreachable => {
                let kind = FinishKind::ConnectFailed;
                self.endpoint_rejected(req, endpoint, entry, CONNECT_TIMEOUT, kind);
                return;
            }
        }
        if leaving {
            self.figures.record_start_on_leaving(self.now);
        }
        self.requests[req].endpoint = Some(endpoint);
        self.record_request_count(endpoint);
        self.check_shift(req);
    }

    /// Returns an attempt that the endpoint has refused, or that couldn't connect, to its
    /// entry.
    fn endpoint_rejected(
        &mut self,
        req: usize,
        endpoint: usize,
        entry: usize,
        delay: Duration,
        kind: FinishKind,
    ) {
        let name = self.endpoints[endpoint].info.name.clone();
        self.requests[req].tried.push(name);
        self.after(delay, SimEvent::AttemptEnded { req, entry, kind });
    }

    fn start(&mut self, req: usize, endpoint: usize) {
        let service_time = self.requests[req].service_time;
        let service_time = self.endpoints[endpoint].service_time(service_time);
        self.after(service_time, SimEvent::Completed { req, endpoint });
    }

    /// Records by how much the requests of the first service that run or wait in this
    /// request's region, but whose callers have another home region, exceed the row's shift
    /// cap.
    fn check_shift(&mut self, req: usize) {
        let Some(endpoint) = self.requests[req].endpoint else {
            return;
        };
        if self.requests[req].service != 0 || !self.kind.has_home_regions() {
            return;
        }
        let region = self.endpoints[endpoint].domain / DOMAINS_PER_REGION;
        let here = self
            .endpoints
            .iter()
            .filter(|e| e.service == 0 && e.domain / DOMAINS_PER_REGION == region);
        let shifted = here
            .flat_map(|e| e.running.iter().chain(&e.backlog))
            .filter(|&&running| {
                let home = self.callers[self.requests[running].caller].home;
                home.is_some_and(|home| home != region && home < REGIONS)
            })
            .count();
        let cap = self.deployment.row(0, region).shift_cap;
        self.figures.record_shifted(shifted as u32, cap);
    }

    pub(crate) fn completed(&mut self, req: usize, endpoint: usize) {
        if !self.endpoints[endpoint].running.contains(&req) {
            return;
        }
        self.release_slot(req, endpoint);
        let Some(&entry) = self.requests[req].counted_by.last() else {
            return;
        };
        let delay = self.delay(self.entries[entry].domain, self.endpoints[endpoint].domain);
        let kind = FinishKind::Answered;
        self.after(delay, SimEvent::AttemptEnded { req, entry, kind });
    }

    fn release_slot(&mut self, req: usize, endpoint: usize) {
        if let Some(next) = self.endpoints[endpoint].remove(req) {
            self.start(next, endpoint);
        }
        if self.endpoints[endpoint].leaving {
            self.figures.record_end_on_leaving(self.now);
        }
        self.requests[req].endpoint = None;
        self.record_request_count(endpoint);
    }

    /// The result of an attempt arrives at the entry that made it.
    pub(crate) fn attempt_ended(&mut self, req: usize, entry: usize, kind: FinishKind) {
        if self.requests[req].finished {
            return;
        }
        self.report_finished(req, entry, kind);
        if !self.entries[entry].up {
            return;
        }
        if kind == FinishKind::Answered {
            self.answered(req, entry, RequestEnd::Answered);
            return;
        }
        self.try_again(req, entry);
    }

    fn try_again(&mut self, req: usize, entry: usize) {
        self.requests[req].attempts += 1;
        if self.requests[req].attempts >= MAX_ATTEMPTS {
            self.answered(req, entry, RequestEnd::Refused);
            return;
        }
        let first = self.requests[req].counted_by.first().copied();
        let via = first.filter(|&first| first != entry);
        self.place(req, entry, via);
    }

    fn report_finished(&mut self, req: usize, entry: usize, kind: FinishKind) {
        let first_byte = self.now.saturating_sub(self.requests[req].sent);
        let id = RequestId(req as u128);
        self.observe(
            entry,
            Event::Finished {
                id,
                kind,
                first_byte,
            },
        );
    }

    /// An entry has a final result and returns it to the entry that forwarded the request,
    /// or to the caller.
    fn answered(&mut self, req: usize, entry: usize, end: RequestEnd) {
        let counted_by = &mut self.requests[req].counted_by;
        counted_by.retain(|&counting| counting != entry);
        match counted_by.first().copied() {
            Some(origin) => {
                let delay = self.delay(self.entries[entry].domain, self.entries[origin].domain);
                if end != RequestEnd::Answered {
                    let name = self.entries[entry].info.name.clone();
                    self.requests[req].tried.push(name);
                }
                self.after(delay, SimEvent::ForwardEnded { req, origin, end });
            }
            None => {
                let delay = self.deployment.caller_delay;
                if end == RequestEnd::NoEndpoint {
                    self.avoid(req, entry);
                }
                self.after(delay, SimEvent::AtCaller { req, end });
            }
        }
    }

    /// The result of a forwarded request arrives at the entry that forwarded it.
    pub(crate) fn forward_ended(&mut self, req: usize, origin: usize, end: RequestEnd) {
        if self.requests[req].finished || !self.entries[origin].up {
            return;
        }
        match end {
            RequestEnd::Answered => {
                self.report_finished(req, origin, FinishKind::Answered);
                self.answered(req, origin, end);
            }
            RequestEnd::Refused | RequestEnd::Lost | RequestEnd::NoEndpoint => {
                self.report_finished(req, origin, FinishKind::Shed);
                self.try_again(req, origin);
            }
        }
    }

    /// A result arrives at the caller, which tries its next entry if this one was down or
    /// had no endpoint.
    pub(crate) fn at_caller(&mut self, req: usize, end: RequestEnd) {
        if self.requests[req].finished {
            return;
        }
        if matches!(end, RequestEnd::Lost | RequestEnd::NoEndpoint) {
            self.try_next_entry(req);
            return;
        }
        self.finish(req, end);
    }

    /// The caller's timeout has expired: it cancels the request, which frees its slot and
    /// counts.
    pub(crate) fn deadline(&mut self, req: usize) {
        if self.requests[req].finished {
            return;
        }
        self.finish(req, RequestEnd::Lost);
        if let Some(endpoint) = self.requests[req].endpoint {
            self.release_slot(req, endpoint);
        }
        for entry in std::mem::take(&mut self.requests[req].counted_by) {
            self.report_finished(req, entry, FinishKind::Cancelled);
        }
    }

    fn finish(&mut self, req: usize, end: RequestEnd) {
        self.requests[req].finished = true;
        let request = &self.requests[req];
        let caller_timeout = self.deployment.services[request.service].caller_timeout;
        let (service, created) = (request.service, request.created);
        self.figures
            .record_end(service, created, self.now, end, caller_timeout);
    }

    /// Names of the endpoints for whose index the predicate holds.
    pub(crate) fn endpoint_names(&self, f: impl Fn(usize) -> bool) -> Vec<NodeName> {
        let chosen = (0..self.endpoints.len()).filter(|&index| f(index));
        chosen
            .map(|index| self.endpoints[index].info.name.clone())
            .collect()
    }
}
