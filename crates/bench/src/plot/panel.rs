//! One panel of a plot.

use plotters::{
    backend::SVGBackend,
    chart::{
        ChartBuilder,
        SeriesLabelPosition, //
    },
    coord::Shift,
    drawing::{
        DrawingArea,
        DrawingAreaErrorKind, //
    },
    element::PathElement,
    prelude::DrawingBackend,
    series::LineSeries,
    style::{
        Color,
        Palette,
        Palette99,
        BLACK,
        WHITE, //
    },
};

/// Room for the labels of an axis, in pixels.
const LABELS: u32 = 60;
/// Room around a panel, in pixels.
const MARGIN: u32 = 10;
/// Height of a title, in pixels.
const TITLE: u32 = 18;
/// Room above the highest point, as a share of the height.
const HEADROOM: f64 = 0.05;
/// Shortest axis, so that a flat line can be drawn.
const SPAN_MIN: f64 = 0.01;

/// A line of a panel.
#[derive(Debug)]
pub(super) struct Line {
    /// Name in the legend.
    pub(super) label: String,
    /// Points in order of `x`.
    pub(super) points: Vec<(f64, f64)>,
}

/// What a panel shows.
#[derive(Debug)]
pub(super) struct Panel<'a> {
    /// Title.
    pub(super) title: &'a str,
    /// Name of the horizontal axis.
    pub(super) x: &'static str,
    /// Label of a place on the horizontal axis.
    pub(super) x_label: fn(f64) -> String,
    /// Whether the vertical axis starts at 0.
    pub(super) from_zero: bool,
    /// The lines.
    pub(super) lines: Vec<Line>,
}

type Error<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

impl Panel<'_> {
    /// Draws the panel.
    pub(super) fn draw<'a>(
        &self,
        area: &DrawingArea<SVGBackend<'a>, Shift>,
    ) -> Result<(), Error<'a>> {
        let (x, y) = self.ranges();
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", TITLE))
            .margin(MARGIN)
            .x_label_area_size(LABELS)
            .y_label_area_size(LABELS)
            .build_cartesian_2d(x, y)?;
        chart
            .configure_mesh()
            .x_desc(self.x)
            .x_label_formatter(&|x| (self.x_label)(*x))
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), color))?
                .label(line.label.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
    }

    fn ranges(&self) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
        let points = || self.lines.iter().flat_map(|line| line.points.iter());
        let x_max = points().map(|point| point.0).fold(SPAN_MIN, f64::max);
        let low = points().map(|point| point.1).fold(f64::INFINITY, f64::min);
        let high = points()
            .map(|point| point.1)
            .fold(f64::NEG_INFINITY, f64::max);
        let (low, high) = match low <= high {
            true => (low, high),
            false => (0.0, SPAN_MIN),
        };
        let low = match self.from_zero {
            true => low.min(0.0),
            false => low,
        };
        let span = (high - low).max(SPAN_MIN);
        (
            0.0..x_max,
            low - span * HEADROOM..low + span * (1.0 + HEADROOM),
        )
    }
}

/// Returns the number of nines of a percentile.
pub(super) fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

/// Returns the percentile with a number of nines, rounded to four decimals.
pub(super) fn percentile(nines: f64) -> f64 {
    let percentile = 100.0 * (1.0 - 10_f64.powf(-nines));
    (percentile * 10_000.0).round() / 10_000.0
}
