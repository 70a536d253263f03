//! A gateway behind a narrow link that receives routes and endpoints from two replicas.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState, Load, Member, Message, Registry, Update};
use filberthead_route::{Kind, Route, Service, Table, Target};
use filberthead_types::Moment;

use crate::support::{CONTROL, GATEWAY, addr, endpoint, gateway, ms};

const OTHER_REPLICA: u16 = 3;
const STEP: Duration = Duration::from_millis(5);
/// The share of a 2 Mbit/s link that traffic of callers and endpoints leaves free.
const BYTES_PER_S: f64 = 200_000.0;
const ONE_WAY_DELAY: Duration = Duration::from_millis(12);
const ENVELOPE_BYTES: usize = 60;
/// Time within which an endpoint update must reach the gateway: the share of the 3 s after
/// which a leaving endpoint must receive no more requests. The rest is for reading the list
/// and for requests in flight.
const UPDATE_DEADLINE: Duration = Duration::from_millis(750);
/// Time within which a change of routes must be in force.
const ROUTES_DEADLINE: Duration = Duration::from_millis(2500);
/// Maximum queueing delay that control messages may cause for requests on the same link: a
/// fraction of the shortest latency objective.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(200);

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
        public: false,
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

/// Bytes that the link sends for one connection before it serves the next one.
const SEGMENT_BYTES: usize = 1500;

/// A message that is queued for the link, with the number of bytes left to send.
struct Queued {
    message: Message,
    remaining: usize,
}

/// A message in flight to the gateway.
struct InFlight {
    arrives: Moment,
    from: SocketAddr,
    message: Message,
}

/// The gateway's link, which serves the queues of its connections round-robin.
#[derive(Default)]
struct Link {
    connections: [VecDeque<Queued>; 2],
    next_connection: usize,
    /// Bytes that may be sent now.
    credit: f64,
}

impl Link {
    fn backlog(&self) -> usize {
        self.connections.iter().flatten().map(|w| w.remaining).sum()
    }

    /// Sends for one step; returns the messages sent completely, with their connections.
    fn step(&mut self) -> Vec<(usize, Message)> {
        let mut sent = Vec::new();
        self.credit += BYTES_PER_S * STEP.as_secs_f64();
        while self.credit > 0.0 {
            if self.backlog() == 0 {
                self.credit = 0.0;
                return sent;
            }
            self.next_connection = (self.next_connection + 1) % self.connections.len();
            let connection = &mut self.connections[self.next_connection];
            let Some(first) = connection.front_mut() else {
                continue;
            };
            let segment = first.remaining.min(SEGMENT_BYTES);
            first.remaining -= segment;
            self.credit -= segment as f64;
            if first.remaining == 0
                && let Some(first) = connection.pop_front()
            {
                sent.push((self.next_connection, first.message));
            }
        }
        sent
    }
}

/// Size of a message on the link.
fn length(message: &Message) -> usize {
    let buf = postcard::to_stdvec(message).expect("it can be encoded");
    ENVELOPE_BYTES + buf.len()
}

struct Simulation {
    now: Moment,
    member: Member,
    replicas: [(SocketAddr, Registry); 2],
    to_gateway: VecDeque<InFlight>,
    to_control: VecDeque<(Moment, SocketAddr, Message)>,
    link: Link,
    bytes: usize,
    max_queue_time: Duration,
    updates: Vec<(Moment, Update)>,
}

