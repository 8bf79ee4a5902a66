//! Least-squares lines through measured points.

use serde_json::{json, Value};

/// A line through points, with how far the points lie from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Rise per unit of x.
    pub slope: f64,
    /// Value at x = 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, in units of y.
    pub residual_max: f64,
}

impl Line {
    /// The line with the least squares of distances; level if all x are equal.
    pub fn fit(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.collect();
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - slope * x - intercept).abs();
        let residual_max = points.iter().map(distance).fold(0.0, f64::max);
        Self {
            slope,
            intercept,
            residual_max,
        }
    }

    /// The line as JSON.
    pub fn to_json(self) -> Value {
        json!({
            "slope": self.slope,
            "intercept": self.intercept,
            "residual_max": self.residual_max,
        })
    }
}
