//! The connections of one port and what their clients make the process hold.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::counters::{Port, PortCounters, count, set};

/// A client that takes nothing of an answer for this long may be disconnected in the midst of it.
const TAKEN_WITHIN: Duration = Duration::from_secs(5);
/// Least time between two log lines about clients that had to give way.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Stands for a connection that isn't counted. Ids of others begin above it.
const NO_CONNECTION: u64 = 0;

/// Bounds over all connections of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortBounds {
    /// Open connections.
    pub connections: usize,
    /// Bytes of unfinished heads, messages and bodies, and of bodies whose requests run.
    pub held_bytes: usize,
}

/// The clients of one port.
#[derive(Debug)]
pub struct Clients {
    port: Port,
    bounds: PortBounds,
    state: RefCell<State>,
    counters: Arc<PortCounters>,
    logged: Cell<Option<Instant>>,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    /// Order in which clients began to keep the process waiting.
    next_turn: u64,
    /// Open connections, without those that were told to close.
    open: usize,
    /// Bytes held.
    held: usize,
    /// The part of bodies that are complete.
    complete: usize,
    connections: HashMap<u64, Connection>,
    /// Connections that wait for a head, by turn.
    idle: BTreeMap<u64, u64>,
    /// Connections in the midst of a head or message, by turn.
    unfinished: BTreeMap<u64, u64>,
    /// Connections whose clients don't take the rest of an answer, by turn, and since when.
    stalled: BTreeMap<u64, (u64, Instant)>,
    /// Bodies in the midst of which their clients are, by turn.
    bodies: BTreeMap<u64, UnfinishedBody>,
}

#[derive(Debug)]
struct Connection {
    activity: Activity,
    evicted: Rc<Notify>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Waits for a request, of which this many bytes were received.
    Waiting { turn: u64, bytes: usize },
    /// A request was received.
    Busy,
    /// Its client doesn't take the rest of an answer.
    Stalled { turn: u64 },
    /// Closes after the answer to a request whose body was ended.
    Ending,
    /// Was told to close.
    Evicted,
}

impl Activity {
    fn is_counted(self) -> bool {
        !matches!(self, Self::Ending | Self::Evicted)
    }
}

#[derive(Debug)]
struct UnfinishedBody {
    connection: u64,
    bytes: usize,
    revoked: Rc<Notify>,
}

/// A client that has to give way.
enum Victim {
    Connection(u64),
    Body(u64),
}

impl State {
    fn turn(&mut self) -> u64 {
        self.next_turn += 1;
        self.next_turn
    }

    /// Takes a connection out of those that wait.
    fn leave(&mut self, activity: Activity) {
        match activity {
            Activity::Waiting { turn, bytes: 0 } => {
                self.idle.remove(&turn);
            }
            Activity::Waiting { turn, bytes } => {
                self.unfinished.remove(&turn);
                self.held -= bytes;
            }
            Activity::Stalled { turn } => {
                self.stalled.remove(&turn);
            }
            Activity::Busy | Activity::Ending | Activity::Evicted => {}
        }
    }

    fn set_activity(&mut self, id: u64, activity: Activity) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.activity = activity;
        }
    }

    fn oldest_body(&self) -> Option<u64> {
        self.bodies.keys().next().copied()
    }

    /// The oldest unfinished head, message or body.
    fn longest_unfinished(&self) -> Option<Victim> {
        older(self.unfinished.first_key_value(), self.oldest_body())
    }

    /// The connection that has been without a complete request for longest.
    fn longest_waiting(&self) -> Option<Victim> {
        let idle = self.idle.first_key_value();
        let unfinished = self.unfinished.first_key_value();
        let waiting = idle
            .into_iter()
            .chain(unfinished)
            .min_by_key(|(turn, _)| **turn);
        older(waiting, self.oldest_body()).or_else(|| self.longest_stalled())
    }

    fn longest_stalled(&self) -> Option<Victim> {
        let (id, since) = self.stalled.values().next()?;
        let stalled = Instant::now().saturating_duration_since(*since);
        (stalled >= TAKEN_WITHIN).then_some(Victim::Connection(*id))
    }
}

fn older(connection: Option<(&u64, &u64)>, body: Option<u64>) -> Option<Victim> {
    match (connection, body) {
        (Some((turn, _)), Some(body)) if body < *turn => Some(Victim::Body(body)),
        (Some((_, id)), _) => Some(Victim::Connection(*id)),
        (None, body) => body.map(Victim::Body),
    }
}

impl Clients {
    /// No client is connected yet.
    pub fn new(port: Port, bounds: PortBounds, counters: Arc<PortCounters>) -> Rc<Self> {
        Rc::new(Self {
            port,
            bounds,
            state: RefCell::default(),
            counters,
            logged: Cell::new(None),
        })
    }

