//! `filberthead table propose`, `review`, `accept` and `withdraw`.

use filberthead_operator::{
    AcceptBody, ChangeBody, ConflictBody, EditBody, NoteBody, ProposalBody, ProposalsBody,
    ReviewBody, TableBody,
};
use filberthead_table::{ProposalNumber, RowKey, Verdict};

use super::set::RowEdit;
use super::{allowed_dangers, csv, parse_number, required_note};
use crate::cli::args::Args;
use crate::cli::error::{self, CliError, Exit, Result};
use crate::cli::session::{AfterAccept, Session};
use crate::cli::text;

/// Source of a proposal's edits.
enum Source {
    Csv(String),
    Row(RowEdit),
    Rebase(ProposalNumber),
}

impl Source {
    fn from_args(args: &mut Args) -> Result<Self> {
        if let Some(word) = args.option("rebase")? {
            return Ok(Self::Rebase(parse_number(&word)?));
        }
        let first = args.positional("a sheet's file, or a service and a region")?;
        match args.optional_positional() {
            None => Ok(Self::Csv(first)),
            Some(region) => Ok(Self::Row(RowEdit::from_args(args, &first, &region)?)),
        }
    }
}

pub(super) async fn propose(session: &Session, mut args: Args) -> Result<Exit> {
    let source = Source::from_args(&mut args)?;
    let supersedes = args.parse_option("supersedes")?.map(ProposalNumber);
    let allow = allowed_dangers(&mut args)?;
    let note = required_note(&mut args)?;
    args.finish()?;
    let make_body = async |id| {
        let table: TableBody = session.get_from_leader("/v1/table").await?;
        let (edits, supersedes) = match source {
            Source::Csv(path) => (csv::read_edits(&path, &table)?, supersedes),
            Source::Row(edit) => (vec![edit.resolve(&table)?], supersedes),
            Source::Rebase(number) => {
                let edits = rebase(session, number, &table).await?;
                (edits, supersedes.or(Some(number)))
            }
        };
        if edits.is_empty() {
            return Err(CliError::usage("no line of the sheet is edited"));
        }
        Ok(ChangeBody {
            id,
            note,
            edits,
            allow,
            supersedes,
        })
    };
    session
        .submit("/v1/proposals", AfterAccept::Return, make_body)
        .await
}

/// The edits of an open proposal, based on the revisions in force. Reviewers of the new proposal
/// see its difference from the rows as they are at the time of the review.
async fn rebase(
    session: &Session,
    number: ProposalNumber,
    table: &TableBody,
) -> Result<Vec<EditBody>> {
    let old: ProposalBody = session
        .get_from_leader(&format!("/v1/proposals/{number}"))
        .await?;
    if old.edits.is_empty() {
        let message = format!("proposal {number} is no longer open: {}", old.state);
        return Err(CliError::usage(message));
    }
    if !session.json() {
        for line in conflict_lines(&old.conflicts) {
            eprintln!("{line}");
        }
    }
    let rebased = old.edits.into_iter().map(|edit| {
        let key = RowKey {
            service: edit.service.clone(),
            region: edit.region.clone(),
        };
        EditBody {
            revision: table.revision(&key),
            ..edit
        }
    });
    Ok(rebased.collect())
}

pub(super) async fn review(session: &Session, mut args: Args) -> Result<Exit> {
    let Some(word) = args.optional_positional() else {
        args.finish()?;
        let body: ProposalsBody = session.get_from_leader("/v1/proposals").await?;
        session.show(&body, || render_list(&body));
        return Ok(Exit::Done);
    };
    let number = parse_number(&word)?;
    let verdict = match (args.flag("approve"), args.flag("reject")) {
        (false, false) => {
            args.finish()?;
            let body: ProposalBody = session
                .get_from_leader(&format!("/v1/proposals/{number}"))
                .await?;
            session.show(&body, || render(&body));
            return Ok(Exit::Done);
        }
        (true, false) => Verdict::Approve,
        (false, true) => Verdict::Reject,
        (true, true) => return Err(CliError::usage("either --approve or --reject")),
    };
    let note = match verdict {
        Verdict::Approve => args.option("note")?.unwrap_or_default(),
        Verdict::Reject => required_note(&mut args)?,
    };
    args.finish()?;
    let make_body = async |id| Ok(ReviewBody { id, verdict, note });
    let path = format!("/v1/proposals/{number}/review");
    session.submit(&path, AfterAccept::Return, make_body).await
}

pub(super) async fn accept(session: &Session, mut args: Args) -> Result<Exit> {
    let number = parse_number(&args.positional("the proposal's number")?)?;
    let allow = allowed_dangers(&mut args)?;
    let note = args.option("note")?.unwrap_or_default();
    let after_accept = AfterAccept::from_args(&mut args);
    args.finish()?;
    let make_body = async |id| Ok(AcceptBody { id, note, allow });
    let path = format!("/v1/proposals/{number}/accept");
    session.submit(&path, after_accept, make_body).await
}

pub(super) async fn withdraw(session: &Session, mut args: Args) -> Result<Exit> {
    let number = parse_number(&args.positional("the proposal's number")?)?;
    let note = args.option("note")?.unwrap_or_default();
    args.finish()?;
    let path = format!("/v1/proposals/{number}/withdraw");
    let make_body = async |id| Ok(NoteBody { id, note });
    session.submit(&path, AfterAccept::Return, make_body).await
}

fn render_list(body: &ProposalsBody) -> String {
    if body.open.is_empty() {
        return "no proposal is open\n".to_owned();
    }
    let pages: Vec<_> = body.open.iter().map(render).collect();
    pages.join("\n")
}

/// Formats a proposal for its reviewers.
pub(super) fn render(body: &ProposalBody) -> String {
    let mut lines = vec![format!(
        "proposal {} by {} {}: {}",
        body.number,
        body.author,
        text::time(body.at_ms),
        body.state
    )];
    if !body.note.is_empty() {
        lines.push(text::indent(&body.note));
    }
    lines.extend(body.differences.iter().map(text::difference));
    for finding in &body.findings {
        let accepted = if body.allow.contains(&finding.danger) {
            "accepted by its author"
        } else {
            "not accepted"
        };
        lines.push(format!(
            "danger {} ({accepted}): {}",
            finding.danger, finding.reason
        ));
    }
    lines.extend(conflict_lines(&body.conflicts));
    if !body.conflicts.is_empty() {
        let hint = "it can't be accepted like this; to propose it again: `table propose --rebase";
        lines.push(format!("{hint} {}`", body.number));
    }
    for review in &body.reviews {
        let verdict = match review.verdict {
            Verdict::Approve => "approved",
            Verdict::Reject => "rejected",
        };
        let when = text::time(review.at_ms);
        lines.push(format!("{verdict} by {} {when} {}", review.by, review.note));
    }
    lines.join("\n") + "\n"
}

/// Describes both sides of each conflict, under a heading.
pub(super) fn conflict_lines(conflicts: &[ConflictBody]) -> Vec<String> {
    let mut lines = Vec::new();
    if !conflicts.is_empty() {
        lines.push("in conflict: rows have changed since".to_owned());
    }
    lines.extend(conflicts.iter().map(error::describe_conflict));
    lines
}
