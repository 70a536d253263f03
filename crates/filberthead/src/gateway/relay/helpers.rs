//! The gateways that requests can be relayed through, and the choice of one.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filberthead_fleet::Helper;
use filberthead_place::Homes;
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

use crate::gateway::core::Identity;

/// How long a helper isn't asked again that couldn't be reached, or that has no endpoint for a service
/// either.
const AVOIDED_FOR: Duration = Duration::from_millis(500);
/// Cost of a helper in another failure domain of the region, and of one in another region: usual
/// round trips.
const REGION_COST: Duration = Duration::from_millis(3);
const REMOTE_COST: Duration = Duration::from_millis(70);
/// Cost of each request that is already on its way through a helper, so that the nearest one doesn't
/// get them all.
const REQUEST_COST: Duration = Duration::from_millis(6);

/// Time without any answer after which a helper with requests isn't asked: the link to it may be down.
const SILENCE_MAX: Duration = Duration::from_secs(1);

/// The requests on their way through a helper.
#[derive(Debug, Default)]
struct InFlight {
    count: Cell<u32>,
    /// When it last answered, or got a request while it had none.
    progress_at: Cell<Moment>,
}

impl InFlight {
    fn add(&self, now: Moment) {
        if self.count.get() == 0 {
            self.progress_at.set(now);
        }
        self.count.set(self.count.get() + 1);
    }

    /// When it has been silent for too long, if it stays so. Only for one with requests.
    fn stalls_at(&self) -> Moment {
        self.progress_at.get() + SILENCE_MAX
    }

    fn is_stalled(&self, now: Moment) -> bool {
        self.count.get() > 0 && now >= self.stalls_at()
    }
}

/// Watches a helper while a request is on its way through it.
#[derive(Clone, Debug)]
pub(crate) struct HelperWatch {
    in_flight: Rc<InFlight>,
    /// Time within which the request usually ends.
    usual: Duration,
}

impl HelperWatch {
    /// When the helper counts as silent with a request that was sent then, unless it answers any request
    /// before: not while the request usually runs.
    pub(crate) fn silent_at(&self, sent_at: Moment) -> Moment {
        self.in_flight.stalls_at().max(sent_at + self.usual)
    }
}

/// A helper and what is known of it.
#[derive(Debug)]
struct KnownHelper {
    helper: Helper,
    region: Option<Region>,
    in_flight: Rc<InFlight>,
    /// Until when it counts as unreachable.
    unreachable_until: Moment,
    /// Services that it has no endpoint for, and until when it isn't asked again.
    without: HashMap<ServiceName, Moment>,
}

/// A helper that was chosen for a request. It counts as in flight until this is dropped.
#[derive(Debug)]
pub(crate) struct ChosenHelper {
    /// Where it accepts relayed requests.
    pub(crate) addr: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: FailureDomain,
    in_flight: Rc<InFlight>,
}

impl ChosenHelper {
    /// Watches it while a request that usually takes this long is on its way. A request of which nothing is
    /// known is taken to last as long as a helper may be silent.
    pub(crate) fn watch(&self, usual: Option<Duration>) -> HelperWatch {
        HelperWatch {
            in_flight: Rc::clone(&self.in_flight),
            usual: usual.unwrap_or(SILENCE_MAX),
        }
    }

    /// Records that it has answered.
    pub(crate) fn record_answer(&self, now: Moment) {
        self.in_flight.progress_at.set(now);
    }
}

impl Drop for ChosenHelper {
    fn drop(&mut self) {
        let count = &self.in_flight.count;
        count.set(count.get().saturating_sub(1));
    }
}

/// The helpers that control has named.
#[derive(Debug)]
pub(crate) struct Helpers {
    /// Where this gateway runs.
    domain: FailureDomain,
    region: Region,
    regions: BTreeMap<FailureDomain, Region>,
    known: Vec<KnownHelper>,
}

impl Helpers {
    /// No helpers yet, for this gateway.
    pub(crate) fn new(gateway: &Identity, regions: BTreeMap<FailureDomain, Region>) -> Self {
        Self {
            domain: gateway.domain.clone(),
            region: gateway.region.clone(),
            regions,
            known: Vec::new(),
        }
    }

    /// Replaces the helpers. What is known of those that remain is kept.
    pub(crate) fn set(&mut self, list: Vec<Helper>) {
        let mut before = std::mem::take(&mut self.known);
        for helper in list {
            let position = before.iter().position(|known| known.helper == helper);
            let known = match position {
                Some(position) => before.swap_remove(position),
                None => KnownHelper {
                    region: self.regions.get(&helper.domain).cloned(),
                    helper,
                    in_flight: Rc::default(),
                    unreachable_until: Moment::ZERO,
                    without: HashMap::new(),
                },
            };
            self.known.push(known);
        }
    }

    /// The cheapest helper for a request for this service. One in a region that isn't among the
    /// request's homes mustn't receive it.
    pub(crate) fn choose(
        &self,
        now: Moment,
        service: &ServiceName,
        homes: Homes<'_>,
    ) -> Option<ChosenHelper> {
        let usable = self.known.iter().filter(|known| {
            let is_without = known.without.get(service).is_some_and(|until| now < *until);
            let is_reachable = now >= known.unreachable_until && !known.in_flight.is_stalled(now);
            is_reachable && !is_without && homes.allow(known.region.as_ref())
        });
        let chosen = usable.min_by_key(|known| self.cost(known))?;
        chosen.in_flight.add(now);
        Some(ChosenHelper {
            addr: chosen.helper.addr,
            domain: chosen.helper.domain.clone(),
            in_flight: Rc::clone(&chosen.in_flight),
        })
    }

