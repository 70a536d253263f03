//! Requests that crash the endpoints that run them: their callers, and the check of what becomes of them.
//!
//! From [`CONTACT`] after such a request has crashed its third endpoint, at most
//! [`MAX_LATE_ARRIVALS`] sends of it reach endpoints. Sends at gateways that were disturbed, or up to
//! [`CONTACT`] later, don't count.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use crate::client::{Call, CallError, Connection};
use crate::site::{CRASHING_PATH, HOST, Records};
use crate::soak::callers::outcome_of;
use crate::soak::history::CallerRequest;
use crate::soak::shared::SharedState;
use crate::soak::violations::Violation;
use crate::soak::workspaces::Workspaces;

/// Time from the third crash until gateways must know the request.
const CONTACT: Duration = Duration::from_secs(4);
/// Crashes after which they must.
const CRASHES: usize = 3;
/// Sends that may reach endpoints after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Pause between two sends of such a request.
const PAUSE: Duration = Duration::from_millis(400);
/// Deadline of such a request.
const DEADLINE: Duration = Duration::from_millis(1_200);
/// A disturbance that begins within this time after a send may concern it.
const SEND_LASTS: Duration = Duration::from_secs(2);

/// A request that crashes endpoints, and who sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingRequest {
    /// Distinguishes it from others.
    pub number: usize,
    /// Its service.
    pub service: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// How long it is sent again and again.
    pub lasts: Duration,
}

impl CrashingRequest {
    fn method(&self) -> &'static str {
        if self.idempotent { "GET" } else { "POST" }
    }

    fn path(&self) -> String {
        format!("/{}/{CRASHING_PATH}{}", self.service, self.number)
    }

    /// Sends it to one gateway after the other until its time is over; if its number is even, for one
    /// workspace after the other. It is sent again at once if the
    /// answer allows it, as a caller does that doesn't wait as told.
    pub(super) async fn send(self, shared: Arc<SharedState>, workspaces: Workspaces) {
        let ends = Instant::now() + self.lasts;
        let mut number = 0;
        while Instant::now() < ends && !shared.is_over() {
            self.send_once(&shared, workspaces, number).await;
            sleep(PAUSE).await;
            number += 1;
        }
    }

    async fn send_once(&self, shared: &SharedState, workspaces: Workspaces, number: usize) {
        let gateways = &shared.gateways;
        let gateway = number % gateways.len();
        let id = format!("crash{}-{number}", self.number);
        let member = if self.number.is_multiple_of(2) {
            number
        } else {
            0
        };
        let (key, workspace) = workspaces.key(member % workspaces.limited_from.max(1), 1);
        let body = if self.idempotent { "" } else { "two packs" };
        let call = Call::new(self.method(), &self.path())
            .header("host", HOST)
            .header("x-request-id", &id)
            .header("x-deadline-ms", &DEADLINE.as_millis().to_string())
            .header("api-key", &key)
            .body(body);
        let sent = Instant::now();
        let exchange = async {
            let mut connection = Connection::open(gateways[gateway]).await?;
            connection.send(&call).await
        };
        let result = timeout(DEADLINE * 2, exchange).await;
        let result = result.unwrap_or(Err(CallError::TimedOut));
        shared.history().requests.push(CallerRequest {
            outcome: outcome_of(&result, self.method(), &self.path(), body),
            told: None,
            id,
            request_line: format!("{} {}", self.method(), self.path()),
            sent,
            deadline: Some(sent + DEADLINE),
            ended: Instant::now(),
            workspace,
            idempotent: self.idempotent,
            gateway,
        });
    }
}

/// What became of one request that crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSummary {
    /// Its method and path.
    pub request_line: String,
    /// Times that it was sent.
    pub sent: usize,
    /// Endpoints that ended under it.
    pub crashed: usize,
    /// Sends that reached endpoints later than they should.
    pub late_arrivals: usize,
}

/// What became of each request that crashes endpoints. `disturbed` are the times of faults of
/// processes.
pub fn crash_summaries(
    requests: &[CallerRequest],
    records: &[Vec<Records>],
    disturbed: &[(Instant, Instant)],
) -> Vec<CrashSummary> {
    let mut sends: BTreeMap<&str, BTreeMap<&str, Instant>> = BTreeMap::new();
    let crashing = requests.iter().filter(|request| {
        let path = request.request_line.rsplit('/').next();
        path.is_some_and(|name| name.starts_with(CRASHING_PATH))
    });
    for request in crashing {
        let of_request = sends.entry(&request.request_line).or_default();
        of_request.insert(&request.id, request.sent);
    }
    let starts: Vec<&Records> = records.iter().flatten().collect();
    let summarize = |(line, sends): (&str, BTreeMap<&str, Instant>)| {
        let runs = starts.iter().flat_map(|start| &start.runs);
        let mut crashes: Vec<Instant> = runs
            .filter(|(run, _, _)| run.request_line == line)
            .map(|(run, _, _)| run.at)
            .collect();
        crashes.sort();
        let known_at = crashes.get(CRASHES - 1).map(|at| *at + CONTACT);
        let is_calm = |sent: Instant| {
            let calm = |(from, to): &(Instant, Instant)| {
                sent + SEND_LASTS < *from || sent >= *to + CONTACT
            };
            disturbed.iter().all(calm)
        };
        let is_late = |at: Instant, id: &str| {
            let late = known_at.is_some_and(|known_at| at > known_at);
            late && sends.get(id).is_some_and(|sent| is_calm(*sent))
        };
        let arrivals = starts.iter().flat_map(|start| &start.arrivals);
        let late: BTreeSet<(&str, Instant)> = arrivals
            .filter(|arrival| is_late(arrival.at, &arrival.id))
            .map(|arrival| (arrival.id.as_str(), arrival.at))
            .collect();
        CrashSummary {
            request_line: line.to_owned(),
            sent: sends.len(),
            crashed: crashes.len(),
            late_arrivals: late.len(),
        }
    };
    sends.into_iter().map(summarize).collect()
}

/// The requests that reached endpoints too often.
pub fn find_unheld(summaries: &[CrashSummary]) -> Vec<Violation> {
    let unheld = summaries
        .iter()
        .filter(|s| s.late_arrivals > MAX_LATE_ARRIVALS);
    let violation = |summary: &CrashSummary| Violation::CrashingRequestPassedOn {
        request_line: summary.request_line.clone(),
        arrivals: summary.late_arrivals,
        crashed: summary.crashed,
    };
    unheld.map(violation).collect()
}
