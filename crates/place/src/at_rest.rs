//! The placer's part in keeping what endpoints say: the rests that they ask for, and that they are leaving.

use std::time::Duration;

use filberthead_types::Moment;

use crate::contact::{ContactState, PROBE_PERIOD};
use crate::endpoint::TrackedEndpoint;
use crate::limit_parts::{DEFAULT_GATEWAY_COUNT, LimitPart};
use crate::{
    Affinity, EndpointId, EndpointRef, NamedRest, PassedOver, Placer, Request, RestChange,
};

/// Longest time that callers are told until an endpoint is back: rests may be longer than callers wait, and
/// than a header can say.
const MAX_TOLD: Duration = Duration::from_secs(60);

impl Placer {
    /// Records what the answer to a request that was sent at `sent_at` says of its endpoint's rest, and
    /// whether the request ran. Returns what it changes.
    pub fn record_rest<'a>(
        &mut self,
        now: Moment,
        endpoint: impl Into<EndpointRef<'a>>,
        (sent_at, ran): (Moment, bool),
        rest: NamedRest,
    ) -> RestChange {
        let endpoint = endpoint.into();
        let mut listed = self.endpoints.iter_mut();
        let state = match listed.find(|e| endpoint.is_start((&**e).into())) {
            Some(e) => &mut e.rest,
            None if !rest.is_asked_for() => return RestChange::Unchanged,
            None => &mut self.unlisted.start(endpoint).rest,
        };
        state.record(now, (sent_at, ran), rest)
    }

    /// Records that an endpoint has said that it is leaving: this start gets no further request, whatever
    /// the list says. Returns whether it wasn't known.
    pub fn record_leaving<'a>(&mut self, endpoint: impl Into<EndpointRef<'a>>) -> bool {
        let endpoint = endpoint.into();
        let mut listed = self.endpoints.iter_mut();
        let leaving = match listed.find(|e| endpoint.is_start((&**e).into())) {
            Some(e) => &mut e.leaving,
            None => &mut self.unlisted.start(endpoint).leaving,
        };
        !std::mem::replace(leaving, true)
    }

    /// Number of listed endpoints that have said that they are leaving.
    pub fn leaving_endpoints(&self) -> usize {
        let leaving = self.endpoints.iter().filter(|e| e.leaving);
        leaving.count()
    }

    /// Whether a request that was placed at this endpoint may still be sent.
    pub fn may_send<'a>(&self, now: Moment, endpoint: impl Into<EndpointRef<'a>>) -> bool {
        let endpoint = endpoint.into();
        let mut listed = self.endpoints.iter();
        match listed.find(|e| endpoint.is_start((*e).into())) {
            Some(e) => !e.leaving && !e.rest.is_resting(now),
            None => self.unlisted.allows(now, endpoint),
        }
    }

    /// Number of endpoints that are at rest.
    pub fn resting_endpoints(&self, now: Moment) -> usize {
        let resting = self.endpoints.iter().filter(|e| e.rest.is_resting(now));
        resting.count()
    }

    /// Time until the last endpoint at rest is back; zero if none is at rest.
    pub fn longest_rest(&self, now: Moment) -> Duration {
        let resting = self.endpoints.iter().filter(|e| e.rest.is_resting(now));
        resting.map(|e| e.rest.left(now)).max().unwrap_or_default()
    }

    /// Endpoints that aren't considered for this request because of what they have said.
    pub fn passed_over(&self, now: Moment, req: &Request<'_>) -> PassedOver {
        let is_silenced = |e: &&TrackedEndpoint| e.leaving || !e.rest_allows(now);
        let may_run = |e: &&TrackedEndpoint| {
            e.service == *req.service
                && !self.evacuated.contains(&e.domain)
                && req.homes.allow(e.region.as_ref())
        };
        let mut passed_over = PassedOver::default();
        for e in self.endpoints.iter().filter(is_silenced).filter(may_run) {
            if e.leaving {
                passed_over.leaving += 1;
            } else if e.rest.is_resting(now) {
                passed_over.resting += 1;
                let left = e.rest.left(now);
                let first = passed_over.first_back.get_or_insert(left);
                *first = left.min(*first);
            } else {
                passed_over.returning += 1;
            }
        }
        passed_over
    }

    /// Endpoints whose rest has ended since the last call.
    pub fn take_ended_rests(&mut self, now: Moment) -> Vec<EndpointId> {
        let ended = self.endpoints.iter_mut().filter_map(|e| {
            let has_ended = e.rest.take_end(now);
            has_ended.then(|| e.id.clone())
        });
        ended.collect()
    }

    /// Time until the first endpoint is back that may run the request, a minute at most; `None` unless some are
    /// at rest, and all others wait for contact or are cold. Those that it was sent to before count too,
    /// since its caller may repeat it.
    pub fn rest_left(&self, now: Moment, req: &Request<'_>) -> Option<Duration> {
        let mut all = self.endpoints.iter().filter(|e| self.runs(now, e, req));
        if all.clone().all(|e| e.rest_allows(now)) {
            return None;
        }
        let first = all.try_fold(Duration::MAX, |first, e| {
            Some(self.time_until_back(now, e)?.min(first))
        })?;
        Some(first.min(MAX_TOLD))
    }

    /// Books the return of a caller that is refused, and gives the time until then; `None` if
    /// [`rest_left`](Self::rest_left) is.
    ///
    /// The first caller returns with the first endpoint, and the others follow in the order in which they were
    /// refused, as many as the endpoints that are back can take from this gateway. Those that don't fit into
    /// the next minute are told a minute.
    pub fn book_return(&mut self, now: Moment, req: &Request<'_>) -> Option<Duration> {
        self.rest_left(now, req)?;
        let returns = self.endpoints.iter().enumerate().filter_map(|(index, e)| {
            let is_candidate = self.runs(now, e, req);
            let back_in = self.time_until_back(now, e).filter(|_| is_candidate)?;
            Some((index, now.saturating_add(back_in)))
        });
        let (index, back_at) = returns
            .min_by_key(|(index, back_at)| self.endpoints[*index].rest.next_return(*back_at))?;
        let response_time = self.response_times(req).expected(Affinity::Perhaps(0));
        let response_time = Duration::from_secs_f64(response_time);
        let interval = self.return_interval(now, &self.endpoints[index], back_at, response_time);
        let rest = &mut self.endpoints[index].rest;
        let told = rest.next_return(back_at).saturating_sub(now);
        if told > MAX_TOLD {
            return Some(MAX_TOLD);
        }
        rest.book_return(back_at, response_time, interval);
        Some(told)
    }

    /// Whether an endpoint may run the request, now or later.
    fn runs(&self, now: Moment, e: &TrackedEndpoint, req: &Request<'_>) -> bool {
        e.service == *req.service
            && e.accepts_requests()
            && !self.evacuated.contains(&e.domain)
            && req.homes.allow(e.region.as_ref())
            && self.limit_wait(now, e).is_some()
    }

    /// Time between two requests that an endpoint can take from this gateway once it is back.
    fn return_interval(
        &self,
        now: Moment,
        e: &TrackedEndpoint,
        back_at: Moment,
        response_time: Duration,
    ) -> Duration {
        let by_slots = response_time * self.gateways_sharing(now, e) / e.slots;
        let by_limit = match self.limit_part_of(now, e) {
            LimitPart::Share(share) => share.interval(),
            LimitPart::Unlimited | LimitPart::Nothing => Duration::ZERO,
        };
        let by_cold = match e.cold.is_cold(back_at) {
            true => self.cold_share(now, e).interval(),
            false => Duration::ZERO,
        };
        by_slots.max(by_limit).max(by_cold)
    }

    /// Gateways that send requests to an endpoint of this region, or of another one.
    fn gateways_sharing(&self, now: Moment, e: &TrackedEndpoint) -> u32 {
        let in_region = e.region.as_ref() == Some(&self.cfg.region);
        match self.gateways_of(now, e.region.as_ref()) {
            Some(gateways) if in_region => gateways,
            _ => self.gateway_count(now).max(DEFAULT_GATEWAY_COUNT),
        }
    }

    /// Time until an endpoint takes a request, as far as is known; `None` if it does now.
    fn time_until_back(&self, now: Moment, e: &TrackedEndpoint) -> Option<Duration> {
        let rest = (!e.rest_allows(now)).then(|| e.rest.left(now));
        let contact = (self.contact(&e.domain) == ContactState::Lost).then_some(PROBE_PERIOD);
        let cold = Some(self.cold_wait(now, e)).filter(|wait| !wait.is_zero());
        rest.max(contact).max(cold)
    }
}
