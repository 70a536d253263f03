//! A caller of the platform, after `PROTOCOL.md`: each attempt has an id of its own and a new connection,
//! a refusal is followed by another attempt after `Retry-After`, a request that may have run by none.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::site::HOST;

use crate::record::Record;

/// Statuses that promise that the request hasn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Pause after a refusal without `Retry-After`.
const PAUSE: Duration = Duration::from_millis(100);

/// An order that a caller wants to be carried out once.
#[derive(Clone, Debug)]
pub struct Order {
    /// Its name; the ids of its attempts begin with it.
    pub name: String,
    /// Path of the request.
    pub path: String,
    /// Value of `X-Affinity-Key`; empty for none.
    pub object: String,
    /// How long the caller waits in all.
    pub time_limit: Duration,
    /// Attempts after the first one.
    pub retries: u32,
}

/// An attempt and what its caller got.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its request id.
    pub id: String,
    /// The status; `None` without a complete answer.
    pub status: Option<u16>,
}

impl Attempt {
    /// Whether the answer promises that the request hasn't run and never will.
    pub fn is_refused(&self) -> bool {
        self.status.is_some_and(|status| PROMISES.contains(&status))
    }
}

/// Sends an order to a gateway until it is answered otherwise than by a refusal, or the time or the retries
/// are used up.
pub async fn send(order: Order, gateways: Vec<SocketAddr>, record: Record) -> Vec<Attempt> {
    let started = Instant::now();
    let mut attempts = Vec::new();
    for number in 0..=order.retries {
        let left = order.time_limit.saturating_sub(started.elapsed());
        if left.is_zero() {
            break;
        }
        let id = format!("{}-{number}", order.name);
        let gateway = gateways[rand::random_range(0..gateways.len())];
        record.write(format_args!("caller sends {id} to {gateway}"));
        let mut call = Call::new("POST", &order.path)
            .header("host", HOST)
            .header("x-request-id", &id)
            .header("x-deadline-ms", &left.as_millis().to_string())
            .body("order")
            .bound(left);
        if !order.object.is_empty() {
            call = call.header("x-affinity-key", &order.object);
        }
        let answer = call.send_async(gateway).await;
        let status = answer.as_ref().ok().map(|answer| answer.status.as_u16());
        match &answer {
            Ok(answer) => record.write(format_args!("caller gets {} for {id}", answer.status)),
            Err(e) => record.write(format_args!("caller gets no answer for {id}: {e}")),
        }
        let attempt = Attempt { id, status };
        let is_refused = attempt.is_refused();
        attempts.push(attempt);
        let Some(answer) = answer.ok().filter(|_| is_refused) else {
            break;
        };
        let after = answer.header("retry-after").parse::<f64>().ok();
        let after = after.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let left = order.time_limit.saturating_sub(started.elapsed());
        tokio::time::sleep(after.unwrap_or(PAUSE).min(left / 3)).await;
    }
    attempts
}
