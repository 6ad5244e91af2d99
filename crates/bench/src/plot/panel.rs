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

/// Space for the labels of an axis.
const LABEL_AREA_PIXELS: u32 = 60;
/// Space around a panel.
const MARGIN_PIXELS: u32 = 10;
/// Font size of a title.
const TITLE_PIXELS: u32 = 18;
/// Space above and below the points, as a share of their range.
const PADDING_RATIO: f64 = 0.05;
/// Minimum range of an axis, so that a flat line can be drawn.
const MIN_AXIS_RANGE: f64 = 0.01;

/// A line of a panel.
#[derive(Debug)]
pub(super) struct Line {
    /// Name in the legend.
    pub(super) label: String,
    /// Points in order of `x`.
    pub(super) points: Vec<(f64, f64)>,
}

/// A chart with a title, axes and lines.
#[derive(Debug)]
pub(super) struct Panel<'a> {
    /// Title.
    pub(super) title: &'a str,
    /// Title of the horizontal axis.
    pub(super) x_title: &'static str,
    /// Returns the label of a position on the horizontal axis.
    pub(super) x_label: fn(f64) -> String,
    /// Whether the vertical axis starts at 0.
    pub(super) starts_at_zero: bool,
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
            .caption(self.title, ("sans-serif", TITLE_PIXELS))
            .margin(MARGIN_PIXELS)
            .x_label_area_size(LABEL_AREA_PIXELS)
            .y_label_area_size(LABEL_AREA_PIXELS)
            .build_cartesian_2d(x, y)?;
        chart
            .configure_mesh()
            .x_desc(self.x_title)
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
        let x_max = points().map(|point| point.0).fold(MIN_AXIS_RANGE, f64::max);
        let y_min = points().map(|point| point.1).fold(f64::INFINITY, f64::min);
        let y_max = points()
            .map(|point| point.1)
            .fold(f64::NEG_INFINITY, f64::max);
        let (y_min, y_max) = match y_min <= y_max {
            true => (y_min, y_max),
            false => (0.0, MIN_AXIS_RANGE),
        };
        let y_min = match self.starts_at_zero {
            true => y_min.min(0.0),
            false => y_min,
        };
        let range = (y_max - y_min).max(MIN_AXIS_RANGE);
        (
            0.0..x_max,
            y_min - range * PADDING_RATIO..y_min + range * (1.0 + PADDING_RATIO),
        )
    }
}

/// Returns the number of nines of a percentile: 1 for 90, 2 for 99.
pub(super) fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

/// Returns the percentile that has a number of nines, rounded to four decimals.
pub(super) fn percentile(nines: f64) -> f64 {
    let percentile = 100.0 * (1.0 - 10_f64.powf(-nines));
    (percentile * 10_000.0).round() / 10_000.0
}
