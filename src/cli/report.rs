//! `filberthead report`: how much of each service's error budget is used up.

use std::path::Path;

use filberthead::control::burn_report;
use filberthead_observe::burn::{self, Report};
use filberthead_settings::ControlSettings;

use super::args::Args;
use super::error::{CliError, Exit, Result};
use super::session::Session;
use super::text;

/// Path at which control replicas serve the report.
const PATH: &str = "/v1/report";

/// Format and destination of the report.
struct Output {
    html: bool,
    json: bool,
    out: Option<String>,
}

impl Output {
    fn from_args(args: &mut Args, json: bool) -> Result<Self> {
        let output = Self {
            html: args.flag("html"),
            json,
            out: args.option("out")?,
        };
        if output.html && output.json {
            return Err(CliError::usage("--html or --json, not both"));
        }
        Ok(output)
    }

    fn show(&self, report: &Report) -> Result<Exit> {
        let page = match (self.html, self.json) {
            (true, _) => burn::html(report),
            // Can't fail: a report has no map with keys other than strings.
            (_, true) => format!(
                "{}\n",
                serde_json::to_string_pretty(report).unwrap_or_default()
            ),
            _ => burn::text(report),
        };
        let Some(out) = &self.out else {
            text::print(&page);
            return Ok(Exit::Done);
        };
        std::fs::write(out, page)
            .map_err(|e| CliError::usage(format!("can't write the report to {out}: {e}")))?;
        Ok(Exit::Done)
    }
}

/// Builds the report from the samples in a replica's data folder on this VM, without calling
/// any process.
pub(super) fn from_settings_file(mut args: Args, json: bool, file: &str) -> Result<Exit> {
    let output = Output::from_args(&mut args, json)?;
    args.finish()?;
    let cfg = ControlSettings::load(Path::new(file)).map_err(|e| CliError::usage(e.to_string()))?;
    let report = burn_report(&cfg).map_err(|e| CliError::usage(with_cause(&e)))?;
    output.show(&report)
}

/// Gets the report of the control replica that has the most samples.
pub(super) async fn from_replicas(session: &Session, mut args: Args) -> Result<Exit> {
    let output = Output::from_args(&mut args, session.json())?;
    args.finish()?;
    let mut best: Option<Report> = None;
    let mut last = None;
    for addr in session.client().controls() {
        match session.get_from::<Report>(addr.to_owned(), PATH).await {
            Ok(report)
                if best
                    .as_ref()
                    .is_none_or(|best| is_more_complete(&report, best)) =>
            {
                best = Some(report);
            }
            Ok(_) => {}
            Err(e) => last = Some(e),
        }
    }
    match (best, last) {
        (Some(report), _) => output.show(&report),
        (None, Some(e)) => Err(e),
        (None, None) => Err(CliError::usage("no control replica is named")),
    }
}

/// Whether a report is based on more samples: a replica that was cut off or down has gaps.
fn is_more_complete(report: &Report, than: &Report) -> bool {
    let coverage = |report: &Report| {
        let minutes = report.source.minutes.iter().max().copied();
        (minutes, report.source.entries)
    };
    coverage(report) > coverage(than)
}

fn with_cause(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
