//! Who sends requests.

/// Who sends requests on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSource {
    /// A caller.
    Caller,
    /// Another gateway, which relays those of its callers.
    Gateway,
}
