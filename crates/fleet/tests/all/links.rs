//! A gateway behind a narrow link, and two replicas that tell it of routes and endpoints.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState, Load, Member, Message, Registry, Update};
use filberthead_route::{Kind, Route, Service, Table, Target};
use filberthead_types::Moment;

use crate::support::{CONTROL, GATEWAY, addr, endpoint, gateway, ms};

const OTHER: u16 = 3;
const STEP: Duration = Duration::from_millis(5);
/// What callers and endpoints leave of a link of 2 Mbit/s.
const BYTES_PER_S: f64 = 200_000.0;
const WAY: Duration = Duration::from_millis(12);
const ENVELOPE_BYTES: usize = 60;
/// Part of the 3 s in which an endpoint that leaves must be left alone that the way from
/// control to gateways may take. The rest is for reading the list and for requests that are
/// on their way.
const NEWS_WITHIN: Duration = Duration::from_millis(750);
/// Time within which a change of routes must be in force.
const ROUTES_WITHIN: Duration = Duration::from_millis(2500);
/// Longest wait that messages of control may add for requests on the same link: a part of the
/// shortest objective there is.
const LONGEST_WAIT: Duration = Duration::from_millis(200);

fn route(number: u32) -> Route {
    Route {
        name: format!("r-{number:07}"),
        host: format!("host{}.example", number % 9),
        prefix: format!("/path{number}/part/"),
        kind: Kind::Safe,
        timeout: ms(1200),
        objective: ms(300),
        priority: 2,
        targets: vec![Target {
            service: "orders".parse().expect("a name"),
            weight: 1,
        }],
        max_attempts: 2,
        sticky: true,
        regions: Vec::new(),
    }
}

pub(crate) fn table(routes: u32) -> Arc<Table> {
    let service = Service {
        name: "orders".parse().expect("a name"),
        health_path: "/healthz".to_owned(),
        max_connections: 390,
        cold_for: ms(3000),
        cold_per_s: 6.2,
    };
    Arc::new(Table {
        routes: (0..routes).map(route).map(Arc::new).collect(),
        services: vec![service],
        ..Table::default()
    })
}

fn endpoints(leaving: Option<&str>) -> Vec<Endpoint> {
    let ids = (0..236).map(|number| format!("i-{number:08}"));
    ids.map(|id| Endpoint {
        state: match leaving {
            Some(leaving) if leaving == id => EndpointState::Draining,
            _ => EndpointState::Ready,
        },
        ..endpoint(&id, 0)
    })
    .collect()
}

/// What the link sends of one connection before it turns to the next one.
const SEGMENT_BYTES: usize = 1500;

/// A message that the link hasn't sent yet.
struct Waiting {
    message: Message,
    left: usize,
}

/// A message on its way to the gateway.
struct OnItsWay {
    arrives: Moment,
    from: SocketAddr,
    message: Message,
}

/// The gateway's link, which sends what waits on each connection in turn.
#[derive(Default)]
struct Link {
    connections: [VecDeque<Waiting>; 2],
    turn: usize,
    /// Bytes that may be sent by now.
    credit: f64,
}

impl Link {
    fn backlog(&self) -> usize {
        self.connections.iter().flatten().map(|w| w.left).sum()
    }

    /// Sends for a step; returns what has gone out whole, and on which connection.
    fn step(&mut self) -> Vec<(usize, Message)> {
        let mut sent = Vec::new();
        self.credit += BYTES_PER_S * STEP.as_secs_f64();
        while self.credit > 0.0 {
            if self.backlog() == 0 {
                self.credit = 0.0;
                return sent;
            }
            self.turn = (self.turn + 1) % self.connections.len();
            let connection = &mut self.connections[self.turn];
            let Some(first) = connection.front_mut() else {
                continue;
            };
            let segment = first.left.min(SEGMENT_BYTES);
            first.left -= segment;
            self.credit -= segment as f64;
            if first.left == 0
                && let Some(first) = connection.pop_front()
            {
                sent.push((self.turn, first.message));
            }
        }
        sent
    }
}

/// What a message takes on the link.
fn length(message: &Message) -> usize {
    let buf = postcard::to_stdvec(message).expect("it can be encoded");
    ENVELOPE_BYTES + buf.len()
}

struct World {
    now: Moment,
    member: Member,
    replicas: [(SocketAddr, Registry); 2],
    to_gateway: VecDeque<OnItsWay>,
    to_control: VecDeque<(Moment, SocketAddr, Message)>,
    link: Link,
    bytes: usize,
    longest_wait: Duration,
    learned: Vec<(Moment, Update)>,
}

impl World {
    fn new() -> Self {
        let replicas = [CONTROL, OTHER].map(|port| {
            let mut registry = Registry::default();
            registry.set_replicas(vec![addr(CONTROL), addr(OTHER)]);
            (addr(port), registry)
        });
        Self {
            now: Moment::ZERO,
            member: gateway(),
            replicas,
            to_gateway: VecDeque::new(),
            to_control: VecDeque::new(),
            link: Link::default(),
            bytes: 0,
            longest_wait: Duration::ZERO,
            learned: Vec::new(),
        }
    }

