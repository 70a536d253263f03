//! Names of the HTTP headers that callers, entries and endpoints exchange.
//!
//! All names specific to this system start with [`PREFIX`]. Headers with that prefix are
//! removed from callers' requests before these are sent on, so that a caller can impersonate
//! neither an entry nor an endpoint.

/// Prefix of all header names specific to this system.
pub const PREFIX: &str = "filberthead-";
/// From a caller: the key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// From a caller, or between entries: the caller's timeout in milliseconds.
pub const TIMEOUT_MS: &str = "filberthead-timeout-ms";
/// On each hop, in both directions: the request's id.
pub const REQUEST_ID: &str = "filberthead-request-id";
/// To an endpoint: milliseconds until the deadline.
pub const DEADLINE_MS: &str = "filberthead-deadline-ms";
/// To a caller: number of the result code.
pub const RESULT: &str = "filberthead-result";
/// To a caller: whether the request ran ([`Meaning`](crate::Meaning)). From an endpoint that
/// rejects a request for lack of capacity: confirms that the request didn't run.
pub const MEANING: &str = "filberthead-meaning";
/// Between entries: name and incarnation of the forwarding entry.
pub const FORWARDED_BY: &str = "filberthead-forwarded-by";
/// Between entries: how many of them have forwarded a request towards the home of its
/// idempotency key.
pub const KEY_HOPS: &str = "filberthead-key-hops";
/// Between entries: the home of the request's idempotency key has started the request; the
/// receiver sends it to one endpoint without asking a ledger.
pub const KEY_STARTED: &str = "filberthead-key-started";
/// To a caller: the prefix for its next idempotency key.
pub const KEY_PREFIX: &str = "filberthead-key-prefix";
/// Between entries: IP address of the caller that sent the forwarded request.
pub const CALLER: &str = "filberthead-caller";
/// Between gateways: what the receiver of a relayed request needs to know beside its head.
pub const RELAY: &str = "filberthead-relay";
/// Between gateways: digest of the API key of a relayed request's caller.
pub const RELAYED_KEY: &str = "filberthead-relayed-key";
/// Between gateways: number of the attempt that a relayed request is to its sender, from 1. Without it, it
/// is the first one.
pub const RELAYED_ATTEMPT: &str = "filberthead-relayed-attempt";
/// Between gateways, with the answer to a relayed request: milliseconds since the process that answers it
/// has started, and the number of endpoints that the request may have reached.
pub const HELPER: &str = "filberthead-helper";
