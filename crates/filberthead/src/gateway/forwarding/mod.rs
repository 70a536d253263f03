//! Forwards one request over one or more attempts to its final response.

mod after;
mod finish;
mod next;
mod retries;
mod start;
mod wait;

use std::rc::Rc;
use std::sync::Arc;

use filberthead_endpoint::RequestBody;
use filberthead_place::{Attempts, Homes, Object, Placer, Request as PlacementRequest, RouteKey};
use filberthead_route::{Kind, Route};
use filberthead_types::{Moment, NodeName, RequestPrints, ResultCode, ServiceName};
use http::Response;
use http::request::Parts;

use self::next::{Next, Reach, Start};
use super::caller::{Caller, Charge, NotAdmitted};
use super::core::Core;
use super::deadline::Deadline;
use super::headers::header_text;
use super::response::ResponseBody;
use super::retry::GrantedRetry;
use super::stop::StopStage;
use super::timing::RequestTimer;
use super::under_way::{Destination, Event, UnderWay};
use super::waiting::Place;

/// A request being forwarded.
pub(super) struct Forwarding<'a> {
    pub(super) core: &'a Rc<Core>,
    pub(super) route: &'a Arc<Route>,
    pub(super) service: &'a ServiceName,
    pub(super) head: &'a Parts,
    pub(super) caller: &'a Caller,
    pub(super) deadline: Deadline,
    /// By which repeats of the request are recognised.
    pub(super) prints: RequestPrints,
    /// 0 is the most urgent.
    pub(super) priority: u8,
    /// Whether an earlier attempt of the caller has used part of its deadline.
    pub(super) is_retry: bool,
    /// Whether it has a place in a limited window. The window keeps the queues at endpoints short, so that an
    /// estimated wait there speaks less against the request.
    pub(super) is_windowed: bool,
    /// Version and revision of the routes that it was matched against.
    pub(super) version: u64,
    pub(super) revision: u64,
    pub(super) attempts: Attempts,
    /// The gateway that relayed it, if one has. It isn't relayed again.
    pub(super) relayed_by: Option<&'a NodeName>,
    /// Attempts that were made before it was relayed.
    pub(super) attempts_before: u32,
    /// Whether so many endpoints couldn't be reached that only another gateway is tried.
    pub(super) must_relay: bool,
    /// Gateways that it was relayed through.
    pub(super) relays: u32,
    /// The retry that the next attempt is.
    pub(super) retry: &'a GrantedRetry<'a>,
    /// Response of an endpoint that ran the request and failed. The caller gets it if no further
    /// attempt can be made.
    pub(super) failed_response: Option<Response<ResponseBody>>,
    /// When it arrived, seen from a planned stop.
    pub(super) stop_stage: StopStage,
    /// Measures it from its first attempt on.
    pub(super) timer: Option<RequestTimer>,
}

impl<'a> Forwarding<'a> {
    pub(super) async fn run(&mut self, body: RequestBody) -> Response<ResponseBody> {
        let core = self.core;
        let charge = match self.relayed_by.is_some() {
            true => Ok(Charge::taken_elsewhere(core, self.caller)),
            false => Charge::take(core, self.caller, (self.service, self.priority)),
        };
        let mut charge = match charge {
            Ok(charge) => charge,
            Err(NotAdmitted::Allotment(retry_after)) => {
                return self.final_response(ResultCode::AllotmentUsed, retry_after);
            }
            Err(NotAdmitted::Share(retry_after)) => return self.refuse_by_share(retry_after),
        };
        let is_large = self.route.kind == Kind::Download;
        if is_large && let Err(retry_after) = self.core.admit_large(self.is_retry) {
            return self.final_response(ResultCode::LinkBusy, retry_after);
        }
        let place = match self.wait_for_place(&body).await {
            Ok(place) => place,
            Err(no_place) => return self.reject_without_place(no_place),
        };
        self.is_windowed = place.as_ref().is_some_and(Place::is_limited);
        let mut under_way = UnderWay::new(core);
        let mut next = Next::Send(body);
        loop {
            next = match next {
                Next::Send(body) => match self.start(body, &mut charge, Reach::Any) {
                    Start::Started(attempt) => {
                        if let (Some(place), Destination::Endpoint(target)) = (&place, &attempt.to)
                        {
                            place.move_to(target.into());
                        }
                        self.start_timer();
                        under_way.push(*attempt);
                        Next::Wait
                    }
                    Start::Rejected { code, retry_after } => {
                        if !under_way.is_empty() {
                            self.retry.give_back("no attempt started");
                        }
                        Next::reject(code, retry_after)
                    }
                },
                Next::Respond(response, why) => {
                    under_way.end(why);
                    return *response;
                }
                Next::Fail(response) if under_way.is_empty() => {
                    return self.failed_response.take().unwrap_or(*response);
                }
                Next::Reject { code, retry_after } if under_way.is_empty() => {
                    return self.final_response(code, retry_after);
                }
                Next::Fail(response) => {
                    self.keep_failure(*response);
                    Next::Wait
                }
                Next::Wait | Next::Reject { .. } => match under_way.next().await {
                    Event::Ended(ended) => self.after_attempt(*ended, &mut charge),
                    Event::OutOfContact(body) => {
                        let attempt = self.start_another(body, &mut charge);
                        attempt.into_iter().for_each(|a| under_way.push(a));
                        Next::Wait
                    }
                },
            }
        }
    }

    fn start_timer(&mut self) {
        if self.timer.is_none() {
            self.timer = Some(RequestTimer::start(self.core, self.service, self.route));
        }
    }

    fn homes(&self) -> Homes<'_> {
        Homes {
            route: &self.route.regions,
            workspace: self.caller.regions(),
        }
    }

    /// Asks the placer about the request, for an endpoint for instance.
    fn place<T>(&self, place: impl FnOnce(&mut Placer, Moment, PlacementRequest<'_>) -> T) -> T {
        let object = self.head.headers.get(&self.core.protocol.affinity_key);
        let object = object.map(|value| value.as_bytes());
        let request = PlacementRequest {
            service: self.service,
            route: RouteKey::new(&self.route.prefix),
            object: object.filter(|_| self.route.sticky).map(|name| Object {
                prefix: &self.route.prefix,
                name,
            }),
            large: self.route.kind == Kind::Download,
            objective: self.route.objective,
            remaining: self.deadline.remaining(),
            priority: self.priority,
            is_caller_retry: self.is_retry || self.is_windowed,
            homes: self.homes(),
            excluded: self.attempts.excluded(),
        };
        let now = self.core.now();
        place(&mut self.core.placer.borrow_mut(), now, request)
    }

    fn request_id(&self) -> &str {
        header_text(&self.head.headers, &self.core.protocol.request_id)
    }
}
