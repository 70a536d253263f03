//! `filberthead explain ID [FILE...]`: what logs tell of a request.

use std::io::Read;

use filberthead_observe::{Event, RequestTrace};
use serde_json::json;

use super::args::Args;
use super::error::{CliError, Exit, Result};
use super::text;

pub(super) fn run(mut args: Args, as_json: bool) -> Result<Exit> {
    let id = args.word("the request's id")?;
    let mut files = Vec::new();
    while let Some(file) = args.maybe_word() {
        files.push(file);
    }
    args.finish()?;
    let logs = if files.is_empty() {
        vec![standard_input()?]
    } else {
        files.iter().map(|file| read(file)).collect::<Result<_>>()?
    };
    let story = RequestTrace::from_lines(&id, logs.iter().flat_map(|log| log.lines()));
    let found = !story.events.is_empty();
    if as_json {
        let (beliefs, events) = (list(&story.process_states), list(&story.events));
        text::print(&format!(
            "{:#}\n",
            json!({ "beliefs": beliefs, "events": events })
        ));
    } else {
        text::print(&page(&id, &story));
    }
    Ok(if found { Exit::Done } else { Exit::Refused })
}

fn read(file: &str) -> Result<String> {
    let bytes = std::fs::read(file).map_err(|e| CliError::usage(format!("{file}: {e}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn standard_input() -> Result<String> {
    let mut bytes = Vec::new();
    let read = std::io::stdin().read_to_end(&mut bytes);
    read.map_err(|e| CliError::usage(format!("standard input: {e}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn list(events: &[Event]) -> Vec<serde_json::Value> {
    let object = |event: &Event| {
        let fields = event.fields.iter();
        let fields = fields.map(|(key, value)| (key.clone(), value.clone().into()));
        json!({
            "at": event.at,
            "process": event.process,
            "message": event.message,
            "fields": fields.collect::<serde_json::Map<String, serde_json::Value>>(),
        })
    };
    events.iter().map(object).collect()
}

fn page(id: &str, story: &RequestTrace) -> String {
    if story.events.is_empty() {
        return format!(
            "no line names {id}: it was served at once, or never reached a process whose log \
             this is\n"
        );
    }
    let mut page = format!("request {id}\n");
    for event in &story.events {
        page.push_str(&format!("  {event}\n"));
    }
    if !story.process_states.is_empty() {
        page.push_str("what the processes that it met believed before\n");
    }
    for event in &story.process_states {
        page.push_str(&format!("  {event}\n"));
    }
    page
}
