//! Checks of answers: request, snapshot and actual coverage.

use sapphirerack_catalogue::Span;
use sapphirerack_policy::Coverage;
use serde::Deserialize;

/// Tolerance for rounding of a reported coverage.
const COVERAGE_TOLERANCE: f64 = 1e-9;

/// An answer to a query.
#[derive(Debug, Deserialize)]
pub struct Answer {
    /// Snapshot reported.
    pub snapshot: u64,
    /// Coverage reported.
    pub coverage: f64,
    /// Results by shard.
    pub parts: Vec<Part>,
}

/// Results of one shard.
#[derive(Debug, Deserialize)]
pub struct Part {
    /// Partitions reported as covered.
    pub span: Span,
    /// Results found in these partitions.
    pub results: Vec<Hit>,
}

/// A result, as returned by the stand-in for a target.
#[derive(Debug, Deserialize)]
pub struct Hit {
    /// Snapshot read.
    pub snapshot: u64,
    /// Query that produced it.
    pub query: String,
    /// Partitions read.
    pub span: Span,
}

/// Result of the checks of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CheckResult {
    /// Share of the partition space actually covered.
    pub coverage: f64,
    /// The answer contains results of another request.
    pub foreign: bool,
    /// The answer contains results of another snapshot than the one reported.
    pub mixed: bool,
    /// The reported coverage or a part's partitions differ from the actual ones, or a part is empty
    /// or overlaps another.
    pub false_coverage: bool,
}

impl Answer {
    /// Checks the answer to `query`.
    pub fn check(&self, query: &str) -> CheckResult {
        let hits = || self.parts.iter().flat_map(|p| &p.results);
        let mut covered = Coverage::default();
        let mut valid = true;
        for part in &self.parts {
            let matches = part.results.iter().all(|f| f.span == part.span);
            valid &= matches && !part.results.is_empty() && covered.add(part.span);
        }
        let error = (covered.fraction() - self.coverage).abs();
        CheckResult {
            coverage: covered.fraction(),
            foreign: hits().any(|f| f.query != query),
            mixed: hits().any(|f| f.snapshot != self.snapshot),
            false_coverage: !valid || error > COVERAGE_TOLERANCE,
        }
    }
}
