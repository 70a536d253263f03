//! What an adapter to operators, callers and the platform may ask of a control replica.
//!
//! An adapter speaks somebody's protocol and decides nothing: it hands orders and lists
//! in here and asks for what is in force. Its threads never touch the state of the
//! consensus duty.

use std::net::SocketAddr;
use std::sync::Arc;

use filberthead_fleet::{Endpoint, GatewayInfo, Order, OrderError};
use filberthead_ring::Sender;
use filberthead_route::Change;
use tokio::sync::{oneshot, watch};

use super::input::Input;
use crate::stop::Stop;
use crate::{Duty, DutyError};

/// What a control replica shows to adapters at any moment, without being asked.
#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// The gateways that callers may be sent to.
    pub gateways: Arc<[GatewayInfo]>,
    /// Whether this replica is to read the platform's list: while it leads, or while it
    /// knows neither a leader nor any list.
    pub polls_endpoint_list: bool,
}

/// Hands orders to a control replica and asks it.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: Sender<Input>,
    published: watch::Receiver<PublishedState>,
}

/// A request to the consensus duty, with the way back.
#[derive(Debug)]
pub(crate) enum AdapterRequest {
    /// Carry out an order.
    Order {
        order: Order,
        reply: oneshot::Sender<Result<(), OrderError>>,
    },
    /// Tell the routes in force, proved newest.
    Routes {
        reply: oneshot::Sender<Result<Option<Arc<Change>>, OrderError>>,
    },
    /// Take in the platform's list, read while this replica led.
    EndpointList(Vec<Endpoint>),
}

impl ControlHandle {
    pub(crate) fn new(tx: Sender<Input>, published: watch::Receiver<PublishedState>) -> Self {
        Self { tx, published }
    }

    /// Carries out an order. `Ok` means that a majority has it on disk, for good.
    ///
    /// # Errors
    ///
    /// None of the errors is a refusal. The same order may be sent again, to any replica;
    /// it takes effect at most once.
    pub async fn order(&self, order: Order) -> Result<(), OrderError> {
        let (reply, rx) = oneshot::channel();
        self.push(AdapterRequest::Order { order, reply })?;
        rx.await.unwrap_or(Err(OrderError::OutcomeUnknown))
    }

    /// The routes in force, if there are any. They are the newest at some moment after
    /// the call.
    ///
    /// # Errors
    ///
    /// Fails if that can't be proved, for want of a leader or of a way to it.
    pub async fn routes(&self) -> Result<Option<Arc<Change>>, OrderError> {
        let (reply, rx) = oneshot::channel();
        self.push(AdapterRequest::Routes { reply })?;
        rx.await.unwrap_or(Err(OrderError::NoLeader))
    }

    /// Hands in the platform's list. It counts only while this replica leads; one that
    /// finds no room is dropped, for the next one is read soon.
    pub fn submit_endpoints(&self, list: Vec<Endpoint>) {
        if self.push(AdapterRequest::EndpointList(list)).is_err() {
            log::warn!("a list of endpoints is dropped, the consensus duty is behind");
        }
    }

    /// What the replica shows at this moment.
    pub fn published(&self) -> PublishedState {
        self.published.borrow().clone()
    }

    fn push(&self, req: AdapterRequest) -> Result<(), OrderError> {
        self.tx
            .push(Input::Adapter(req))
            .map_err(|_| OrderError::Busy)
    }
}

/// Speaks somebody's protocol on a thread of its own.
pub trait Adapter: Send {
    /// Name of the adapter's thread, and of its address in the `ready` line.
    fn name(&self) -> &'static str;

    /// Where it listens, if it does.
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
