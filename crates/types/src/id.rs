//! Numbered identifiers. Each is a type of its own, so that a revision can't be
//! passed where a version is meant.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{ResultExt, Snafu};

/// Why a text is no identifier.
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

        // Hexadecimal text where people read it, a plain number in messages.
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
    /// Number of accepted changes up to a state of the table. Only goes up.
    Version
}
counter! {
    /// Version at which a row was last changed; 0 for a row never set.
    Revision
}
counter! {
    /// Number of a grant or of an owner's term; a higher one fences off all lower ones.
    Epoch
}
counter! {
    /// Tells a restarted process from its predecessor of the same name. Processes of ours
    /// draw a random number at their start; of an endpoint it is the moment of its start,
    /// so a later one is higher.
    Incarnation
}

hex_id! {
    /// Identity of a control replica: drawn at random when its data folder is
    /// first used, and lost with that folder.
    ReplicaId, u64, "016"
}
hex_id! {
    /// Identity of an operator's change, chosen by the client; a resend carries it again.
    ChangeId, u128, "032"
}
hex_id! {
    /// Identity of one pass of a request through the system; ties an answer to it on each hop.
    RequestId, u128, "032"
}
hex_id! {
    /// Hash of the cluster's name; a message of another cluster is rejected.
    ClusterId, u64, "016"
}
