//! A quantity measured at several sizes of an installation, its growth as a power of the size, and its value
//! at the size of the capacity target.

use plotters::prelude::*;
use serde::Serialize;
use std::fmt;
use std::path::Path;

/// One measurement of a slope.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size: a count of what [`Slope::over`] names.
    pub size: f64,
    /// The value, in the slope's unit.
    pub value: f64,
}

/// The dimension of an installation that a slope varies. Reports and file names use the names that
/// [`Display`] writes.
///
/// [`Display`]: fmt::Display
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Dimension {
    /// The number of ingresses in the fleet.
    Ingresses,
    /// The number of backends on the list.
    Backends,
    /// The number of customers, which reports call tenants.
    #[serde(rename = "tenants")]
    Customers,
}

impl Dimension {
    /// Returns the size of the capacity target in this dimension.
    pub fn target(self) -> f64 {
        match self {
            Self::Ingresses => 930.0,
            Self::Backends => 14_000.0,
            Self::Customers => 19_000.0,
        }
    }
}

impl fmt::Display for Dimension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ingresses => "ingresses",
            Self::Backends => "backends",
            Self::Customers => "tenants",
        })
    }
}

/// A quantity measured at several sizes along one dimension.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// The name of the quantity; the files of the slope have it as their stem.
    pub name: String,
    /// What the values count, with their unit.
    pub unit: &'static str,
    /// The dimension that varies; all others are fixed.
    pub over: Dimension,
    /// The measurements, in ascending order of size.
    pub points: Vec<Point>,
}

/// The power law fitted to a slope.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// The exponent of the size in the power law: 0 is constant, 1 linear, 2 quadratic.
    pub exponent: f64,
    /// The largest relative error of the power law at a measured size.
    pub error: f64,
    /// The value at the size of the capacity target: the measured one if there is one, else that of the power
    /// law.
    pub at_target: f64,
    /// The target size as a multiple of the largest measured size, at least 1.
    pub extrapolated: f64,
}

impl Slope {
    /// Creates a slope without points.
    pub fn new(name: &str, unit: &'static str, over: Dimension) -> Self {
        Self { name: name.to_owned(), unit, over, points: Vec::new() }
    }

    /// Adds the measurement at one size.
    pub fn add(&mut self, size: usize, value: f64) {
        self.points.push(Point { size: size as f64, value });
    }

    /// Fits a power law by least squares on the logarithms of sizes and values.
    pub fn fit(&self) -> Fit {
        let logs: Vec<(f64, f64)> =
            self.points.iter().map(|point| (point.size.ln(), point.value.max(1e-9).ln())).collect();
        let count = logs.len().max(1) as f64;
        let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let exponent = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let power_law = |size: f64| (mean_y + exponent * (size.ln() - mean_x)).exp();
        let error =
            self.points.iter().map(|point| (power_law(point.size) / point.value.max(1e-9) - 1.0).abs());
        let target = self.over.target();
        let measured = self.points.iter().find(|point| point.size == target).map(|point| point.value);
        let largest = self.points.iter().map(|point| point.size).fold(1.0, f64::max);
        Fit {
            exponent,
            error: error.fold(0.0, f64::max),
            at_target: measured.unwrap_or_else(|| power_law(target)),
            extrapolated: (target / largest).max(1.0),
        }
    }

    /// Writes the points to `NAME.csv` and a chart of them to `NAME.svg` in a folder.
    ///
    /// # Errors
    /// Returns why a file could not be written.
    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let file = |extension: &str| folder.join(format!("{}.{extension}", self.name));
        let mut table = csv::Writer::from_path(file("csv")).map_err(|e| e.to_string())?;
        for point in &self.points {
            table.serialize(point).map_err(|e| e.to_string())?;
        }
        table.flush().map_err(|e| e.to_string())?;
        let chart = self.draw_svg().map_err(|e| e.to_string())?;
        std::fs::write(file("svg"), chart).map_err(|e| e.to_string())
    }

    /// Draws the points, from the origin up to 5% beyond the largest size and value.
    fn draw_svg(&self) -> Result<String, Box<dyn std::error::Error>> {
        let mut svg = String::new();
        let axis_end = |of: fn(&Point) -> f64| self.points.iter().map(of).fold(1e-9, f64::max) * 1.05;
        let (right, top) = (axis_end(|point| point.size), axis_end(|point| point.value));
        let area = SVGBackend::with_string(&mut svg, (720, 360)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.name, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(self.over.to_string()).y_desc(self.unit).draw()?;
        let points = || self.points.iter().map(|point| (point.size, point.value));
        chart.draw_series(LineSeries::new(points(), BLUE.stroke_width(2)))?;
        chart.draw_series(points().map(|at| Circle::new(at, 3, BLUE.filled())))?;
        area.present()?;
        drop(chart);
        drop(area);
        Ok(svg)
    }
}
