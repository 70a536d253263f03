//! Replays the load of one region whose callers share a few hundred objects of nearly even popularity.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use filberthead_fleet::Endpoint;
use filberthead_place::{
    Decision, EndpointId, Load, Object, Outcome, Placer, Request, RouteKey, Target,
};
use filberthead_route::{Route, Table};
use filberthead_types::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::{
    domain, endpoint, ms, named_placer, place, record_served, request, service, table,
};

/// A region with two failure domains, and what its callers ask for. Figures are those of
/// `docs/design/contended-load.md`.
#[derive(Clone, Copy, Debug)]
struct Site {
    name: &'static str,
    /// Endpoints in each failure domain.
    endpoints: usize,
    slots: u32,
    queue: usize,
    /// Objects that an endpoint remembers.
    memory: usize,
    /// Gateways in each failure domain.
    gateways: usize,
    per_s: f64,
    objects: usize,
    objective: u64,
    seconds: u64,
    answer_bytes: usize,
    /// Whether VMs are slow for moments, and whether endpoints report it.
    slow_vms: SlowVms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowVms {
    None,
    Silent,
    Reported,
}

/// Length of an answer in bytes that pays for a second copy of its object.
const LARGE_ANSWER: usize = 5000;
/// Milliseconds that an unknown object takes, and a cached one, and a route's timeout.
const UNKNOWN_MS: f64 = 920.0;
const CACHED_MS: f64 = 276.0;
const TIMEOUT_MS: u64 = 1500;

const TRINACRIA: Site = Site {
    name: "a large region of catalogo",
    endpoints: 38,
    slots: 4,
    queue: 12,
    memory: 19,
    gateways: 11,
    per_s: 347.0,
    objects: 260,
    objective: 600,
    seconds: 60,
    answer_bytes: LARGE_ANSWER,
    slow_vms: SlowVms::None,
};
/// What the plan keeps in `sicilia-ovest`.
const SICILIA: Site = Site {
    name: "the small region of catalogo",
    endpoints: 9,
    per_s: 190.0,
    objects: 143,
    ..TRINACRIA
};
const LECHNER: Site = Site {
    name: "a large region of gewaesser",
    endpoints: 23,
    slots: 9,
    queue: 27,
    memory: 30,
    gateways: 4,
    per_s: 356.0,
    objects: 400,
    objective: 800,
    seconds: 60,
    answer_bytes: LARGE_ANSWER,
    slow_vms: SlowVms::None,
};
/// What the plan keeps in `west`.
const WEST: Site = Site {
    name: "the small region of gewaesser",
    endpoints: 5,
    per_s: 220.0,
    objects: 250,
    ..LECHNER
};

/// What a replay showed.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Work of the busiest endpoint by the mean, from the tenth second on.
    busiest: f64,
    /// Share of the requests that found their object cached.
    cached: f64,
    /// Share of the requests answered within the objective.
    in_time: f64,
    /// The same in the first five seconds.
    in_time_at_first: f64,
    /// Share of the requests that ran in another failure domain than their gateway's.
    crossing: f64,
    /// Endpoints that have learned an object, by objects.
    copies: f64,
}

struct Job {
    gateway: usize,
    object: usize,
    target: Target,
    sent: u64,
}

#[derive(Default)]
struct SimEndpoint {
    running: usize,
    waiting: VecDeque<Job>,
    /// Objects, the most recently used one last.
    memory: VecDeque<usize>,
    ever: std::collections::BTreeSet<usize>,
    work_ms: f64,
}

enum Event {
    Arrive,
    Tick,
    Done(EndpointId, Box<Job>),
}

struct Replay {
    site: Site,
    rng: StdRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    last: u64,
    gateways: Vec<Placer>,
    endpoints: BTreeMap<EndpointId, SimEndpoint>,
    popularity: Vec<f64>,
    requests: [u32; 2],
    in_time: [u32; 2],
    cached: u32,
    ran: u32,
    crossing: u32,
}

