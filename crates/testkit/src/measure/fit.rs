//! Least-squares fit of a straight line.

/// Line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Standard error of the slope; `None` with fewer than three points.
    pub slope_error: Option<f64>,
}

impl Fit {
    /// Fits a line. Returns `None` unless two points differ in `x`.
    ///
    /// # Examples
    ///
    /// ```
    /// use comfreyway_testkit::measure::Fit;
    ///
    /// let fit = Fit::new(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]).unwrap();
    /// assert!((fit.slope - 2.0).abs() < 1e-9);
    /// assert!((fit.at(10.0) - 21.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.is_empty() || sxx == 0.0 {
            return None;
        }
        let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = sxy / sxx;
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let slope_error = (points.len() > 2).then(|| (residual / (n - 2.0) / sxx).sqrt());
        Some(Self { intercept, slope, slope_error })
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
