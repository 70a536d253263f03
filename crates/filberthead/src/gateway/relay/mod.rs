//! Relays requests through another gateway while this one has no contact with the endpoints that may
//! run them.
//!
//! The other gateway, the *helper*, handles a relayed request like one of its own callers', with these
//! exceptions: it relays it no further, so there is one hop and no circle; the sender has counted it as
//! a first attempt and charged it to the allotment of its workspace; and the sender says how many
//! attempts are left, which service it chose and which routes it knows. What the helper answers
//! tells the sender whether the request may have run. A retry that gets no answer counts at the sender until
//! the helper has answered something that was sent later, and at the helper while its endpoint may still
//! read it. The helper also tells how many endpoints it has sent the request to; without an answer it is
//! taken to be all that it was allowed. A connection that breaks after the request was
//! sent tells nothing, so a request that may run only once isn't sent again.

mod head;
mod helpers;
mod send;

pub(crate) use head::{
    HelperReport, RELAY, RELAYED_ATTEMPT, RELAYED_KEY, RelayHead, read_attempt, read_key,
};
pub(crate) use helpers::{ChosenHelper, HelperWatch, Helpers};
pub(crate) use send::{is_unhelpful, relay};
