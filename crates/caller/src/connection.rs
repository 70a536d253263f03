//! Callers' connections, and how idle ones are closed.
//!
//! A connection is polled for every request, so nothing else is polled along with it:
//! neither a timer that each request would reset nor a channel that signals a planned stop.
//! Instead each connection stores in a cell when it was last used, and a task that runs every
//! few seconds, or at a planned stop, wakes the connections that must close.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use filberthead_limits::Admitted;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use log::debug;

use crate::stream::{CallerStream, ServedBody};

/// State shared by a connection's task and the rest of the server.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// What the caller makes the process hold.
    pub(crate) admitted: Admitted,
    waker: RefCell<Option<Waker>>,
    closing: Cell<bool>,
    /// Whether a request is being answered.
    running: Cell<bool>,
    /// Number of sweeps so far when a request last began or ended.
    last_used: Cell<u32>,
    /// Whether an answer is being written whose end is that of the connection.
    in_unframed_answer: Cell<bool>,
}

/// All open connections of a server.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    next_id: Cell<u64>,
    /// Number of sweeps so far.
    sweep: Cell<u32>,
}

/// Keeps a connection in the list of open ones until it is dropped.
#[derive(Debug)]
pub(crate) struct Registration {
    connections: Rc<Connections>,
    id: u64,
    /// Read by the connection's task.
    pub(crate) state: Rc<ConnectionState>,
}

impl Connections {
    pub(crate) fn register(self: &Rc<Self>, admitted: Admitted) -> Registration {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = Rc::new(ConnectionState {
            admitted,
            waker: RefCell::default(),
            closing: Cell::default(),
            running: Cell::default(),
            last_used: Cell::new(self.sweep.get()),
            in_unframed_answer: Cell::default(),
        });
        self.open.borrow_mut().insert(id, Rc::clone(&state));
        Registration {
            connections: Rc::clone(self),
            id,
            state,
        }
    }

    /// Records that a request begins.
    pub(crate) fn begin_request(&self, state: &ConnectionState) {
        state.running.set(true);
        state.admitted.begin();
        state.last_used.set(self.sweep.get());
    }

    /// Records that a request was answered.
    pub(crate) fn end_request(&self, state: &ConnectionState) {
        state.running.set(false);
        state.last_used.set(self.sweep.get());
    }

    /// Closes idle connections that weren't used during the last `sweeps` calls of this
    /// function.
    pub(crate) fn sweep(&self, sweeps: u32) {
        let now = self.sweep.get().wrapping_add(1);
        self.sweep.set(now);
        let unused = |state: &ConnectionState| {
            !state.running.get() && now.wrapping_sub(state.last_used.get()) > sweeps
        };
        for state in self.open.borrow().values() {
            if unused(state) {
                state.close();
            }
        }
    }

    /// Closes all connections gracefully, each after the request that it is answering.
    pub(crate) fn close_all(&self) {
        for state in self.open.borrow().values() {
            state.close();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }
}

impl ConnectionState {
    pub(crate) fn set_in_unframed_answer(&self, in_unframed_answer: bool) {
        self.in_unframed_answer.set(in_unframed_answer);
    }

    pub(crate) fn is_in_unframed_answer(&self) -> bool {
        self.in_unframed_answer.get()
    }

    fn close(&self) {
        self.closing.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

/// Future that serves a connection, and shuts it down gracefully once
/// [`ConnectionState::closing`] is set.
pub(crate) struct ServedConnection<S: HttpService<hyper::body::Incoming>> {
    connection: Pin<Box<http1::Connection<TokioIo<CallerStream>, S>>>,
    registration: Registration,
    shut_down: bool,
}

impl<S> ServedConnection<S>
where
    S: HttpService<hyper::body::Incoming, ResBody = ServedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pub(crate) fn new(
        connection: http1::Connection<TokioIo<CallerStream>, S>,
        registration: Registration,
    ) -> Self {
        Self {
            connection: Box::pin(connection),
            registration,
            shut_down: false,
        }
    }

    fn store_waker(&self, cx: &Context<'_>) {
        let mut waker = self.registration.state.waker.borrow_mut();
        match &*waker {
            Some(known) if known.will_wake(cx.waker()) => {}
            _ => *waker = Some(cx.waker().clone()),
        }
    }
}

impl<S> Future for ServedConnection<S>
where
    S: HttpService<hyper::body::Incoming, ResBody = ServedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if !self.shut_down {
            if self.registration.state.closing.get() {
                self.shut_down = true;
                self.connection.as_mut().graceful_shutdown();
            } else {
                self.store_waker(cx);
            }
        }
        let result = std::task::ready!(self.connection.as_mut().poll(cx));
        if let Err(e) = result {
            debug!(error:% = e; "a caller's connection failed");
        }
        Poll::Ready(())
    }
}
