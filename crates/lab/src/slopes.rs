//! Growth of resource use with the size of the system, as lines fitted to three or more sizes.

use std::fmt::Write;

use serde::Serialize;

/// A quantity measured at several sizes, with a line fitted by least squares.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of the quantity.
    pub quantity: String,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// Unit of size.
    pub per: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Value of the fitted line at size 0.
    pub intercept: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Minimum and maximum slope of the repeats.
    pub spread: (f64, f64),
}

impl Slope {
    /// Fits a line by least squares; requires at least two different sizes.
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
        let squares: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let products: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let slope = products / squares;
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

/// Runs `measure` repeatedly and fits lines to the medians of its points.
pub fn repeat(repeats: usize, measure: impl Fn() -> Vec<Slope>) -> Vec<Slope> {
    let runs: Vec<Vec<Slope>> = (0..repeats.max(1)).map(|_| measure()).collect();
    let merge = |i: usize| {
        let all: Vec<&Slope> = runs.iter().map(|run| &run[i]).collect();
        let first = all[0];
        let point = |j: usize| (first.points[j].0, median(all.iter().map(|s| s.points[j].1)));
        let points = (0..first.points.len()).map(point).collect();
        let slopes = || all.iter().map(|s| s.slope);
        let min = slopes().fold(f64::INFINITY, f64::min);
        let max = slopes().fold(f64::NEG_INFINITY, f64::max);
        let fit = Slope::fit(first.quantity.clone(), first.unit, first.per, points);
        Slope { spread: (min, max), ..fit }
    };
    (0..runs[0].len()).map(merge).collect()
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Points of one quantity, before the fit.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

/// Points of the quantities of one experiment.
#[derive(Default)]
pub(crate) struct Series(Vec<Quantity>);

impl Series {
    /// Adds the values at one size, as triples of name, unit and value.
    pub(crate) fn add(&mut self, size: f64, values: &[(&'static str, &'static str, f64)]) {
        for &(name, unit, value) in values {
            match self.0.iter_mut().find(|q| q.name == name) {
                Some(quantity) => quantity.points.push((size, value)),
                None => self.0.push(Quantity { name, unit, points: vec![(size, value)] }),
            }
        }
    }

    /// Fits a line to each quantity; `per` is the unit of size.
    pub(crate) fn fit(self, per: &'static str) -> Vec<Slope> {
        let fit = |q: Quantity| Slope::fit(q.name, q.unit, per, q.points);
        self.0.into_iter().map(fit).collect()
    }
}

/// Slopes as a Markdown table.
pub fn table(slopes: &[Slope]) -> String {
    let mut text =
        String::from("| quantity | per | at sizes | intercept | slope | least to greatest |\n");
    text.push_str("|---|---|---|---|---|---|\n");
    for slope in slopes {
        let points =
            slope.points.iter().map(|(size, value)| format!("{size}: {}", format_value(*value)));
        let points = points.collect::<Vec<_>>().join(", ");
        let Slope { quantity, unit, per, intercept, slope, spread: (min, max), .. } = slope;
        let [intercept, slope, min, max] = [intercept, slope, min, max].map(|v| format_value(*v));
        let values = format!("{intercept} | {slope} | {min} to {max}");
        writeln!(text, "| {quantity}, {unit} | {per} | {points} | {values} |").unwrap();
    }
    text
}

/// Formats a number with four significant digits and at most six decimals.
fn format_value(value: f64) -> String {
    let digits = 3 - value.abs().max(1e-6).log10().floor() as i32;
    format!("{value:.*}", usize::try_from(digits.clamp(0, 6)).unwrap())
}
