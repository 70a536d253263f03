//! Requests that change something.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use filberthead_table::{
    Change, Command, Danger, Edit, Operation, ProposalNumber, ReplicaInfo, Timestamp,
};
use filberthead_types::{ChangeId, ResultCode};
use log::info;
use serde::de::DeserializeOwned;
use tokio::time;

use super::access::Operator;
use super::reply::{Refusal, refuse};
use super::route::Route;
use super::{Shared, queries};
use crate::live::{self, LiveCheck};
use crate::{
    AcceptBody, AddReplicaBody, AdministrationError, Answer, ChangeBody, ForgetEntryBody,
    MembershipChange, NoteBody, ReplicaBody, ReviewBody,
};

pub(super) async fn perform(
    shared: &Shared,
    operator: &Operator,
    route: Route,
    body: &Bytes,
) -> Result<Answer, Refusal> {
    match route {
        Route::Initialise | Route::AddReplica | Route::Promote | Route::Remove => {
            operator.require_all_services()?;
            change_membership(shared, operator, route, body).await
        }
        _ => {
            let (id, operation) = parse_operation(shared, route, body)?;
            let edits = edits_of(shared, &operation).await?;
            operator.require_services(&edits)?;
            let check = check_live(shared, &operation, &edits).await;
            submit(shared, operator, id, operation, check).await
        }
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| refuse(ResultCode::ApiBodyMalformed, e.to_string()))
}

fn parse_operation(
    shared: &Shared,
    route: Route,
    body: &Bytes,
) -> Result<(ChangeId, Operation), Refusal> {
    match route {
        Route::Change => {
            let body: ChangeBody = parse(body)?;
            refuse_if_review_required(shared)?;
            if body.supersedes.is_some() {
                let message = "`supersedes` is allowed in a proposal only";
                return Err(refuse(ResultCode::ApiBodyMalformed, message));
            }
            Ok((body.id, Operation::Change(convert_change(body)?)))
        }
        Route::Propose => {
            let body: ChangeBody = parse(body)?;
            let (id, supersedes) = (body.id, body.supersedes);
            let change = convert_change(body)?;
            Ok((id, Operation::Propose { change, supersedes }))
        }
        Route::Accept(proposal) => {
            let AcceptBody { id, note, allow } = parse(body)?;
            if allow.contains(&Danger::OwnReview) {
                refuse_if_review_required(shared)?;
            }
            let operation = Operation::Accept {
                proposal,
                note,
                allow,
            };
            Ok((id, operation))
        }
        _ => parse_note_operation(route, body),
    }
}

/// Parses the operations that have a note and no change.
fn parse_note_operation(route: Route, body: &Bytes) -> Result<(ChangeId, Operation), Refusal> {
    match route {
        Route::Review(proposal) => {
            let ReviewBody { id, verdict, note } = parse(body)?;
            let operation = Operation::Review {
                proposal,
                verdict,
                note,
            };
            Ok((id, operation))
        }
        Route::Withdraw(proposal) => {
            let NoteBody { id, note } = parse(body)?;
            Ok((id, Operation::Withdraw { proposal, note }))
        }
        Route::HandOver => {
            let NoteBody { id, note } = parse(body)?;
            Ok((id, Operation::HandOver { note }))
        }
        Route::ForgetEntry => {
            let ForgetEntryBody { id, entry } = parse(body)?;
            Ok((id, Operation::ForgetEntry(entry)))
        }
        _ => Err(refuse(
            ResultCode::NoSuchRoute,
            "this route has no operation",
        )),
    }
}

fn convert_change(body: ChangeBody) -> Result<Change, Refusal> {
    body.into_change()
        .map_err(|e| refuse(ResultCode::ApiBodyMalformed, e.to_string()))
}

fn refuse_if_review_required(shared: &Shared) -> Result<(), Refusal> {
    if !shared.require_review {
        return Ok(());
    }
    let message = "this cluster requires another operator's review of every change; propose it";
    Err(refuse(ResultCode::ReviewMissing, message))
}

/// The edits that an operation refers to. The edits of an open proposal are immutable, so
/// those read here are the ones that would be accepted.
async fn edits_of(shared: &Shared, operation: &Operation) -> Result<Vec<Edit>, Refusal> {
    match operation {
        Operation::Change(change) | Operation::Propose { change, .. } => Ok(change.edits.clone()),
        Operation::Review { proposal, .. }
        | Operation::Accept { proposal, .. }
        | Operation::Withdraw { proposal, .. } => edits_of_proposal(shared, *proposal).await,
        Operation::HandOver { .. }
        | Operation::RegisterReplica(_)
        | Operation::ForgetReplica(_)
        | Operation::ForgetEntry(_) => Ok(Vec::new()),
    }
}

async fn edits_of_proposal(shared: &Shared, number: ProposalNumber) -> Result<Vec<Edit>, Refusal> {
    let table = queries::read(shared).await?;
    let proposal = table.proposal(number);
    Ok(proposal.map_or_else(Vec::new, |proposal| proposal.change.edits.clone()))
}

