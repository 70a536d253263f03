//! `filberthead table show`.

use filberthead_operator::{RowBody, TableBody};
use filberthead_types::ServiceName;

use crate::cli::args::Args;
use crate::cli::error::{Exit, Result};
use crate::cli::session::Session;
use crate::cli::text;

pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let service: Option<ServiceName> = match args.optional_positional() {
        None => None,
        Some(word) => Some(
            word.parse()
                .map_err(|e| crate::cli::error::CliError::usage(format!("the service: {e}")))?,
        ),
    };
    args.finish()?;
    let mut table: TableBody = session.get_from_leader("/v1/table").await?;
    if let Some(service) = service {
        table.rows.retain(|row| row.service == service);
        table.removed.retain(|row| row.service == service);
    }
    session.show(&table, || render(&table));
    Ok(Exit::Done)
}

fn render(table: &TableBody) -> String {
    let names = [
        "SERVICE",
        "REGION",
        "WEIGHT",
        "SHARE",
        "LIMIT",
        "SHIFT-CAP",
        "OBJECTIVE",
        "REVISION",
        "CHANGED",
    ];
    let mut lines = vec![names.map(str::to_owned).to_vec()];
    for row in &table.rows {
        lines.push(vec![
            row.service.to_string(),
            row.region.to_string(),
            row.weight.to_string(),
            share(table, row),
            row.limit.to_string(),
            row.shift_cap.to_string(),
            row.objective.to_string(),
            row.revision.to_string(),
            changed(row),
        ]);
    }
    format!("table version {}\n{}", table.version, text::columns(&lines))
}

fn share(table: &TableBody, row: &RowBody) -> String {
    let rows = table
        .rows
        .iter()
        .filter(|other| other.service == row.service);
    let sum: u64 = rows.map(|other| u64::from(other.weight)).sum();
    match u64::from(row.weight) * 100 {
        0 => "drained".to_owned(),
        hundredfold => format!("{}%", hundredfold / sum),
    }
}

fn changed(row: &RowBody) -> String {
    match (&row.changed_by, row.changed_at_ms) {
        (Some(by), Some(at)) => format!("{by} {}", text::time(at)),
        _ => "-".to_owned(),
    }
}
