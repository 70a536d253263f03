//! Placement of one request.
//!
//! Own endpoints come first, since their load is counted exactly. The load of other entries
//! is taken from their reports plus the requests sent to them since; `cost` compares them.

use std::time::Duration;

use filberthead_table::Objective;
use filberthead_types::{Moment, NodeName, ResultCode, ServiceName};
use rand::Rng;

use crate::cost::Target;
use crate::policy::{Class, Location, MAX_REST_TOLD, Policy, Running};
use crate::{Decision, RequestInfo};

const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Policy {
    pub(crate) fn decide(&mut self, now: Moment, req: &RequestInfo) -> Decision {
        if self.regions.has_table() && !self.regions.has_service(&req.service) {
            return refuse(ResultCode::UnknownService, RETRY_AFTER);
        }
        if req.deadline <= now {
            return refuse(ResultCode::DeadlineBeforeRun, Duration::ZERO);
        }
        let class = self.class(req);
        let objective = self.regions.objective(&req.service, &self.cfg.region);
        if objective == Objective::Latency
            && let Some(decision) = self.place_locally(now, req, class)
        {
            return decision;
        }
        let random_unit = self.rng.random();
        match self.select_target(now, req, class, objective, random_unit) {
            Target::Local => self
                .place_locally(now, req, class)
                .unwrap_or_else(|| self.enqueue(req, class)),
            Target::Entry(name) => self.forward(now, req, name),
            Target::Unavailable if class == Class::Shifted && self.may_queue_shifted(now, req) => {
                self.enqueue(req, class)
            }
            Target::Unavailable => self.refuse_locally(now, req, class),
        }
    }

    /// Places the request at an own endpoint, if one has a free slot and the row's limits
    /// allow it.
    pub(crate) fn place_locally(
        &mut self,
        now: Moment,
        req: &RequestInfo,
        class: Class,
    ) -> Option<Decision> {
        let may_admit = self.ownership.in_force(now) || self.is_isolated(now);
        if !may_admit || !self.admits(now, &req.service, class) {
            return None;
        }
        let pool = self.pools.get_mut(&req.service)?;
        let index = pool.pick(now, &self.cfg, &req.tried, &mut self.rng)?;
        let shifted = class == Class::Shifted;
        pool.start(now, index, shifted);
        let info = std::sync::Arc::clone(&pool.endpoints[index].info);
        if shifted && let Some(window) = self.windows.get_mut(&req.service) {
            window.record_start(now, pool.shifted_running);
        }
        self.running.insert(
            req.id,
            Running {
                service: req.service.clone(),
                location: Location::Endpoint(info.name.clone()),
                started_at: now,
                shifted,
            },
        );
        Some(Decision::Endpoint(info))
    }

    /// Whether the row's limits allow one more request at the own endpoints.
    fn admits(&self, now: Moment, service: &ServiceName, class: Class) -> bool {
        let pool = self.pools.get(service);
        let running = pool.map_or(0, |pool| pool.in_progress(now));
        let within_limit = running < self.limit_share(now, service);
        within_limit && (class == Class::Home || self.shift_room(now, service) > 0)
    }

    /// Whether a row limits the service, by the grants and tables that this process has
    /// received. Otherwise, as after a restart without control, only slots are the limit.
    fn is_limited(&self, service: &ServiceName) -> bool {
        self.shares.has_part(service) || self.regions.has_service(service)
    }

    /// This entry's part of the row's limit; `u32::MAX` if nothing limits the service.
    pub(crate) fn limit_share(&self, now: Moment, service: &ServiceName) -> u32 {
        if self.cfg.leased && self.is_limited(service) {
            self.shares.limit(now, service)
        } else {
            u32::MAX
        }
    }

    /// This entry's part of the row's shift cap, or without leases the whole cap; `u32::MAX`
    /// if nothing limits the service.
    pub(crate) fn shift_share(&self, now: Moment, service: &ServiceName) -> u32 {
        if self.cfg.leased && self.is_limited(service) {
            return self.shares.shift(now, service);
        }
        let values = self.regions.values(service, &self.cfg.region);
        values.map_or(u32::MAX, |values| values.shift_cap)
    }

    /// How many more shifted requests may start now.
    pub(crate) fn shift_room(&self, now: Moment, service: &ServiceName) -> u32 {
        let running = self
            .pools
            .get(service)
            .map_or(0, |pool| pool.shifted_running);
        let window = self.windows.get(service).map_or(1, |window| window.size());
        window
            .min(self.shift_share(now, service))
            .saturating_sub(running)
    }

    /// Slots of usable endpoints that this entry may fill, within its part of the row's limit;
    /// 0 during a planned stop.
    pub(crate) fn capacity(&self, now: Moment, service: &ServiceName) -> u32 {
        let slots = self
            .pools
            .get(service)
            .map_or(0, |pool| pool.capacity(now, &self.cfg));
        if self.stopping {
            return 0;
        }
        slots.min(self.limit_share(now, service))
    }

    /// Whether a shifted request without another target may wait for room in the shift
    /// window, which clears about once per hold time and grows. This happens when the
    /// caller's home region has failed.
    fn may_queue_shifted(&self, now: Moment, req: &RequestInfo) -> bool {
        let (Some(pool), Some(window)) =
            (self.pools.get(&req.service), self.windows.get(&req.service))
        else {
            return false;
        };
        let window = window.size().min(self.shift_share(now, &req.service));
        if window == 0 || self.capacity(now, &req.service) == 0 {
            return false;
        }
        let rounds = (pool.shifted_queue.len() + 1) as f64 / f64::from(window);
        let remaining = req.deadline.saturating_sub(now).as_secs_f64();
        pool.shifted_queue.len() < self.cfg.queue
            && rounds * pool.hold_time.seconds() < remaining / 4.0
    }

    fn enqueue(&mut self, req: &RequestInfo, class: Class) -> Decision {
        let Some(pool) = self.pools.get_mut(&req.service) else {
            return refuse(ResultCode::NoEndpoint, RETRY_AFTER);
        };
        match class {
            Class::Home => pool.home_queue.push(req.clone()),
            Class::Shifted => pool.shifted_queue.push(req.clone()),
        }
        Decision::Queued
    }

    fn forward(&mut self, now: Moment, req: &RequestInfo, name: NodeName) -> Decision {
        let Some(addr) = self.peers.addr(&name) else {
            return refuse(ResultCode::NoEndpoint, RETRY_AFTER);
        };
        self.peers.record_sent(now, &name, &req.service);
        self.running.insert(
            req.id,
            Running {
                service: req.service.clone(),
                location: Location::Entry(name.clone()),
                started_at: now,
                shifted: false,
            },
        );
        Decision::Entry { name, addr }
    }

    fn refuse_locally(&mut self, now: Moment, req: &RequestInfo, class: Class) -> Decision {
        if let Some(window) = self.windows.get_mut(&req.service)
            && class == Class::Home
        {
            window.record_refusal();
        }
        let Some(pool) = self.pools.get(&req.service) else {
            return refuse(ResultCode::NoEndpoint, RETRY_AFTER);
        };
        if let Some(left) = pool.rest_left(now) {
            return refuse(ResultCode::Overloaded, left.min(MAX_REST_TOLD));
        }
        let retry_after = Duration::from_secs_f64(pool.wait_seconds(now, &self.cfg));
        let has_slots = pool.capacity(now, &self.cfg) > 0;
        if !has_slots && self.awaits_owner(now, &req.service) {
            return Decision::AwaitOwner;
        }
        let code = if !has_slots {
            ResultCode::NoEndpoint
        } else if !self.admits(now, &req.service, class) {
            ResultCode::LimitReached
        } else {
            ResultCode::Overloaded
        };
        refuse(code, retry_after)
    }
}

fn refuse(code: ResultCode, retry_after: Duration) -> Decision {
    Decision::Refuse { code, retry_after }
}
