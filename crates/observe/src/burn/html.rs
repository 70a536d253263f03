//! The report as one self-contained HTML page: no scripts, and no fonts or images from
//! other servers. It follows the reader's light or dark colour scheme.

use std::fmt::Write as _;

use super::measure::Measure;
use super::plot::{legend, plots};
use super::{Report, Scope, text};

const STYLE: &str = "\
:root { color-scheme: light dark; --ink: #1c2128; --paper: #ffffff; --card: #f6f8fa;
  --line: #d0d7de; --bad: #b42318; --warn: #8a5a00; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6edf3; --paper: #0d1117;
  --card: #161b22; --line: #30363d; --bad: #ff8f85; --warn: #e3b341; } }
body { color: var(--ink); background: var(--paper); font: 15px/1.45 sans-serif;
  max-width: 76rem; margin: 1.5rem auto; padding: 0 1rem; }
h1 { font-size: 1.35rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: left; padding: .25rem .6rem; border-bottom: 1px solid var(--line); }
td.num, th.num { text-align: right; }
tr.first td { border-top: 2px solid var(--line); }
.bad { color: var(--bad); font-weight: bold; } .warn { color: var(--warn); font-weight: bold; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(26rem, 1fr)); gap: 1rem; }
figure { margin: 0; padding: .5rem; background: var(--card); border: 1px solid var(--line);
  border-radius: 6px; } figcaption { padding: .1rem .4rem; }
figure svg { width: 100%; height: auto; display: block; }
.legend span { margin-right: 1.2rem; white-space: nowrap; }
.legend i { display: inline-block; width: 1.6rem; height: .25rem; margin-right: .4rem;
  vertical-align: middle; }
";

const BOUND_LEGEND: &str = "<span>dashed: the objective's bound</span>";

/// Burn rate above which a cell is marked as a warning: the budget is used too fast.
const WARN_BURN: f64 = 1.0;
/// Burn rate from which a cell is marked as bad: it uses three days' budget within a day.
const BAD_BURN: f64 = 3.0;

/// The report as an HTML page.
pub fn html(report: &Report) -> String {
    let mut page = String::new();
    let title = escape(&text::title(report));
    // Writing to a `String` can't fail.
    let _ = writeln!(
        page,
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>{title}</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n<h1>{title}</h1>"
    );
    for note in text::notes(report) {
        let _ = writeln!(page, "<p>{}</p>", escape(&note));
    }
    if !report.scopes.is_empty() {
        table(&mut page, report);
        services(&mut page, report);
    }
    page.push_str("</body>\n</html>\n");
    page
}

fn table(page: &mut String, report: &Report) {
    page.push_str("<div class=\"scroll\"><table>\n<thead><tr>");
    for (column, name) in text::header().iter().enumerate() {
        let _ = write!(page, "<th{}>{}</th>", class(column, None), escape(name));
    }
    page.push_str("</tr></thead>\n<tbody>\n");
    for scope in &report.scopes {
        rows(page, scope);
    }
    page.push_str("</tbody>\n</table></div>\n");
}

fn rows(page: &mut String, scope: &Scope) {
    for (index, (measure, cells)) in scope.measures.iter().zip(text::rows(scope)).enumerate() {
        page.push_str(if index == 0 {
            "<tr class=\"first\">"
        } else {
            "<tr>"
        });
        for (column, cell) in cells.iter().enumerate() {
            let severity = severity(measure, column);
            let _ = write!(page, "<td{}>{}</td>", class(column, severity), escape(cell));
        }
        page.push_str("</tr>\n");
    }
}

/// Index of the first window column, after service, region, measure, objective and budget.
const FIRST_WINDOW_COLUMN: usize = 5;
const BUDGET_COLUMN: usize = 4;

/// CSS class that colours a cell. The cell shows the number as well, so the colour carries
/// no information of its own.
fn severity(measure: &Measure, column: usize) -> Option<&'static str> {
    if column == BUDGET_COLUMN {
        return measure
            .budget_left
            .filter(|left| *left < 0.0)
            .map(|_| "bad");
    }
    let window = column.checked_sub(FIRST_WINDOW_COLUMN)?;
    let burn = measure.windows.get(window)?.burn?;
    match burn {
        burn if burn >= BAD_BURN => Some("bad"),
        burn if burn > WARN_BURN => Some("warn"),
        _ => None,
    }
}

fn class(column: usize, severity: Option<&str>) -> String {
    let number = (column >= BUDGET_COLUMN).then_some("num");
    let classes: Vec<_> = number.into_iter().chain(severity).collect();
    match classes.is_empty() {
        true => String::new(),
        false => format!(" class=\"{}\"", classes.join(" ")),
    }
}

fn services(page: &mut String, report: &Report) {
    let scopes = &report.scopes;
    for group in scopes.chunk_by(|a, b| a.service == b.service) {
        let Some(first) = group.first() else { continue };
        let _ = writeln!(page, "<h2>{}</h2>", escape(first.service.as_str()));
        let legend = legend(report, group);
        let _ = writeln!(page, "<p class=\"legend\">{legend}{BOUND_LEGEND}</p>");
        page.push_str("<div class=\"plots\">\n");
        for plot in plots(report, group) {
            let caption = escape(&plot.caption);
            let _ = writeln!(
                page,
                "<figure><figcaption>{caption}</figcaption>\n{}</figure>",
                plot.svg
            );
        }
        page.push_str("</div>\n");
    }
}

/// Escapes text for HTML. Names contain no special characters, but paths may contain any.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
