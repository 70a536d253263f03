//! `filberthead table ...`.

mod csv;
mod handover;
mod history;
mod proposal;
mod set;
mod show;

use std::collections::BTreeSet;

use filberthead_table::{Danger, ProposalNumber};

use super::args::{self, Args};
use super::error::{CliError, Exit, Result};
use super::session::Session;

const COMMANDS: &[&str] = &[
    "accept", "diff", "export", "handover", "history", "propose", "review", "set", "show",
    "withdraw",
];

pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let command = args.positional("a command; see `filberthead help table`")?;
    match command.as_str() {
        "show" => show::run(session, args).await,
        "export" => csv::export(session, args).await,
        "diff" => csv::diff(session, args).await,
        "propose" => proposal::propose(session, args).await,
        "review" => proposal::review(session, args).await,
        "accept" => proposal::accept(session, args).await,
        "withdraw" => proposal::withdraw(session, args).await,
        "set" => set::run(session, args).await,
        "history" => history::run(session, args).await,
        "handover" => handover::run(session, args).await,
        other => Err(args::unknown_name("command", other, COMMANDS)),
    }
}

/// Dangers that the operator accepts by `--allow`, which may be repeated or hold several,
/// separated by commas.
fn allowed_dangers(args: &mut Args) -> Result<BTreeSet<Danger>> {
    let lists = args.option_values("allow");
    let words = lists.iter().flat_map(|list| list.split(','));
    let parse = |word: &str| {
        let known: Vec<_> = Danger::ALL.iter().map(|danger| danger.as_str()).collect();
        word.parse()
            .map_err(|_| args::unknown_name("danger", word, &known))
    };
    words.map(parse).collect()
}

/// Parses a proposal's number.
fn parse_number(word: &str) -> Result<ProposalNumber> {
    let number = word.parse().map(ProposalNumber);
    number.map_err(|_| CliError::usage(format!("`{word}` is not a proposal's number")))
}

/// The required note of a change: operators of the other shifts have no other explanation.
fn required_note(args: &mut Args) -> Result<String> {
    let note = args.option("note")?.filter(|note| !note.trim().is_empty());
    note.ok_or_else(|| CliError::usage("say why, for colleagues: --note TEXT"))
}
