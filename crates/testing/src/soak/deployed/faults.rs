//! The times of faults that excuse what a gateway sends to endpoints.

use std::time::{Duration, Instant};

use super::contact::EndpointCut;

/// Time after a cut from endpoints in which requests may still be relayed.
const CONTACT: Duration = Duration::from_secs(4);

/// A time in which a gateway was stopping, down or suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Downtime {
    /// Index of the gateway.
    pub gateway: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// The times of all faults of gateways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults<'a> {
    /// Those in which gateways didn't run as usual.
    pub down: &'a [Downtime],
    /// Cuts between gateways and endpoints.
    pub cuts: &'a [EndpointCut],
}

impl Faults<'_> {
    /// Whether a gateway ran undisturbed during all of this time. Faults of other processes, and of the links
    /// between processes, are no excuse for it.
    pub(super) fn is_calm(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let mut of_gateway = self.down.iter().filter(|down| down.gateway == gateway);
        of_gateway.all(|down| down.to < from || down.from > to)
    }

    /// Whether another gateway may have sent this one's requests to endpoints at this time.
    pub(super) fn may_relay(&self, gateway: usize, at: Instant) -> bool {
        let mut cuts = self
            .cuts
            .iter()
            .filter(|cut| cut.gateways.contains(&gateway));
        cuts.any(|cut| at >= cut.from && at < cut.to + CONTACT)
    }
}

/// Whether none of `times` overlaps this one.
pub(super) fn is_apart(times: &[(Instant, Instant)], from: Instant, to: Instant) -> bool {
    times.iter().all(|(begin, end)| *end < from || *begin > to)
}
