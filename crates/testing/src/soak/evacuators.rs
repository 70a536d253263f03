//! Operators that evacuate failure domains and end evacuations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use super::evacuations::{EvacuationChange, EvacuationOrder, OrderOutcome, OrderSend};
use super::shared::SharedState;
use crate::client::Call;

/// Number of operators.
pub(super) const OPERATORS: usize = 2;
/// Orders that an operator has in progress at once.
pub(super) const ORDERS_EACH: usize = 4;
/// How long an operator waits for an answer before sending the order to another replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order without a clear answer is resent.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before an order is sent again; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Pause between the two orders of a pair, and between two pairs, in milliseconds. In the latter, what is
/// carried out has no order in progress as its reason.
const PAUSE_MS: std::ops::Range<u64> = 20..300;
const REST_MS: std::ops::Range<u64> = 300..1_600;
/// Share of the pairs that concern any failure domain instead of the sequence's own one.
const ANY_DOMAIN: f64 = 0.15;

/// One of the sequences of orders that an operator sends at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sequence {
    pub(super) operator: usize,
    /// Index of the failure domain that most of its orders concern.
    pub(super) domain: usize,
}

/// Sends pairs of an evacuation and its end, or the other way round, until this time.
pub(super) async fn order_until(
    shared: Arc<SharedState>,
    domains: &'static [&'static str],
    sequence: Sequence,
    (end, seed): (Instant, u64),
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        let domain = match rng.random_bool(ANY_DOMAIN) {
            true => rng.random_range(0..domains.len()),
            false => sequence.domain % domains.len(),
        };
        let pair = match rng.random_bool(0.5) {
            true => [EvacuationChange::Start, EvacuationChange::End],
            false => [EvacuationChange::End, EvacuationChange::Start],
        };
        for change in pair {
            order(
                &shared,
                sequence.operator,
                domains[domain],
                change,
                &mut rng,
            )
            .await;
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        }
        sleep(Duration::from_millis(rng.random_range(REST_MS))).await;
    }
}

/// Sends one order.
pub(super) async fn order_once(
    shared: Arc<SharedState>,
    operator: usize,
    domain: &'static str,
    change: EvacuationChange,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    order(&shared, operator, domain, change, &mut rng).await;
}

/// Sends an order to random replicas until one gives a clear answer or its time is over, and
/// records it.
async fn order(
    shared: &SharedState,
    operator: usize,
    domain: &str,
    change: EvacuationChange,
    rng: &mut StdRng,
) {
    let call = match change {
        EvacuationChange::Start => "evacuations.start",
        EvacuationChange::End => "evacuations.end",
    };
    let call = Call::new("POST", &format!("/-/rpc?call={call}&of={domain}"));
    let first = Instant::now();
    let (mut sends, mut pause) = (Vec::new(), FIRST_PAUSE);
    let outcome = loop {
        let left = (first + ACK_TIMEOUT).saturating_duration_since(Instant::now());
        if left.is_zero() {
            break OrderOutcome::Unknown;
        }
        let replica = rng.random_range(0..shared.orders.len());
        let sent = Instant::now();
        let bounded = call.clone().bound(left.min(ANSWER_TIMEOUT));
        let answer = bounded.send_async(shared.orders[replica]).await;
        let outcome = answer.map_or(OrderOutcome::Unknown, |a| outcome_of(a.status.as_u16()));
        let ended = Instant::now();
        sends.push(OrderSend {
            replica,
            sent,
            ended,
            outcome,
        });
        if outcome != OrderOutcome::Unknown {
            break outcome;
        }
        sleep(pause.min(first + ACK_TIMEOUT - ended.min(first + ACK_TIMEOUT))).await;
        pause *= 2;
    };
    shared.history().evacuations.push(EvacuationOrder {
        operator,
        domain: domain.to_owned(),
        change,
        sent: first,
        ended: Instant::now(),
        outcome,
        sends,
    });
}

fn outcome_of(status: u16) -> OrderOutcome {
    match status {
        200..300 => OrderOutcome::Acknowledged,
        408 | 429 | 500.. => OrderOutcome::Unknown,
        _ => OrderOutcome::Refused(status),
    }
}
