//! `filberthead table handover`.

use filberthead_operator::{HandOverBody, HandOverNote, NoteBody};

use super::proposal;
use crate::cli::args::Args;
use crate::cli::error::{Exit, Result};
use crate::cli::session::{AfterAccept, Session};
use crate::cli::text;

/// Earlier hand-overs shown besides the latest; together they cover a day of three shifts.
const EARLIER_HANDOVERS: usize = 2;

pub(super) async fn run(session: &Session, mut args: Args) -> Result<Exit> {
    let Some(note) = args.option("note")? else {
        args.finish()?;
        let body: HandOverBody = session.get_from_leader("/v1/handover").await?;
        session.show(&body, || render(&body));
        return Ok(Exit::Done);
    };
    args.finish()?;
    let make_body = async |id| Ok(NoteBody { id, note });
    session
        .submit("/v1/handover", AfterAccept::Return, make_body)
        .await
}

fn render(body: &HandOverBody) -> String {
    let mut out = format!("table version {}\n\n", body.version);
    if body.handovers.is_empty() {
        out.push_str("no shift has handed over yet\n");
    }
    for handover in body.handovers.iter().take(1 + EARLIER_HANDOVERS) {
        out.push_str(&render_handover(handover));
    }
    out.push_str(&format!(
        "\nsince the last hand-over: {} acts\n",
        body.since.len()
    ));
    for record in &body.since {
        out.push_str(&format!("{}\n", text::record(record)));
    }
    out.push_str(&format!("\nopen proposals: {}\n", body.open.len()));
    for open in &body.open {
        out.push_str(&proposal::render(open));
    }
    out
}

fn render_handover(handover: &HandOverNote) -> String {
    let open: Vec<_> = handover.open.iter().map(ToString::to_string).collect();
    let open = if open.is_empty() {
        "no proposal open".to_owned()
    } else {
        format!("proposals open: {}", open.join(", "))
    };
    format!(
        "{} handed over {}, version {}, {open}\n{}\n",
        handover.by,
        text::time(handover.at_ms),
        handover.version,
        text::indent(&handover.note)
    )
}
