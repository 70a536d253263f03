//! Names of nodes, regions, failure domains, services and workspaces.
//!
//! All are short ASCII words, because they are used unescaped in file names, URLs, metric
//! labels and message headers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum length of a name in bytes.
const MAX_NAME_LEN: usize = 63;

/// A text that isn't a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("`{text}` is no valid name: 1 to 63 of a-z, 0-9, `-`, `.` and `_`"))]
pub struct NameError {
    text: String,
}

fn check(text: &str) -> Result<(), NameError> {
    let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
    if text.is_empty() || text.len() > MAX_NAME_LEN || !text.bytes().all(valid) {
        return NameSnafu { text }.fail();
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// Name of a process of the system or of an endpoint; unique in a cluster.
    NodeName
}
name! {
    /// A region: a group of failure domains in the same location, such as `zagreb`.
    Region
}
name! {
    /// A failure domain: a group of VMs that a single fault can disconnect or stop together.
    FailureDomain
}
name! {
    /// A service that requests are routed to, such as `catalogue`.
    ServiceName
}
name! {
    /// A workspace: a customer, whose callers identify themselves by API keys.
    Workspace
}
