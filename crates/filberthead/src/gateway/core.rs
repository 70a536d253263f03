//! What the tasks of the requests duty share: routes, placement, and the tie to control.
//!
//! Everything here lives on one thread. A borrow is never held across an await.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filberthead_endpoint::Client;
use filberthead_fleet::{Load, Member, Outbound, Stamp, Update, UpdateDelay};
use filberthead_observe::{GatewayMetrics, LineAllowance};
use filberthead_peer::Body;
use filberthead_place::{Balance, LargeShare, Link, Placer};
use filberthead_ring::Sender;
use filberthead_route::{CallerBounds, Matcher};
use filberthead_types::{Moment, ResultCode};
use log::{Level, debug, info, log_enabled, warn};
use tokio::sync::watch;

use super::bounds::Bounds;
use super::stop::Phase;
use super::{Dialect, Heard};
use crate::Clock;
use crate::peers::Outgoing;

/// Longest wait for a connection to an endpoint: twice the round trip between regions,
/// with room for a slow accept. An endpoint without power doesn't answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence of all control replicas after which the log says so.
const SILENT: Duration = Duration::from_secs(2);
/// Lines a second about requests that are turned away, by code. With half a kilobyte to a
/// line, all codes together stay below 100 kB a second whatever callers send.
const LINES_A_SECOND: u32 = 20;

/// What the duty starts with.
pub(crate) struct CoreParts {
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) placer: Placer,
    pub(crate) member: Member,
    pub(crate) out: Sender<Outgoing>,
    pub(crate) phase: watch::Sender<Phase>,
    /// The VM's link, if its rate is known.
    pub(crate) link: Option<Link>,
    /// What large answers may take of it.
    pub(crate) large: Option<LargeShare>,
    /// Callers' connections that are open.
    pub(crate) connections: watch::Sender<usize>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// Seeds of the group, as the settings have them.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// The routes in force.
#[derive(Clone, Debug)]
pub(crate) struct InForce {
    pub(crate) version: u64,
    pub(crate) revision: u64,
    /// How many routes there are.
    pub(crate) routes: usize,
    /// The control replica that they came from.
    pub(crate) from: SocketAddr,
    /// When they came.
    pub(crate) since: Moment,
    pub(crate) matcher: Matcher,
    pub(crate) bounds: CallerBounds,
}

/// Where news came from, and how.
struct News {
    from: SocketAddr,
    delay: UpdateDelay,
    /// The list of endpoints that is held now.
    listed: Stamp,
}

/// State of the duty.
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) dialect: Arc<Dialect>,
    pub(crate) client: Client,
    pub(crate) placer: RefCell<Placer>,
    pub(crate) metrics: Arc<GatewayMetrics>,
    /// The VM's link, if its rate is known.
    link: Option<RefCell<Link>>,
    large: Option<RefCell<LargeShare>>,
    balance: RefCell<Balance>,
    member: RefCell<Member>,
    in_force: RefCell<Option<Rc<InForce>>>,
    bounds: watch::Sender<Option<CallerBounds>>,
    out: Sender<Outgoing>,
    phase: watch::Sender<Phase>,
    connections: watch::Sender<usize>,
    running: Cell<usize>,
    seeds: RefCell<watch::Receiver<Vec<SocketAddr>>>,
    silent: Cell<bool>,
    /// When the list of endpoints last changed.
    listed_at: Cell<Moment>,
    /// Lines about requests that were turned away.
    told: RefCell<LineAllowance<ResultCode>>,
}

/// Counts a request as running until it is dropped.
pub(crate) struct Running(Rc<Core>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct Connected(Rc<Core>);

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.connections.send_modify(|open| *open -= 1);
    }
}

