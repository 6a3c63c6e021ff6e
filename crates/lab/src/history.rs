//! Decides whether the history of a concurrent run is allowed.
//!
//! A history holds what callers were told and what the stand-in targets really ran. The checker
//! looks at both and at nothing else; it knows nothing of how the tier works.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirerack_catalogue::Span;
use sapphirerack_policy::Coverage;

/// What a caller was told of a booking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target's answer.
    Answer(Receipt),
    /// The attempt did not run and never will.
    NotRun,
    /// It is running.
    InProgress,
    /// It may have run.
    Unknown,
    /// The key belongs to another request.
    OtherBody,
}

/// What a target answers to a booking.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Receipt {
    /// Target that ran it.
    pub target: String,
    /// Number of the booking at that target.
    pub booking: u64,
    /// The request that it ran.
    pub body: String,
}

/// A caller's booking and what it was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingCall {
    /// The key.
    pub key: String,
    /// Number of the attempt that the answer is about.
    pub attempt: u32,
    /// The request.
    pub body: String,
    /// What the caller was told.
    pub outcome: CallOutcome,
}

/// A booking that took effect at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The key.
    pub key: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Target that ran it.
    pub target: String,
    /// Number of the booking at that target.
    pub booking: u64,
}

/// An answered search.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchCall {
    /// The query.
    pub query: String,
    /// Snapshot that the answer reports.
    pub snapshot: u64,
    /// Coverage that the answer reports.
    pub coverage: f64,
    /// Parts of the answer.
    pub parts: Vec<SearchPart>,
}

/// A part of an answer as the target made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchPart {
    /// Partitions that the part reports.
    pub span: Span,
    /// Snapshot that the target read.
    pub snapshot: u64,
    /// Query that the target answered.
    pub query: String,
}

/// The version that one incarnation of a host had in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSample {
    /// Host and incarnation.
    pub host: String,
    /// When it was seen.
    pub time: Duration,
    /// The version.
    pub version: u64,
}

/// What happened in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Bookings, in any order.
    pub bookings: Vec<BookingCall>,
    /// Bookings that took effect, in any order.
    pub effects: Vec<Effect>,
    /// Searches.
    pub searches: Vec<SearchCall>,
    /// Versions of the configuration.
    pub versions: Vec<VersionSample>,
}

/// Why a history is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A key ran more than once.
    RanTwice(String),
    /// An attempt that was called not run did run.
    FalseNotRun(String),
    /// An answer that no target gave.
    FalseAnswer(String),
    /// An answer to another request.
    ForeignAnswer(String),
    /// Two callers with one key got different answers.
    Disagreement(String),
    /// A key was called another request's though it has only this one.
    FalseOtherBody(String),
    /// Two requests of one key were both served.
    TwoBodies(String),
    /// An answer holds more than one snapshot.
    MixedSnapshots(String),
    /// The reported coverage is not the real one.
    FalseCoverage(String),
    /// A part answers another query.
    ForeignPart(String),
    /// The version of a host's configuration fell.
    VersionFell(String),
}

impl History {
    /// Every way in which the history is not allowed.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        self.check_effects(&mut found);
        self.check_bookings(&mut found);
        self.check_keys(&mut found);
        self.searches.iter().for_each(|s| check_search(s, &mut found));
        self.check_versions(&mut found);
        found
    }

    fn check_effects(&self, found: &mut Vec<Violation>) {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for effect in &self.effects {
            *counts.entry(&effect.key).or_default() += 1;
        }
        let twice = counts.into_iter().filter(|(_, count)| *count > 1);
        found.extend(twice.map(|(key, _)| Violation::RanTwice(key.to_owned())));
    }

    fn check_bookings(&self, found: &mut Vec<Violation>) {
        let mut effects: BTreeMap<&str, Vec<&Effect>> = BTreeMap::new();
        for effect in &self.effects {
            effects.entry(&effect.key).or_default().push(effect);
        }
        for call in &self.bookings {
            let ran = effects.get(&*call.key).map_or(&[][..], Vec::as_slice);
            match &call.outcome {
                CallOutcome::NotRun if ran.iter().any(|e| e.attempt <= call.attempt) => {
                    found.push(Violation::FalseNotRun(call.key.clone()));
                }
                CallOutcome::Answer(receipt) => {
                    let gave =
                        |e: &&Effect| e.target == receipt.target && e.booking == receipt.booking;
                    if !ran.iter().any(gave) {
                        found.push(Violation::FalseAnswer(call.key.clone()));
                    }
                    if receipt.body != call.body {
                        found.push(Violation::ForeignAnswer(call.key.clone()));
                    }
                }
                _ => {}
            }
        }
    }

    fn check_keys(&self, found: &mut Vec<Violation>) {
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
                found.push(Violation::Disagreement(key.to_owned()));
            }
            if answers.windows(2).any(|w| w[0].1 != w[1].1) {
                found.push(Violation::TwoBodies(key.to_owned()));
            }
            let refused = calls.iter().any(|c| c.outcome == CallOutcome::OtherBody);
            if refused && calls.windows(2).all(|w| w[0].body == w[1].body) {
                found.push(Violation::FalseOtherBody(key.to_owned()));
            }
        }
    }

    fn check_versions(&self, found: &mut Vec<Violation>) {
        let mut seen = self.versions.clone();
        seen.sort_by_key(|v| v.time);
        let mut highest: BTreeMap<String, u64> = BTreeMap::new();
        for seen in seen {
            let highest = highest.entry(seen.host.clone()).or_default();
            if seen.version < *highest {
                found.push(Violation::VersionFell(seen.host));
            } else {
                *highest = seen.version;
            }
        }
    }
}

fn check_search(search: &SearchCall, found: &mut Vec<Violation>) {
    if search.parts.iter().any(|p| p.snapshot != search.snapshot) {
        found.push(Violation::MixedSnapshots(search.query.clone()));
    }
    if search.parts.iter().any(|p| p.query != search.query) {
        found.push(Violation::ForeignPart(search.query.clone()));
    }
    let mut coverage = Coverage::default();
    let is_disjoint = search.parts.iter().all(|p| coverage.add(p.span));
    if !is_disjoint || (coverage.fraction() - search.coverage).abs() > f64::EPSILON {
        found.push(Violation::FalseCoverage(search.query.clone()));
    }
}
