//! Operators: they change routes, resend what they got no clear answer to, and read.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::history::{Shown, Told};
use super::shared::World;
use crate::client::{Answer, Call};

/// How long an operator waits for an answer before the order goes to another replica.
const PATIENCE: Duration = Duration::from_secs(1);
/// How long an order without a clear answer is sent again.
const RESEND_FOR: Duration = Duration::from_secs(4);
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two changes, in milliseconds.
const CHANGE_MS: std::ops::Range<u64> = 100..700;
/// Pause between two reads, in milliseconds.
const READ_MS: std::ops::Range<u64> = 30..150;
/// Part of the changes that aren't valid.
const INVALID: f64 = 0.15;

/// Changes routes until the soak is over.
pub(super) async fn change(world: Arc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !world.is_over() {
        let (version, body) = world.next_routes(rng.random_range(1..4));
        let valid = !rng.random_bool(INVALID);
        let body = if valid { body } else { spoil(&body, &mut rng) };
        put(&world, version, body, valid, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(CHANGE_MS))).await;
    }
}

fn spoil(body: &str, rng: &mut StdRng) -> String {
    match rng.random_range(0..3) {
        0 => body[..body.len() / 2].to_owned(),
        1 => body.replace(r#""service":"orders""#, r#""service":"nobody""#),
        _ => body.replace(r#""timeout_ms":20000"#, r#""timeout_ms":0"#),
    }
}

async fn put(world: &World, version: u64, body: String, valid: bool, rng: &mut StdRng) {
    let place = {
        let mut history = world.history();
        history.told.push(Told {
            version,
            valid,
            accepted: None,
            refused: None,
        });
        history.told.len() - 1
    };
    let answer = order(world, "config.put", &body, rng).await;
    let Some(status) = answer.map(|answer| answer.status.as_u16()) else {
        return;
    };
    let told = &mut world.history().told[place];
    match status {
        200..300 => told.accepted = Some(Instant::now()),
        _ => told.refused = Some(status),
    }
}

/// Sends an order to one replica after the other until one gives a clear answer.
async fn order(world: &World, call: &str, body: &str, rng: &mut StdRng) -> Option<Answer> {
    let call = Call::new("POST", &format!("/-/rpc?call={call}")).body(body.to_owned());
    let call = call.bound(PATIENCE);
    let give_up = Instant::now() + RESEND_FOR;
    while Instant::now() < give_up && !world.is_over() {
        let replica = world.orders[rng.random_range(0..world.orders.len())];
        if let Ok(answer) = call.clone().send_async(replica).await
            && !answer.status.is_server_error()
        {
            return Some(answer);
        }
        sleep(RESEND_PAUSE).await;
    }
    None
}

/// Evacuates a failure domain. Says whether that was accepted.
pub(super) async fn evacuate(world: Arc<World>, domain: &str, seed: u64) -> bool {
    let mut rng = StdRng::seed_from_u64(seed);
    let call = format!("evacuations.start&of={domain}");
    let answer = order(&world, &call, "", &mut rng).await;
    answer.is_some_and(|answer| answer.status.is_success())
}

/// Reads routes from one replica after the other until the soak is over.
pub(super) async fn read(world: Arc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let call = Call::new("POST", "/-/rpc?call=config.get").bound(PATIENCE);
    while !world.is_over() {
        let control = rng.random_range(0..world.orders.len());
        let asked = Instant::now();
        if let Ok(answer) = call.clone().send_async(world.orders[control]).await
            && answer.status.is_success()
        {
            note(&world, control, asked, &answer);
        }
        sleep(Duration::from_millis(rng.random_range(READ_MS))).await;
    }
}

fn note(world: &World, control: usize, asked: Instant, answer: &Answer) {
    let text = answer.text();
    let value: Result<serde_json::Value, _> = serde_json::from_str(&text);
    let version = value.ok().and_then(|value| value["version"].as_u64());
    let version = version.unwrap_or(0);
    // Whether they were sent at all; a soak begins with routes, so there are some.
    let as_sent = world.is_as_sent(version, &text);
    world.history().shown.push(Shown {
        control,
        asked,
        version,
        as_sent,
    });
}
