//! Plots by `plotters`, as SVG embedded in the page.
//!
//! Axes and text are drawn in a placeholder colour that is then replaced by `currentColor`,
//! so that they have the page's text colour in a light or dark scheme. The colours of lines
//! have a medium lightness and are readable in both.

use std::collections::BTreeSet;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::html::escape;
use super::measure::MeasureKind;
use super::text::region;
use super::{Point, Report, Scope};

const SIZE: (u32, u32) = (640, 260);
const INK: RGBColor = RGBColor(1, 2, 3);
const INK_TEXT: &str = "#010203";
/// Line colours by index of the region, reused from the start if there are more regions.
/// The first is for all regions together.
const COLOURS: [RGBColor; 8] = [
    RGBColor(128, 128, 128),
    RGBColor(47, 129, 247),
    RGBColor(219, 109, 40),
    RGBColor(46, 160, 67),
    RGBColor(163, 113, 247),
    RGBColor(219, 97, 162),
    RGBColor(20, 160, 170),
    RGBColor(190, 140, 20),
];
const SECONDS_PER_HOUR: f64 = 3600.0;
/// Left end of the x axis of the narrowest plot, in hours.
const NARROWEST_LEFT_END: f64 = -0.25;

/// A finished plot.
pub(super) struct Plot {
    pub(super) caption: String,
    pub(super) svg: String,
}

/// The colour of a scope, the same for a region in all of a report's plots.
fn colour(report: &Report, scope: &Scope) -> RGBColor {
    let regions: BTreeSet<_> = report.scopes.iter().map(|other| &other.region).collect();
    let place = regions.iter().position(|region| **region == scope.region);
    COLOURS[place.unwrap_or(0) % COLOURS.len()]
}

/// HTML of the legend: names of the regions with their colours.
pub(super) fn legend(report: &Report, scopes: &[Scope]) -> String {
    let item = |scope: &Scope| {
        let RGBColor(r, g, b) = colour(report, scope);
        let name = escape(region(scope));
        format!("<span><i style=\"background:rgb({r},{g},{b})\"></i>{name}</span>")
    };
    scopes.iter().map(item).collect()
}

/// Draws one plot for each measure of a service.
pub(super) fn plots(report: &Report, scopes: &[Scope]) -> Vec<Plot> {
    MeasureKind::ALL
        .iter()
        .map(|kind| Plot {
            caption: caption(*kind).to_owned(),
            svg: svg(report, scopes, *kind),
        })
        .collect()
}

fn caption(kind: MeasureKind) -> &'static str {
    match kind {
        MeasureKind::Latency => "Time that 99% of answers don't exceed, in ms",
        MeasureKind::Headroom => "Least share of free slots in a minute, in %",
        MeasureKind::DrainTime => "Longest drain, in s",
        MeasureKind::Refusals => "Requests refused or lost, in %",
    }
}

/// The plotted value, in the unit of the caption.
fn value(kind: MeasureKind, point: &Point) -> Option<f64> {
    match kind {
        MeasureKind::Latency => point.latency_p99_ms,
        MeasureKind::Headroom => point.headroom.map(|share| share * 100.0),
        MeasureKind::DrainTime => point.drain_seconds,
        MeasureKind::Refusals => point.refused.map(|share| share * 100.0),
    }
}

/// A line of a plot: x in hours relative to the report, y in the caption's unit.
struct Line {
    colour: RGBColor,
    /// The points, split at gaps.
    segments: Vec<Vec<(f64, f64)>>,
}

fn lines(report: &Report, scopes: &[Scope], kind: MeasureKind) -> Vec<Line> {
    let line = |scope: &Scope| Line {
        colour: colour(report, scope),
        segments: segments(report, scope, kind),
    };
    scopes.iter().map(line).collect()
}

/// Time of a point relative to the report, in hours; negative.
fn hours(report: &Report, point: &Point) -> f64 {
    (point.start as f64 - report.now as f64) / SECONDS_PER_HOUR
}

