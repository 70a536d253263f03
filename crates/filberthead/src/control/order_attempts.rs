//! Carries out an order about an evacuation, on the thread of the adapter that received it.

use std::time::Duration;

use filberthead_fleet::{
    EvacuationAction, EvacuationOrder, NextStep, Order, OrderAttempt, OrderError, OrderId,
    OrderOutcome,
};
use filberthead_types::{FailureDomain, Moment};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until};

use super::handle::{ControlHandle, HandleRequest};

/// Pause before another leader is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The sender of an order, as the adapter of its protocol sees it.
pub trait OrderSender {
    /// Whether it still waits for the answer, as far as can be told now.
    fn is_waiting(&self) -> bool;

    /// Whether the order may have waited unread, because this process stood still.
    fn is_delayed(&self) -> bool;
}

/// An order about an evacuation as it was received.
pub(super) struct Received<'a> {
    pub(super) id: OrderId,
    pub(super) domain: &'a FailureDomain,
    pub(super) action: EvacuationAction,
    pub(super) at: Moment,
    pub(super) deadline: Moment,
}

impl ControlHandle {
    /// Carries out an order about an evacuation on condition that it is still wanted.
    pub(super) async fn evacuation(
        &self,
        received: Received<'_>,
        sender: &dyn OrderSender,
    ) -> Result<(), OrderError> {
        if !sender.is_waiting() {
            return Err(OrderError::SenderGone);
        }
        // The close of an operator that has given up may be lost on the way.
        if sender.is_delayed() {
            return Err(OrderError::Delayed);
        }
        let mut attempt = OrderAttempt::new(received.at, received.deadline);
        let mut next = NextStep::QueryRevision;
        loop {
            next = match next {
                NextStep::QueryRevision => match self.order_revision(&received).await {
                    Ok(None) => return self.unconditional(&received).await,
                    Ok(Some(revision)) => attempt.on_revision(self.now(), Ok(revision)),
                    Err(e) => {
                        let next = attempt.on_revision(self.now(), Err(e));
                        if next == NextStep::QueryRevision {
                            sleep(RETRY_PAUSE).await;
                        }
                        next
                    }
                },
                NextStep::CheckSender { at } => {
                    sleep_until(self.instant(at)).await;
                    let is_waiting = sender.is_waiting() && !sender.is_delayed();
                    attempt.on_sender(self.now(), is_waiting)
                }
                NextStep::Propose { expected } => {
                    let outcome = self.propose(&received, expected).await;
                    attempt.on_outcome(self.now(), outcome)
                }
                NextStep::Finish(result) => return result,
            };
        }
    }

    async fn order_revision(&self, received: &Received<'_>) -> Result<Option<u64>, OrderError> {
        let (reply, rx) = oneshot::channel();
        self.push(HandleRequest::OrderRevision {
            domain: received.domain.clone(),
            deadline: received.deadline,
            reply,
        })?;
        rx.await.unwrap_or(Err(OrderError::OutcomeUnknown))
    }

    async fn propose(
        &self,
        received: &Received<'_>,
        expected: u64,
    ) -> Result<OrderOutcome, OrderError> {
        let order = EvacuationOrder {
            id: received.id,
            received_by: self.node().clone(),
            domain: received.domain.clone(),
            action: received.action,
            expected,
        };
        let (reply, rx) = oneshot::channel();
        self.push(HandleRequest::EvacuationOrder {
            order,
            deadline: received.deadline,
            reply,
        })?;
        rx.await.unwrap_or(Err(OrderError::OutcomeUnknown))
    }

    /// Carries out the order without a condition, as replicas of an earlier release in the group
    /// can't decode one.
    async fn unconditional(&self, received: &Received<'_>) -> Result<(), OrderError> {
        let domain = received.domain.clone();
        let order = match received.action {
            EvacuationAction::Evacuate => Order::Evacuate(domain),
            EvacuationAction::Return => Order::Return(domain),
        };
        self.plain_order(received.id, order, received.deadline)
            .await
    }
}
