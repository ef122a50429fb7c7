//! SVG plots of figures over the fleet sizes, with the fitted curves.

use std::path::Path;

use plotters::prelude::*;

use crate::error::ScaleError;
use crate::report::Fitted;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 420;
const MARGIN: u32 = 14;
const LABEL_AREA: u32 = 74;
/// Factor from the largest value to the end of an axis.
const HEADROOM: f64 = 1.1;
/// Segments of a drawn curve.
const CURVE_SEGMENTS: usize = 100;
const POINT_RADIUS: i32 = 3;

/// Draws one figure: each measurement as a point, the fitted line and, if present, the curve with a square
/// term.
pub fn draw(fitted: &Fitted, path: &Path) -> Result<(), ScaleError> {
    render(fitted, path).map_err(|error| ScaleError::File(path.to_path_buf(), std::io::Error::other(error)))
}

fn render(fitted: &Fitted, path: &Path) -> Result<(), String> {
    let failed = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let max_size = fitted.points.iter().map(|point| point.size).fold(1.0, f64::max) * HEADROOM;
    let max_value = fitted.points.iter().map(|point| point.value).fold(0.0, f64::max) * HEADROOM;
    let max_value = if max_value > 0.0 { max_value } else { 1.0 };
    let title = format!("{}, {}: {}", fitted.kind, fitted.coordination, fitted.figure);
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .caption(title, ("sans-serif", 18))
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_size, 0.0..max_value)
        .map_err(|error| failed(&error))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("poolers").y_desc(fitted.figure.as_str()).draw().map_err(|error| failed(&error))?;
    let curves = [(Some(&fitted.linear), BLUE), (fitted.square.as_ref(), RED)];
    for (fit, colour) in curves {
        let Some(fit) = fit else { continue };
        let steps = (0..=CURVE_SEGMENTS).map(|step| max_size * step as f64 / CURVE_SEGMENTS as f64);
        let visible = steps
            .map(|size| (size, fit.value_at(size)))
            .filter(|(_, value)| (0.0..=max_value).contains(value));
        chart.draw_series(LineSeries::new(visible, colour)).map_err(|error| failed(&error))?;
    }
    let points = fitted
        .points
        .iter()
        .map(|point| Circle::new((point.size, point.value), POINT_RADIUS, BLACK.filled()));
    chart.draw_series(points).map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
