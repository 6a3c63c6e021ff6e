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
    /// Least and greatest slope of the repeats.
    pub spread: (f64, f64),
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
        Self {
            quantity: quantity.into(),
            unit,
            per,
            points,
            intercept: y - slope * x,
            slope,
            spread: (slope, slope),
        }
    }
}

/// Repeats `measure` and fits the medians of its points.
pub fn repeat(repeats: usize, measure: impl Fn() -> Vec<Slope>) -> Vec<Slope> {
    let runs: Vec<Vec<Slope>> = (0..repeats.max(1)).map(|_| measure()).collect();
    let merge = |i: usize| {
        let all: Vec<&Slope> = runs.iter().map(|run| &run[i]).collect();
        let first = all[0];
        let point = |j: usize| (first.points[j].0, median(all.iter().map(|s| s.points[j].1)));
        let points = (0..first.points.len()).map(point).collect();
        let slopes = || all.iter().map(|s| s.slope);
        let least = slopes().fold(f64::INFINITY, f64::min);
        let greatest = slopes().fold(f64::NEG_INFINITY, f64::max);
        let fit = Slope::fit(first.quantity.clone(), first.unit, first.per, points);
        Slope { spread: (least, greatest), ..fit }
    };
    (0..runs[0].len()).map(merge).collect()
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
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
    let mut text =
        String::from("| quantity | per | at sizes | intercept | slope | least to greatest |\n");
    text.push_str("|---|---|---|---|---|---|\n");
    for slope in slopes {
        let points = slope.points.iter().map(|(size, value)| format!("{size}: {}", short(*value)));
        let points = points.collect::<Vec<_>>().join(", ");
        let Slope { quantity, unit, per, intercept, slope, spread: (least, most), .. } = slope;
        let [intercept, slope, least, most] = [intercept, slope, least, most].map(|v| short(*v));
        let values = format!("{intercept} | {slope} | {least} to {most}");
        writeln!(text, "| {quantity}, {unit} | {per} | {points} | {values} |").unwrap();
    }
    text
}

/// Four significant digits.
fn short(value: f64) -> String {
    let digits = 3 - value.abs().max(1e-6).log10().floor() as i32;
    format!("{value:.*}", usize::try_from(digits.clamp(0, 6)).unwrap())
}
