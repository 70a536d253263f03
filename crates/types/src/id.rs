//! Numeric identifiers. Each is a separate type, so that a revision can't be passed where a
//! version is expected.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{ResultExt, Snafu};

/// A text that isn't a hexadecimal identifier.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("`{text}` is no hexadecimal identifier"))]
pub struct ParseIdError {
    text: String,
    source: ParseIntError,
}

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next higher number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $int:ty, $width:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $int);

        // Hexadecimal text in human-readable formats, an integer in binary ones.
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
                if ser.is_human_readable() {
                    ser.collect_str(self)
                } else {
                    self.0.serialize(ser)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
                if de.is_human_readable() {
                    let text = String::deserialize(de)?;
                    text.parse().map_err(D::Error::custom)
                } else {
                    <$int>::deserialize(de).map(Self)
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let id = <$int>::from_str_radix(text, 16).context(ParseIdSnafu { text })?;
                Ok(Self(id))
            }
        }
    };
}

counter! {
    /// Version of the table: the number of changes accepted so far. Only increases.
    Version
}
counter! {
    /// Table version at which a row was last changed; 0 if it was never set.
    Revision
}
counter! {
    /// Fencing number of a grant or of an owner's term; a higher one invalidates all lower ones.
    Epoch
}
counter! {
    /// Distinguishes a restarted process from its predecessor of the same name. The system's own
    /// processes draw a random number at their start; an endpoint uses its start time, so that a
    /// later incarnation is higher.
    Incarnation
}

hex_id! {
    /// Identity of a control replica: random, created when its data directory is first used,
    /// and lost with that directory.
    ReplicaId, u64, "016"
}
hex_id! {
    /// Identity of an operator's change, chosen by the client; a retry uses the same one.
    ChangeId, u128, "032"
}
hex_id! {
    /// Identity of one passage of a request through the system, so that its answer is matched on
    /// each hop; a retry by the caller gets a new one.
    RequestId, u128, "032"
}
hex_id! {
    /// Hash of the cluster's name; messages from other clusters are rejected.
    ClusterId, u64, "016"
}