impl Simulation {
    fn new() -> Self {
        let replicas = [CONTROL, OTHER_REPLICA].map(|port| {
            let mut registry = Registry::default();
            registry.set_replicas(vec![addr(CONTROL), addr(OTHER_REPLICA)]);
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
            max_queue_time: Duration::ZERO,
            updates: Vec::new(),
        }
    }

    fn send(&mut self, from: SocketAddr, message: Message) {
        let len = length(&message);
        self.bytes += len;
        let connection = usize::from(from != addr(CONTROL));
        self.link.connections[connection].push_back(Queued {
            message,
            remaining: len,
        });
        let wait = self.link.backlog() as f64 / BYTES_PER_S;
        self.max_queue_time = self.max_queue_time.max(Duration::from_secs_f64(wait));
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

    /// The first replica, the leader, has read this list, and the other one receives it.
    fn set_endpoints(&mut self, list: Vec<Endpoint>) {
        let [(leader, reader), (other, follower)] = &mut self.replicas;
        let (leader, other) = (*leader, *other);
        let before = reader.revisions().endpoints;
        let pushed = reader.set_endpoints(self.now, 1, list);
        let update = reader.endpoints_since(self.now, before);
        let update = update.expect("the list has changed");
        let relayed = follower.receive(self.now, leader, update, false);
        pushed.into_iter().for_each(|(_, m)| self.send(leader, m));
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

    /// Drops all queued messages, as when a connection is replaced.
    fn drop_queued(&mut self) {
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
        self.send_to_control(reports);
        for (connection, message) in self.link.step() {
            self.to_gateway.push_back(InFlight {
                arrives: self.now + ONE_WAY_DELAY,
                from: self.replicas[connection].0,
                message,
            });
        }
        while let Some(first) = self.to_gateway.front()
            && first.arrives <= self.now
        {
            let Some(InFlight { from, message, .. }) = self.to_gateway.pop_front() else {
                return;
            };
            let (out, updates) = self.member.receive(self.now, from, message);
            let now = self.now;
            self.updates.extend(updates.into_iter().map(|u| (now, u)));
            self.send_to_control(out);
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

    fn send_to_control(&mut self, out: Vec<(SocketAddr, Message)>) {
        let arrives = self.now + ONE_WAY_DELAY;
        let out = out.into_iter().map(|(to, m)| (arrives, to, m));
        self.to_control.extend(out);
    }

    /// When the gateway received the update that an endpoint is leaving.
    fn received_leaving_at(&self, id: &str) -> Option<Moment> {
        let leaves = |e: &Endpoint| e.id == id && e.state == EndpointState::Draining;
        let lists_leaving = |update: &Update| match update {
            Update::Endpoints(list) => list.iter().any(leaves),
            Update::EndpointsChanged(change) => change.changed.iter().any(leaves),
            _ => false,
        };
        let first = self
            .updates
            .iter()
            .find(|(_, update)| lists_leaving(update));
        first.map(|(at, _)| *at)
    }

    /// When the gateway received these routes.
    fn received_routes_at(&self, wanted: &Table) -> Option<Moment> {
        let has_table = |update: &Update| match update {
            Update::Routes { table, .. } => **table == *wanted,
            _ => false,
        };
        let first = self.updates.iter().find(|(_, update)| has_table(update));
        first.map(|(at, _)| *at)
    }
}

/// A simulation whose gateway has received routes and endpoints.
fn serving_gateway(routes: u32) -> Simulation {
    let mut sim = Simulation::new();
    sim.set_routes(1, &table(routes));
    sim.set_endpoints(endpoints(None));
    sim.run_until(ms(6000));
    assert!(sim.member.is_synced(sim.now));
    sim.bytes = 0;
    sim.max_queue_time = Duration::ZERO;
    sim
}

/// Guards against tables of routes that fill a gateway's link, so that it keeps sending
/// requests to endpoints that have long been announced as leaving.
#[test]
fn a_large_change_of_routes_does_not_delay_endpoint_updates() {
    let mut sim = serving_gateway(2822);
    let (grown, further) = (table(4222), table(4223));
    sim.set_routes(2, &grown);
    sim.run_until(ms(6600));
    sim.set_routes(3, &further);
    sim.run_until(ms(6700));
    sim.set_endpoints(endpoints(Some("i-00000007")));
    sim.run_until(ms(20_000));
    let leaving = sim
        .received_leaving_at("i-00000007")
        .expect("the gateway is updated");
    assert!(
        leaving <= ms(6700) + UPDATE_DEADLINE,
        "received only at {leaving:?}"
    );
    let routes = sim
        .received_routes_at(&further)
        .expect("the gateway is updated");
    assert!(
        routes <= ms(6600) + ROUTES_DEADLINE,
        "received only at {routes:?}"
    );
    assert!(
        sim.max_queue_time <= MAX_QUEUE_TIME,
        "{:?}",
        sim.max_queue_time
    );
}

/// Guards against pulling a large table again while it is being transferred.
#[test]
fn a_large_table_is_sent_once() {
    let mut sim = Simulation::new();
    let routes = table(4222);
    sim.set_routes(1, &routes);
    sim.set_endpoints(endpoints(None));
    sim.run_until(ms(10_000));
    assert!(sim.received_routes_at(&routes).is_some());
    let once = postcard::to_stdvec(&*routes).expect("it can be encoded");
    let bound = once.len() + once.len() / 4;
    assert!(sim.bytes <= bound, "{} of {bound} bytes", sim.bytes);
}

/// Guards against sending the complete table for each change of a few routes.
#[test]
fn a_change_of_routes_sends_only_the_difference() {
    let mut sim = serving_gateway(2822);
    let further = table(4223);
    sim.set_routes(2, &table(4222));
    sim.run_until(ms(6600));
    sim.set_routes(3, &further);
    sim.run_until(ms(10_000));
    assert!(sim.received_routes_at(&further).is_some());
    let new = (2822..4223).map(route).collect::<Vec<_>>();
    let once = postcard::to_stdvec(&new).expect("it can be encoded");
    let bound = once.len() + once.len() / 4;
    assert!(sim.bytes <= bound, "{} of {bound} bytes", sim.bytes);
}

/// Guards against short updates that cross a busy link three times: as a notice, a pull and
/// an answer.
#[test]
fn an_endpoint_update_takes_one_network_trip() {
    let mut sim = serving_gateway(22);
    sim.set_endpoints(endpoints(Some("i-00000007")));
    sim.run_until(ms(7000));
    let leaving = sim
        .received_leaving_at("i-00000007")
        .expect("the gateway is updated");
    assert!(
        leaving < ms(6000) + 2 * ONE_WAY_DELAY,
        "received only at {leaving:?}"
    );
}

/// Guards against an evacuation that crosses a busy link three times.
#[test]
fn an_evacuation_takes_one_network_trip() {
    let mut sim = serving_gateway(22);
    sim.evacuate(2);
    sim.run_until(ms(7000));
    let evacuated = |update: &Update| matches!(update, Update::Evacuated(_));
    let first = sim.updates.iter().find(|(_, update)| evacuated(update));
    let (at, _) = first.expect("the gateway is updated");
    assert!(
        *at < ms(6000) + 2 * ONE_WAY_DELAY,
        "received only at {at:?}"
    );
}

/// Guards against updates that are lost for good when the push is lost.
#[test]
fn a_lost_update_is_repeated_after_the_next_report() {
    let mut sim = serving_gateway(22);
    sim.set_endpoints(endpoints(Some("i-00000007")));
    sim.drop_queued();
    sim.run_until(ms(7000));
    let leaving = sim
        .received_leaving_at("i-00000007")
        .expect("the gateway is updated");
    assert!(
        leaving < ms(6000) + UPDATE_DEADLINE,
        "received only at {leaving:?}"
    );
}

/// Guards against a gateway that receives a change to a list that it doesn't hold, and waits
/// for its next report before it pulls the changes in between.
#[test]
fn a_gateway_pulls_missing_changes_at_once() {
    let mut sim = serving_gateway(22);
    sim.set_endpoints(endpoints(Some("i-00000006")));
    sim.drop_queued();
    sim.set_endpoints(endpoints(Some("i-00000007")));
    sim.run_until(ms(7000));
    let leaving = sim
        .received_leaving_at("i-00000007")
        .expect("the gateway is updated");
    assert!(
        leaving < ms(6000) + 8 * ONE_WAY_DELAY,
        "received only at {leaving:?}"
    );
}

/// Guards against requests that wait for seconds behind a table of routes.
#[test]
fn requests_do_not_wait_behind_a_large_table() {
    let mut sim = Simulation::new();
    sim.set_routes(1, &table(4222));
    sim.set_endpoints(endpoints(None));
    sim.run_until(ms(10_000));
    assert!(sim.member.is_synced(sim.now));
    assert!(
        sim.max_queue_time <= MAX_QUEUE_TIME,
        "{:?}",
        sim.max_queue_time
    );
}