fn listed(site: &Site) -> Vec<Endpoint> {
    let of_domain = |domain: &'static str| {
        (0..site.endpoints).map(move |n| Endpoint {
            slots: site.slots,
            ..endpoint(&format!("{domain}-e{n}"), domain)
        })
    };
    of_domain("north-1").chain(of_domain("north-2")).collect()
}

impl Replay {
    fn new(site: Site, seed: u64, with_control: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = table();
        table.routes = vec![Arc::new(Route {
            objective: ms(site.objective),
            timeout: ms(TIMEOUT_MS),
            ..Route::clone(&table.routes[0])
        })];
        let gateways = (0..2 * site.gateways).map(|number| {
            let own = if number < site.gateways {
                "north-1"
            } else {
                "north-2"
            };
            let mut placer = named_placer(&format!("gateway-{number}"), own, listed(&site));
            placer.set_routes(&Table::default());
            placer.set_routes(&table);
            let per_domain = site.gateways as u32;
            placer.set_gateways(
                ms(0),
                &[
                    (domain("north-1"), per_domain),
                    (domain("north-2"), per_domain),
                ],
            );
            if with_control {
                placer.enable_contention_control();
            }
            placer
        });
        let endpoints = listed(&site).into_iter();
        let endpoints = endpoints.map(|e| (e.id.as_str().into(), SimEndpoint::default()));
        let mut sum = 0.0;
        let popularity = (0..site.objects).map(|_| {
            sum += rng.random_range(0.4..1.0);
            sum
        });
        let popularity = popularity.collect();
        let mut replay = Self {
            now: 0,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            last: 0,
            gateways: gateways.collect(),
            endpoints: endpoints.collect(),
            popularity,
            requests: [0; 2],
            in_time: [0; 2],
            cached: 0,
            ran: 0,
            crossing: 0,
            rng,
            site,
        };
        replay.add(0, Event::Arrive);
        replay.add(0, Event::Tick);
        replay
    }

    fn add(&mut self, at: u64, event: Event) {
        self.last += 1;
        self.events.push(Reverse((at, self.last)));
        self.pending.insert(self.last, event);
    }

