//! `filberthead check FILE`: finds every problem of a settings file.

use std::path::Path;

use serde_json::json;

use super::args::Args;
use super::error::{Exit, Result};
use super::text;

pub(super) fn run(mut args: Args, json: bool) -> Result<Exit> {
    let file = args.positional("the settings file")?;
    args.finish()?;
    let problems = filberthead_settings::check(Path::new(&file));
    if json {
        let list: Vec<_> = problems
            .iter()
            .map(|problem| {
                json!({
                    "file": problem.file,
                    "line": problem.line,
                    "section": problem.section,
                    "key": problem.key,
                    "found": problem.found,
                    "allowed": problem.allowed,
                    "close": problem.close,
                })
            })
            .collect();
        text::print(&format!("{:#}\n", json!({ "problems": list })));
    } else if problems.is_empty() {
        text::print(&format!("{file}: no problem\n"));
    } else {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        text::print(&format!("{}\n", lines.join("\n")));
    }
    Ok(if problems.is_empty() {
        Exit::Done
    } else {
        Exit::Refused
    })
}
