//! `filberthead control ...`: the group of control replicas.

use std::net::SocketAddr;

use filberthead_operator::{
    AddReplicaBody, Answer, ForgetEntryBody, ReplicaBody, ReplicaStatus, Status,
};
use filberthead_types::{ChangeId, ReplicaId, ResultCode};

use super::args::{self, Args};
use super::error::{CliError, Exit, Result};
use super::session::Session;

const COMMANDS: &[&str] = &[
    "add",
    "forget-entry",
    "init",
    "promote",
    "remove",
    "replace",
];

pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let command = args.positional("a command; see `filberthead help control`")?;
    match command.as_str() {
        "init" => {
            args.finish()?;
            init(session).await
        }
        "add" => {
            let addr = new_addr(&mut args)?;
            args.finish()?;
            let answer = add(session, addr).await?;
            show_answer(session, &answer)
        }
        "promote" => {
            let name = args.positional("the replica's name or id")?;
            args.finish()?;
            let id = find_replica(session, &name, None).await?;
            let answer = post(session, "/v1/control/promote", id).await?;
            show_answer(session, &answer)
        }
        "forget-entry" => {
            let entry = args.parse_positional("the entry's name")?;
            args.finish()?;
            let id = change_id_or_random(session);
            let body = ForgetEntryBody { id, entry };
            let answer = session.send("/v1/entries/forget", id, &body).await?;
            show_answer(session, &answer)
        }
        "remove" => {
            let name = args.positional("the replica's name or id")?;
            args.finish()?;
            let id = find_replica(session, &name, None).await?;
            let answer = post(session, "/v1/control/remove", id).await?;
            show_answer(session, &answer)
        }
        "replace" => {
            let name = args.positional("the old replica's name or id")?;
            let addr = new_addr(&mut args)?;
            args.finish()?;
            replace(session, &name, addr).await
        }
        other => Err(args::unknown_name("command", other, COMMANDS)),
    }
}

fn new_addr(args: &mut Args) -> Result<SocketAddr> {
    args.parse_positional("the new replica's operators' address, IP:PORT")
}

fn show_answer(session: &Session, answer: &Answer) -> Result<Exit> {
    session.show(answer, || format!("{}\n", answer.message));
    Ok(Exit::Done)
}

fn change_id_or_random(session: &Session) -> ChangeId {
    session
        .change_id()
        .unwrap_or_else(|| ChangeId(rand::random()))
}

async fn init(session: &Session) -> Result<Exit> {
    let [addr] = session.client().controls() else {
        let message = "name the first replica, and no other, by --control";
        return Err(CliError::usage(message));
    };
    let status: Status = session.get_from(*addr, "/v1/status").await?;
    let answer = post(session, "/v1/control/initialise", status.replica).await?;
    show_answer(session, &answer)
}

async fn post(session: &Session, path: &str, replica: ReplicaId) -> Result<Answer> {
    let id = change_id_or_random(session);
    session.send(path, id, &ReplicaBody { id, replica }).await
}

/// Adds the replica at an address, under the id and name that it reports.
async fn add(session: &Session, addr: SocketAddr) -> Result<Answer> {
    let status: Status = session.get_from(addr, "/v1/status").await?;
    let id = change_id_or_random(session);
    let body = AddReplicaBody {
        id,
        replica: status.replica,
        name: status.node,
        peer_addr: status.peer_addr,
        operator_addr: status.operator_addr,
    };
    session.send("/v1/control/add", id, &body).await
}

/// Finds a replica of the group by name or id. `excluded` is the one that replaces it, which
/// has the same name if a VM restarted with an empty disk.
async fn find_replica(
    session: &Session,
    word: &str,
    excluded: Option<ReplicaId>,
) -> Result<ReplicaId> {
    let status: Status = session.get_from_leader("/v1/status?leader").await?;
    let named = |replica: &&ReplicaStatus| {
        let name = replica.name.as_ref().map(ToString::to_string);
        name.as_deref() == Some(word) || replica.id.to_string() == word
    };
    let members = status.replicas.iter().filter(named);
    let found: Vec<_> = members
        .map(|replica| replica.id)
        .filter(|id| Some(*id) != excluded)
        .collect();
    match *found.as_slice() {
        [id] => Ok(id),
        [] => Err(CliError::usage(format!(
            "no control replica is named `{word}`"
        ))),
        _ => {
            let message = format!("{} replicas are named `{word}`; give the id", found.len());
            Err(CliError::usage(message))
        }
    }
}

/// Adds the new replica, promotes it and removes the old one. Steps that are done already
/// succeed again, so the command can be repeated.
async fn replace(session: &Session, old: &str, addr: SocketAddr) -> Result<Exit> {
    let status: Status = session.get_from(addr, "/v1/status").await?;
    let new = status.replica;
    let old = find_replica(session, old, Some(new)).await?;
    add(session, addr).await?;
    progress(session, &format!("{new} receives the log"));
    // The client retries while the replica is behind, until the deadline.
    post(session, "/v1/control/promote", new)
        .await
        .map_err(explain_learner_behind)?;
    progress(session, &format!("{new} votes"));
    let answer = post(session, "/v1/control/remove", old).await?;
    progress(session, &format!("{old} is removed"));
    show_answer(session, &answer)
}

fn progress(session: &Session, text: &str) {
    if !session.json() {
        session.print_progress(text);
    }
}

fn explain_learner_behind(e: CliError) -> CliError {
    match e {
        CliError::Client {
            error: filberthead_operator::ClientError::Unreachable { last },
            ..
        } if last.contains(ResultCode::LearnerBehind.slug()) => {
            CliError::Refused(Box::new(Answer::new(
                ResultCode::LearnerBehind,
                "the new replica is still catching up; run the same command again, \
                 with a longer --timeout",
            )))
        }
        other => other,
    }
}