    /// Times are in tenths of milliseconds.
    fn run(mut self) -> Figures {
        let end = self.site.seconds * 10_000;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            match self.pending.remove(&number) {
                Some(Event::Arrive) => self.arrive(),
                Some(Event::Tick) => self.tick(),
                Some(Event::Done(id, job)) => self.done(&id, *job),
                None => {}
            }
        }
        let works: Vec<f64> = self.endpoints.values().map(|e| e.work_ms).collect();
        let mean = works.iter().sum::<f64>() / works.len() as f64;
        let ever: usize = self.endpoints.values().map(|e| e.ever.len()).sum();
        let requests = f64::from(self.requests[0] + self.requests[1]);
        Figures {
            busiest: works.iter().copied().fold(0.0, f64::max) / mean,
            cached: f64::from(self.cached) / f64::from(self.ran),
            in_time: f64::from(self.in_time[0] + self.in_time[1]) / requests,
            in_time_at_first: f64::from(self.in_time[0]) / f64::from(self.requests[0]),
            crossing: f64::from(self.crossing) / f64::from(self.ran),
            copies: ever as f64 / self.site.objects as f64,
        }
    }

    fn at(&self) -> Moment {
        Moment::from_micros(self.now * 100)
    }

    fn tick(&mut self) {
        let now = self.at();
        for placer in &mut self.gateways {
            placer.take_demand(now);
            placer.update_plans(now);
        }
        self.add(self.now + 5000, Event::Tick);
    }

    fn arrive(&mut self) {
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / self.site.per_s;
        self.add(self.now + (gap * 10_000.0).ceil() as u64, Event::Arrive);
        let total = *self.popularity.last().expect("objects");
        let drawn = self.rng.random::<f64>() * total;
        let object = self.popularity.partition_point(|sum| *sum < drawn);
        let gateway = self.rng.random_range(0..self.gateways.len());
        let now = self.at();
        let service = service();
        let name = format!("object-{object}");
        let req = Request {
            route: RouteKey::new("/"),
            objective: ms(self.site.objective),
            remaining: ms(TIMEOUT_MS),
            object: Some(Object {
                prefix: "/",
                name: name.as_bytes(),
            }),
            ..request(&service, b"")
        };
        self.requests[usize::from(self.now >= 50_000)] += 1;
        let placer = &mut self.gateways[gateway];
        placer.record_request(now, &service, 1);
        let Decision::Send(target) = placer.place(now, req) else {
            return;
        };
        let job = Job {
            gateway,
            object,
            target,
            sent: self.now,
        };
        let own = if gateway < self.site.gateways {
            "north-1"
        } else {
            "north-2"
        };
        self.ran += 1;
        self.crossing += u32::from(!job.target.id.starts_with(own));
        let id = job.target.id.clone();
        let endpoint = self.endpoints.get_mut(&id).expect("listed");
        if endpoint.running < self.site.slots as usize {
            self.start(&id, job);
        } else if endpoint.waiting.len() < self.site.queue {
            endpoint.waiting.push_back(job);
        } else {
            let load = Load {
                running: self.site.slots,
                waiting: self.site.queue as u32,
                slowdown: self.reported_slowdown(&id),
            };
            let placer = &mut self.gateways[gateway];
            placer.record_load(now, &job.target, load);
            placer.record_outcome(now, &service, &job.target, Outcome::Full);
        }
    }

    /// How many times longer work takes on an endpoint's VM now: 2.5 times on 15 % of them, others every
    /// 0.6 s.
    fn slowdown(&self, id: &EndpointId) -> f64 {
        let key = format!("{id} {}", self.now / 6000);
        let drawn = xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % 100;
        match self.site.slow_vms != SlowVms::None && drawn < 15 {
            true => 2.5,
            false => 1.0,
        }
    }

    fn reported_slowdown(&self, id: &EndpointId) -> Option<u32> {
        let is_reported = self.site.slow_vms == SlowVms::Reported;
        is_reported.then(|| (100.0 * self.slowdown(id)) as u32)
    }

    fn start(&mut self, id: &EndpointId, job: Job) {
        let factor = self.slowdown(id) * self.rng.random_range(0.85..1.15);
        let endpoint = self.endpoints.get_mut(id).expect("listed");
        endpoint.running += 1;
        let known = endpoint.memory.iter().position(|o| *o == job.object);
        if let Some(position) = known {
            endpoint.memory.remove(position);
        }
        endpoint.memory.push_back(job.object);
        endpoint.ever.insert(job.object);
        if endpoint.memory.len() > self.site.memory {
            endpoint.memory.pop_front();
        }
        self.cached += u32::from(known.is_some());
        let work = factor
            * if known.is_some() {
                CACHED_MS
            } else {
                UNKNOWN_MS
            };
        if self.now >= 100_000 {
            endpoint.work_ms += work;
        }
        // One millisecond of network both ways.
        self.add(
            self.now + (10.0 * work) as u64 + 10,
            Event::Done(id.clone(), Box::new(job)),
        );
    }

    fn done(&mut self, id: &EndpointId, job: Job) {
        let now = self.at();
        let slowdown = self.reported_slowdown(id);
        let endpoint = self.endpoints.get_mut(id).expect("listed");
        endpoint.running -= 1;
        let load = Load {
            running: endpoint.running as u32,
            waiting: endpoint.waiting.len() as u32,
            slowdown,
        };
        let took = (self.now - job.sent) / 10;
        let placer = &mut self.gateways[job.gateway];
        placer.record_load(now, &job.target, load);
        placer.record_outcome(now, &service(), &job.target, Outcome::Served(ms(took)));
        placer.record_answer_bytes(&service(), self.site.answer_bytes);
        let phase = usize::from(job.sent >= 50_000);
        self.in_time[phase] += u32::from(took <= self.site.objective);
        if let Some(next) = self
            .endpoints
            .get_mut(id)
            .expect("listed")
            .waiting
            .pop_front()
        {
            self.start(id, next);
        }
    }
}

