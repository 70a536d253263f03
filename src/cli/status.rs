//! `filberthead status`.

use std::net::SocketAddr;

use filberthead_operator::{ReplicaRole, Status};
use filberthead_types::Version;
use serde::Serialize;

use super::args::Args;
use super::error::{CliError, Exit, Result};
use super::session::Session;
use super::text;

/// The status of one control replica, or the error of the request for it.
#[derive(Serialize)]
struct Control {
    addr: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

#[derive(Serialize)]
struct Overview {
    /// Whether a replica holds the lease; without it no change is accepted.
    leader_holds_lease: bool,
    /// Newest version that any queried replica has applied.
    version: Version,
    /// Entries whose version in force is older than that.
    behind: Vec<String>,
    controls: Vec<Control>,
}

pub(super) async fn run(session: &Session, args: Args) -> Result<Exit> {
    args.finish()?;
    let controls = query_all(session).await;
    let best = most_current(&controls);
    let Some(best) = best else {
        let last = controls.into_iter().find_map(|control| control.error);
        let message = last.unwrap_or_default();
        let error = filberthead_operator::ClientError::Unreachable { last: message };
        return Err(CliError::from_read(error));
    };
    let statuses = controls
        .iter()
        .filter_map(|control| control.status.as_ref());
    let version = statuses.map(|status| status.version).max();
    let version = version.unwrap_or_default();
    let lagging = best.entries.iter().filter(|e| e.version < Some(version));
    let overview = Overview {
        leader_holds_lease: best.holds_lease,
        version,
        behind: lagging.map(|entry| entry.name.to_string()).collect(),
        controls: Vec::new(),
    };
    let text = render(&overview, best, &controls);
    let exit = if overview.leader_holds_lease {
        Exit::Done
    } else {
        Exit::Unreachable
    };
    let overview = Overview {
        controls,
        ..overview
    };
    session.show(&overview, || text);
    Ok(exit)
}

/// Queries the given addresses, and the leader that they report if it is none of them.
async fn query_all(session: &Session) -> Vec<Control> {
    let mut controls = Vec::new();
    for addr in session.client().controls() {
        controls.push(query(session, *addr).await);
    }
    let leader = most_current(&controls).filter(|status| !status.holds_lease);
    if let Some(addr) = leader.and_then(leader_addr)
        && controls.iter().all(|control| control.addr != addr)
    {
        controls.push(query(session, addr).await);
    }
    controls
}

async fn query(session: &Session, addr: SocketAddr) -> Control {
    match session.get_once_from(addr, "/v1/status").await {
        Ok(status) => Control {
            addr,
            status: Some(status),
            error: None,
        },
        Err(e) => Control {
            addr,
            status: None,
            error: Some(e.to_string()),
        },
    }
}

fn leader_addr(status: &Status) -> Option<SocketAddr> {
    let leader = status.leader?;
    let replica = status
        .replicas
        .iter()
        .find(|replica| replica.id == leader)?;
    replica.operator_addr
}

/// The status of the leader with a lease, else that with the highest commit index.
fn most_current(controls: &[Control]) -> Option<&Status> {
    let statuses = controls
        .iter()
        .filter_map(|control| control.status.as_ref());
    statuses.max_by_key(|status| (status.holds_lease, status.commit))
}

fn render(overview: &Overview, best: &Status, controls: &[Control]) -> String {
    let mut out = format!(
        "cluster {}, table version {}\n",
        best.cluster, overview.version
    );
    out.push_str(&if overview.leader_holds_lease {
        format!("leader {} (term {})\n", best.node, best.term)
    } else {
        "NO LEADER with a lease among the replicas asked: no change is accepted\n".to_owned()
    });
    out.push_str("\ncontrol replicas\n");
    out.push_str(&replicas(best, controls));
    if !best.entries.is_empty() {
        out.push_str("\nentries\n");
        out.push_str(&entries(best, overview.version));
    }
    if !best.rows.is_empty() {
        out.push_str("\nrows, as reported\n");
        out.push_str(&rows(best));
    }
    out
}

fn heading(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn replicas(best: &Status, controls: &[Control]) -> String {
    let mut lines = vec![heading(&[
        "NAME",
        "ID",
        "OPERATORS",
        "VOTES",
        "LOG",
        "SAYS",
    ])];
    for replica in &best.replicas {
        let state = controls
            .iter()
            .filter_map(|control| control.status.as_ref())
            .find(|status| status.replica == replica.id);
        lines.push(vec![
            or_dash(replica.name.as_ref()),
            replica.id.to_string(),
            or_dash(replica.operator_addr),
            if replica.voter { "yes" } else { "no" }.to_owned(),
            or_dash(replica.match_index),
            state.map_or_else(|| "not asked".to_owned(), describe_state),
        ]);
    }
    let mut out = if lines.len() > 1 {
        text::columns(&lines)
    } else {
        String::new()
    };
    for control in controls {
        if let Some(status) = &control.status
            && best
                .replicas
                .iter()
                .all(|replica| replica.id != status.replica)
        {
            let state = describe_state(status);
            out.push_str(&format!(
                "{}: {} {} is in no group: {state}\n",
                control.addr, status.node, status.replica
            ));
        }
        if let Some(error) = &control.error {
            out.push_str(&format!("{}: {error}\n", control.addr));
        }
    }
    out
}

fn describe_state(status: &Status) -> String {
    let role = match status.role {
        ReplicaRole::Uninitialised => "uninitialised",
        ReplicaRole::Learner => "learner",
        ReplicaRole::Follower => "follower",
        ReplicaRole::Candidate => "candidate",
        ReplicaRole::Leader if status.holds_lease => "leader",
        ReplicaRole::Leader => "leader without a lease",
    };
    format!("{role}, term {}, version {}", status.term, status.version)
}

fn entries(best: &Status, newest: Version) -> String {
    let names = [
        "NAME",
        "REGION",
        "FAILURE-DOMAIN",
        "CALLERS",
        "VERSION",
        "BEHIND",
        "HEARD",
    ];
    let mut lines = vec![heading(&names)];
    for entry in &best.entries {
        let mut last_seen = or_dash(entry.heard_ms.map(|ms| format!("{ms} ms ago")));
        if entry.leaving {
            last_seen.push_str(", leaving");
        }
        lines.push(vec![
            entry.name.to_string(),
            entry.region.to_string(),
            entry.failure_domain.to_string(),
            entry.caller_addr.to_string(),
            or_dash(entry.version),
            or_dash(entry.version.map(|v| newest.0.saturating_sub(v.0))),
            last_seen,
        ]);
    }
    text::columns(&lines)
}

fn rows(best: &Status) -> String {
    let names = ["SERVICE", "REGION", "RUNNING", "SHIFTED", "SLOTS", "AGE"];
    let mut lines = vec![heading(&names)];
    for row in &best.rows {
        lines.push(vec![
            row.service.to_string(),
            row.region.to_string(),
            or_dash(row.running),
            or_dash(row.shifted),
            or_dash(row.slots),
            format!("{} ms", row.age_ms),
        ]);
    }
    text::columns(&lines)
}
