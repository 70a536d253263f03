//! Parts of the decision that can be left out, to measure what each is worth.
//!
//! What keeps a promise (the cold gate, the retry budget, the bound on shifts) has no switch:
//! without it the promise is broken, whatever the figures say.

use std::str::FromStr;

use snafu::Snafu;

/// A part of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Endpoints are preferred in an order by object.
    Objects,
    /// Names on different routes are different objects.
    Routes,
    /// An object goes to its first endpoint whenever that has a free slot.
    Settling,
    /// Under pressure objects stay where they are known.
    Pressure,
    /// A part of a region's objects lives in other regions.
    Plan,
    /// Requests come home more slowly than they leave.
    SlowReturn,
    /// Slow endpoints are avoided.
    Slowness,
    /// Failing endpoints are avoided.
    Failing,
    /// Failures that all endpoints of a region share speak against none.
    SharedFailing,
    /// What would be late is told to come back.
    Refusing,
    /// Callers that have come back are kept until their deadline.
    Patience,
    /// A refused request may go to the same endpoint again.
    SameAgain,
}

impl Mechanism {
    /// All of them.
    pub const ALL: [Self; 12] = [
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
    ];

    /// Its name in reports and options.
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
        }
    }
}

/// No mechanism has this name.
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