/// Figures of a replay with seed 1, printed for the design note.
fn replay(site: Site, with_control: bool) -> Figures {
    let figures = Replay::new(site, 1, with_control).run();
    println!(
        "{} with contention control: {with_control}: {figures:?}",
        site.name
    );
    figures
}

/// Guards against hot spots and against bytes between failure domains: hashing alone gives the busiest of 76
/// endpoints 2.2 times the mean, and lets half of the requests cross.
#[test]
fn objects_have_an_endpoint_in_each_failure_domain_where_memory_allows() {
    for site in [TRINACRIA, LECHNER] {
        let before = replay(site, false);
        let after = replay(site, true);
        assert!(before.crossing > 0.45, "{before:?}");
        assert!(after.crossing < 0.25, "{after:?}");
        assert!(after.busiest < 0.85 * before.busiest, "{after:?}");
        // Each object is learned once more.
        assert!(after.copies < 2.1, "{after:?}");
        assert!(after.in_time > before.in_time - 0.025, "{after:?}");
        let lost = before.in_time_at_first - after.in_time_at_first;
        assert!(lost < 0.01, "late at first: {after:?}");
    }
}

/// Guards against learning each object twice where answers are short, so that nearly no bytes are saved by it.
#[test]
fn objects_keep_one_endpoint_where_answers_are_short() {
    let short = Site {
        answer_bytes: 400,
        seconds: 30,
        ..LECHNER
    };
    let before = replay(short, false);
    let after = replay(short, true);
    assert!(after.copies < before.copies + 0.05, "{after:?}");
    assert!(after.in_time > before.in_time - 0.01, "{after:?}");
}

/// Endpoints that hardly remember the objects of their region have no room for second copies. With second
/// copies, half of the requests were for objects that had just been forgotten.
#[test]
fn objects_keep_one_endpoint_where_memory_is_short() {
    let before = replay(WEST, false);
    let after = replay(WEST, true);
    assert!(after.crossing > 0.4, "{after:?}");
    assert!(after.cached > before.cached - 0.02, "{after:?}");
    assert!(after.in_time > before.in_time - 0.02, "{after:?}");
}

/// Guards against a region that falls behind as some of its endpoints are saturated while others are idle.
#[test]
fn a_busy_region_serves_more_in_time() {
    let before = replay(SICILIA, false);
    let after = replay(SICILIA, true);
    assert!(after.in_time > before.in_time + 0.02, "{after:?}");
    assert!(after.busiest < before.busiest, "{after:?}");
}

/// VMs are slow for 0.6 s at a time. Guards against a figure that helps nobody or makes objects move between
/// endpoints that don't have them cached.
#[test]
fn reports_of_slow_vms_bring_more_answers_in_time() {
    let site = |slow_vms| Site {
        slow_vms,
        seconds: 40,
        ..LECHNER
    };
    let silent = replay(site(SlowVms::Silent), true);
    let reported = replay(site(SlowVms::Reported), true);
    assert!(
        reported.in_time >= silent.in_time,
        "{reported:?} {silent:?}"
    );
    assert!(reported.cached > silent.cached - 0.01, "{reported:?}");
}

/// Endpoints of both failure domains, and a gateway in the first that has seen 20 objects many times.
fn settled(gateways: u32) -> (Placer, Moment) {
    let near = (0..4).map(|n| endpoint(&format!("near-{n}"), "north-1"));
    let far = (0..4).map(|n| endpoint(&format!("far-{n}"), "north-2"));
    let mut placer = named_placer("gateway-1", "north-1", near.chain(far).collect());
    placer.enable_contention_control();
    let counts = [(domain("north-1"), gateways), (domain("north-2"), gateways)];
    placer.set_gateways(ms(0), &counts);
    let mut now = ms(0);
    for number in 0..400 {
        now = ms(100 * number);
        send(&mut placer, now, &format!("o-{}", number % 20), ms(100));
        placer.update_plans(now);
    }
    (placer, now)
}

