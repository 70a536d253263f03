//! The attempts of a request that are under way.
//!
//! An endpoint may be at work although contact with its failure domain counts as lost: under overload it
//! answers health checks as late as requests. So an attempt is neither ended because another one is to
//! replace it, nor because none can. They run side by side until one of them is answered. A request on its way
//! through another gateway that is silent is treated alike.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use filberthead_endpoint::RequestBody;
use filberthead_place::{EndpointId, Target};
use filberthead_types::Moment;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::attempt::Attempt;
use super::core::Core;
use super::progress::{GivenUp, Progress};
use super::relay::HelperWatch;

/// Time after which another attempt is asked for again while none under way is in contact.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(500);

/// Where an attempt was sent.
pub(crate) enum Destination {
    /// To an endpoint.
    Endpoint(Target),
    /// Through another gateway.
    Gateway {
        /// Its address.
        addr: SocketAddr,
        /// Endpoints beyond the first one that it may send the request to.
        reserved: u32,
        /// Whether an attempt was kept for the case that it is silent.
        kept: bool,
        /// Tells when it is silent.
        watch: HelperWatch,
    },
}

impl Destination {
    /// The endpoint, or what stands for the other gateway.
    pub(crate) fn id(&self) -> EndpointId {
        match self {
            Self::Endpoint(target) => target.id.clone(),
            Self::Gateway { addr, .. } => EndpointId::from(addr.to_string()),
        }
    }
}

/// How an attempt ends: what became of it, and the number of endpoints that another gateway has reported to
/// have reached with it.
pub(crate) type Ending<'a> = Pin<Box<dyn Future<Output = (Attempt, Option<u32>)> + 'a>>;

/// An attempt under way.
pub(crate) struct RunningAttempt<'a> {
    pub(crate) ending: Ending<'a>,
    pub(crate) to: Destination,
    pub(crate) progress: Rc<Progress>,
    /// The body for a further attempt, if it can be sent again.
    pub(crate) body: Option<RequestBody>,
    /// Whether another attempt may be made while this one is under way.
    pub(crate) is_replaceable: bool,
}

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    pub(crate) attempt: Attempt,
    /// Endpoints that the gateway has reached with it through which it was relayed, if that has told.
    pub(crate) reached: Option<u32>,
    pub(crate) to: Destination,
    /// The body for a further attempt, if it can be sent again.
    pub(crate) body: Option<RequestBody>,
}

/// What has happened to the attempts under way.
pub(crate) enum Event {
    /// One of them has ended.
    Ended(Box<EndedAttempt>),
    /// Contact is lost with the endpoints and gateways of all of them. The request can be sent again with this body.
    OutOfContact(RequestBody),
}

/// The attempts of one request that are under way. Dropped, they are all ended.
pub(crate) struct UnderWay<'a> {
    core: &'a Core,
    attempts: Vec<RunningAttempt<'a>>,
    losses: watch::Receiver<u32>,
    /// When another attempt is asked for again, if contact is lost with all of them.
    next_check: Option<Instant>,
}

impl<'a> UnderWay<'a> {
    /// None yet.
    pub(crate) fn new(core: &'a Core) -> Self {
        Self {
            core,
            attempts: Vec::with_capacity(1),
            losses: core.contact_losses(),
            next_check: None,
        }
    }

    pub(crate) fn push(&mut self, attempt: RunningAttempt<'a>) {
        self.attempts.push(attempt);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Ends the attempts under way for this reason.
    pub(crate) fn end(&mut self, why: GivenUp) {
        for attempt in self.attempts.drain(..) {
            attempt.progress.given_up.set(why);
        }
    }

    /// Waits for the next event. There must be an attempt under way.
    pub(crate) async fn next(&mut self) -> Event {
        loop {
            let next_check = self.schedule_check();
            let (attempts, losses) = (&mut self.attempts, &mut self.losses);
            let check_due = async {
                match next_check {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                ended = poll_fn(|cx| poll_ended(attempts, cx)) => {
                    return Event::Ended(Box::new(ended));
                }
                // The core, which notifies of losses, outlives the request.
                _ = losses.changed() => {}
                () = check_due => {}
            }
            self.next_check = None;
            if let Some(body) = self.body_out_of_contact() {
                return Event::OutOfContact(body);
            }
        }
    }

    /// When contact is looked at next without a notice: a gateway may be silent by then, an attempt may have
    /// been sent since its endpoint's failure domain was lost, and what wasn't to be had may be now.
    fn schedule_check(&mut self) -> Option<Instant> {
        let now = self.core.now();
        let lost_at = self
            .attempts
            .iter()
            .map(|attempt| self.lost_at(attempt, now));
        let all_lost_at = lost_at.collect::<Option<Vec<Moment>>>();
        let all_lost_at = all_lost_at.and_then(|times| times.into_iter().max());
        match all_lost_at {
            Some(at) if at <= now => {
                let at = || Instant::now() + REPLACEMENT_PAUSE;
                Some(*self.next_check.get_or_insert_with(at))
            }
            not_yet => {
                self.next_check = None;
                not_yet.map(|at| Instant::now() + at.saturating_sub(now))
            }
        }
    }

    /// When contact counts as lost with the endpoint or gateway of an attempt that needn't be the only one,
    /// unless something is heard before; `None` if there will be a notice of it.
    fn lost_at(&self, attempt: &RunningAttempt<'_>, now: Moment) -> Option<Moment> {
        if !attempt.is_replaceable {
            return None;
        }
        match &attempt.to {
            Destination::Endpoint(target) => {
                let has_contact = self.core.placer.borrow().has_contact(target);
                (!has_contact).then_some(Moment::ZERO)
            }
            Destination::Gateway { watch, .. } => {
                let sent_at = attempt.progress.sent_at.get().unwrap_or(now);
                Some(watch.silent_at(sent_at))
            }
        }
    }

    fn is_lost(&self, attempt: &RunningAttempt<'_>) -> bool {
        let now = self.core.now();
        self.lost_at(attempt, now).is_some_and(|at| at <= now)
    }

    /// The body for another attempt, if all have been sent and contact is lost with all of them.
    fn body_out_of_contact(&self) -> Option<RequestBody> {
        let is_out = |attempt: &RunningAttempt<'_>| {
            attempt.progress.sent_at.get().is_some() && self.is_lost(attempt)
        };
        let last = self
            .attempts
            .last()
            .filter(|_| self.attempts.iter().all(is_out))?;
        last.body.as_ref()?.try_clone()
    }
}

/// Polls the latest attempt first: one is only counted at its endpoint once it was polled, so none may be
/// dropped before.
fn poll_ended(attempts: &mut Vec<RunningAttempt<'_>>, cx: &mut Context<'_>) -> Poll<EndedAttempt> {
    for index in (0..attempts.len()).rev() {
        if let Poll::Ready((attempt, reached)) = attempts[index].ending.as_mut().poll(cx) {
            let ended = attempts.remove(index);
            return Poll::Ready(EndedAttempt {
                attempt,
                reached,
                to: ended.to,
                body: ended.body,
            });
        }
    }
    Poll::Pending
}