async fn check_live(shared: &Shared, operation: &Operation, edits: &[Edit]) -> LiveCheck {
    if !matches!(
        operation,
        Operation::Change(_) | Operation::Propose { .. } | Operation::Accept { .. }
    ) {
        return LiveCheck::default();
    }
    let readings = time::timeout(shared.answer_timeout, shared.administration.readings()).await;
    live::check(&readings.unwrap_or_default(), edits)
}

async fn submit(
    shared: &Shared,
    operator: &Operator,
    id: ChangeId,
    operation: Operation,
    check: LiveCheck,
) -> Result<Answer, Refusal> {
    let command = Command {
        id,
        actor: operator.actor.clone(),
        at: now(),
        findings: check.findings,
        operation,
    };
    command.check().map_err(|rule| {
        refuse(
            ResultCode::ChangeInvalid,
            format!("nothing changed: {rule}"),
        )
    })?;
    let pending = shared.administration.submit(command);
    let result = time::timeout(shared.answer_timeout, pending).await;
    let result = result.unwrap_or(Err(AdministrationError::OutcomeUnknown));
    let mut answer = match result {
        Ok(outcome) => Answer::from_outcome(id, &outcome),
        Err(e) => Answer::from_error(Some(id), &e),
    };
    answer.unchecked = check.unchecked;
    info!(
        change:% = id, by:% = operator.actor.name, role:% = operator.actor.role,
        result = answer.code.number();
        "operator command: {}", answer.message
    );
    Ok(answer)
}

fn now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    Timestamp(u64::try_from(millis).unwrap_or(u64::MAX))
}

async fn change_membership(
    shared: &Shared,
    operator: &Operator,
    route: Route,
    body: &Bytes,
) -> Result<Answer, Refusal> {
    match route {
        Route::AddReplica => add_replica(shared, operator, parse(body)?).await,
        Route::Initialise => initialise(shared, operator, &parse(body)?).await,
        Route::Promote => {
            let ReplicaBody { id, replica } = parse(body)?;
            apply_membership(shared, operator, id, MembershipChange::Promote(replica)).await
        }
        _ => {
            let ReplicaBody { id, replica } = parse(body)?;
            let done =
                apply_membership(shared, operator, id, MembershipChange::Remove(replica)).await?;
            // Only after the removal, because the others need the addresses of a voter.
            let forget = Operation::ForgetReplica(replica);
            let answer = submit(shared, operator, id, forget, LiveCheck::default()).await?;
            Ok(if answer.code == ResultCode::ActRecorded {
                done
            } else {
                answer
            })
        }
    }
}

async fn initialise(
    shared: &Shared,
    operator: &Operator,
    body: &ReplicaBody,
) -> Result<Answer, Refusal> {
    let status = queries::status(shared).await?;
    if status.replica != body.replica {
        let message = format!("this is replica {}, not {}", status.replica, body.replica);
        return Err(refuse(ResultCode::MembershipRefused, message));
    }
    let done = match status.replicas.as_slice() {
        [] => apply_membership(shared, operator, body.id, MembershipChange::Initialise).await?,
        // An earlier attempt may have stopped after this step.
        [only] if only.id == status.replica => group_changed(body.id),
        group => {
            let message = format!("this replica is in a group of {} already", group.len());
            return Err(refuse(ResultCode::MembershipRefused, message));
        }
    };
    let info = ReplicaInfo {
        id: status.replica,
        name: status.node,
        peer_addr: status.peer_addr,
        operator_addr: status.operator_addr,
    };
    let register = Operation::RegisterReplica(info);
    let answer = submit(shared, operator, body.id, register, LiveCheck::default()).await?;
    Ok(if answer.code == ResultCode::ActRecorded {
        done
    } else {
        answer
    })
}

async fn add_replica(
    shared: &Shared,
    operator: &Operator,
    body: AddReplicaBody,
) -> Result<Answer, Refusal> {
    let info = ReplicaInfo {
        id: body.replica,
        name: body.name,
        peer_addr: body.peer_addr,
        operator_addr: body.operator_addr,
    };
    // The addresses are registered first, because the leader needs them to send the log.
    let register = Operation::RegisterReplica(info);
    let answer = submit(shared, operator, body.id, register, LiveCheck::default()).await?;
    if answer.code != ResultCode::ActRecorded {
        return Ok(answer);
    }
    let change = MembershipChange::AddLearner(body.replica);
    apply_membership(shared, operator, body.id, change).await
}

async fn apply_membership(
    shared: &Shared,
    operator: &Operator,
    id: ChangeId,
    change: MembershipChange,
) -> Result<Answer, Refusal> {
    let pending = shared.administration.membership(change);
    let result = time::timeout(shared.answer_timeout, pending).await;
    let result = result.unwrap_or(Err(AdministrationError::OutcomeUnknown));
    info!(
        change:% = id, by:% = operator.actor.name, role:% = operator.actor.role;
        "membership change: {change:?}: {result:?}"
    );
    match result {
        Ok(()) => Ok(group_changed(id)),
        Err(e) => Err(Box::new(Answer::from_error(Some(id), &e))),
    }
}

fn group_changed(id: ChangeId) -> Answer {
    let mut answer = Answer::new(ResultCode::ActRecorded, "the group is changed");
    answer.id = Some(id);
    answer
}
