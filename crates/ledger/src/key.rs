//! Idempotency keys and the homes that they belong to.
//!
//! A key is `DOMAIN:FOUNDER.SERIAL:GENERATION:SUFFIX`. Everything up to the last colon is
//! the prefix that a look-up returns; the caller adds the suffix. The prefix is what makes
//! a key safe to refuse: it names the one home that may start the key, by an identity that
//! no other process ever has, and the generation of that home in which the key can first
//! have been made.

use std::fmt;
use std::str::FromStr;

use filberthead_types::{FailureDomain, Incarnation};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// Longest suffix that a caller may add to a prefix, in bytes.
pub const MAX_SUFFIX_LEN: usize = 96;

/// Identity of a home: a set of keys that one primary at a time may start.
///
/// An entry creates homes under its own incarnation, so it needs nobody's permission to do
/// so, and no later process can mistake itself for their creator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HomeId {
    /// Failure domain of the entry that created the home.
    pub failure_domain: FailureDomain,
    /// Incarnation of the entry that created the home.
    pub founder: Incarnation,
    /// Number of the home among those that the same process has created.
    pub serial: u32,
}

impl fmt::Display for HomeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let founder = self.founder.0;
        write!(f, "{}:{founder:x}.{:x}", self.failure_domain, self.serial)
    }
}

/// Numbers the prefixes that a home has issued, one after the other. Only increases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Generation(pub u32);

impl Generation {
    /// The generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The part of an idempotency key that a look-up returns; the caller appends its suffix.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyPrefix {
    /// The home.
    pub home: HomeId,
    /// Its generation.
    pub generation: Generation,
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:x}:", self.home, self.generation.0)
    }
}

/// Why a text is not an idempotency key of this system.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ParseKeyError {
    /// There is no valid prefix before the suffix.
    #[snafu(display("the key doesn't begin with a prefix from a look-up"))]
    Prefix,
    /// The suffix is empty, too long or contains bytes other than visible ASCII.
    #[snafu(display(
        "the part after the prefix must be 1 to {MAX_SUFFIX_LEN} visible ASCII bytes"
    ))]
    Suffix,
}

/// A whole idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// The prefix from a look-up.
    pub prefix: KeyPrefix,
    /// The part that the caller added.
    pub suffix: Box<str>,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.prefix, self.suffix)
    }
}

impl FromStr for Key {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        let mut parts = text.splitn(4, ':');
        let mut part = || parts.next().context(PrefixSnafu);
        let (domain, home, generation, suffix) = (part()?, part()?, part()?, part()?);
        let prefix = parse_prefix(domain, home, generation).context(PrefixSnafu)?;
        let visible = suffix.bytes().all(|b| b.is_ascii_graphic());
        ensure!(
            visible && (1..=MAX_SUFFIX_LEN).contains(&suffix.len()),
            SuffixSnafu
        );
        Ok(Self {
            prefix,
            suffix: suffix.into(),
        })
    }
}

fn parse_prefix(domain: &str, home: &str, generation: &str) -> Option<KeyPrefix> {
    let (founder, serial) = home.split_once('.')?;
    let founder = parse_hex(founder)?;
    let serial = u32::try_from(parse_hex(serial)?).ok()?;
    let generation = u32::try_from(parse_hex(generation)?).ok()?;
    Some(KeyPrefix {
        home: HomeId {
            failure_domain: domain.parse().ok()?,
            founder: Incarnation(founder),
            serial,
        },
        generation: Generation(generation),
    })
}

/// Accepts only the form in which [`KeyPrefix`] writes a number: if `0a` were accepted for
/// `a`, two texts would be one key here and two keys to code that compares texts.
fn parse_hex(text: &str) -> Option<u64> {
    let number = u64::from_str_radix(text, 16).ok()?;
    (format!("{number:x}") == text).then_some(number)
}
