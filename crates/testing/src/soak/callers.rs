//! Callers, which look up a gateway, open a connection to it, and reuse that until it ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use filberthead_types::ResultCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::history::{CallerRequest, RequestOutcome, RouteProbe, Told};
use super::plan::Load;
use super::shared::{SharedState, probe_path};
use super::workspaces::Workspaces;
use crate::client::{Answer, Call, CallError, Connection};
use crate::cluster::Place;
use crate::site::{HOST, is_answer};

/// The deadline that a request carries.
const DEADLINE_MS: u64 = 1_500;
/// When the caller gives up. Later than the deadline, so that an answer sent at the deadline
/// still arrives.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Lengths of lessons: below and above the size that a gateway buffers completely.
const LESSON_BYTES: [u64; 3] = [20_000, 300_000, 2_500_000];
/// Failure domains of the callers.
const DOMAINS: [&str; 2] = ["zagreb-a", "split-a"];
/// Number of distinct objects, which are the affinity keys of requests.
const OBJECTS: u32 = 40;
/// Workspace that every caller claims to belong to.
const SPOOFED_WORKSPACE: &str = "somebody-else";
/// Probed versions are among this many newest ones.
const RECENT_VERSIONS: u64 = 6;

/// A connection to a gateway.
pub(super) struct GatewayConnection {
    pub(super) gateway: usize,
    pub(super) connection: Connection,
}

/// Contents of a request.
struct RequestSpec {
    method: &'static str,
    path: String,
    body: String,
    object: u32,
    /// The only version that has its route; `None` for a route that all versions have.
    probes: Option<u64>,
    key: String,
    /// The workspace that holds the key; `None` if none does.
    workspace: Option<String>,
}

impl RequestSpec {
    fn new(method: &'static str, path: String, object: u32) -> Self {
        Self {
            method,
            path,
            body: String::new(),
            object,
            probes: None,
            key: String::new(),
            workspace: None,
        }
    }
}

/// Sends requests until the soak is over.
pub(super) async fn call(shared: Arc<SharedState>, load: Load, number: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut connection = None;
    let mut count = 0;
    while !shared.is_over() {
        let pause_ms = rng.random_range(load.pause_ms());
        sleep(Duration::from_millis(pause_ms)).await;
        if connection.is_none() {
            let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
            connection = connect(&shared, &mut rng, &Place::new("zagreb", domain)).await;
        }
        let Some(open) = connection.take() else {
            continue;
        };
        count += 1;
        let (key, workspace) = Workspaces::default().key(number, count);
        let spec = RequestSpec {
            key,
            workspace,
            ..match load {
                Load::Mixed | Load::BesideEvacuations => random_request(&shared, &mut rng),
                Load::FewReads => random_read(&mut rng),
            }
        };
        connection = send(&shared, open, format!("c{number}-{count}"), &spec).await;
    }
}

fn random_read(rng: &mut StdRng) -> RequestSpec {
    let object = rng.random_range(0..OBJECTS);
    RequestSpec::new("GET", format!("/catalogue/{object}?page=1"), object)
}

fn random_request(shared: &SharedState, rng: &mut StdRng) -> RequestSpec {
    let object = rng.random_range(0..OBJECTS);
    let spec = |method, path, body: &str, probes| RequestSpec {
        body: body.to_owned(),
        probes,
        ..RequestSpec::new(method, path, object)
    };
    match rng.random_range(0..20) {
        0..=6 => spec("POST", format!("/orders/{object}"), "two packs", None),
        7..=14 => spec("GET", format!("/catalogue/{object}?page=1"), "", None),
        15 => {
            let bytes = LESSON_BYTES[rng.random_range(0..LESSON_BYTES.len())];
            spec("GET", format!("/lessons/{object}?bytes={bytes}"), "", None)
        }
        _ => {
            let newest = shared.newest();
            let version = newest
                .saturating_sub(rng.random_range(0..RECENT_VERSIONS))
                .max(1);
            let path = format!("{}{object}", probe_path(version));
            spec("GET", path, "", Some(version))
        }
    }
}

#[derive(Deserialize)]
struct LookupAnswer {
    addresses: Vec<SocketAddr>,
}

/// Looks up the gateways for a caller at this place at a random replica, and connects to one.
pub(super) async fn connect(
    shared: &SharedState,
    rng: &mut StdRng,
    caller: &Place,
) -> Option<GatewayConnection> {
    let replica = shared.lookups[rng.random_range(0..shared.lookups.len())];
    let (region, domain) = (&caller.region, &caller.failure_domain);
    let path = format!("/-/resolve?name={HOST}&region={region}&zone={domain}");
    let call = Call::get(&path).bound(LOOKUP_TIMEOUT);
    let found: LookupAnswer =
        serde_json::from_slice(&call.send_async(replica).await.ok()?.body).ok()?;
    if found.addresses.is_empty() {
        return None;
    }
    let addr = found.addresses[rng.random_range(0..found.addresses.len())];
    let gateway = shared
        .gateways
        .iter()
        .position(|gateway| *gateway == addr)?;
    connect_to(shared, gateway).await
}

