//! Linear regression, used to report how a cost grows with size.

use serde_json::{json, Value};

/// Straight line fitted to points, with its largest residual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Value of y at x = 0.
    pub intercept: f64,
    /// Largest absolute vertical distance of a point from the line.
    pub residual_max: f64,
}

impl LinearFit {
    /// Fits a line by least squares. The slope is 0 if all x are equal.
    pub fn from_points(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<(f64, f64)> = points.collect();
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let distance = |(x, y): &(f64, f64)| (y - slope * x - intercept).abs();
        let residual_max = points.iter().map(distance).fold(0.0, f64::max);
        Self {
            slope,
            intercept,
            residual_max,
        }
    }

    /// Returns the fields as a JSON object.
    pub fn to_json(self) -> Value {
        json!({
            "slope": self.slope,
            "intercept": self.intercept,
            "residual_max": self.residual_max,
        })
    }
}