fn send(placer: &mut Placer, now: Moment, object: &str, took: Moment) -> EndpointId {
    let service = service();
    placer.record_request(now, &service, 1);
    let target = place(placer, now, object).expect("an endpoint");
    placer.record_load(now, &target, Load::default());
    record_served(placer, now, &target, took);
    placer.record_answer_bytes(&service, LARGE_ANSWER);
    target.id
}

/// The endpoint of an object is lost. Requests must go on at once, at the other endpoints.
#[test]
fn the_next_endpoint_takes_over_when_an_objects_endpoint_is_lost() {
    let (mut placer, now) = settled(1);
    assert_eq!(placer.replicated_objects(), 20);
    let changes = placer.take_object_changes();
    assert!(
        changes.len() == 1 && changes[0].in_each_domain,
        "{changes:?}"
    );
    assert_eq!(changes[0].objects, Some(20));
    assert_eq!(placer.take_object_changes(), []);
    let first = send(&mut placer, now, "o-7", ms(100));
    assert!(first.starts_with("near"), "{first}");
    let service = service();
    let target = place(&mut placer, now, "o-7").expect("an endpoint");
    placer.record_outcome(now, &service, &target, Outcome::Broken);
    let next = send(&mut placer, now + ms(10), "o-7", ms(100));
    assert_ne!(next, first);
    // All of the own domain is lost.
    placer.set_evacuated(now + ms(20), [domain("north-1")].into());
    let far = send(&mut placer, now + ms(20), "o-7", ms(100));
    assert!(far.starts_with("far"), "{far}");
}

/// A gateway that has restarted knows no objects. It must begin with the common order, in which the others have
/// the object cached at one of two endpoints, and agree with them again after the same time.
#[test]
fn a_restarted_gateway_begins_with_the_common_order() {
    let (mut placer, now) = settled(1);
    let endpoints: Vec<Endpoint> = listed(&Site {
        endpoints: 4,
        ..TRINACRIA
    });
    let mut restarted = named_placer("gateway-1", "north-1", endpoints.clone());
    restarted.enable_contention_control();
    let mut plain = named_placer("gateway-2", "north-1", endpoints);
    for number in 0..20 {
        let object = format!("o-{number}");
        let first = send(&mut restarted, now, &object, ms(100));
        assert_eq!(first, send(&mut plain, now, &object, ms(100)), "{object}");
    }
    assert_eq!(restarted.replicated_objects(), 0);
    let here = send(&mut placer, now, "o-7", ms(100));
    let (mut again, later) = settled(1);
    assert_eq!(here, send(&mut again, later, "o-7", ms(100)));
}

/// One object is requested far more often than an endpoint can run. It must get further endpoints, so that its
/// requests don't queue at one, and lose them once it is as popular as the others.
#[test]
fn an_object_that_outgrows_an_endpoint_gets_more_and_gives_them_up() {
    let (mut placer, start) = settled(4);
    let mut ids = std::collections::BTreeSet::new();
    let mut now = start;
    for number in 0..400 {
        now = start + ms(50 * number);
        let id = send(&mut placer, now, "o-7", ms(100));
        if number > 200 {
            ids.insert(id);
        }
        placer.update_plans(now);
    }
    assert!(ids.len() > 1, "{ids:?}");
    let start = now;
    ids.clear();
    for number in 0..120 {
        now = start + ms(1000 * number);
        let id = send(&mut placer, now, "o-7", ms(100));
        if number > 100 {
            ids.insert(id);
        }
        placer.update_plans(now);
    }
    assert_eq!(ids.len(), 1, "{ids:?}");
}

/// Guards against other decisions where nobody has asked for contention control.
#[test]
fn without_contention_control_no_object_is_replicated() {
    let figures = replay(
        Site {
            seconds: 20,
            ..TRINACRIA
        },
        false,
    );
    assert!(figures.copies < 1.2, "{figures:?}");
    let placer = named_placer("gateway-1", "north-1", Vec::new());
    assert_eq!(placer.replicated_objects(), 0);
}