impl Core {
    pub(crate) fn new(parts: CoreParts) -> Rc<Self> {
        Rc::new(Self {
            clock: parts.clock,
            dialect: parts.dialect,
            client: Client::with_connect_timeout(CONNECT_TIMEOUT),
            placer: RefCell::new(parts.placer),
            metrics: parts.metrics,
            link: parts.link.map(RefCell::new),
            large: parts.large.map(RefCell::new),
            balance: RefCell::default(),
            member: RefCell::new(parts.member),
            in_force: RefCell::new(None),
            bounds: watch::Sender::new(None),
            out: parts.out,
            phase: parts.phase,
            connections: parts.connections,
            running: Cell::new(0),
            seeds: RefCell::new(parts.seeds),
            silent: Cell::new(true),
            listed_at: Cell::new(Moment::ZERO),
            told: RefCell::new(LineAllowance::new(LINES_A_SECOND)),
        })
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Notes bytes of a short message that go out.
    pub(crate) fn sends(&self, bytes: usize) {
        if let Some(large) = &self.large {
            large.borrow_mut().sent_short(bytes);
        }
        self.sends_piece(bytes);
    }

    /// Notes bytes of a large answer that go out.
    pub(crate) fn sends_piece(&self, bytes: usize) {
        if let Some(link) = &self.link {
            link.borrow_mut().sent(self.now(), bytes);
        }
    }

    /// Takes on a large answer, or tells after which time the link has room for it.
    pub(crate) fn admit_large(&self, returned: bool) -> Result<(), Duration> {
        match &self.large {
            Some(large) => large.borrow_mut().admit(self.now(), returned),
            None => Ok(()),
        }
    }

    /// Notes the length of a large answer.
    pub(crate) fn observe_large(&self, bytes: u64) {
        if let Some(large) = &self.large {
            large.borrow_mut().observe(bytes);
        }
    }

    /// How much longer the link has other things to send than large answers.
    pub(crate) fn link_busy_for(&self) -> Option<Duration> {
        let now = self.now();
        let at = self.link.as_ref()?.borrow().next_piece(now)?;
        Some(at.saturating_sub(now))
    }

    /// Thousandths of the link that are in use.
    fn link_milli(&self, now: Moment) -> u32 {
        let link = self.link.as_ref();
        let used = link.map_or(0.0, |link| link.borrow_mut().used(now));
        self.balance.borrow_mut().set_own(used);
        (used * 1000.0) as u32
    }

    /// Whether a caller that has its answer is to connect anew.
    pub(crate) fn ends_connection(&self) -> bool {
        self.is_leaving() || self.balance.borrow_mut().is_to_end(self.now())
    }

    /// Bytes of a large answer that go out at once, at most.
    pub(crate) fn piece(&self) -> usize {
        let link = self.link.as_ref();
        link.map_or(usize::MAX, |link| link.borrow().piece())
    }

    /// The routes in force, if any are known.
    pub(crate) fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Whether the routes in force were lately proved to be the newest, so that a caller may
    /// be told for good what they don't allow.
    pub(crate) fn is_proven(&self) -> bool {
        self.member.borrow().is_proven(self.now())
    }

    /// How long ago the question was asked whose answer proved that the routes held here were
    /// the newest.
    pub(crate) fn proven_age(&self) -> Option<Duration> {
        let asked = self.member.borrow().proven_at()?;
        Some(self.now().saturating_sub(asked))
    }

    /// The bounds of the routes in force, now and later.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds.subscribe()
    }

    /// Ages of what decisions are made from, in milliseconds: since the list of endpoints
    /// changed, and since control was last heard.
    pub(crate) fn ages(&self) -> (u128, u128) {
        let now = self.now();
        let heard = self.member.borrow().control_last_seen().unwrap_or_default();
        let since = |at: Moment| now.saturating_sub(at).as_millis();
        (since(self.listed_at.get()), since(heard))
    }

