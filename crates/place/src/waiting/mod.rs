//! Requests that wait at a gateway while the endpoints of their service are congested.
//!
//! - [`Window`]: how many requests the gateway may have in flight for a service in a region. It follows the
//!   queueing that endpoints report with their answers.
//! - [`WaitingRoom`]: holds the requests beyond the windows, in order of priority, and rejects those that
//!   can't be served in time.
//! - [`UsualDeadlines`]: how long callers have already waited who repeat a request.
//! - [`Site`]: the service and region that a window is for.
//!
//! The windows follow a service as a whole. One of 24 or 68 gateways hears from a single endpoint once in
//! several seconds, but from all endpoints of a service in a region many times a second.

mod first_sent;
mod meter;
mod order;
mod queue;
mod room;
mod shares;
mod site;
mod window;

pub use first_sent::UsualDeadlines;
pub use room::{Enqueued, RoomLimits, Ticket, WaitingRoom, WindowChange};
pub use site::{ExpectedWork, Site, SiteEndpoint};
pub use window::Window;

use std::time::Duration;

use filberthead_types::{Moment, Workspace};

/// A request that asks for a place in the window of its site.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Where it is to run.
    pub site: Site,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Who sent it; `None` if the route needs no key.
    pub workspace: Option<Workspace>,
    /// Whether its caller has sent it before and was rejected.
    pub has_returned: bool,
    /// Whether an endpoint is known to have its object cached.
    pub is_cached: bool,
    /// Expected time at the endpoint, without a wait there.
    pub work: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
    /// When the last byte of it was received.
    pub arrived: Moment,
    /// Latest start that meets the objective.
    pub start_by: Moment,
    /// When it must be answered.
    pub deadline: Moment,
    /// Memory that it occupies while it waits.
    pub bytes: usize,
}

impl Waiter {
    /// Latest start that meets the deadline.
    fn latest_start(&self) -> Moment {
        self.deadline.saturating_sub(self.work)
    }

    /// Whether it meets its objective if it is started now.
    fn can_be_in_time(&self, now: Moment) -> bool {
        now <= self.start_by
    }
}