/// Splits a line where samples are missing: a line across a gap would show values that
/// were never measured. Drains are rare, so each is a point of its own.
fn segments(report: &Report, scope: &Scope, kind: MeasureKind) -> Vec<Vec<(f64, f64)>> {
    let mut segments: Vec<Vec<(f64, f64)>> = Vec::new();
    let mut end = None;
    for point in &scope.points {
        let Some(y) = value(kind, point) else {
            continue;
        };
        let x = hours(report, point);
        let contiguous = end == Some(point.start) && kind != MeasureKind::DrainTime;
        match segments.last_mut() {
            Some(segment) if contiguous => segment.push((x, y)),
            _ => segments.push(vec![(x, y)]),
        }
        end = Some(point.start + report.step_seconds);
    }
    segments
}

fn svg(report: &Report, scopes: &[Scope], kind: MeasureKind) -> String {
    let points = report.scopes.iter().flat_map(|scope| &scope.points);
    let starts = points.map(|point| hours(report, point));
    let data = PlotData {
        left_end: starts.fold(NARROWEST_LEFT_END, f64::min),
        bound: bound(scopes, kind),
        lines: lines(report, scopes, kind),
        kind,
    };
    let mut svg = String::new();
    let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let drawn = data.draw(&root).and_then(|()| root.present());
    drop(root);
    match drawn {
        Ok(()) => svg.replace(INK_TEXT, "currentColor"),
        // Drawing into a string can't fail, and ranges are never empty.
        Err(err) => escape(&err.to_string()),
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn bound(scopes: &[Scope], kind: MeasureKind) -> Option<f64> {
    let measures = scopes.iter().flat_map(|scope| &scope.measures);
    measures
        .filter(|measure| measure.kind == kind)
        .find_map(|measure| measure.bound)
}

/// The data of one plot.
struct PlotData {
    kind: MeasureKind,
    /// Left end of the x axis, in hours relative to the report; the same for all plots of a
    /// report.
    left_end: f64,
    /// The limit between good and bad, drawn as a dashed line.
    bound: Option<f64>,
    lines: Vec<Line>,
}

impl PlotData {
    /// Upper end of the y axis; the bound lies below it.
    fn top(&self) -> f64 {
        let segments = self.lines.iter().flat_map(|line| &line.segments);
        let values = segments.flatten().map(|point| point.1).chain(self.bound);
        let top = values.fold(0.0, f64::max);
        match self.kind {
            MeasureKind::Headroom => 100.0,
            _ if top > 0.0 => top * 1.1,
            _ => 1.0,
        }
    }

    fn draw<'a>(&self, root: &Area<'a>) -> Result<(), DrawError<'a>> {
        let mut chart = ChartBuilder::on(root)
            .margin(8)
            .margin_right(16)
            .x_label_area_size(34)
            .y_label_area_size(54)
            .build_cartesian_2d(self.left_end..0.0, 0.0..self.top())?;
        let label = ("sans-serif", 14).into_font().color(&INK);
        chart
            .configure_mesh()
            .disable_x_mesh()
            .bold_line_style(INK.mix(0.15))
            .light_line_style(TRANSPARENT)
            .axis_style(INK.mix(0.6))
            .label_style(label)
            .x_desc("hours before now")
            .x_label_formatter(&|x| format_number(x.abs()))
            .y_label_formatter(&|y| format_number(*y))
            .x_labels(7)
            .y_labels(6)
            .draw()?;
        if let Some(bound) = self.bound {
            let line = [(self.left_end, bound), (0.0, bound)];
            chart.draw_series(DashedLineSeries::new(line, 6, 4, INK.mix(0.7).into()))?;
        }
        for line in &self.lines {
            for segment in &line.segments {
                let style = line.colour.stroke_width(2);
                chart.draw_series(LineSeries::new(segment.iter().copied(), style))?;
                if let [single] = segment[..] {
                    chart.draw_series([Circle::new(single, 3, line.colour.filled())])?;
                }
            }
        }
        Ok(())
    }
}

fn format_number(number: f64) -> String {
    format!("{}", (number * 100.0).round() / 100.0)
}
