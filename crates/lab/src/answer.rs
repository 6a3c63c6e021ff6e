//! Checks of answers: whose they are, which snapshot they hold, what they really cover.

use sapphirerack_catalogue::Span;
use sapphirerack_policy::Coverage;
use serde::Deserialize;

/// Largest error of a reported coverage.
const ROUNDING: f64 = 1e-9;

/// An answer to a query.
#[derive(Debug, Deserialize)]
pub struct Answer {
    /// Snapshot that it names.
    pub snapshot: u64,
    /// Coverage that it reports.
    pub coverage: f64,
    /// Results by shard.
    pub parts: Vec<Part>,
}

/// Results of one shard.
#[derive(Debug, Deserialize)]
pub struct Part {
    /// Partitions that they are said to cover.
    pub span: Span,
    /// The results.
    pub results: Vec<Hit>,
}

/// A result, as the stand-in of a target gives it.
#[derive(Debug, Deserialize)]
pub struct Hit {
    /// Snapshot that was read.
    pub snapshot: u64,
    /// Query that it answers.
    pub query: String,
    /// Partitions that were read.
    pub span: Span,
}

/// What is wrong with an answer, and what it covers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Share of the partition space that it really covers.
    pub coverage: f64,
    /// It holds results of another request.
    pub foreign: bool,
    /// It mixes index snapshots, or holds another than it names.
    pub mixed: bool,
    /// It reports another coverage than it has.
    pub false_coverage: bool,
}

impl Answer {
    /// Judges the answer to the query `query`.
    pub fn check(&self, query: &str) -> Verdict {
        let found = || self.parts.iter().flat_map(|p| &p.results);
        let mut truth = Coverage::default();
        let mut disjoint = true;
        for part in &self.parts {
            let read = part.results.iter().all(|f| f.span == part.span);
            disjoint &= read && !part.results.is_empty() && truth.add(part.span);
        }
        let error = (truth.fraction() - self.coverage).abs();
        Verdict {
            coverage: truth.fraction(),
            foreign: found().any(|f| f.query != query),
            mixed: found().any(|f| f.snapshot != self.snapshot),
            false_coverage: !disjoint || error > ROUNDING,
        }
    }
}
