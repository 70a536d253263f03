//! `filberthead workspaces`.

use filberthead_operator::{
    AllotmentStatus, RefusedStatus, ShareStatus, ShortServiceStatus, WorkspaceStatus,
    WorkspacesBody,
};
use filberthead_types::{Region, Workspace};

use super::args::Args;
use super::error::{CliError, Exit, Result};
use super::session::Session;

/// Shows all workspaces, or the one that is named.
pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let name = args.optional_positional();
    args.finish()?;
    let mut body = fetch(session).await?;
    if let Some(name) = name {
        body.workspaces.retain(|w| w.name.as_str() == name);
        if body.workspaces.is_empty() {
            return Err(CliError::usage(format!("no workspace is named `{name}`")));
        }
    }
    session.show(&body, || {
        let workspaces = body.workspaces.iter().map(line);
        workspaces.chain(body.short.iter().map(short)).collect()
    });
    Ok(Exit::Done)
}

/// Fetches the workspaces from the first replica that answers: each knows the reports of all
/// gateways.
async fn fetch(session: &Session) -> Result<WorkspacesBody> {
    let mut last = None;
    for addr in session.client().controls() {
        match session.get_once_from(*addr, "/v1/workspaces").await {
            Ok(body) => return Ok(body),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| CliError::usage("no control replica is named")))
}

fn line(workspace: &WorkspaceStatus) -> String {
    let keys = match workspace.keys {
        1 => "1 key".to_owned(),
        keys => format!("{keys} keys"),
    };
    let mut parts = vec![keys];
    if !workspace.regions.is_empty() {
        let regions = workspace.regions.iter().map(Region::as_str);
        parts.push(format!(
            "only in {}",
            regions.collect::<Vec<_>>().join(", ")
        ));
    }
    parts.extend(
        workspace
            .priority
            .map(|priority| format!("priority {priority}")),
    );
    parts.push(match &workspace.allotment {
        Some(allotment) => use_of(allotment),
        None => "no limit".to_owned(),
    });
    parts.extend(workspace.shares.iter().map(share));
    parts.extend(workspace.refused.iter().map(refused));
    format!(
        "{}: {}\n",
        Workspace::as_str(&workspace.name),
        parts.join("; ")
    )
}

fn use_of(allotment: &AllotmentStatus) -> String {
    let AllotmentStatus {
        rate,
        burst,
        offered,
        sent,
        reserved,
        admitted,
    } = allotment;
    let percent = 100.0 * sent / rate;
    let mut text = format!(
        "{sent:.1} of {rate}/s sent ({percent:.0} %, burst {burst}), {offered:.1}/s arrive"
    );
    if *reserved > 0.0 {
        text.push_str(&format!(", {reserved:.1}/s set aside for silent gateways"));
    }
    if *admitted < 1.0 {
        text.push_str(&format!(", {:.0} % of them admitted", 100.0 * admitted));
    }
    text
}

fn share(share: &ShareStatus) -> String {
    let ShareStatus {
        service,
        priority,
        admitted,
    } = share;
    let percent = 100.0 * admitted;
    format!(
        "above its share of {service}, {percent:.0} % of its requests of priority {priority} admitted"
    )
}

fn short(short: &ShortServiceStatus) -> String {
    let ShortServiceStatus {
        service,
        capacity,
        offered,
        served,
    } = short;
    format!(
        "service {service} is short of capacity: workspaces ask for {offered:.1} slots, {capacity:.1} are \
        shared among them, {served:.1} served\n"
    )
}

fn refused(refused: &RefusedStatus) -> String {
    let RefusedStatus { code, rate } = refused;
    format!("{rate:.1}/s refused with {code}")
}
