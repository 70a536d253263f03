//! Operators, which change routes, resend changes without a conclusive answer, and read routes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::history::{RoutesChange, RoutesRead};
use super::shared::SharedState;
use crate::client::{Answer, Call};

/// How long an operator waits for an answer before sending the call to another replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a call without a conclusive answer is resent.
const RESEND_FOR: Duration = Duration::from_secs(4);
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two changes, in milliseconds.
const CHANGE_MS: std::ops::Range<u64> = 100..700;
/// Pause between two reads, in milliseconds.
const READ_MS: std::ops::Range<u64> = 30..150;
/// Share of the changes that are invalid.
const INVALID: f64 = 0.15;

/// Changes routes validly, with pauses of this range in milliseconds, until the soak is over.
pub(super) async fn change_every(
    shared: Arc<SharedState>,
    pause_ms: std::ops::Range<u64>,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.is_over() {
        let (version, body) = shared.next_routes(1);
        put_routes(&shared, version, body, true, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(pause_ms.clone()))).await;
    }
}

/// Changes routes until the soak is over.
pub(super) async fn change(shared: Arc<SharedState>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !shared.is_over() {
        let (version, body) = shared.next_routes(rng.random_range(1..4));
        let valid = !rng.random_bool(INVALID);
        let body = if valid {
            body
        } else {
            invalidate(&body, &mut rng)
        };
        put_routes(&shared, version, body, valid, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(CHANGE_MS))).await;
    }
}

fn invalidate(body: &str, rng: &mut StdRng) -> String {
    match rng.random_range(0..3) {
        0 => body[..body.len() / 2].to_owned(),
        1 => body.replace(r#""service":"orders""#, r#""service":"nobody""#),
        _ => body.replace(r#""timeout_ms":20000"#, r#""timeout_ms":0"#),
    }
}

async fn put_routes(
    shared: &SharedState,
    version: u64,
    body: String,
    valid: bool,
    rng: &mut StdRng,
) {
    let index = {
        let mut history = shared.history();
        history.changes.push(RoutesChange {
            version,
            valid,
            accepted: None,
            refused: None,
        });
        history.changes.len() - 1
    };
    let answer = order(shared, "config.put", &body, rng).await;
    let Some(status) = answer.map(|answer| answer.status.as_u16()) else {
        return;
    };
    let change = &mut shared.history().changes[index];
    match status {
        200..300 => change.accepted = Some(Instant::now()),
        _ => change.refused = Some(status),
    }
}

/// Sends a call to random replicas until one answers without a server error. `None` if none does
/// in time or the soak ends.
async fn order(shared: &SharedState, call: &str, body: &str, rng: &mut StdRng) -> Option<Answer> {
    let call = Call::new("POST", &format!("/-/rpc?call={call}")).body(body.to_owned());
    let call = call.bound(ANSWER_TIMEOUT);
    let give_up = Instant::now() + RESEND_FOR;
    while Instant::now() < give_up && !shared.is_over() {
        let replica = shared.orders[rng.random_range(0..shared.orders.len())];
        if let Ok(answer) = call.clone().send_async(replica).await
            && !answer.status.is_server_error()
        {
            return Some(answer);
        }
        sleep(RESEND_PAUSE).await;
    }
    None
}

/// Reads routes from random replicas until the soak is over.
pub(super) async fn read(shared: Arc<SharedState>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let call = Call::new("POST", "/-/rpc?call=config.get").bound(ANSWER_TIMEOUT);
    while !shared.is_over() {
        let control = rng.random_range(0..shared.orders.len());
        let sent = Instant::now();
        if let Ok(answer) = call.clone().send_async(shared.orders[control]).await
            && answer.status.is_success()
        {
            record_read(&shared, control, sent, &answer);
        }
        sleep(Duration::from_millis(rng.random_range(READ_MS))).await;
    }
}

fn record_read(shared: &SharedState, control: usize, sent: Instant, answer: &Answer) {
    let text = answer.text();
    let value: Result<serde_json::Value, _> = serde_json::from_str(&text);
    let version = value.ok().and_then(|value| value["version"].as_u64());
    let version = version.unwrap_or(0);
    // A soak starts with routes installed, so an answer without a version is a violation:
    // version 0 never matches sent routes.
    let as_sent = shared.matches_sent(version, &text);
    shared.history().reads.push(RoutesRead {
        control,
        sent,
        version,
        as_sent,
    });
}
