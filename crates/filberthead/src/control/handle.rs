//! The interface of a control replica to its adapters.
//!
//! An adapter translates an external protocol (of operators, callers or the platform) and decides
//! nothing: it submits orders and endpoint lists, and asks for the routes in force. Its thread
//! never touches the state of the consensus duty.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{
    Endpoint, EvacuationAction, EvacuationOrder, GatewayInfo, Order, OrderError, OrderId,
    OrderOutcome,
};
use filberthead_limits::{Clients, Port, VmLimits};
use filberthead_observe::ControlMetrics;
use filberthead_ring::Sender;
use filberthead_route::Change;
use filberthead_types::{FailureDomain, Moment, NodeName};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::input::Input;
use super::order_attempts::{OrderSender, Received};
use super::order_count::OrderCount;
use crate::stop::Stop;
use crate::{Clock, Duty, DutyError};

/// How long an order or read may take. Operators give up after a second, so a later reply would be
/// lost.
const MAX_WAIT: Duration = Duration::from_millis(850);
/// The same for an order about an evacuation, which may have waited unread for as long as a pause of this
/// process goes unnoticed: both end before operators give up.
const MAX_EVACUATION_WAIT: Duration = Duration::from_millis(650);

/// State that adapters can read at any time, without a request to the consensus duty.
#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// The gateways that callers may be sent to.
    pub gateways: Arc<[GatewayInfo]>,
    /// Term in which this replica is to read the platform's endpoint list: its own while it leads, 0
    /// while it has neither a list nor a known leader, and `None` otherwise.
    pub endpoint_list_term: Option<u64>,
}

/// Submits orders and reads to the consensus duty. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: Sender<Input>,
    published: watch::Receiver<PublishedState>,
    clock: Clock,
    node: NodeName,
    metrics: Arc<ControlMetrics>,
    vm: VmLimits,
}

/// A request to the consensus duty, with the channel for its reply.
#[derive(Debug)]
pub(crate) enum HandleRequest {
    /// Carry out an order.
    Order {
        id: OrderId,
        order: Order,
        deadline: Moment,
        reply: oneshot::Sender<Result<(), OrderError>>,
    },
    /// Return the order revision of a failure domain; `None` while the group can't commit
    /// conditional orders.
    OrderRevision {
        domain: FailureDomain,
        deadline: Moment,
        reply: oneshot::Sender<Result<Option<u64>, OrderError>>,
    },
    /// Carry out a conditional order.
    EvacuationOrder {
        order: EvacuationOrder,
        deadline: Moment,
        reply: oneshot::Sender<Result<OrderOutcome, OrderError>>,
    },
    /// Return the routes in force, proven to be the newest.
    Routes {
        deadline: Moment,
        reply: oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    },
    /// Store the platform's endpoint list.
    EndpointList {
        /// Term in which it was asked for.
        term: u64,
        list: Vec<Endpoint>,
    },
}

impl ControlHandle {
    pub(crate) fn new(
        tx: Sender<Input>,
        published: watch::Receiver<PublishedState>,
        clock: Clock,
        node: NodeName,
        metrics: Arc<ControlMetrics>,
        vm: VmLimits,
    ) -> Self {
        Self {
            tx,
            published,
            clock,
            node,
            metrics,
            vm,
        }
    }

    /// The bounds on what the clients of an adapter's port make the process hold.
    pub fn clients(&self, port: Port) -> Rc<Clients> {
        Clients::new(port, self.vm.others(), self.metrics.clients().port(port))
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(super) fn instant(&self, moment: Moment) -> Instant {
        self.clock.instant(moment)
    }

    /// Name of this replica's node.
    pub(super) fn node(&self) -> &NodeName {
        &self.node
    }

    /// Carries out an order, which `id` identifies in logs. `Ok` means that it is committed: a majority has it on disk.
    ///
    /// # Errors
    ///
    /// No error means that the order was rejected. It may be sent again, to any replica, and
    /// takes effect at most once.
    pub async fn order(
        &self,
        id: OrderId,
        order: Order,
        sender: &dyn OrderSender,
    ) -> Result<(), OrderError> {
        let mut count = OrderCount::new(&self.metrics);
        let result = self.carry_out(id, order, sender).await;
        count.set(result);
        result
    }

    async fn carry_out(
        &self,
        id: OrderId,
        order: Order,
        sender: &dyn OrderSender,
    ) -> Result<(), OrderError> {
        let at = self.now();
        let (domain, action) = match &order {
            Order::Evacuate(domain) => (domain, EvacuationAction::Evacuate),
            Order::Return(domain) => (domain, EvacuationAction::Return),
            Order::Routes(_) => return self.plain_order(id, order, at + MAX_WAIT).await,
        };
        let received = Received {
            id,
            domain,
            action,
            at,
            deadline: at + MAX_EVACUATION_WAIT,
        };
        self.evacuation(received, sender).await
    }

    /// Carries out an order without a condition.
    pub(super) async fn plain_order(
        &self,
        id: OrderId,
        order: Order,
        deadline: Moment,
    ) -> Result<(), OrderError> {
        let (reply, rx) = oneshot::channel();
        self.push(HandleRequest::Order {
            id,
            order,
            deadline,
            reply,
        })?;
        rx.await.unwrap_or(Err(OrderError::OutcomeUnknown))
    }

    /// The routes in force, if any. They are the newest as of some moment after the call.
    ///
    /// # Errors
    ///
    /// Fails if that can't be proven, because there is no leader or it can't be reached.
    pub async fn routes(&self) -> Result<Option<Arc<Change>>, OrderError> {
        let (reply, rx) = oneshot::channel();
        let deadline = self.now() + MAX_WAIT;
        self.push(HandleRequest::Routes { deadline, reply })?;
        rx.await.unwrap_or(Err(OrderError::NoLeader))
    }

    /// Submits the platform's endpoint list, which was asked for in `term`. A replica that doesn't lead
    /// in that term ignores it if it has a list already. It is dropped if the queue is full; the next
    /// one is read soon.
    pub fn submit_endpoints(&self, term: u64, list: Vec<Endpoint>) {
        if self
            .push(HandleRequest::EndpointList { term, list })
            .is_err()
        {
            log::warn!("endpoint list dropped, the queue to the consensus duty is full");
        }
    }

    /// The state published last.
    pub fn published(&self) -> PublishedState {
        self.published.borrow().clone()
    }

    pub(super) fn push(&self, req: HandleRequest) -> Result<(), OrderError> {
        self.tx
            .push(Input::Adapter(req))
            .map_err(|_| OrderError::Busy)
    }
}

/// A front end for an external protocol, on a thread of its own.
pub trait Adapter: Send {
    /// Name of the adapter's thread, and of its address in the `ready` line.
    fn name(&self) -> &'static str;

    /// The address it listens on; `None` if it doesn't listen.
    fn addr(&self) -> Option<SocketAddr>;

    /// Runs until the process stops.
    fn run(self: Box<Self>, control: ControlHandle, stop: Stop) -> crate::LocalFuture;
}

pub(super) fn spawn(
    adapter: Box<dyn Adapter>,
    control: ControlHandle,
    stop: Stop,
) -> Result<Duty, DutyError> {
    Duty::spawn(adapter.name(), move || adapter.run(control, stop))
}
