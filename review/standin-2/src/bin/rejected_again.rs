//! Upstreams reject part of their requests, and send some answers twice.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use filberthead_review_standin_2::caller::{self, Attempt, Order};
use filberthead_review_standin_2::deployment::{self, RouteSpec};
use filberthead_review_standin_2::record::Record;
use filberthead_review_standin_2::upstream::{Extra, Spec, Upstream};
use filberthead_review_standin_2::verdict::Verdict;
use filberthead_testing::cluster::Place;
use filberthead_testing::runtime;
use filberthead_testing::site::Site;

const SERVICE: &str = "orders";
const ZONE: &str = "zagreb-a";
const GATEWAYS: usize = 2;
const UPSTREAMS: usize = 5;
/// Upstreams that send answers twice: at most 0.6 of all.
const FAULTY: usize = 3;
/// Share of their answers that are sent twice, at most.
const EXTRA_SHARE: f64 = 0.03;
/// Share of the requests that upstreams reject.
const SHED_SHARE: f64 = 0.25;
const TIME_LIMIT: Duration = Duration::from_millis(1500);
const LENGTH: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(10);
const OBJECTS: usize = 120;
/// Time after which nothing that was refused can begin to run any more: longer than the route's timeout.
const AFTER: Duration = Duration::from_secs(4);

fn main() -> ExitCode {
    let record = Record::create(&deployment::record_path());
    let place = || Place::new("zagreb", ZONE);
    let controls = (0..3).map(|_| place()).collect();
    let gateways = (0..GATEWAYS).map(|_| place()).collect();
    let site = deployment::builder().placed(controls, gateways).start();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|n| Upstream::start(spec(n), &record))
        .collect();
    deployment::show(&site, &upstreams);
    let route = RouteSpec {
        service: SERVICE,
        kind: "unsafe",
        timeout_ms: 1500,
        target_latency_ms: 300,
        max_attempts: 3,
    };
    let answer = site.order("config.put", &deployment::config(1, &[route]));
    if answer.status != 200 {
        return ExitCode::from(deployment::COULD_NOT_RUN);
    }
    (0..GATEWAYS).for_each(|n| site.wait_serving(n));
    let attempts = send_orders(&site, &record);
    let verdict = Verdict::of(&attempts, &upstreams, &record);
    record.flush();
    verdict.exit_code()
}

fn spec(n: usize) -> Spec {
    let is_faulty = n < FAULTY && deployment::has_trouble();
    Spec {
        id: format!("i-{n}"),
        service: SERVICE.to_owned(),
        zone: ZONE.to_owned(),
        slots: 9,
        queue: 12,
        work: Duration::from_millis(312),
        spread: 0.15,
        shed_share: match deployment::has_trouble() {
            true => SHED_SHARE,
            false => 0.0,
        },
        extra: match is_faulty {
            true => Extra::Rejections(EXTRA_SHARE),
            false => Extra::None,
        },
    }
}

/// Sends orders one after the other, and returns all attempts once nothing runs any more.
fn send_orders(site: &Site, record: &Record) -> Vec<Attempt> {
    let gateways = deployment::gateway_addrs(site);
    let (started, mut number) = (Instant::now(), 0);
    let mut running = Vec::new();
    while started.elapsed() < LENGTH {
        number += 1;
        let order = Order {
            name: format!("order-{number}"),
            path: format!("/{SERVICE}/{number}"),
            object: format!("shop-{}", number % OBJECTS),
            time_limit: TIME_LIMIT,
            retries: 1,
        };
        let sending = caller::send(order, gateways.clone(), record.clone());
        running.push(runtime::handle().spawn(sending));
        std::thread::sleep(PAUSE);
    }
    runtime::wait(async move {
        let mut attempts = Vec::new();
        for order in running {
            attempts.extend(order.await.expect("a caller"));
        }
        tokio::time::sleep(AFTER).await;
        attempts
    })
}
