//! Case: a gateway that stops takes a request that it can't finish, and cuts it while its endpoint is at work.
//!
//! A service has two routes of one kind: short requests that come all the time, and a long one now and then.
//! A gateway gets SIGTERM. A client that may use its last look-up for a while longer sends the gateway a long
//! request more than 3 s later. The gateway expects it to take as long as the short ones, takes it, and ends
//! it before its grace is over with an answer of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use filberthead_review::{
    Record, RunEnd, TimedEndpoint, Verdict, is_troubled, note_pids, programs, run_case,
};
use filberthead_testing::client::Call;
use filberthead_testing::cluster::Place;
use filberthead_testing::site::{HOST, Site};

const SERVICE: &str = "registo";
const ZONES: [(&str, &str); 2] = [("norte", "porto-a"), ("sul", "faro-a")];
const THIRD: (&str, &str) = ("ilhas", "ponta-a");
const ENDPOINTS_PER_ZONE: usize = 4;
const SLOTS: u32 = 3;
/// The time from SIGTERM to SIGKILL: `grace_s`.
const GRACE: Duration = Duration::from_secs(6);
/// A request that is sent no later than this after SIGTERM may be cut in the last sixth of the grace.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// How long short and long requests run.
const SHORT: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_millis(2600);
/// Time limit and route timeout of long requests.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Callers of short requests, until the stop.
const CALLERS: usize = 4;
/// Long requests before the stop, and the pause before each and after the last one.
const LONG_REQUESTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(1500);
/// Pause between two look-ups.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(10);
/// Multiple of its time for which some clients keep a look-up.
const KEPT: u32 = 3;
/// How long before the end of that time the long request is sent.
const MARGIN: Duration = Duration::from_millis(5);

fn main() -> ExitCode {
    run_case(case)
}

fn run_time(path: &str) -> Duration {
    match path.starts_with("/long/") {
        true => LONG,
        false => SHORT,
    }
}

fn case(record: &Record) -> Verdict {
    let (site, endpoints) = match deploy() {
        Ok(deployed) => deployed,
        Err(e) => return Verdict::NotRun(format!("the endpoints can't start: {e}")),
    };
    let gateway = site.gateways[0].direct_addr("caller");
    let stopped = AtomicBool::new(false);
    let sent = scope(|scope| {
        for caller in 0..CALLERS {
            let stopped = &stopped;
            scope.spawn(move || send_short(gateway, caller, stopped));
        }
        send_long(gateway);
        sleep(PAUSE);
        stopped.store(true, Ordering::Relaxed);
        stop_and_send(record, &site, gateway)
    });
    let (terminated, sent) = match sent {
        Ok(sent) => sent,
        Err(reason) => return Verdict::NotRun(reason),
    };
    judge(record, &endpoints, terminated, &sent)
}

/// What became of the long request.
struct Sent {
    id: String,
    at: Instant,
    answered: Instant,
    status: Option<u16>,
    /// Whether it has an endpoint's signature.
    signed: bool,
}

fn deploy() -> std::io::Result<(Site, Vec<TimedEndpoint>)> {
    let place = |(region, zone): (&str, &str)| Place::new(region, zone);
    let [zone, other] = ZONES.map(place);
    let controls = vec![zone.clone(), other.clone(), place(THIRD)];
    let builder = Site::builder(programs()).placed(controls, vec![zone, other]);
    let site = builder.seeds(3).stop_grace(GRACE).start();
    note_pids(&site);
    let (mut endpoints, mut lines) = (Vec::new(), Vec::new());
    for (_, zone) in ZONES {
        for _ in 0..ENDPOINTS_PER_ZONE {
            let id = format!("i-{}", endpoints.len() + 1);
            let endpoint = TimedEndpoint::start(&id, run_time)?;
            lines.push(endpoint.line(SERVICE, zone, SLOTS));
            endpoints.push(endpoint);
        }
    }
    site.list.set(lines);
    site.order("config.put", &config());
    (0..site.gateways.len()).for_each(|gateway| site.wait_serving(gateway));
    Ok((site, endpoints))
}

/// Routes for short and for long requests of one service and one kind.
fn config() -> String {
    let route = |name: &str, timeout: Duration, objective: Duration| {
        serde_json::json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": "unsafe",
            "timeout_ms": timeout.as_millis() as u64,
            "target_latency_ms": objective.as_millis() as u64,
            "priority": 1, "service": SERVICE, "max_attempts": 2, "sticky_sessions": false,
            "allowed_regions": [],
        })
    };
    let routes = [
        route("short", Duration::from_secs(2), Duration::from_millis(400)),
        route("long", TIME_LIMIT, Duration::from_secs(4)),
    ];
    serde_json::json!({
        "version": 1,
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 390,
            "warmup_s": 3.0, "warmup_per_s": 9.4}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
    })
    .to_string()
}

