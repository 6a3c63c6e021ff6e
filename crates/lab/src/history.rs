//! Consistency checker for the histories of concurrent runs.
//!
//! A history records the responses that callers received and the bookings that the stand-in
//! targets executed. The checker uses only these two and assumes nothing about the
//! implementation of the query tier.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirerack_catalogue::Span;
use sapphirerack_policy::Coverage;

/// Outcome of a booking call, as the caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target's answer.
    Answer(Receipt),
    /// The attempt has not run and never will.
    NotRun,
    /// The booking is running.
    InProgress,
    /// The booking may have run.
    Unknown,
    /// The key is in use for another request.
    OtherBody,
}

/// Answer of a target to a booking.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Receipt {
    /// Target that executed the booking.
    pub target: String,
    /// Booking number, unique within the target.
    pub booking: u64,
    /// Request body that the target executed.
    pub body: String,
}

/// A booking call and its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingCall {
    /// Idempotency key.
    pub key: String,
    /// Number of the attempt that the outcome refers to.
    pub attempt: u32,
    /// Request body.
    pub body: String,
    /// Outcome.
    pub outcome: CallOutcome,
}

/// A booking that took effect at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Idempotency key.
    pub key: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Target that executed the booking.
    pub target: String,
    /// Booking number, unique within the target.
    pub booking: u64,
}

/// An answered search.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchCall {
    /// Query.
    pub query: String,
    /// Snapshot reported by the answer.
    pub snapshot: u64,
    /// Coverage reported by the answer.
    pub coverage: f64,
    /// Parts of the answer.
    pub parts: Vec<SearchPart>,
}

/// A part of an answer, as returned by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchPart {
    /// Partitions reported as covered.
    pub span: Span,
    /// Snapshot read by the target.
    pub snapshot: u64,
    /// Query answered by the target.
    pub query: String,
}

/// Configuration version in force at one incarnation of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSample {
    /// Host and incarnation.
    pub host: String,
    /// Time of the sample.
    pub time: Duration,
    /// Version.
    pub version: u64,
}

/// Recorded events of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Bookings, in any order.
    pub bookings: Vec<BookingCall>,
    /// Bookings that took effect, in any order.
    pub effects: Vec<Effect>,
    /// Searches.
    pub searches: Vec<SearchCall>,
    /// Samples of the configuration version.
    pub versions: Vec<VersionSample>,
}

/// A violation of the consistency guarantees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A key took effect more than once.
    RanTwice(String),
    /// An attempt reported as not run took effect.
    FalseNotRun(String),
    /// No target returned the answer.
    FalseAnswer(String),
    /// The answer belongs to another request.
    ForeignAnswer(String),
    /// Two calls with the same key got different answers.
    Disagreement(String),
    /// A key was rejected as in use for another request, but all its calls have the same body.
    FalseOtherBody(String),
    /// Two different requests with the same key were both served.
    TwoBodies(String),
    /// The answer contains results of another snapshot than the one reported.
    MixedSnapshots(String),
    /// The reported coverage differs from the actual one, or parts overlap.
    FalseCoverage(String),
    /// A part of the answer belongs to another query.
    ForeignPart(String),
    /// The configuration version of a host decreased.
    VersionFell(String),
}

impl History {
    /// Returns all violations in the history.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_effects(&mut violations);
        self.check_bookings(&mut violations);
        self.check_keys(&mut violations);
        self.searches.iter().for_each(|s| check_search(s, &mut violations));
        self.check_versions(&mut violations);
        violations
    }

    fn check_effects(&self, violations: &mut Vec<Violation>) {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for effect in &self.effects {
            *counts.entry(&effect.key).or_default() += 1;
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        violations.extend(repeated.map(|(key, _)| Violation::RanTwice(key.to_owned())));
    }

    fn check_bookings(&self, violations: &mut Vec<Violation>) {
        let mut effects: BTreeMap<&str, Vec<&Effect>> = BTreeMap::new();
        for effect in &self.effects {
            effects.entry(&effect.key).or_default().push(effect);
        }
        for call in &self.bookings {
            let executed = effects.get(&*call.key).map_or(&[][..], Vec::as_slice);
            match &call.outcome {
                CallOutcome::NotRun if executed.iter().any(|e| e.attempt <= call.attempt) => {
                    violations.push(Violation::FalseNotRun(call.key.clone()));
                }
                CallOutcome::Answer(receipt) => {
                    let matches =
                        |e: &&Effect| e.target == receipt.target && e.booking == receipt.booking;
                    if !executed.iter().any(matches) {
                        violations.push(Violation::FalseAnswer(call.key.clone()));
                    }
                    if receipt.body != call.body {
                        violations.push(Violation::ForeignAnswer(call.key.clone()));
                    }
                }
                _ => {}
            }
        }
    }

    fn check_keys(&self, violations: &mut Vec<Violation>) {
        let mut calls: BTreeMap<&str, Vec<&BookingCall>> = BTreeMap::new();
        for call in &self.bookings {
            calls.entry(&call.key).or_default().push(call);
        }
        for (key, calls) in calls {
            let answers = calls.iter().filter_map(|c| match &c.outcome {
                CallOutcome::Answer(receipt) => Some((receipt, &c.body)),
                _ => None,
            });
            let answers: Vec<_> = answers.collect();
            if answers.windows(2).any(|w| w[0].0 != w[1].0) {
                violations.push(Violation::Disagreement(key.to_owned()));
            }
            if answers.windows(2).any(|w| w[0].1 != w[1].1) {
                violations.push(Violation::TwoBodies(key.to_owned()));
            }
            let rejected = calls.iter().any(|c| c.outcome == CallOutcome::OtherBody);
            if rejected && calls.windows(2).all(|w| w[0].body == w[1].body) {
                violations.push(Violation::FalseOtherBody(key.to_owned()));
            }
        }
    }

    fn check_versions(&self, violations: &mut Vec<Violation>) {
        let mut samples = self.versions.clone();
        samples.sort_by_key(|v| v.time);
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        for sample in samples {
            let highest = highest.entry(sample.host.clone()).or_default();
            if sample.version < *highest {
                violations.push(Violation::VersionFell(sample.host));
            } else {
                *highest = sample.version;
            }
        }
    }
}

fn check_search(search: &SearchCall, violations: &mut Vec<Violation>) {
    if search.parts.iter().any(|p| p.snapshot != search.snapshot) {
        violations.push(Violation::MixedSnapshots(search.query.clone()));
    }
    if search.parts.iter().any(|p| p.query != search.query) {
        violations.push(Violation::ForeignPart(search.query.clone()));
    }
    let mut coverage = Coverage::default();
    let is_disjoint = search.parts.iter().all(|p| coverage.add(p.span));
    if !is_disjoint || (coverage.fraction() - search.coverage).abs() > f64::EPSILON {
        violations.push(Violation::FalseCoverage(search.query.clone()));
    }
}
