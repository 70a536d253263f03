//! Settings of a [`Policy`](crate::Policy).

use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, NodeName, Region};

/// Default time between two probes of an endpoint.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How an endpoint is selected among those with a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum EndpointSelection {
    /// The one on which this entry runs the fewest requests; among equals the fastest.
    #[default]
    LeastLoaded,
    /// The less loaded of two drawn at random.
    PowerOfTwoChoices,
    /// The one with the lowest product of estimated latency and load.
    LatencyTimesLoad,
}

/// How the entries of a failure domain divide its endpoints' slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SlotOwnership {
    /// For each service, one entry owns all of the failure domain's endpoints; the others
    /// forward requests to it.
    #[default]
    Service,
    /// For each endpoint, one entry owns all its slots.
    Endpoint,
    /// Each entry owns an equal part of every endpoint's slots.
    Split,
}

/// Settings of a [`Policy`](crate::Policy).
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) node: NodeName,
    pub(crate) region: Region,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) incarnation: Incarnation,
    pub(crate) seed: u64,
    pub(crate) leased: bool,
    pub(crate) serve_isolated: bool,
    pub(crate) queue: usize,
    pub(crate) endpoint_selection: EndpointSelection,
    pub(crate) slot_ownership: SlotOwnership,
    pub(crate) spillover: bool,
    pub(crate) adjust_weights: bool,
    pub(crate) slow_start: bool,
    pub(crate) probe_interval: Duration,
    pub(crate) reading_ttl: Duration,
    pub(crate) report_interval: Duration,
    pub(crate) report_ttl: Duration,
    pub(crate) report_fan_out: usize,
    pub(crate) max_request_duration: Duration,
    pub(crate) rtt_domain: Duration,
    pub(crate) rtt_region: Duration,
    pub(crate) rtt_inter_region: Duration,
}

impl Config {
    /// Default settings for the entry `node` in the given region and failure domain.
    pub fn new(node: NodeName, region: Region, failure_domain: FailureDomain) -> Self {
        Self {
            node,
            region,
            failure_domain,
            incarnation: Incarnation(1),
            seed: 0,
            leased: true,
            serve_isolated: false,
            queue: 64,
            endpoint_selection: EndpointSelection::default(),
            slot_ownership: SlotOwnership::default(),
            spillover: true,
            adjust_weights: true,
            slow_start: true,
            probe_interval: PROBE_INTERVAL,
            reading_ttl: Duration::from_secs(4),
            report_interval: Duration::from_millis(200),
            report_ttl: Duration::from_secs(2),
            report_fan_out: 16,
            max_request_duration: Duration::from_secs(10),
            rtt_domain: Duration::from_micros(400),
            rtt_region: Duration::from_millis(3),
            rtt_inter_region: Duration::from_millis(70),
        }
    }

    /// Identifies this start of the entry. Default 1; the daemon draws a random one at its
    /// start. Control treats a different one as a restart, which holds no leases.
    #[must_use]
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Whether endpoints, limits and shift caps are held by leases from control. Default
    /// true. If false, the owner of an endpoint is chosen among the live entries, and rows'
    /// limits aren't enforced: for a single entry, and for measuring the cost of leases.
    #[must_use]
    pub fn leased(mut self, leased: bool) -> Self {
        self.leased = leased;
        self
    }

    /// Whether an entry that has for long reached neither control nor a majority of its
    /// roster fills one slot of each endpoint that reports a free one. Default false: it
    /// refuses requests then, and no endpoint ever gets more requests than it has slots. If
    /// true, an endpoint whose owner is alive on the other side of a network partition may
    /// get one request too many, which it refuses.
    #[must_use]
    pub fn serve_isolated(mut self, serve: bool) -> Self {
        self.serve_isolated = serve;
        self
    }

    /// Seed of the random number generator. Default 0; the daemon draws one at its start.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Maximum number of requests of one service that wait for a slot; further ones are
    /// refused at once. Default 64.
    #[must_use]
    pub fn queue(mut self, len: usize) -> Self {
        self.queue = len;
        self
    }

    /// How an endpoint is selected. Default [`EndpointSelection::LeastLoaded`].
    #[must_use]
    pub fn endpoint_selection(mut self, selection: EndpointSelection) -> Self {
        self.endpoint_selection = selection;
        self
    }

    /// How entries divide slots. Default [`SlotOwnership::Service`].
    #[must_use]
    pub fn slot_ownership(mut self, ownership: SlotOwnership) -> Self {
        self.slot_ownership = ownership;
        self
    }

    /// Whether requests may be forwarded to other entries. Default true; if false, an entry
    /// uses its own endpoints only.
    #[must_use]
    pub fn spillover(mut self, spillover: bool) -> Self {
        self.spillover = spillover;
        self
    }

    /// Whether look-ups send fewer callers to regions with a higher utilisation than others.
    /// Default true; if false, only the table's weights count.
    #[must_use]
    pub fn adjust_weights(mut self, adjust_weights: bool) -> Self {
        self.adjust_weights = adjust_weights;
        self
    }

    /// Whether the slots of new and restarted endpoints are used one by one. Default true.
    #[must_use]
    pub fn slow_start(mut self, slow_start: bool) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Time between two probes of an endpoint, and so the longest time until a reading shows
    /// its planned stop. Default 1 s.
    #[must_use]
    pub fn probe_interval(mut self, every: Duration) -> Self {
        self.probe_interval = every;
        self
    }

    /// Age at which a reading is outdated. Default 4 s.
    #[must_use]
    pub fn reading_ttl(mut self, ttl: Duration) -> Self {
        self.reading_ttl = ttl;
        self
    }

    /// Time between two reports to other entries. Default 200 ms.
    #[must_use]
    pub fn report_interval(mut self, every: Duration) -> Self {
        self.report_interval = every;
        self
    }

    /// Maximum number of entries that get this one's reports. Default 16, so that a node's
    /// messages don't grow with the number of nodes.
    #[must_use]
    pub fn report_fan_out(mut self, entries: usize) -> Self {
        self.report_fan_out = entries;
        self
    }

    /// How long slots stay reserved for requests of a previous owner if no reading shows them
    /// free. Default 10 s.
    #[must_use]
    pub fn max_request_duration(mut self, longest: Duration) -> Self {
        self.max_request_duration = longest;
        self
    }

    /// Assumed round trips to another entry of the own failure domain, of another failure
    /// domain of the own region, and of another region. Defaults 0.4 ms, 3 ms, 70 ms.
    #[must_use]
    pub fn round_trips(mut self, near: Duration, region: Duration, far: Duration) -> Self {
        self.rtt_domain = near;
        self.rtt_region = region;
        self.rtt_inter_region = far;
        self
    }
}
