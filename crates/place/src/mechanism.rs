//! Mechanisms of the decision that can be switched off, to measure what each of them gains.
//!
//! Those that guarantee a limit (of cold endpoints, retries and shifts) have no switch: the
//! guarantee wouldn't hold without them.

use std::str::FromStr;

use snafu::Snafu;

/// A mechanism of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Endpoints are preferred in an order that depends on the object.
    Objects,
    /// The same name on different routes is different objects.
    Routes,
    /// An object goes to its first endpoint whenever that has a free slot.
    Settling,
    /// At high utilisation, objects stay where they are cached.
    Pressure,
    /// A share of a region's objects is placed in other regions.
    Plan,
    /// Requests move back to their own region more slowly than they left it.
    SlowReturn,
    /// Slow endpoints are avoided.
    Slowness,
    /// Failing endpoints are avoided.
    Failing,
    /// Failures that all endpoints of a region share are counted against none of them.
    SharedFailing,
    /// Requests that would be late are rejected with a time to retry after.
    Refusing,
    /// Retries of rejected callers may wait until their deadline.
    Patience,
    /// A rejected request may go to the same endpoint again.
    SameAgain,
    /// Retries of callers may be late only if nothing more urgent competes with them.
    Priority,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 13] = [
        Self::Objects,
        Self::Routes,
        Self::Settling,
        Self::Pressure,
        Self::Plan,
        Self::SlowReturn,
        Self::Slowness,
        Self::Failing,
        Self::SharedFailing,
        Self::Refusing,
        Self::Patience,
        Self::SameAgain,
        Self::Priority,
    ];

    /// Name in reports and options.
    pub fn name(self) -> &'static str {
        match self {
            Self::Objects => "objects",
            Self::Routes => "routes",
            Self::Settling => "settling",
            Self::Pressure => "pressure",
            Self::Plan => "plan",
            Self::SlowReturn => "slow-return",
            Self::Slowness => "slowness",
            Self::Failing => "failing",
            Self::SharedFailing => "shared-failing",
            Self::Refusing => "refusing",
            Self::Patience => "patience",
            Self::SameAgain => "same-again",
            Self::Priority => "priority",
        }
    }
}

/// The name isn't that of a mechanism.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("`{name}` is no mechanism"))]
pub struct UnknownMechanism {
    name: String,
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|each| each.name() == name);
        found.ok_or_else(|| UnknownMechanism {
            name: name.to_owned(),
        })
    }
}
