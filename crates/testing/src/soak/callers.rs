//! Callers: they look up a gateway, keep a connection to it, and use that until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filberthead_types::ResultCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::history::{Asked, Ended, Probed};
use super::shared::{World, only_in};
use crate::client::{Answer, Call, CallError, Connection};
use crate::site::{HOST, is_answer};

/// What a request tells about the time that its caller waits.
const DEADLINE_MS: u64 = 1_500;
/// When its caller gives up: later, so that a final answer at the deadline is seen.
const PATIENCE: Duration = Duration::from_millis(2_500);
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Lengths of lessons: shorter and longer than what a gateway reads whole.
const LESSON_BYTES: [u64; 3] = [20_000, 300_000, 2_500_000];
/// Objects that requests are about.
const OBJECTS: u32 = 40;
/// How far back tried versions lie from the newest one.
const RECENT: u64 = 6;

/// A connection to a gateway.
struct Line {
    gateway: usize,
    connection: Connection,
}

/// A request to be sent.
struct Ask {
    method: &'static str,
    path: String,
    body: String,
    object: u32,
    /// Version that alone has its route.
    probes: Option<u64>,
}

/// Sends requests until the soak is over.
pub(super) async fn call(world: Arc<World>, number: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut line = None;
    let mut count = 0;
    while !world.is_over() {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        if line.is_none() {
            line = connect(&world, &mut rng).await;
        }
        let Some(open) = line.take() else { continue };
        count += 1;
        let ask = draw(&world, &mut rng);
        line = send(&world, open, format!("c{number}-{count}"), &ask).await;
    }
}

fn draw(world: &World, rng: &mut StdRng) -> Ask {
    let object = rng.random_range(0..OBJECTS);
    let ask = |method, path, body: &str, probes| Ask {
        method,
        path,
        body: body.to_owned(),
        object,
        probes,
    };
    match rng.random_range(0..20) {
        0..=6 => ask("POST", format!("/orders/{object}"), "two packs", None),
        7..=14 => ask("GET", format!("/catalogue/{object}?page=1"), "", None),
        15 => {
            let bytes = LESSON_BYTES[rng.random_range(0..LESSON_BYTES.len())];
            ask("GET", format!("/lessons/{object}?bytes={bytes}"), "", None)
        }
        _ => {
            let newest = world.newest();
            let version = newest.saturating_sub(rng.random_range(0..RECENT)).max(1);
            let path = format!("{}{object}", only_in(version));
            ask("GET", path, "", Some(version))
        }
    }
}

#[derive(Deserialize)]
struct Found {
    addresses: Vec<SocketAddr>,
}

async fn connect(world: &World, rng: &mut StdRng) -> Option<Line> {
    let replica = world.lookups[rng.random_range(0..world.lookups.len())];
    let domain = ["zagreb-a", "split-a"][rng.random_range(0..2)];
    let path = format!("/-/resolve?name={HOST}&region=zagreb&zone={domain}");
    let call = Call::get(&path).bound(LOOKUP_TIMEOUT);
    let found: Found = serde_json::from_slice(&call.send_async(replica).await.ok()?.body).ok()?;
    if found.addresses.is_empty() {
        return None;
    }
    let addr = found.addresses[rng.random_range(0..found.addresses.len())];
    let gateway = world.gateways.iter().position(|known| *known == addr)?;
    let connection = timeout(CONNECT_TIMEOUT, Connection::open(addr))
        .await
        .ok()?;
    Some(Line {
        gateway,
        connection: connection.ok()?,
    })
}

/// Sends one request and notes how it ended. Returns the connection if it can be used again.
async fn send(world: &World, mut line: Line, id: String, ask: &Ask) -> Option<Line> {
    let call = Call::new(ask.method, &ask.path)
        .header("host", HOST)
        .header("x-request-id", &id)
        .header("x-affinity-key", &ask.object.to_string())
        .header("x-deadline-ms", &DEADLINE_MS.to_string())
        .body(ask.body.clone());
    let life = world.lives[line.gateway].load(Ordering::SeqCst);
    let sent = Instant::now();
    let result = timeout(PATIENCE, line.connection.send(&call)).await;
    let result = result.unwrap_or(Err(CallError::TimedOut));
    let same_life = world.lives[line.gateway].load(Ordering::SeqCst) == life;
    let ended = end_of(&result, ask);
    let keeps = matches!(&result, Ok(answer) if answer.header("connection") != "close");
    let unknown = matches!(ended, Ended::Answered { status: 404, .. });
    let mut history = world.history();
    if let Some(version) = ask.probes
        && let Ok(answer) = &result
        && let Some(known) = knows_route(answer)
        && same_life
    {
        history.probed.push(Probed {
            gateway: line.gateway,
            life,
            version,
            known,
            sent,
            ended: Instant::now(),
        });
    }
    // A route that one version had may be unknown to another.
    if ask.probes.is_none() || !unknown {
        history.asked.push(Asked {
            id,
            what: format!("{} {}", ask.method, ask.path),
            idempotent: ask.method == "GET",
            gateway: line.gateway,
            ended,
        });
    }
    keeps.then_some(line)
}

/// Whether an answer shows that its gateway has the request's route. `None` if it tells
/// neither: a gateway that hasn't any routes, or whose routes lack this one and aren't proved
/// to be the newest, says so with codes of their own.
fn knows_route(answer: &Answer) -> Option<bool> {
    match answer.result().and_then(ResultCode::from_number) {
        Some(ResultCode::NotReady | ResultCode::RoutesUnproven) => None,
        code => Some(code != Some(ResultCode::UnknownService)),
    }
}

fn end_of(result: &Result<Answer, CallError>, ask: &Ask) -> Ended {
    match result {
        Ok(answer) => Ended::Answered {
            status: answer.status.as_u16(),
            own: answer.header("x-response-signature") == "signed"
                && is_answer(ask.method, &ask.path, ask.body.as_bytes(), &answer.body),
        },
        Err(CallError::Connect(_)) => Ended::Unreached,
        Err(CallError::NoAnswer(_)) => Ended::Closed,
        Err(CallError::Cut { .. }) => Ended::Cut,
        Err(CallError::TimedOut) => Ended::TimedOut,
    }
}
