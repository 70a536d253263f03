//! The ledger duty of an entry, and the handle through which requests use it.
//!
//! Contract of the request path:
//!
//! - Every method but a safe one needs a key, and every key begins with a prefix returned
//!   by a look-up ([`LedgerHandle::prefix`]). Answers to requests may carry the prefix, too,
//!   so that callers with an old one get a new one without a look-up.
//! - [`LedgerHandle::begin`] comes first: before limits, queues and the selection of an
//!   endpoint, and before any refusal. "Not run" is a guarantee about every send of the
//!   key; an entry that hasn't asked the ledger can't give it and refuses with
//!   `KeyNotChecked` instead.
//! - A request that started here may be placed with an entry that owns an endpoint. It
//!   must carry a header, trusted from entries only, which states that its home has started
//!   it; that entry doesn't ask its own ledger again.
//! - With [`LedgerDecision::Start`] the request runs at most once: after its first byte was
//!   sent to an endpoint there is no retry. A refusal before that ends with
//!   [`Permit::not_run`]; the caller then needs a new key.

mod answer;
mod duty;
mod handle;
mod journal;

pub(crate) use answer::Answer;
pub(crate) use duty::{LedgerDuty, spawn};
pub(crate) use handle::{LedgerDecision, LedgerHandle, Permit, handle};
pub use journal::JournalError;
pub(crate) use journal::{Journals, Recovered, journal_rings, spawn as spawn_journal};
