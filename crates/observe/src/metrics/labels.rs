//! Label sets.

use std::collections::BTreeSet;
use std::sync::Mutex;

use filberthead_types::{Region, ResultCode, ServiceName};
use prometheus_client::encoding::EncodeLabelSet;

/// Pairs of service and region that get a series of their own. Far more than any table
/// has; it bounds memory if the table is flooded with names.
const MAX_PAIRS: usize = 1024;
const OTHER: &str = "other";

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct PairLabels {
    pub(super) service: String,
    pub(super) region: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) service: String,
    pub(super) region: String,
    pub(super) code: u16,
    pub(super) result: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct CodeLabels {
    pub(super) code: u16,
    pub(super) result: &'static str,
}

impl From<ResultCode> for CodeLabels {
    fn from(code: ResultCode) -> Self {
        Self {
            code: code.number(),
            result: code.slug(),
        }
    }
}

/// A label whose values are string constants in the code.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ReasonLabels {
    pub(super) reason: &'static str,
}

/// How something ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ResultLabels {
    pub(super) result: &'static str,
}

/// A label whose values are the names of peer protocols.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ProtocolLabels {
    pub(super) protocol: &'static str,
}

/// A label whose values are kinds of routes or of messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct KindLabels {
    pub(super) kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct ConnectionLabels {
    pub(super) direction: &'static str,
    pub(super) event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct RingLabels {
    pub(super) ring: &'static str,
}

/// The label value of everything beyond a bound.
pub(super) fn other() -> String {
    OTHER.to_owned()
}

/// Pairs of service and region that have a series, at most `MAX_PAIRS`.
#[derive(Debug)]
pub(super) struct BoundedPairs(BoundedValues<(String, String)>);

impl Default for BoundedPairs {
    fn default() -> Self {
        Self(BoundedValues::new(MAX_PAIRS))
    }
}

impl BoundedPairs {
    /// The labels of a pair; `other` for both once the bound is reached.
    pub(super) fn labels(&self, service: &ServiceName, region: &Region) -> PairLabels {
        let pair = (service.as_str().to_owned(), region.as_str().to_owned());
        let (service, region) = self.0.admit(pair).unwrap_or_else(|| (other(), other()));
        PairLabels { service, region }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct PortLabels {
    pub(super) port: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(super) struct PortEventLabels {
    pub(super) port: &'static str,
    pub(super) event: &'static str,
}

/// Label values that have a series: the first ones up to a bound, whatever callers send.
#[derive(Debug)]
pub(super) struct BoundedValues<T> {
    max: usize,
    admitted: Mutex<BTreeSet<T>>,
}

impl<T: Clone + Ord> BoundedValues<T> {
    pub(super) fn new(max: usize) -> Self {
        Self {
            max,
            admitted: Mutex::default(),
        }
    }

    /// Returns the value if it has a series, or may have one; `None` beyond the bound.
    pub(super) fn admit(&self, value: T) -> Option<T> {
        // A poisoned lock is fine: a panic can't leave the set half changed.
        let mut admitted = self.admitted.lock().unwrap_or_else(|err| err.into_inner());
        if admitted.contains(&value) {
            return Some(value);
        }
        let has_room = admitted.len() < self.max;
        has_room.then(|| {
            admitted.insert(value.clone());
            value
        })
    }
}
