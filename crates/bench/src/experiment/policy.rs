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
    /// Our policy, in one of its versions.
    Ours(Version),
}

/// A version of our policy. Earlier ones are kept so that the effect of each step can be
/// measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Counts requests at the endpoints that the entry owns; no spillover.
    Counted,
    /// As `Counted`, with each endpoint's slots split between the entries.
    Split,
    /// As `Counted`, with the better of two endpoints drawn at random.
    CountedTwoChoices,
    /// As `Counted`, with spillover to other entries.
    Spill,
    /// With leases for endpoints, limits and shift caps, and a single owner for all of a
    /// service's endpoints in a failure domain.
    Leased,
    /// As `Leased`, with look-ups that send callers away from full regions.
    Relief,
}

impl PolicyKind {
    /// All policies that are compared.
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

    /// The current version of our policy.
    pub const LATEST: Self = Self::Ours(Version::Relief);

    /// Name, as in the figures and in `--policy`.
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

    /// Whether callers have home regions under this policy, so that shifted requests can be
    /// told from others.
    pub fn has_home_regions(self) -> bool {
        matches!(self, Self::Ours(_))
    }

    /// Whether an entry sends directly to all endpoints of its region, not only to those of
    /// its failure domain.
    pub fn sends_to_whole_region(self) -> bool {
        matches!(self, Self::Baseline(_))
    }

    /// Builds the policy of an entry.
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