    fn send(&mut self, from: SocketAddr, message: Message) {
        let len = length(&message);
        self.bytes += len;
        let connection = usize::from(from != addr(CONTROL));
        self.link.connections[connection].push_back(Waiting { message, left: len });
        let wait = self.link.backlog() as f64 / BYTES_PER_S;
        self.longest_wait = self.longest_wait.max(Duration::from_secs_f64(wait));
    }

    fn set_routes(&mut self, revision: u64, table: &Arc<Table>) {
        for replica in 0..self.replicas.len() {
            let (from, registry) = &mut self.replicas[replica];
            let (from, table) = (*from, Arc::clone(table));
            for (_, message) in registry.set_routes(self.now, revision, revision, table) {
                self.send(from, message);
            }
        }
    }

    /// The first replica leads and has read this list; the other one takes it over.
    fn list(&mut self, list: Vec<Endpoint>) {
        let [(leader, reader), (other, follower)] = &mut self.replicas;
        let (leader, other) = (*leader, *other);
        let before = reader.revisions().endpoints;
        let told = reader.set_endpoints(self.now, 1, list);
        let news = reader.endpoints_since(self.now, before);
        let news = news.expect("the list has changed");
        let relayed = follower.receive(self.now, leader, news, false);
        told.into_iter().for_each(|(_, m)| self.send(leader, m));
        relayed.into_iter().for_each(|(_, m)| self.send(other, m));
    }

    fn evacuate(&mut self, revision: u64) {
        let domains = ["split-a".parse().expect("a name")].into();
        for replica in 0..self.replicas.len() {
            let (from, registry) = &mut self.replicas[replica];
            let from = *from;
            for (_, message) in registry.set_evacuated(self.now, revision, &domains) {
                self.send(from, message);
            }
        }
    }

    /// Loses all that waits for the link, as a connection that is made anew does.
    fn lose_what_waits(&mut self) {
        self.link.connections.iter_mut().for_each(VecDeque::clear);
    }

    fn run_until(&mut self, until: Moment) {
        while self.now < until {
            self.step();
            self.now += STEP;
        }
    }

    fn step(&mut self) {
        let reports = self.member.tick(self.now, Load::default);
        self.ask(reports);
        for (connection, message) in self.link.step() {
            self.to_gateway.push_back(OnItsWay {
                arrives: self.now + WAY,
                from: self.replicas[connection].0,
                message,
            });
        }
        while let Some(first) = self.to_gateway.front()
            && first.arrives <= self.now
        {
            let Some(OnItsWay { from, message, .. }) = self.to_gateway.pop_front() else {
                return;
            };
            let (out, updates) = self.member.receive(self.now, from, message);
            let now = self.now;
            self.learned.extend(updates.into_iter().map(|u| (now, u)));
            self.ask(out);
        }
        while let Some((arrives, to, _)) = self.to_control.front()
            && *arrives <= self.now
        {
            let to = *to;
            let Some((_, _, message)) = self.to_control.pop_front() else {
                return;
            };
            let replica = self.replicas.iter_mut().find(|(addr, _)| *addr == to);
            let (_, registry) = replica.expect("a replica's address");
            let answers = registry.receive(self.now, addr(GATEWAY), message, true);
            answers.into_iter().for_each(|(_, m)| self.send(to, m));
        }
    }

    fn ask(&mut self, out: Vec<(SocketAddr, Message)>) {
        let arrives = self.now + WAY;
        let out = out.into_iter().map(|(to, m)| (arrives, to, m));
        self.to_control.extend(out);
    }

    /// When the gateway learned that an endpoint leaves.
    fn learned_leaving(&self, id: &str) -> Option<Moment> {
        let leaves = |e: &Endpoint| e.id == id && e.state == EndpointState::Draining;
        let says = |update: &Update| match update {
            Update::Endpoints(list) => list.iter().any(leaves),
            Update::EndpointsChanged(change) => change.changed.iter().any(leaves),
            _ => false,
        };
        let first = self.learned.iter().find(|(_, update)| says(update));
        first.map(|(at, _)| *at)
    }

    /// When the gateway had these routes.
    fn learned_routes(&self, wanted: &Table) -> Option<Moment> {
        let has = |update: &Update| match update {
            Update::Routes { table, .. } => **table == *wanted,
            _ => false,
        };
        let first = self.learned.iter().find(|(_, update)| has(update));
        first.map(|(at, _)| *at)
    }
}

/// A gateway that serves by routes and endpoints.
fn serving(routes: u32) -> World {
    let mut world = World::new();
    world.set_routes(1, &table(routes));
    world.list(endpoints(None));
    world.run_until(ms(6000));
    assert!(world.member.is_synced(world.now));
    world.bytes = 0;
    world.longest_wait = Duration::ZERO;
    world
}

