//! Requests that only read.

use std::sync::Arc;

use filberthead_table::Table;
use filberthead_types::{ChangeId, ResultCode};
use tokio::time;

use super::Shared;
use super::reply::{self, HttpResponse, Refusal, refuse};
use super::route::Route;
use crate::{
    AdministrationError, Answer, HandOverBody, HandOverNote, HistoryBody, ProposalBody,
    ProposalsBody, RecordBody, ReplicaStatus, Status, TableBody,
};

/// Number of records in an answer of `GET /v1/history` without `limit`.
const DEFAULT_RECORDS: usize = 100;

/// Maximum number of records in one answer; older ones are requested with `before`.
const MAX_RECORDS: usize = 1000;

pub(super) async fn answer(
    shared: &Shared,
    route: Route,
    query: &str,
) -> Result<HttpResponse, Refusal> {
    let ok = ResultCode::ApiAnswered;
    if route == Route::Status {
        let status = status(shared).await?;
        if query == "leader" && !status.holds_lease {
            return Err(not_leader(&status));
        }
        return Ok(reply::document(ok, &status));
    }
    if route == Route::Workspaces {
        let workspaces = with_timeout(shared, shared.administration.workspaces()).await?;
        return Ok(reply::document(ok, &workspaces));
    }
    let table = read(shared).await?;
    match route {
        Route::Table => Ok(reply::document(ok, &TableBody::new(&table))),
        Route::History => {
            let range = HistoryRange::parse(query)?;
            Ok(reply::document(ok, &history(&table, &range)))
        }
        Route::Proposals => Ok(reply::document(ok, &proposals(&table))),
        Route::Proposal(number) => match table.proposal(number) {
            Some(proposal) => Ok(reply::document(ok, &ProposalBody::new(&table, proposal))),
            None => {
                let message = format!("there is no proposal {number}");
                Err(refuse(ResultCode::ProposalUnknown, message))
            }
        },
        Route::HandOvers => Ok(reply::document(ok, &hand_overs(&table))),
        _ => Err(refuse(ResultCode::NoSuchRoute, "this route can't be read")),
    }
}

fn not_leader(status: &Status) -> Refusal {
    let is_leader = |replica: &&ReplicaStatus| Some(replica.id) == status.leader;
    let leader = status.replicas.iter().find(is_leader);
    let leader = leader.and_then(|replica| replica.operator_addr);
    let error = AdministrationError::NotLeader { leader };
    Box::new(Answer::from_error(None, &error))
}

/// A linearizable read of the table.
pub(super) async fn read(shared: &Shared) -> Result<Arc<Table>, Refusal> {
    with_timeout(shared, shared.administration.read()).await
}

/// The status of this replica.
pub(super) async fn status(shared: &Shared) -> Result<Status, Refusal> {
    with_timeout(shared, shared.administration.status()).await
}

async fn with_timeout<T>(
    shared: &Shared,
    answer: impl Future<Output = Result<T, AdministrationError>>,
) -> Result<T, Refusal> {
    match time::timeout(shared.answer_timeout, answer).await {
        Ok(result) => result.map_err(|e| Box::new(Answer::from_error(None, &e))),
        Err(_) => {
            let message = "the daemon did not answer before the timeout";
            Err(refuse(ResultCode::ApiUnavailable, message))
        }
    }
}

/// Query of `GET /v1/history`: up to `limit` records with serial numbers below `before`,
/// and only of the operation `id` if given.
struct HistoryRange {
    limit: usize,
    before: u64,
    id: Option<ChangeId>,
}

impl HistoryRange {
    fn parse(query: &str) -> Result<Self, Refusal> {
        let mut range = Self {
            limit: DEFAULT_RECORDS,
            before: u64::MAX,
            id: None,
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let malformed = || {
                let message = format!(
                    "`{pair}`: `limit` and `before` take a number each, `id` the id of an operation"
                );
                refuse(ResultCode::ApiBodyMalformed, message)
            };
            let (name, value) = pair.split_once('=').ok_or_else(malformed)?;
            match name {
                "limit" => range.limit = value.parse().map_err(|_| malformed())?,
                "before" => range.before = value.parse().map_err(|_| malformed())?,
                "id" => range.id = Some(value.parse().map_err(|_| malformed())?),
                _ => return Err(malformed()),
            }
        }
        range.limit = range.limit.min(MAX_RECORDS);
        Ok(range)
    }
}

fn history(table: &Table, range: &HistoryRange) -> HistoryBody {
    let records = table
        .history()
        .rev()
        .filter(|record| record.serial < range.before)
        .filter(|record| range.id.is_none_or(|id| record.command.id == id))
        .take(range.limit)
        .map(RecordBody::from);
    HistoryBody {
        records: records.collect(),
        oldest_kept: table.history().next().map_or(0, |record| record.serial),
    }
}

fn proposals(table: &Table) -> ProposalsBody {
    let body = |proposal| ProposalBody::new(table, proposal);
    ProposalsBody {
        open: table.open_proposals().map(body).collect(),
        closed: table.closed_proposals().rev().map(body).collect(),
    }
}

fn hand_overs(table: &Table) -> HandOverBody {
    let last = table.handovers().next_back();
    let since = last.map_or(0, |handover| handover.serial);
    // The first record after `since` is the hand-over itself.
    let is_later =
        |record: &&filberthead_table::Record| record.serial > since + u64::from(last.is_some());
    let records = table.history().rev().take_while(is_later);
    HandOverBody {
        version: table.version(),
        handovers: table.handovers().rev().map(HandOverNote::from).collect(),
        since: records.take(MAX_RECORDS).map(RecordBody::from).collect(),
        open: proposals(table).open,
    }
}
