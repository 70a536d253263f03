//! The placer's part in keeping the rates that endpoints name.

use std::time::Duration;

use filberthead_types::Moment;

use crate::endpoint::TrackedEndpoint;
use crate::limit_share::RateShare;
use crate::{EndpointRef, LimitChange, NamedLimit, Placer, rank};

/// Gateways that share a rate until their number was reported.
pub(crate) const DEFAULT_GATEWAY_COUNT: u32 = 4;

/// What this gateway may send to an endpoint that names a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitPart {
    /// The endpoint names no rate.
    Unlimited,
    /// A part of its rate.
    Share(RateShare),
    /// Nothing: the gateways of its region have it all.
    Nothing,
}

impl Placer {
    /// Records what a response says of its endpoint's limit, and whether the request ran that was sent at
    /// `sent_at`. Returns a change.
    pub fn record_limit<'a>(
        &mut self,
        now: Moment,
        endpoint: impl Into<EndpointRef<'a>>,
        (sent_at, ran): (Moment, bool),
        limit: NamedLimit,
    ) -> Option<LimitChange> {
        let state = self.tracked_mut(endpoint)?;
        state.limit.record(now, sent_at, ran, limit)
    }

    /// Number of endpoints that name a limit.
    pub fn limited_endpoints(&self) -> usize {
        let limits = self.endpoints.iter().filter_map(|e| e.limit.per_s());
        limits.count()
    }

    /// This gateway's part of the rate that the endpoint names, in requests per second; `None` if it names
    /// none.
    pub fn limit_part<'a>(&self, now: Moment, endpoint: impl Into<EndpointRef<'a>>) -> Option<f64> {
        let endpoint = endpoint.into();
        let endpoint = self.endpoints.iter().find(|e| e.is_target(endpoint))?;
        match self.limit_part_of(now, endpoint) {
            LimitPart::Unlimited => None,
            LimitPart::Share(share) => Some(share.per_s()),
            LimitPart::Nothing => Some(0.0),
        }
    }

    /// Time until the endpoint's limit allows this gateway a request; zero if it does now, `None` if it
    /// never will.
    pub(crate) fn limit_wait(&self, now: Moment, e: &TrackedEndpoint) -> Option<Duration> {
        match self.limit_part_of(now, e) {
            LimitPart::Unlimited => Some(Duration::ZERO),
            LimitPart::Share(share) => Some(e.limit.next_at(now, share).saturating_sub(now)),
            LimitPart::Nothing => None,
        }
    }

    /// Whether the endpoint's limit allows this gateway a request now.
    pub(crate) fn named_limit_allows(&self, now: Moment, e: &TrackedEndpoint) -> bool {
        self.limit_wait(now, e) == Some(Duration::ZERO)
    }

    pub(crate) fn limit_part_of(&self, now: Moment, e: &TrackedEndpoint) -> LimitPart {
        let Some(per_s) = e.limit.per_s() else {
            return LimitPart::Unlimited;
        };
        let in_region = e.region.as_ref() == Some(&self.cfg.region);
        let gateways = match self.gateways_of(now, e.region.as_ref()) {
            Some(gateways) if in_region => gateways,
            Some(_) => return LimitPart::Nothing,
            None => self.gateway_count(now).max(DEFAULT_GATEWAY_COUNT),
        };
        let own = rank::hash_name(self.cfg.gateway.as_str().as_bytes());
        let phase = rank::unit_position(rank::score(own, &e.id));
        LimitPart::Share(RateShare::new(per_s, gateways, phase))
    }
}
