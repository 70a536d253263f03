//! `filberthead explain ID [FILE...]`: prints what logs contain about a request, or about operators'
//! orders.

use std::io::Read;

use filberthead_observe::{Event, OrderFilter, OrderTrace, RequestTrace};
use serde_json::json;

use super::args::Args;
use super::error::{CliError, Exit, Result};
use super::text;

pub(super) fn run(mut args: Args, json_output: bool) -> Result<Exit> {
    let (domain, order) = (args.option("failure-domain")?, args.option("order")?);
    let filter = match (&domain, &order) {
        (Some(domain), None) => Some(OrderFilter::FailureDomain(domain)),
        (None, Some(id)) => Some(OrderFilter::Id(id)),
        (None, None) => None,
        (Some(_), Some(_)) => {
            return Err(CliError::usage("give --failure-domain or --order"));
        }
    };
    if let Some(filter) = filter {
        return explain_orders(filter, &read_logs(args)?, json_output);
    }
    let id = args.positional("the request's id")?;
    let logs = read_logs(args)?;
    let trace = RequestTrace::from_lines(&id, logs.iter().flat_map(|log| log.lines()));
    let found = !trace.events.is_empty();
    if json_output {
        let (states, events) = (
            events_json(&trace.process_states),
            events_json(&trace.events),
        );
        text::print(&format!(
            "{:#}\n",
            json!({ "beliefs": states, "events": events })
        ));
    } else {
        text::print(&render(&id, &trace));
    }
    Ok(if found { Exit::Done } else { Exit::Refused })
}

fn explain_orders(filter: OrderFilter<'_>, logs: &[String], json_output: bool) -> Result<Exit> {
    let traces = OrderTrace::from_lines(filter, logs.iter().flat_map(|log| log.lines()));
    if json_output {
        let object = |trace: &OrderTrace| json!({ "order": trace.id, "index": trace.index, "events": events_json(&trace.events) });
        let orders: Vec<_> = traces.iter().map(object).collect();
        text::print(&format!("{:#}\n", json!({ "orders": orders })));
    } else if traces.is_empty() {
        text::print("no line names such an order\n");
    } else {
        text::print(&traces.iter().map(render_order).collect::<String>());
    }
    Ok(match traces.is_empty() {
        true => Exit::Refused,
        false => Exit::Done,
    })
}

fn render_order(trace: &OrderTrace) -> String {
    let id = trace.id.as_deref().unwrap_or("without an id");
    let mut page = match trace.index {
        Some(index) => format!("order {id}, index {index}\n"),
        None => format!("order {id}, not applied by these logs\n"),
    };
    trace.events.iter().for_each(|e| add(&mut page, e));
    page
}

/// Reads the files that the remaining arguments name, or the standard input.
fn read_logs(mut args: Args) -> Result<Vec<String>> {
    let mut files = Vec::new();
    while let Some(file) = args.optional_positional() {
        files.push(file);
    }
    args.finish()?;
    if files.is_empty() {
        return Ok(vec![standard_input()?]);
    }
    files.iter().map(|file| read_file(file)).collect()
}

fn read_file(file: &str) -> Result<String> {
    let bytes = std::fs::read(file).map_err(|e| CliError::usage(format!("{file}: {e}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn standard_input() -> Result<String> {
    let mut bytes = Vec::new();
    let read = std::io::stdin().read_to_end(&mut bytes);
    read.map_err(|e| CliError::usage(format!("standard input: {e}")))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn events_json(events: &[Event]) -> Vec<serde_json::Value> {
    let object = |event: &Event| {
        let fields = event.fields.iter();
        let fields = fields.map(|(key, value)| (key.clone(), value.clone().into()));
        json!({
            "at": event.at,
            "process": event.process,
            "message": event.message,
            "fields": fields.collect::<serde_json::Map<String, serde_json::Value>>(),
            "words": event.in_words(),
        })
    };
    events.iter().map(object).collect()
}

fn render(id: &str, trace: &RequestTrace) -> String {
    if trace.events.is_empty() {
        return format!(
            "no line names {id}: it was served at once, or never reached a process whose log \
             was read\n"
        );
    }
    let mut page = format!("request {id}\n");
    trace.events.iter().for_each(|e| add(&mut page, e));
    if !trace.process_states.is_empty() {
        page.push_str("state of these processes, as logged before\n");
    }
    trace.process_states.iter().for_each(|e| add(&mut page, e));
    page
}

/// Adds an event, and what it says in words.
fn add(page: &mut String, event: &Event) {
    page.push_str(&format!("  {event}\n"));
    if let Some(words) = event.in_words() {
        page.push_str(&format!("      {words}\n"));
    }
}