/// Connects to the gateway with this index.
pub(super) async fn connect_to(shared: &SharedState, gateway: usize) -> Option<GatewayConnection> {
    let addr = shared.gateways[gateway];
    let connection = timeout(CONNECT_TIMEOUT, Connection::open(addr))
        .await
        .ok()?;
    Some(GatewayConnection {
        gateway,
        connection: connection.ok()?,
    })
}

/// Sends one request and records its outcome. Returns the connection if it can be reused.
async fn send(
    shared: &SharedState,
    mut connection: GatewayConnection,
    id: String,
    spec: &RequestSpec,
) -> Option<GatewayConnection> {
    let call = Call::new(spec.method, &spec.path)
        .header("host", HOST)
        .header("x-request-id", &id)
        .header("x-affinity-key", &spec.object.to_string())
        .header("x-deadline-ms", &DEADLINE_MS.to_string())
        .header("api-key", &spec.key)
        // The gateway has to replace what a caller claims to be.
        .header("x-tenant", SPOOFED_WORKSPACE)
        .body(spec.body.clone());
    let incarnation = shared.incarnations[connection.gateway].load(Ordering::SeqCst);
    let sent = Instant::now();
    let result = timeout(CALLER_TIMEOUT, connection.connection.send(&call)).await;
    let result = result.unwrap_or(Err(CallError::TimedOut));
    let same_incarnation =
        shared.incarnations[connection.gateway].load(Ordering::SeqCst) == incarnation;
    let outcome = outcome_of(&result, spec.method, &spec.path, &spec.body);
    let reusable = matches!(&result, Ok(answer) if answer.header("connection") != "close");
    let is_unknown = matches!(outcome, RequestOutcome::Answered { status: 404, .. });
    let mut history = shared.history();
    if let Some(version) = spec.probes
        && let Ok(answer) = &result
        && let Some(has_route) = shows_route(answer)
        && same_incarnation
    {
        history.probes.push(RouteProbe {
            gateway: connection.gateway,
            incarnation,
            version,
            has_route,
            sent,
            answered: Instant::now(),
        });
    }
    // A probe may get 404 from a gateway with another version, which is no violation.
    if spec.probes.is_none() || !is_unknown {
        history.requests.push(CallerRequest {
            id,
            request_line: format!("{} {}", spec.method, spec.path),
            sent,
            deadline: Some(sent + Duration::from_millis(DEADLINE_MS)),
            ended: Instant::now(),
            workspace: spec.workspace.clone(),
            idempotent: spec.method == "GET",
            gateway: connection.gateway,
            outcome,
            told: told(&result),
        });
    }
    reusable.then_some(connection)
}

/// Whether an answer shows that the gateway has the request's route. `None` if it shows neither:
/// a gateway without any routes, or one whose routes lack this one and aren't proved to be the
/// newest, answers with a result code of its own.
fn shows_route(answer: &Answer) -> Option<bool> {
    match answer.result().and_then(ResultCode::from_number) {
        Some(ResultCode::NotReady | ResultCode::RoutesUnproven) => None,
        code => Some(code != Some(ResultCode::UnknownService)),
    }
}

/// What an answer just received tells of the endpoint that made it.
pub(super) fn told(result: &Result<Answer, CallError>) -> Option<Told> {
    let answer = result.as_ref().ok()?;
    let told = Told {
        endpoint: answer.header("x-instance-id").to_owned(),
        at: Instant::now(),
        limit: !answer.header("server-limit").is_empty(),
        leaving: answer.header("server-leaving") == "1",
    };
    (told.limit || told.leaving).then_some(told)
}

pub(super) fn outcome_of(
    result: &Result<Answer, CallError>,
    method: &str,
    path: &str,
    body: &str,
) -> RequestOutcome {
    match result {
        Ok(answer) => RequestOutcome::Answered {
            status: answer.status.as_u16(),
            matches: answer.header("x-response-signature") == "signed"
                && is_answer(method, path, body.as_bytes(), &answer.body),
        },
        Err(CallError::Connect(_)) => RequestOutcome::ConnectFailed,
        Err(CallError::NoAnswer(_)) => RequestOutcome::Closed,
        Err(CallError::Cut { .. }) => RequestOutcome::Cut,
        Err(CallError::TimedOut) => RequestOutcome::TimedOut,
    }
}