    fn cost(&self, known: &KnownHelper) -> Duration {
        let distance = if known.helper.domain == self.domain {
            Duration::ZERO
        } else if known.region.as_ref() == Some(&self.region) {
            REGION_COST
        } else {
            REMOTE_COST
        };
        distance + REQUEST_COST * known.in_flight.count.get()
    }

    /// Records that a helper couldn't be reached.
    pub(crate) fn record_unreachable(&mut self, now: Moment, addr: SocketAddr) {
        if let Some(known) = self.known_mut(addr) {
            known.unreachable_until = now + AVOIDED_FOR;
        }
    }

    /// Records that a helper has no endpoint for a service.
    pub(crate) fn record_without(&mut self, now: Moment, addr: SocketAddr, service: &ServiceName) {
        if let Some(known) = self.known_mut(addr) {
            known.without.retain(|_, until| now < *until);
            known.without.insert(service.clone(), now + AVOIDED_FOR);
        }
    }

    fn known_mut(&mut self, addr: SocketAddr) -> Option<&mut KnownHelper> {
        self.known
            .iter_mut()
            .find(|known| known.helper.addr == addr)
    }
}

#[cfg(test)]
mod tests {
    use filberthead_types::ClusterId;

    use super::*;

    const NO_HOMES: Homes<'_> = Homes {
        route: &[],
        workspace: &[],
    };

    fn name<T: std::str::FromStr>(text: &str) -> T {
        text.parse().ok().expect("a valid name")
    }

    fn addr(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn helpers() -> Helpers {
        let regions = [("a-1", "a"), ("a-2", "a"), ("b-1", "b")];
        let regions = regions.into_iter().map(|(d, r)| (name(d), name(r)));
        let gateway = Identity {
            cluster: ClusterId(1),
            gateway: name("gateway-1"),
            domain: name("a-1"),
            region: name("a"),
        };
        let mut helpers = Helpers::new(&gateway, regions.collect());
        let list = [("b-1", 3), ("a-2", 2), ("a-1", 1)];
        let list = list.into_iter().map(|(domain, port)| Helper {
            domain: name(domain),
            addr: addr(port),
        });
        helpers.set(list.collect());
        helpers
    }

    fn choose(helpers: &Helpers, now_ms: u64, homes: Homes<'_>) -> Option<ChosenHelper> {
        helpers.choose(Duration::from_millis(now_ms), &name("orders"), homes)
    }

    #[test]
    fn the_nearest_helper_that_can_help_is_chosen() {
        let mut helpers = helpers();
        let port = |helpers: &Helpers, now| choose(helpers, now, NO_HOMES).map(|h| h.addr.port());
        assert_eq!(port(&helpers, 0), Some(1));
        helpers.record_unreachable(Duration::ZERO, addr(1));
        assert_eq!(port(&helpers, 0), Some(2));
        helpers.record_without(Duration::ZERO, addr(2), &name("orders"));
        assert_eq!(port(&helpers, 0), Some(3));
        assert_eq!(port(&helpers, 500), Some(1));
    }

    #[test]
    fn requests_are_spread_before_the_nearest_helper_has_them_all() {
        let helpers = helpers();
        let chosen: Vec<_> = (0..30)
            .filter_map(|_| choose(&helpers, 0, NO_HOMES))
            .collect();
        for port in 1..=3 {
            assert!(chosen.iter().any(|helper| helper.addr == addr(port)));
        }
        drop(chosen);
        let nearest = choose(&helpers, 0, NO_HOMES).expect("a helper");
        assert_eq!(nearest.addr, addr(1));
    }

    #[test]
    fn a_helper_that_doesnt_answer_is_avoided() {
        let helpers = helpers();
        let _waiting = choose(&helpers, 0, NO_HOMES).expect("a helper");
        let answered = choose(&helpers, 900, NO_HOMES).expect("a helper");
        assert_eq!(answered.addr, addr(2));
        answered.record_answer(Duration::from_millis(1000));
        let next = choose(&helpers, 1000, NO_HOMES).expect("a helper");
        assert_eq!(next.addr, addr(2));
    }

    #[test]
    fn a_helper_is_silent_from_its_last_answer_on() {
        let helpers = helpers();
        let waiting = choose(&helpers, 0, NO_HOMES).expect("a helper");
        let watch = waiting.watch(Some(Duration::from_millis(10)));
        assert_eq!(watch.silent_at(Duration::ZERO), SILENCE_MAX);
        waiting.record_answer(Duration::from_millis(700));
        let silent_at = Duration::from_millis(700) + SILENCE_MAX;
        assert_eq!(watch.silent_at(Duration::ZERO), silent_at);
    }

    /// Requests that run for longer than a helper may be silent counted as silence.
    #[test]
    fn a_helper_isnt_silent_while_its_request_usually_runs() {
        let helpers = helpers();
        let waiting = choose(&helpers, 0, NO_HOMES).expect("a helper");
        let usual = Duration::from_secs(3);
        let sent_at = Duration::from_millis(200);
        assert_eq!(
            waiting.watch(Some(usual)).silent_at(sent_at),
            sent_at + usual
        );
        let unknown = waiting.watch(None);
        assert_eq!(unknown.silent_at(sent_at), sent_at + SILENCE_MAX);
    }

    #[test]
    fn a_request_with_homes_is_relayed_there_only() {
        let helpers = helpers();
        let homes = [name("b")];
        let homes = Homes {
            route: &homes,
            workspace: &[],
        };
        let chosen = choose(&helpers, 0, homes).expect("a helper");
        assert_eq!(chosen.addr, addr(3));
        let nowhere = Homes {
            workspace: &[name("c")],
            ..homes
        };
        assert!(choose(&helpers, 0, nowhere).is_none());
    }
}
