//! Plots of reports: latency by percentile, and coverage and extra load over time.

pub mod command;
mod panel;

use std::{
    fmt,
    path::Path, //
};

use error_stack::Report;
use plotters::{
    backend::SVGBackend,
    drawing::IntoDrawingArea,
    style::WHITE, //
};

use crate::report::Summary;
use panel::{
    Line,
    Panel, //
};

/// Width and height of the picture.
const SIZE_PIXELS: (u32, u32) = (900, 1_050);
/// Number of panels of a report's plot, stacked vertically.
const PANEL_COUNT: usize = 3;
/// Highest percentile that is plotted.
const MAX_PERCENTILE: f64 = 99.99;

/// Why a plot can't be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// A report can't be read.
    Read,
    /// The picture can't be drawn or written.
    Draw,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "a report can't be read",
            Self::Draw => "the picture can't be drawn",
        })
    }
}

impl std::error::Error for Error {}

/// Plots reports to an SVG file, one line per report.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn run(summaries: &[Summary], out: &Path) -> Result<(), Report<Error>> {
    let area = SVGBackend::new(out, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    let areas = area.split_evenly((PANEL_COUNT, 1));
    for (area, panel) in areas.iter().zip(panels(summaries)) {
        panel.draw(area).map_err(draw_error)?;
    }
    area.present().map_err(draw_error)
}

/// Labelled lines, each with its points in order of time.
pub type Lines = Vec<(String, Vec<(f64, f64)>)>;

/// Plots values over time, in seconds, to an SVG file, one titled panel per item.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn over_time(panels: Vec<(String, Lines)>, out: &Path) -> Result<(), Report<Error>> {
    let area = SVGBackend::new(out, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(draw_error)?;
    let areas = area.split_evenly((panels.len().max(1), 1));
    for (area, (title, lines)) in areas.iter().zip(panels) {
        let lines = lines
            .into_iter()
            .map(|(label, points)| Line { label, points });
        let panel = Panel {
            title: &title,
            x_title: "seconds",
            x_label: |x| format!("{x:.0}"),
            starts_at_zero: true,
            lines: lines.collect(),
        };
        panel.draw(area).map_err(draw_error)?;
    }
    area.present().map_err(draw_error)
}

fn draw_error<E: std::error::Error + Send + Sync + 'static>(error: E) -> Report<Error> {
    Report::new(error).change_context(Error::Draw)
}

fn panels(summaries: &[Summary]) -> [Panel<'static>; PANEL_COUNT] {
    [
        Panel {
            title: "latency, ms, by percentile",
            x_title: "percentile",
            x_label: |x| format!("{}", panel::percentile(x)),
            starts_at_zero: true,
            lines: lines(summaries, latency_over_nines),
        },
        Panel {
            title: "coverage",
            x_title: "seconds",
            x_label: |x| format!("{x:.0}"),
            starts_at_zero: false,
            lines: lines(summaries, |summary| {
                summary
                    .series
                    .iter()
                    .map(|second| (second.at as f64, second.coverage))
                    .collect()
            }),
        },
        Panel {
            title: "extra load",
            x_title: "seconds",
            x_label: |x| format!("{x:.0}"),
            starts_at_zero: true,
            lines: lines(summaries, |summary| {
                summary
                    .series
                    .iter()
                    .map(|second| (second.at as f64, second.extra_load))
                    .collect()
            }),
        },
    ]
}

fn lines(summaries: &[Summary], points: fn(&Summary) -> Vec<(f64, f64)>) -> Vec<Line> {
    let line = |(index, summary): (usize, &Summary)| Line {
        label: match summary.label.is_empty() {
            true => format!("run {}", index + 1),
            false => summary.label.clone(),
        },
        points: points(summary),
    };
    summaries.iter().enumerate().map(line).collect()
}

/// Returns the latency curve over the number of nines of the percentile: 1 is 90 percent, 2 is 99 percent.
fn latency_over_nines(summary: &Summary) -> Vec<(f64, f64)> {
    let curve = summary.curve.iter();
    let shown = curve.filter(|point| point.percentile <= MAX_PERCENTILE);
    shown
        .map(|point| (panel::nines(point.percentile), point.ms))
        .collect()
}
