//! Upstreams send some answers twice, among them rejections of health checks, which bear no request id.

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
const GATEWAYS: usize = 8;
const UPSTREAMS: usize = 4;
/// Upstreams that send answers twice: at most 0.6 of all.
const FAULTY: usize = 2;
/// Share of their answers that are sent twice, at most.
const EXTRA_SHARE: f64 = 0.03;
const TIME_LIMIT: Duration = Duration::from_millis(6000);
const LENGTH: Duration = Duration::from_secs(80);
/// Orders that come at once, from half of this number to all of it.
const WAVE: usize = 48;
/// Time after which nothing that was refused can begin to run any more: longer than the route's timeout.
const AFTER: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    let record = Record::create(&deployment::record_path());
    let site = start_site();
    let upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|n| Upstream::start(spec(n), &record))
        .collect();
    deployment::show(&site, &upstreams);
    let route = RouteSpec {
        service: SERVICE,
        kind: "unsafe",
        timeout_ms: 3000,
        target_latency_ms: 1500,
        max_attempts: 2,
    };
    let answer = site.order("config.put", &deployment::config(1, &[route]));
    if answer.status != 200 {
        return ExitCode::from(deployment::COULD_NOT_RUN);
    }
    (0..GATEWAYS).for_each(|n| site.wait_serving(n));
    let attempts = send_waves(&site, &record);
    let verdict = Verdict::of(&attempts, &upstreams, &record);
    record.flush();
    verdict.exit_code()
}

fn start_site() -> Site {
    let place = || Place::new("zagreb", ZONE);
    let controls = (0..3).map(|_| place()).collect();
    let gateways = (0..GATEWAYS).map(|_| place()).collect();
    deployment::builder().placed(controls, gateways).start()
}

fn spec(n: usize) -> Spec {
    let is_faulty = n < FAULTY && deployment::has_trouble();
    Spec {
        id: format!("i-{n}"),
        service: SERVICE.to_owned(),
        zone: ZONE.to_owned(),
        slots: 4,
        queue: 4,
        work: Duration::from_millis(1200),
        spread: 0.15,
        shed_share: 0.0,
        extra: match is_faulty {
            true => Extra::HealthRejections(EXTRA_SHARE),
            false => Extra::None,
        },
    }
}

/// Sends orders in waves, and returns all attempts once nothing runs any more.
fn send_waves(site: &Site, record: &Record) -> Vec<Attempt> {
    let gateways = deployment::gateway_addrs(site);
    let (started, mut number) = (Instant::now(), 0);
    let mut running = Vec::new();
    while started.elapsed() < LENGTH {
        for _ in 0..rand::random_range(WAVE / 2..=WAVE) {
            number += 1;
            let order = Order {
                name: format!("order-{number}"),
                path: format!("/{SERVICE}/{number}"),
                object: String::new(),
                time_limit: TIME_LIMIT,
                retries: 1,
            };
            let sending = caller::send(order, gateways.clone(), record.clone());
            running.push(runtime::handle().spawn(sending));
        }
        std::thread::sleep(Duration::from_millis(rand::random_range(2500..3300)));
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