    /// Admits a new connection. If there are as many as allowed, the one that has been without a complete
    /// request for longest is closed; `None` if each has one in progress.
    pub fn admit(self: &Rc<Self>) -> Option<Admitted> {
        while self.state.borrow().open >= self.bounds.connections {
            let victim = self.state.borrow().longest_waiting();
            let Some(victim) = victim else {
                count(&self.counters.refused);
                self.log("connection refused, as each of the others has a request in progress");
                return None;
            };
            self.evict(victim);
        }
        let mut state = self.state.borrow_mut();
        state.next_id += 1;
        let (id, turn) = (state.next_id, state.turn());
        let evicted = Rc::new(Notify::new());
        let connection = Connection {
            activity: Activity::Waiting { turn, bytes: 0 },
            evicted: Rc::clone(&evicted),
        };
        state.connections.insert(id, connection);
        state.idle.insert(turn, id);
        state.open += 1;
        set(&self.counters.open, state.open);
        drop(state);
        Some(Admitted {
            clients: Rc::clone(self),
            id,
            is_answered: Cell::new(false),
            evicted,
        })
    }

    /// Starts to hold a body whose connection isn't one of these; otherwise like [`Admitted::hold_body`].
    pub fn hold_body(self: &Rc<Self>, len: usize) -> Option<HeldBody> {
        self.hold_body_of(NO_CONNECTION, len)
    }

    fn hold_body_of(self: &Rc<Self>, connection: u64, len: usize) -> Option<HeldBody> {
        let mut state = self.state.borrow_mut();
        if state.complete.saturating_add(len) > self.bounds.held_bytes {
            return None;
        }
        let turn = state.turn();
        let revoked = Rc::new(Notify::new());
        let body = UnfinishedBody {
            connection,
            bytes: 0,
            revoked: Rc::clone(&revoked),
        };
        state.bodies.insert(turn, body);
        Some(HeldBody {
            clients: Rc::clone(self),
            turn,
            bytes: 0,
            is_complete: false,
            revoked,
        })
    }

    /// Bytes held of unfinished heads, messages and bodies, and of bodies whose requests run.
    pub fn held_bytes(&self) -> usize {
        self.state.borrow().held
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.state.borrow().open
    }

    fn evict(&self, victim: Victim) {
        match victim {
            Victim::Connection(id) => self.close(id),
            Victim::Body(turn) => self.revoke(turn),
        }
    }

    /// Tells a connection to close. It doesn't count from here on, or further ones would be told so until
    /// its task has run.
    fn close(&self, id: u64) {
        let mut state = self.state.borrow_mut();
        let Some(connection) = state.connections.get_mut(&id) else {
            return;
        };
        let activity = std::mem::replace(&mut connection.activity, Activity::Evicted);
        connection.evicted.notify_one();
        state.leave(activity);
        if activity.is_counted() {
            state.open -= 1;
        }
        drop(state);
        self.update_counters();
        count(&self.counters.closed);
        self.log("connection closed without a request, to make room for others");
    }

    /// Ends a body that isn't complete, and with it its connection.
    fn revoke(&self, turn: u64) {
        let mut state = self.state.borrow_mut();
        let Some(body) = state.bodies.remove(&turn) else {
            return;
        };
        state.held -= body.bytes;
        body.revoked.notify_one();
        if let Some(connection) = state.connections.get_mut(&body.connection)
            && connection.activity == Activity::Busy
        {
            connection.activity = Activity::Ending;
            state.open -= 1;
        }
        drop(state);
        self.update_counters();
        count(&self.counters.ended_bodies);
        self.log("unfinished body of a request ended, to make room for others");
    }

    /// Makes unfinished heads, messages and bodies give way until the others fit.
    fn relieve(&self) {
        while self.state.borrow().held > self.bounds.held_bytes {
            let victim = self.state.borrow().longest_unfinished();
            let Some(victim) = victim else {
                return;
            };
            self.evict(victim);
        }
    }

    fn update_counters(&self) {
        let state = self.state.borrow();
        set(&self.counters.open, state.open);
        set(&self.counters.held_bytes, state.held);
    }

    fn log(&self, message: &str) {
        let now = Instant::now();
        let is_due = |last: Instant| now.saturating_duration_since(last) >= LOG_PERIOD;
        if !self.logged.get().is_none_or(is_due) {
            return;
        }
        self.logged.set(Some(now));
        let totals = self.counters.totals();
        warn!(port = self.port.as_str(), connections = totals.open, max_connections = self.bounds.connections,
            held_bytes = totals.held_bytes, max_held_bytes = self.bounds.held_bytes,
            refused = totals.refused, closed = totals.closed, ended_bodies = totals.ended_bodies; "{message}");
    }
}

/// A connection that was admitted. Dropped, it makes room for another.
#[derive(Debug)]
pub struct Admitted {
    clients: Rc<Clients>,
    id: u64,
    /// Whether the last request was answered, as far as the server is concerned.
    is_answered: Cell<bool>,
    evicted: Rc<Notify>,
}

