//! The result of an experiment as a plot: the goal over the varied value, one line per policy.

use super::rows::{cells, Cell, Row};
use super::statistics::MeanInterval;
use super::{Experiment, PolicyKind};
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Size of the plot (pixels).
const SIZE: (u32, u32) = (860, 520);
/// Values that span more than this factor are drawn on a logarithmic axis.
const LOGARITHMIC_FROM: f64 = 10.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type PlotResult = Result<(), Box<dyn Error>>;

/// The axis of the varied value.
#[derive(Clone, Copy)]
struct ValueAxis {
    least: f64,
    most: f64,
    is_logarithmic: bool,
}

impl ValueAxis {
    fn over(values: impl Iterator<Item = f64> + Clone) -> Self {
        let least = values.clone().fold(f64::INFINITY, f64::min);
        let most = values.fold(f64::NEG_INFINITY, f64::max).max(least + 1e-9);
        Self { least, most, is_logarithmic: least > 0.0 && most / least > LOGARITHMIC_FROM }
    }

    fn coordinate(self, value: f64) -> f64 {
        if self.is_logarithmic {
            value.log10()
        } else {
            value
        }
    }

    fn label(self, coordinate: f64) -> String {
        if self.is_logarithmic {
            format!("{:.0}", 10f64.powf(coordinate))
        } else {
            format!("{coordinate:.2}")
        }
    }
}

/// A mean goal with its confidence interval, at its coordinate on the value axis.
#[derive(Clone, Copy)]
struct Point {
    x: f64,
    mean: f64,
    half_width: f64,
}

impl Experiment {
    /// Writes the plot (SVG).
    pub(super) fn plot(&self, path: &Path, rows: &[Row]) -> PlotResult {
        let cells = cells(rows);
        let cells: Vec<&Cell> = cells.values().collect();
        let axis = ValueAxis::over(cells.iter().map(|cell| cell.value));
        let lowest = cells.iter().flat_map(|cell| &cell.goals).copied().fold(0.0, f64::min);
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = self.chart(&area, axis, lowest)?;
        for (number, policy) in self.policies.iter().enumerate() {
            let points = points(&cells, axis, *policy);
            draw_policy(&mut chart, number, *policy, &points)?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn chart<'a, 'b>(
        &self,
        area: &'a Area<'b>,
        axis: ValueAxis,
        lowest: f64,
    ) -> Result<Chart<'a, 'b>, Box<dyn Error>>
    where
        'b: 'a,
    {
        let values = axis.coordinate(axis.least)..axis.coordinate(axis.most);
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(56)
            .build_cartesian_2d(values, lowest..1.0)?;
        let label = |coordinate: &f64| axis.label(*coordinate);
        chart.configure_mesh().x_desc(&self.vary.key).y_desc("goal").x_label_formatter(&label).draw()?;
        Ok(chart)
    }
}

fn points(cells: &[&Cell], axis: ValueAxis, policy: PolicyKind) -> Vec<Point> {
    let point = |cell: &&Cell| {
        let MeanInterval { mean, half_width } = MeanInterval::of(&cell.goals);
        let half_width = if half_width.is_finite() { half_width } else { 0.0 };
        Point { x: axis.coordinate(cell.value), mean, half_width }
    };
    cells.iter().filter(|cell| cell.policy == policy).map(point).collect()
}

fn draw_policy(chart: &mut Chart, number: usize, policy: PolicyKind, points: &[Point]) -> PlotResult {
    let color = Palette99::pick(number).mix(0.9);
    let line = LineSeries::new(points.iter().map(|point| (point.x, point.mean)), color.stroke_width(2));
    chart
        .draw_series(line)?
        .label(format!("{policy:?}"))
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    let circle = |point: &Point| Circle::new((point.x, point.mean), 3, color.filled());
    chart.draw_series(points.iter().map(circle))?;
    let interval = |point: &Point| {
        let Point { x, mean, half_width } = *point;
        PathElement::new([(x, mean - half_width), (x, mean + half_width)], color)
    };
    chart.draw_series(points.iter().map(interval))?;
    Ok(())
}
