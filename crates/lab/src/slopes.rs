//! Slopes: what grows with what, at three sizes or more.

use std::fmt::Write;

use serde::Serialize;

/// A quantity measured at several sizes, with the line that fits it best.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub quantity: String,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// What grows.
    pub per: &'static str,
    /// Sizes with the measured values.
    pub points: Vec<(f64, f64)>,
    /// Value at size 0 on the fitted line.
    pub intercept: f64,
    /// Growth for each unit of size on the fitted line.
    pub slope: f64,
}

impl Slope {
    /// Fits the line by least squares; needs two different sizes.
    ///
    /// ```
    /// use sapphirerack_lab::slopes::Slope;
    ///
    /// let slope = Slope::fit("memory", "KB", "target", vec![(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]);
    /// assert_eq!((slope.intercept, slope.slope), (3.0, 2.0));
    /// ```
    pub fn fit(
        quantity: impl Into<String>,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let common: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let slope = common / spread;
        Self { quantity: quantity.into(), unit, per, points, intercept: y - slope * x, slope }
    }
}

/// Points of one quantity.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

/// Collects the points of several quantities of one experiment.
#[derive(Default)]
pub(crate) struct Series(Vec<Quantity>);

impl Series {
    /// Adds the values at one size: name, unit, value.
    pub(crate) fn add(&mut self, size: f64, values: &[(&'static str, &'static str, f64)]) {
        for &(name, unit, value) in values {
            match self.0.iter_mut().find(|q| q.name == name) {
                Some(quantity) => quantity.points.push((size, value)),
                None => self.0.push(Quantity { name, unit, points: vec![(size, value)] }),
            }
        }
    }

    pub(crate) fn fit(self, per: &'static str) -> Vec<Slope> {
        let fit = |q: Quantity| Slope::fit(q.name, q.unit, per, q.points);
        self.0.into_iter().map(fit).collect()
    }
}

/// Table of slopes.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::from("| quantity | per | at sizes | intercept | slope |\n");
    text.push_str("|---|---|---|---|---|\n");
    for slope in slopes {
        let points = slope.points.iter().map(|(size, value)| format!("{size}: {}", short(*value)));
        let points = points.collect::<Vec<_>>().join(", ");
        let Slope { quantity, unit, per, intercept, slope, .. } = slope;
        let (intercept, slope) = (short(*intercept), short(*slope));
        writeln!(text, "| {quantity}, {unit} | {per} | {points} | {intercept} | {slope} |")
            .unwrap();
    }
    text
}

/// Four significant digits.
fn short(value: f64) -> String {
    let digits = 3 - value.abs().max(1e-6).log10().floor() as i32;
    format!("{value:.*}", usize::try_from(digits.clamp(0, 6)).unwrap())
}
