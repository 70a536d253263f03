//! Headers of a relayed request.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use filberthead_route::KeyDigest;
use filberthead_types::{ClusterId, Fingerprint, Incarnation, NodeName, ServiceName, header};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::gateway::answer_notes::LeavingEndpoint;
use crate::gateway::headers::header_text;

/// Holds a [`RelayHead`].
pub(crate) const RELAY: HeaderName = HeaderName::from_static(header::RELAY);
/// Holds the digest of the caller's key. The key itself never leaves the gateway that it was sent to.
pub(crate) const RELAYED_KEY: HeaderName = HeaderName::from_static(header::RELAYED_KEY);

/// Holds the number of the attempt that a relayed request is to its sender.
pub(crate) const RELAYED_ATTEMPT: HeaderName = HeaderName::from_static(header::RELAYED_ATTEMPT);

/// Holds a [`HelperReport`].
const HELPER: HeaderName = HeaderName::from_static(header::HELPER);

/// What a helper needs to know of a relayed request beside its head and its caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayHead {
    /// The sender's cluster.
    pub(crate) cluster: ClusterId,
    /// Name of the sender, for logs.
    pub(crate) gateway: NodeName,
    /// Revision of the routes that the request was matched against. Older ones mustn't be used.
    pub(crate) revision: u64,
    /// The service that was chosen among the targets of its route.
    pub(crate) service: ServiceName,
    /// Endpoints that it may still be sent to.
    pub(crate) attempts: u32,
    /// Whether an earlier attempt of the caller has used part of its deadline.
    pub(crate) is_caller_retry: bool,
    /// By which repeats of the request by its caller are recognised.
    pub(crate) fingerprint: Fingerprint,
}

impl RelayHead {
    /// Reads it from a request; `None` if it is missing or invalid.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        header_text(headers, &RELAY).parse().ok()
    }
}

/// Digest of the caller's key in a relayed request; `None` if it has none.
pub(crate) fn read_key(headers: &HeaderMap) -> Option<KeyDigest> {
    KeyDigest::from_hex(header_text(headers, &RELAYED_KEY))
}

/// Number of the attempt that a relayed request is to its sender, from 1.
pub(crate) fn read_attempt(headers: &HeaderMap) -> u32 {
    let number = header_text(headers, &RELAYED_ATTEMPT).parse();
    number.unwrap_or(1).max(1)
}

/// What a helper tells with its answer to a relayed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HelperReport {
    /// Time since its process has started.
    pub(crate) uptime: Duration,
    /// Number of endpoints that the request may have reached.
    pub(crate) reached: u32,
    /// The endpoint that has answered, if that is leaving.
    pub(crate) leaving: Option<LeavingEndpoint>,
}

impl HelperReport {
    /// Adds it to an answer.
    pub(crate) fn add(self, headers: &mut HeaderMap) {
        let text = format!("{} {}", self.uptime.as_millis(), self.reached);
        let text = match self.leaving {
            Some(leaving) => format!("{text} {}", write_leaving(&leaving)),
            None => text,
        };
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(HELPER, value);
        }
    }

    /// Removes it from an answer; `None` if that has none.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(HELPER)?;
        let mut words = value.to_str().ok()?.splitn(3, ' ');
        let (uptime_ms, reached) = (words.next()?, words.next()?);
        Some(Self {
            uptime: Duration::from_millis(uptime_ms.parse().ok()?),
            reached: reached.parse().ok()?,
            leaving: words.next().and_then(read_leaving),
        })
    }
}

/// Written for an endpoint whose platform reports no starts.
const NO_INCARNATION: &str = "-";

/// Address, start and id; the id is last, as it may contain spaces.
fn write_leaving(leaving: &LeavingEndpoint) -> String {
    let LeavingEndpoint {
        id,
        incarnation,
        addr,
    } = leaving;
    let incarnation = incarnation.map_or(NO_INCARNATION.to_owned(), |i| i.0.to_string());
    format!("{addr} {incarnation} {id}")
}

fn read_leaving(text: &str) -> Option<LeavingEndpoint> {
    let mut words = text.splitn(3, ' ');
    let addr = words.next()?.parse().ok()?;
    let incarnation = match words.next()? {
        NO_INCARNATION => None,
        number => Some(Incarnation(number.parse().ok()?)),
    };
    Some(LeavingEndpoint {
        id: words.next()?.into(),
        incarnation,
        addr,
    })
}

impl fmt::Display for RelayHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            cluster,
            gateway,
            revision,
            service,
            attempts,
            is_caller_retry,
            fingerprint,
        } = self;
        write!(
            f,
            "{cluster} {gateway} {revision} {service} {attempts} {is_caller_retry} {fingerprint}"
        )
    }
}

/// The text isn't a [`RelayHead`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidRelayHead;

impl FromStr for RelayHead {
    type Err = InvalidRelayHead;

    fn from_str(text: &str) -> Result<Self, InvalidRelayHead> {
        let words: Vec<&str> = text.split(' ').collect();
        let [
            cluster,
            gateway,
            revision,
            service,
            attempts,
            is_caller_retry,
            fingerprint,
        ] = words[..]
        else {
            return Err(InvalidRelayHead);
        };
        Ok(Self {
            cluster: word(cluster)?,
            gateway: word(gateway)?,
            revision: word(revision)?,
            service: word(service)?,
            attempts: word(attempts)?,
            is_caller_retry: word(is_caller_retry)?,
            fingerprint: word(fingerprint)?,
        })
    }
}

fn word<T: FromStr>(text: &str) -> Result<T, InvalidRelayHead> {
    text.parse().map_err(|_| InvalidRelayHead)
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    #[test]
    fn a_report_is_taken_out_of_an_answer() {
        let leaving = |incarnation| LeavingEndpoint {
            id: "endpoint 1".into(),
            incarnation,
            addr: SocketAddr::from(([127, 0, 0, 1], 80)),
        };
        let starts = [None, Some(Incarnation(7))].map(|start| Some(leaving(start)));
        for leaving in [None].into_iter().chain(starts) {
            let report = HelperReport {
                uptime: Duration::from_millis(1500),
                reached: 2,
                leaving,
            };
            let mut headers = HeaderMap::new();
            report.clone().add(&mut headers);
            assert_eq!(HelperReport::take(&mut headers), Some(report));
            assert!(headers.is_empty());
        }
    }

    #[test]
    fn a_relay_head_is_read_as_it_is_written() {
        let head = RelayHead {
            cluster: ClusterId(7),
            gateway: "gateway-1".parse().expect("a name"),
            revision: 12,
            service: "orders".parse().expect("a name"),
            attempts: 2,
            is_caller_retry: true,
            fingerprint: Fingerprint(9),
        };
        assert_eq!(head.to_string().parse(), Ok(head));
        assert_eq!("7 gateway-1".parse::<RelayHead>(), Err(InvalidRelayHead));
    }
}
