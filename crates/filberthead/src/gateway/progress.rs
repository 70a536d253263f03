//! How far an attempt has got, and why it is given up.

use std::cell::Cell;

use filberthead_types::Moment;

/// Why a gateway stops waiting for an endpoint that hasn't answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// The caller has left, or the gateway ends.
    #[default]
    CallerLeft,
    /// The request's deadline has passed.
    Deadline,
    /// Another attempt was answered.
    Superseded,
}

impl GivenUp {
    /// Short stable name, for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller-left",
            Self::Deadline => "deadline",
            Self::Superseded => "superseded",
        }
    }
}

/// How far an attempt has got.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// When the first byte may have left; `None` if none has.
    pub(crate) sent_at: Cell<Option<Moment>>,
    /// Why it ends, unless its outcome says so.
    pub(crate) given_up: Cell<GivenUp>,
}
