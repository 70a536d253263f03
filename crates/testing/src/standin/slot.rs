//! A slot taken by a running request.

use std::sync::Arc;

use super::record::{ObservedRequest, Stage};
use super::state::State;

/// A slot and the request that runs in it. Dropping it frees the slot, and records the request as
/// cancelled unless it was answered before.
#[derive(Debug)]
pub(super) struct SlotGuard {
    state: Arc<State>,
    request: Arc<ObservedRequest>,
    recorded: bool,
    answered: bool,
}

impl SlotGuard {
    /// Takes a slot; `None` if none is free.
    pub(super) fn acquire(
        state: &Arc<State>,
        request: &Arc<ObservedRequest>,
        slots: u32,
        recorded: bool,
    ) -> Option<Self> {
        let free = state.recorder.running.try_increment(slots);
        free.then(|| Self {
            state: Arc::clone(state),
            request: Arc::clone(request),
            recorded,
            answered: false,
        })
    }

    pub(super) fn record_executed(&self) {
        self.push(Stage::Executed);
    }

    pub(super) fn record_answered(mut self) {
        self.answered = true;
        self.push(Stage::Answered);
    }

    fn push(&self, stage: Stage) {
        if self.recorded {
            self.state.recorder.push(stage, &self.request);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.push(Stage::Cancelled);
        }
        self.state.recorder.running.decrement();
        self.state.freed.notify_waiters();
    }
}
