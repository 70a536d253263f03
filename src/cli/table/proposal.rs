//! `filberthead table propose`, `review`, `accept` and `withdraw`.

use filberthead_operator::{
    AcceptBody, ChangeBody, ConflictBody, EditBody, NoteBody, ProposalBody, ProposalsBody,
    ReviewBody, TableBody,
};
use filberthead_table::{ProposalNumber, RowKey, Verdict};

use super::set::RowEdit;
use super::{allow, csv, needed_note, number};
use crate::cli::args::Args;
use crate::cli::error::{self, CliError, Exit, Result};
use crate::cli::session::{Session, Then};
use crate::cli::text;

/// Where the edits of a proposal come from.
enum Source {
    Sheet(String),
    Row(RowEdit),
    Rebase(ProposalNumber),
}

impl Source {
    fn take(args: &mut Args) -> Result<Self> {
        if let Some(word) = args.one("rebase")? {
            return Ok(Self::Rebase(number(&word)?));
        }
        let first = args.word("a sheet's file, or a service and a region")?;
        match args.maybe_word() {
            None => Ok(Self::Sheet(first)),
            Some(region) => Ok(Self::Row(RowEdit::take(args, &first, &region)?)),
        }
    }
}

pub(super) async fn propose(session: &Session, mut args: Args) -> Result<Exit> {
    let source = Source::take(&mut args)?;
    let supersedes = args.parsed("supersedes")?.map(ProposalNumber);
    let allow = allow(&mut args)?;
    let note = needed_note(&mut args)?;
    args.finish()?;
    let make = async |id| {
        let table: TableBody = session.look("/v1/table").await?;
        let (edits, supersedes) = match source {
            Source::Sheet(path) => (csv::edits(&path, &table)?, supersedes),
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
    session.act("/v1/proposals", Then::Return, make).await
}

/// The edits of an open proposal on the revisions in force. Whoever reviews the new
/// proposal sees its difference against the rows as they stand by then.
async fn rebase(
    session: &Session,
    number: ProposalNumber,
    table: &TableBody,
) -> Result<Vec<EditBody>> {
    let old: ProposalBody = session.look(&format!("/v1/proposals/{number}")).await?;
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
    let Some(word) = args.maybe_word() else {
        args.finish()?;
        let body: ProposalsBody = session.look("/v1/proposals").await?;
        session.show(&body, || list(&body));
        return Ok(Exit::Done);
    };
    let number = number(&word)?;
    let verdict = match (args.flag("approve"), args.flag("reject")) {
        (false, false) => {
            args.finish()?;
            let body: ProposalBody = session.look(&format!("/v1/proposals/{number}")).await?;
            session.show(&body, || page(&body));
            return Ok(Exit::Done);
        }
        (true, false) => Verdict::Approve,
        (false, true) => Verdict::Reject,
        (true, true) => return Err(CliError::usage("either --approve or --reject")),
    };
    let note = match verdict {
        Verdict::Approve => args.one("note")?.unwrap_or_default(),
        Verdict::Reject => needed_note(&mut args)?,
    };
    args.finish()?;
    let make = async |id| Ok(ReviewBody { id, verdict, note });
    let path = format!("/v1/proposals/{number}/review");
    session.act(&path, Then::Return, make).await
}

pub(super) async fn accept(session: &Session, mut args: Args) -> Result<Exit> {
    let number = number(&args.word("the proposal's number")?)?;
    let allow = allow(&mut args)?;
    let note = args.one("note")?.unwrap_or_default();
    let then = Then::take(&mut args);
    args.finish()?;
    let make = async |id| Ok(AcceptBody { id, note, allow });
    let path = format!("/v1/proposals/{number}/accept");
    session.act(&path, then, make).await
}

pub(super) async fn withdraw(session: &Session, mut args: Args) -> Result<Exit> {
    let number = number(&args.word("the proposal's number")?)?;
    let note = args.one("note")?.unwrap_or_default();
    args.finish()?;
    let path = format!("/v1/proposals/{number}/withdraw");
    let make = async |id| Ok(NoteBody { id, note });
    session.act(&path, Then::Return, make).await
}

fn list(body: &ProposalsBody) -> String {
    if body.open.is_empty() {
        return "no proposal is open\n".to_owned();
    }
    let pages: Vec<_> = body.open.iter().map(page).collect();
    pages.join("\n")
}

/// A proposal as its reviewers see it.
pub(super) fn page(body: &ProposalBody) -> String {
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
        let taken = if body.allow.contains(&finding.danger) {
            "taken by its author"
        } else {
            "not taken"
        };
        lines.push(format!(
            "danger {} ({taken}): {}",
            finding.danger, finding.reason
        ));
    }
    lines.extend(conflict_lines(&body.conflicts));
    if !body.conflicts.is_empty() {
        let way = "it can't be accepted so; to put it up again: `table propose --rebase";
        lines.push(format!("{way} {}`", body.number));
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

/// Both sides of each conflict.
pub(super) fn conflict_lines(conflicts: &[ConflictBody]) -> Vec<String> {
    let mut lines = Vec::new();
    if !conflicts.is_empty() {
        lines.push("in conflict: rows have moved on".to_owned());
    }
    lines.extend(conflicts.iter().map(error::explain_conflict));
    lines
}