/// Guards against tables of routes that fill a gateway's link, so that it goes on sending
/// requests to endpoints that have long said that they leave.
#[test]
fn a_large_change_of_routes_holds_up_no_news_of_endpoints() {
    let mut world = serving(2822);
    let (grown, further) = (table(4222), table(4223));
    world.set_routes(2, &grown);
    world.run_until(ms(6600));
    world.set_routes(3, &further);
    world.run_until(ms(6700));
    world.list(endpoints(Some("i-00000007")));
    world.run_until(ms(20_000));
    let leaving = world.learned_leaving("i-00000007").expect("it is told");
    assert!(
        leaving <= ms(6700) + NEWS_WITHIN,
        "learned only at {leaving:?}"
    );
    let routes = world.learned_routes(&further).expect("they are told");
    assert!(
        routes <= ms(6600) + ROUTES_WITHIN,
        "learned only at {routes:?}"
    );
    assert!(
        world.longest_wait <= LONGEST_WAIT,
        "{:?}",
        world.longest_wait
    );
}

/// Guards against asking for a large table again while it is on its way.
#[test]
fn a_large_table_is_sent_once() {
    let mut world = World::new();
    let routes = table(4222);
    world.set_routes(1, &routes);
    world.list(endpoints(None));
    world.run_until(ms(10_000));
    assert!(world.learned_routes(&routes).is_some());
    let once = postcard::to_stdvec(&*routes).expect("it can be encoded");
    let bound = once.len() + once.len() / 4;
    assert!(world.bytes <= bound, "{} of {bound} bytes", world.bytes);
}

/// Guards against whole tables for each change of a few routes.
#[test]
fn a_change_of_routes_takes_what_has_changed() {
    let mut world = serving(2822);
    let further = table(4223);
    world.set_routes(2, &table(4222));
    world.run_until(ms(6600));
    world.set_routes(3, &further);
    world.run_until(ms(10_000));
    assert!(world.learned_routes(&further).is_some());
    let new = (2822..4223).map(route).collect::<Vec<_>>();
    let once = postcard::to_stdvec(&new).expect("it can be encoded");
    let bound = once.len() + once.len() / 4;
    assert!(world.bytes <= bound, "{} of {bound} bytes", world.bytes);
}

/// Guards against short news that waits three times on a busy link: as a notice, as the
/// question for it and as the answer.
#[test]
fn news_of_endpoints_takes_one_way() {
    let mut world = serving(22);
    world.list(endpoints(Some("i-00000007")));
    world.run_until(ms(7000));
    let leaving = world.learned_leaving("i-00000007").expect("it is told");
    assert!(leaving < ms(6000) + 2 * WAY, "learned only at {leaving:?}");
}

/// Guards against an evacuation that waits as news of endpoints did.
#[test]
fn an_evacuation_takes_one_way() {
    let mut world = serving(22);
    world.evacuate(2);
    world.run_until(ms(7000));
    let evacuated = |update: &Update| matches!(update, Update::Evacuated(_));
    let first = world.learned.iter().find(|(_, update)| evacuated(update));
    let (at, _) = first.expect("it is told");
    assert!(*at < ms(6000) + 2 * WAY, "learned only at {at:?}");
}

/// Guards against news that is lost for good if the push is.
#[test]
fn news_whose_push_is_lost_comes_with_the_next_report() {
    let mut world = serving(22);
    world.list(endpoints(Some("i-00000007")));
    world.lose_what_waits();
    world.run_until(ms(7000));
    let leaving = world.learned_leaving("i-00000007").expect("it is told");
    assert!(
        leaving < ms(6000) + NEWS_WITHIN,
        "learned only at {leaving:?}"
    );
}

/// Guards against a gateway that is told a change of a list that it doesn't hold, and waits
/// for its next report to ask for what is between.
#[test]
fn a_gateway_asks_at_once_for_what_it_lacks_before_a_change() {
    let mut world = serving(22);
    world.list(endpoints(Some("i-00000006")));
    world.lose_what_waits();
    world.list(endpoints(Some("i-00000007")));
    world.run_until(ms(7000));
    let leaving = world.learned_leaving("i-00000007").expect("it is told");
    assert!(leaving < ms(6000) + 8 * WAY, "learned only at {leaving:?}");
}

/// Guards against a gateway whose requests wait for seconds behind a table of routes.
#[test]
fn requests_do_not_wait_behind_a_large_table() {
    let mut world = World::new();
    world.set_routes(1, &table(4222));
    world.list(endpoints(None));
    world.run_until(ms(10_000));
    assert!(world.member.is_synced(world.now));
    assert!(
        world.longest_wait <= LONGEST_WAIT,
        "{:?}",
        world.longest_wait
    );
}