    pub(crate) fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= Phase::Leaving
    }

    /// How far this gateway has come, and whether what it knows does to serve by.
    pub(crate) fn standing(&self) -> (Phase, bool) {
        let informed = self.member.borrow().is_synced(self.now());
        (*self.phase.borrow(), informed)
    }

    /// Whether a line about a request that is turned away may be written, and how many of
    /// its kind were left out before it.
    pub(crate) fn may_tell(&self, code: ResultCode) -> Option<u64> {
        self.told.borrow_mut().take(self.now(), code)
    }

    pub(crate) fn begin(self: &Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        Running(Rc::clone(self))
    }

    pub(crate) fn connected(self: &Rc<Self>) -> Connected {
        self.connections.send_modify(|open| *open += 1);
        Connected(Rc::clone(self))
    }

    /// Takes in a message of control.
    pub(crate) fn heard(&self, heard: Heard) {
        let now = self.now();
        if self.silent.replace(false) {
            info!(from:% = heard.from; "control is heard");
        }
        let mut member = self.member.borrow_mut();
        let (out, updates) = member.receive(now, heard.from, heard.message);
        self.send(out);
        let news = News {
            from: heard.from,
            delay: member.delay(),
            listed: member.revisions().endpoints,
        };
        drop(member);
        for update in updates {
            self.update(now, &news, update);
        }
        self.serve_if_informed(now);
    }

    fn serve_if_informed(&self, now: Moment) {
        if !self.member.borrow().is_synced(now) {
            return;
        }
        self.phase.send_if_modified(|phase| {
            let first = *phase == Phase::Starting;
            if first {
                *phase = Phase::Serving;
                info!("routes and endpoints are known, callers may come");
            }
            first
        });
    }

    fn update(&self, now: Moment, news: &News, update: Update) {
        let mut placer = self.placer.borrow_mut();
        let News {
            from,
            delay,
            listed,
        } = *news;
        let (questions, since_heard_of) = (delay.requests, delay.since_announced.as_millis());
        match update {
            Update::Routes {
                revision,
                version,
                table,
            } => {
                self.metrics.routes_version(version);
                info!(version, revision, routes = table.routes.len(), from:%, since_heard_of,
                    questions; "routes in force");
                placer.set_routes(&table);
                let in_force = InForce {
                    version,
                    revision,
                    routes: table.routes.len(),
                    from,
                    since: now,
                    matcher: Matcher::new(&table),
                    bounds: table.bounds,
                };
                self.in_force.replace(Some(Rc::new(in_force)));
                let bounds = Some(table.bounds);
                self.bounds
                    .send_if_modified(|known| std::mem::replace(known, bounds) != bounds);
            }
            Update::Evacuated(domains) => {
                info!(domains:? = domains; "evacuated failure domains");
                placer.set_evacuated(now, domains);
            }
            Update::Endpoints(list) => {
                self.listed_at.set(now);
                self.metrics.endpoints(list.len());
                info!(endpoints = list.len(), term = listed.term, seq = listed.seq, from:%,
                    since_heard_of, questions; "list of endpoints");
                let left = placer.set_endpoints(now, list);
                self.leave(&left);
            }
            Update::EndpointsChanged(change) => {
                self.listed_at.set(now);
                info!(changed = change.changed.len(), gone = change.gone.len(),
                    term = listed.term, seq = listed.seq, from:%, since_heard_of, questions;
                    "list of endpoints changed");
                let left = placer.change_endpoints(now, change);
                self.leave(&left);
                self.metrics.endpoints(placer.endpoints());
            }
            Update::Gateways(counts) => placer.set_gateways(&counts),
            Update::Demand(demand) => placer.set_demand(now, &demand),
            Update::Links(milli) => {
                let mean = milli.map(|milli| f64::from(milli) / 1000.0);
                self.balance.borrow_mut().set_mean(now, mean);
            }
        }
    }

    /// Closes kept connections to starts of endpoints that others have followed. A request
    /// that may run only once would be lost on one, without a way to tell whether it ran.
    fn leave(&self, starts: &[SocketAddr]) {
        for addr in starts {
            info!(addr:%; "an endpoint has started anew");
            self.client.forget(*addr);
        }
    }

    /// Reports to control if it is time.
    pub(crate) fn tick(&self) {
        let now = self.now();
        self.serve_if_informed(now);
        let mut member = self.member.borrow_mut();
        let mut seeds = self.seeds.borrow_mut();
        if seeds.has_changed().unwrap_or(false) {
            member.set_seeds(seeds.borrow_and_update().iter().copied());
        }
        let ready = *self.phase.borrow() == Phase::Serving;
        member.set_ready(ready);
        self.metrics.ready(ready);
        self.metrics.routes_proven(member.is_proven(now));
        self.metrics.running(self.running.get());
        let placer = &self.placer;
        let out = member.tick(now, || {
            let mut placer = placer.borrow_mut();
            placer.plan(now);
            // Working out what is believed costs more than the line itself.
            let beliefs = match log_enabled!(Level::Debug) {
                true => placer.beliefs(now),
                false => Vec::new(),
            };
            for belief in beliefs {
                debug!(service:% = belief.service, away:? = belief.away, times:? = belief.times,
                    demand:? = belief.demand, capacity:? = belief.capacity; "plan");
            }
            Load {
                demand: placer.demand(now),
                link_milli: self.link_milli(now),
            }
        });
        let lost = member
            .control_last_seen()
            .is_some_and(|at| now >= at + SILENT);
        if lost && !self.silent.replace(true) {
            warn!("no control replica is heard");
        }
        drop(member);
        self.send(out);
    }

    fn send(&self, out: Vec<Outbound>) {
        for (to, message) in out {
            let body = Body::Fleet(message);
            // A full ring drops the message; reports and questions are repeated.
            let _ = self.out.push(Outgoing { to, body });
        }
    }
}
