//! Plots of reports: latency by percentile, coverage and extra load over time.

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

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (900, 1_050);
/// Panels, one above the other.
const PANELS: usize = 3;
/// Percentile at which the axis of the tail ends.
const PERCENTILE_MAX: f64 = 99.99;

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

/// Plots reports, one line a report, to an SVG file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn run(summaries: &[Summary], out: &Path) -> Result<(), Report<Error>> {
    let area = SVGBackend::new(out, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(draw)?;
    let areas = area.split_evenly((PANELS, 1));
    for (area, panel) in areas.iter().zip(panels(summaries)) {
        panel.draw(area).map_err(draw)?;
    }
    area.present().map_err(draw)
}

/// Named lines, each of points in order of time.
pub type Lines = Vec<(String, Vec<(f64, f64)>)>;

/// Plots values over seconds to an SVG file, one panel a title.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn over_time(panels: Vec<(String, Lines)>, out: &Path) -> Result<(), Report<Error>> {
    let area = SVGBackend::new(out, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(draw)?;
    let areas = area.split_evenly((panels.len().max(1), 1));
    for (area, (title, lines)) in areas.iter().zip(panels) {
        let lines = lines
            .into_iter()
            .map(|(label, points)| Line { label, points });
        let panel = Panel {
            title: &title,
            x: "seconds",
            x_label: |x| format!("{x:.0}"),
            from_zero: true,
            lines: lines.collect(),
        };
        panel.draw(area).map_err(draw)?;
    }
    area.present().map_err(draw)
}

fn draw<E: std::error::Error + Send + Sync + 'static>(error: E) -> Report<Error> {
    Report::new(error).change_context(Error::Draw)
}

fn panels(summaries: &[Summary]) -> [Panel<'static>; PANELS] {
    [
        Panel {
            title: "latency, ms, by percentile",
            x: "percentile",
            x_label: |x| format!("{}", panel::percentile(x)),
            from_zero: true,
            lines: lines(summaries, tail),
        },
        Panel {
            title: "coverage",
            x: "seconds",
            x_label: |x| format!("{x:.0}"),
            from_zero: false,
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
            x: "seconds",
            x_label: |x| format!("{x:.0}"),
            from_zero: true,
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

/// Returns the latency curve over nines: 1 for 90 percent, 2 for 99 percent.
fn tail(summary: &Summary) -> Vec<(f64, f64)> {
    let curve = summary.curve.iter();
    let shown = curve.filter(|point| point.percentile <= PERCENTILE_MAX);
    shown
        .map(|point| (panel::nines(point.percentile), point.ms))
        .collect()
}