impl Admitted {
    /// Counts bytes that were received of a head or message that isn't complete.
    pub fn received(&self, bytes: usize) {
        {
            let mut state = self.clients.state.borrow_mut();
            let Some(connection) = state.connections.get(&self.id) else {
                return;
            };
            let Activity::Waiting {
                turn,
                bytes: before,
            } = connection.activity
            else {
                return;
            };
            if bytes == 0 {
                return;
            }
            let turn = match before {
                0 => {
                    state.idle.remove(&turn);
                    let turn = state.turn();
                    state.unfinished.insert(turn, self.id);
                    turn
                }
                _ => turn,
            };
            state.held += bytes;
            let bytes = before + bytes;
            state.set_activity(self.id, Activity::Waiting { turn, bytes });
        }
        self.clients.relieve();
        self.clients.update_counters();
    }

    /// The head or message is complete. A connection that was told to close meanwhile stays open for the
    /// request.
    pub fn begin(&self) {
        self.is_answered.set(false);
        self.change(|_| Activity::Busy);
    }

    /// The answer is complete; waits for the next head or message.
    pub fn finish(&self) {
        if self.is_ending() {
            return;
        }
        self.is_answered.set(true);
        self.wait();
    }

    /// The client takes no more of an answer at present.
    pub fn stall(&self) {
        self.change(|state| {
            let turn = state.turn();
            state.stalled.insert(turn, (self.id, Instant::now()));
            Activity::Stalled { turn }
        });
    }

    /// The client takes the answer again.
    pub fn resume(&self) {
        match self.is_answered.get() {
            true => self.wait(),
            false => self.change(|_| Activity::Busy),
        }
    }

    /// Whether it has to close at once.
    pub fn is_evicted(&self) -> bool {
        self.activity() == Some(Activity::Evicted)
    }

    /// Whether it has to close after the answer to the request in progress, whose body was ended.
    pub fn is_ending(&self) -> bool {
        self.activity() == Some(Activity::Ending)
    }

    /// Waits until it has to close at once.
    pub async fn evicted(&self) {
        while !self.is_evicted() {
            self.evicted.notified().await;
        }
    }

    /// Starts to hold the body of the request in progress; `None` if the bodies of other requests leave no
    /// room for `len` bytes. Nothing is reserved for them.
    pub fn hold_body(&self, len: usize) -> Option<HeldBody> {
        self.clients.hold_body_of(self.id, len)
    }

    fn activity(&self) -> Option<Activity> {
        let state = self.clients.state.borrow();
        state
            .connections
            .get(&self.id)
            .map(|connection| connection.activity)
    }

    fn wait(&self) {
        self.change(|state| {
            let turn = state.turn();
            state.idle.insert(turn, self.id);
            Activity::Waiting { turn, bytes: 0 }
        });
    }

    fn change(&self, next: impl FnOnce(&mut State) -> Activity) {
        let Some(before) = self
            .activity()
            .filter(|activity| *activity != Activity::Ending)
        else {
            return;
        };
        {
            let mut state = self.clients.state.borrow_mut();
            state.leave(before);
            if before == Activity::Evicted {
                state.open += 1;
            }
            let activity = next(&mut state);
            state.set_activity(self.id, activity);
        }
        self.clients.update_counters();
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        {
            let mut state = self.clients.state.borrow_mut();
            if let Some(connection) = state.connections.remove(&self.id) {
                state.leave(connection.activity);
                if connection.activity.is_counted() {
                    state.open -= 1;
                }
            }
        }
        self.clients.update_counters();
    }
}

/// The bytes of a body. Dropped, they are free again.
#[derive(Debug)]
pub struct HeldBody {
    clients: Rc<Clients>,
    turn: u64,
    bytes: usize,
    is_complete: bool,
    revoked: Rc<Notify>,
}

impl HeldBody {
    /// Counts further bytes. The body may have to give way to others; see [`is_revoked`](Self::is_revoked).
    pub fn grow(&mut self, bytes: usize) {
        {
            let mut state = self.clients.state.borrow_mut();
            let Some(body) = state.bodies.get_mut(&self.turn) else {
                return;
            };
            body.bytes += bytes;
            state.held += bytes;
            self.bytes += bytes;
        }
        self.clients.relieve();
        self.clients.update_counters();
    }

    /// The body is complete and doesn't give way any more.
    pub fn complete(&mut self) {
        let mut state = self.clients.state.borrow_mut();
        if state.bodies.remove(&self.turn).is_some() {
            state.complete += self.bytes;
            self.is_complete = true;
        }
    }

    /// Whether it has to end.
    pub fn is_revoked(&self) -> bool {
        !self.is_complete && !self.clients.state.borrow().bodies.contains_key(&self.turn)
    }

    /// Waits until it has to end.
    pub async fn revoked(&self) {
        self.revoked.notified().await;
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        {
            let mut state = self.clients.state.borrow_mut();
            if self.is_complete {
                state.complete -= self.bytes;
                state.held -= self.bytes;
            } else if let Some(body) = state.bodies.remove(&self.turn) {
                state.held -= body.bytes;
            }
        }
        self.clients.update_counters();
    }
}
