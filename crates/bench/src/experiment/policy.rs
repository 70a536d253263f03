//! The policies that are compared.

use std::hash::{DefaultHasher, Hash, Hasher};

use filberthead_steer::{Config, EndpointSelection, EntryInfo, SlotOwnership, Steering};
use filberthead_types::Moment;

use super::baseline::{Baseline, Pick};
use super::deployment::Deployment;

/// A policy in the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// A baseline.
    Baseline(Pick),
    /// Ours, in one of its versions.
    Ours(Version),
}

/// A version of our policy. Earlier ones are kept, so that each step can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Counts at its own endpoints; no spill-over.
    Counted,
    /// The same, with each endpoint's slots split between the entries.
    Split,
    /// The same, the better of two endpoints drawn at random.
    CountedTwoChoices,
    /// With spill-over to other entries.
    Spill,
    /// With endpoints, limits and shift caps held by leases, and one owner for all of a
    /// service's endpoints in a failure domain.
    Leased,
    /// The same, with look-ups that relieve full regions.
    Relief,
}

impl PolicyKind {
    /// All that are compared.
    pub const ALL: [Self; 9] = [
        Self::Baseline(Pick::RoundRobin),
        Self::Baseline(Pick::LeastReported),
        Self::Baseline(Pick::TwoChoices),
        Self::Ours(Version::Counted),
        Self::Ours(Version::Split),
        Self::Ours(Version::CountedTwoChoices),
        Self::Ours(Version::Spill),
        Self::Ours(Version::Leased),
        Self::Ours(Version::Relief),
    ];

    /// The version that stands for us.
    pub const LATEST: Self = Self::Ours(Version::Relief);

    /// Its name, as in the figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Baseline(Pick::RoundRobin) => "round-robin",
            Self::Baseline(Pick::LeastReported) => "least-reported",
            Self::Baseline(Pick::TwoChoices) => "two-choices",
            Self::Ours(Version::Counted) => "ours-counted",
            Self::Ours(Version::Split) => "ours-split",
            Self::Ours(Version::CountedTwoChoices) => "ours-counted-two-choices",
            Self::Ours(Version::Spill) => "ours-spill",
            Self::Ours(Version::Leased) => "ours-leased",
            Self::Ours(Version::Relief) => "ours-relief",
        }
    }

    /// Whether callers have homes under this policy, so that shifted requests can be
    /// told from others.
    pub fn has_home_regions(self) -> bool {
        matches!(self, Self::Ours(_))
    }

    /// Whether an entry sends to the endpoints of its whole region directly.
    pub fn sends_to_whole_region(self) -> bool {
        matches!(self, Self::Baseline(_))
    }

    /// The policy of one entry.
    pub fn build(
        self,
        now: Moment,
        deployment: &Deployment,
        info: &EntryInfo,
    ) -> Box<dyn Steering> {
        let seed = seed(info);
        let version = match self {
            Self::Baseline(pick) => return Box::new(Baseline::new(pick, seed)),
            Self::Ours(version) => version,
        };
        let location = (info.region.clone(), info.failure_domain.clone());
        let cfg = Config::new(info.name.clone(), location.0, location.1)
            .incarnation(info.incarnation)
            .seed(seed)
            .round_trips(
                2 * deployment.domain_delay,
                2 * deployment.region_delay,
                2 * deployment.inter_region_delay,
            );
        Box::new(filberthead_steer::Policy::new(now, version.configure(cfg)))
    }
}

/// A seed that differs between entries and between their starts.
fn seed(info: &EntryInfo) -> u64 {
    let mut hasher = DefaultHasher::new();
    info.name.hash(&mut hasher);
    info.incarnation.hash(&mut hasher);
    hasher.finish()
}

impl Version {
    fn configure(self, cfg: Config) -> Config {
        let endpoint = |cfg: Config| {
            cfg.slot_ownership(SlotOwnership::Endpoint)
                .adjust_weights(false)
        };
        match self {
            Self::Counted => endpoint(cfg).leased(false).spillover(false),
            Self::Split => cfg
                .adjust_weights(false)
                .leased(false)
                .spillover(false)
                .slot_ownership(SlotOwnership::Split),
            Self::CountedTwoChoices => endpoint(cfg)
                .leased(false)
                .spillover(false)
                .endpoint_selection(EndpointSelection::PowerOfTwoChoices),
            Self::Spill => endpoint(cfg).leased(false),
            Self::Leased => cfg.adjust_weights(false),
            Self::Relief => cfg,
        }
    }
}