fn call(path: &str, id: &str, limit: Duration) -> Call {
    Call::new("POST", path)
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", &limit.as_millis().to_string())
        .body("seat")
        .bound(limit)
}

fn send_short(gateway: SocketAddr, caller: usize, stopped: &AtomicBool) {
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        // Whatever the answer is, the next request follows.
        let _ = call(
            "/short/a",
            &format!("short-{caller}-{number}"),
            Duration::from_secs(2),
        )
        .send(gateway);
    }
}

fn send_long(gateway: SocketAddr) {
    for number in 0..LONG_REQUESTS {
        sleep(PAUSE);
        // Whatever the answer is, the next request follows.
        let _ = call("/long/a", &format!("long-{number}"), TIME_LIMIT).send(gateway);
    }
}

/// Stops the gateway, and sends it a long request as late as a client's look-up allows.
fn stop_and_send(
    record: &Record,
    site: &Site,
    gateway: SocketAddr,
) -> Result<(Instant, Sent), String> {
    let terminated = Instant::now();
    if is_troubled() {
        record.line("gateway-1 gets SIGTERM");
        site.gateways[0].process_ref().terminate();
    }
    let mut last_named = None;
    while let Some(named) = look_up(site, &site.gateways[0].addr("caller").to_string()) {
        last_named = Some(named);
        sleep(LOOK_UP_PAUSE);
        if !is_troubled() && terminated.elapsed() >= EXCUSED_UNTIL {
            break;
        }
    }
    let (named_at, ttl) = last_named.ok_or("no look-up names the gateway")?;
    record.line_at(
        named_at,
        &format!("the last look-up that names gateway-1, to be kept for {ttl:?}"),
    );
    let at = named_at + (ttl * KEPT).saturating_sub(MARGIN);
    sleep(at.saturating_duration_since(Instant::now()));
    let (id, at) = ("long-last".to_owned(), Instant::now());
    record.line(&format!("client sends {id} to gateway-1"));
    let answer = call("/long/a", &id, TIME_LIMIT).send(gateway);
    let answered = Instant::now();
    record.line(&format!(
        "client gets {:?}",
        answer.as_ref().map(|answer| answer.status)
    ));
    let answer = answer.ok();
    Ok((
        terminated,
        Sent {
            id,
            at,
            answered,
            status: answer.as_ref().map(|answer| answer.status.as_u16()),
            signed: answer.is_some_and(|answer| !answer.header("x-response-signature").is_empty()),
        },
    ))
}

/// When a look-up was answered that names the gateway, and for how long it may be kept; `None` if it doesn't name it.
fn look_up(site: &Site, gateway: &str) -> Option<(Instant, Duration)> {
    let (region, zone) = ZONES[0];
    let path = format!("/-/resolve?name={HOST}&region={region}&zone={zone}");
    let addr = site.controls[0].direct_addr("lookups");
    let answer = Call::get(&path)
        .bound(Duration::from_secs(1))
        .send(addr)
        .ok()?;
    let at = Instant::now();
    let found: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let names = found["addresses"]
        .as_array()?
        .iter()
        .any(|known| known == gateway);
    let ttl = Duration::try_from_secs_f64(found["ttl_s"].as_f64()?).ok()?;
    names.then_some((at, ttl))
}

fn judge(
    record: &Record,
    endpoints: &[TimedEndpoint],
    terminated: Instant,
    sent: &Sent,
) -> Verdict {
    for endpoint in endpoints {
        for run in endpoint.runs() {
            record.line_at(run.began, &format!("{} runs {}", endpoint.id(), run.id));
            if let Some((at, end)) = run.ended {
                record.line_at(at, &format!("{} ends {}: {end:?}", endpoint.id(), run.id));
            }
        }
    }
    let sent_after = sent.at.saturating_duration_since(terminated);
    let answered_after = sent.answered.saturating_duration_since(terminated);
    let waited = sent.answered.saturating_duration_since(sent.at);
    record.line(&format!(
        "{} sent {sent_after:?} after SIGTERM, answered {answered_after:?} after it: {:?}, signed: {}",
        sent.id, sent.status, sent.signed
    ));
    if is_troubled() && sent_after <= EXCUSED_UNTIL {
        return Verdict::NotRun(format!("the request was sent {sent_after:?} after SIGTERM"));
    }
    let runs = endpoints.iter().flat_map(TimedEndpoint::runs);
    let was_cut = runs
        .filter(|run| run.id == sent.id)
        .any(|run| run.ended.is_some_and(|(_, end)| end == RunEnd::Cut));
    match was_cut && !sent.signed && waited < TIME_LIMIT {
        true => Verdict::Broken(format!(
            "LOST: a request sent {sent_after:?} after SIGTERM was ended {answered_after:?} after it with {:?}, \
             while its endpoint was at work",
            sent.status
        )),
        false => Verdict::Held,
    }
}
