//! Keeps the requests of a workspace within its allotment, summed over all gateways, without
//! I/O.
//!
//! A workspace may send a number of requests per second, and a burst beyond it, through any
//! gateways. A gateway sees a few of them, and where the next one arrives is up to the callers,
//! so an even share of the allotment would be a fraction of a request for most gateways and
//! far too little for some.
//!
//! Gateways therefore count locally and share only totals:
//!
//! - each gateway's [`Limiter`] measures the requests of each workspace and reports their rates
//!   ([`Usage`]) to control;
//! - each control replica adds up the reports of all gateways in a [`Pool`], and tells the
//!   gateways which *part* of a workspace's requests may be sent ([`AdmitRatio`]). Workspaces
//!   that are well below their rate aren't mentioned, and all their requests are sent;
//! - a gateway sends that part of its own requests. A caller that moves to another gateway is
//!   treated alike there from its first request on.
//!
//! A total is about a second old. The pool keeps a balance of what was sent beyond the rate
//! since, and takes it back, so the sum over any longer time stays within rate and burst.
//!
//! A gateway without contact to control doesn't know the totals. It goes on with the rate that
//! it has last reported ([`Usage::reserved_milli`]), and control counts that rate as sent until
//! the gateway is heard again or has been silent for so long that it isn't counted any more.

mod bucket;
mod limiter;
mod pool;
mod rate;
mod refusals;
mod shares;
mod usage;

pub use limiter::{Admission, Contact, Limiter, LimiterConfig};
pub use pool::{Pool, Presence, WorkspaceTotals, sum_up};
pub use refusals::{RefusalMeter, RefusedRate};
pub use shares::{
    DividedService, MAX_NAMED, Offer, OtherShare, OtherWork, ServiceShares, ServiceWork, Share,
    ShareMeter, SharePool, Shares, Shortages, WorkspaceWork,
};
pub use usage::{AdmitRatio, Usage};
