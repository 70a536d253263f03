//! `filberthead table history`.

use filberthead_operator::HistoryBody;

use crate::cli::args::Args;
use crate::cli::error::{Exit, Result};
use crate::cli::session::Session;
use crate::cli::text;

/// Records shown without `--last`.
const DEFAULT_LAST: usize = 20;

pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let last = args.parse_option::<usize>("last")?.unwrap_or(DEFAULT_LAST);
    let before = args.parse_option::<u64>("before")?;
    args.finish()?;
    let mut path = format!("/v1/history?limit={last}");
    if let Some(before) = before {
        path.push_str(&format!("&before={before}"));
    }
    if let Some(id) = session.change_id() {
        path.push_str(&format!("&id={id}"));
    }
    let body: HistoryBody = session.get_from_leader(&path).await?;
    session.show(&body, || render(&body));
    Ok(Exit::Done)
}

fn render(body: &HistoryBody) -> String {
    if body.records.is_empty() {
        return "nothing on record\n".to_owned();
    }
    let records: Vec<_> = body.records.iter().map(text::record).collect();
    records.join("\n") + "\n"
}
