//! Histories of concurrent runs under seeded faults.
//!
//! The schedule of faults is the same on every run; how it falls among the calls is not. The
//! verdict is about safety alone. `lab soak --seed N --minutes M` runs longer.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use sapphirerack_lab::soak::{Soak, run};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");

fn assert_allowed(seed: u64) {
    let summary = run(Path::new(PROGRAM), &Soak { seed, duration: Duration::from_secs(5) });

    println!("{summary:?}");
    assert_eq!(summary.violations, Vec::<String>::new(), "{summary:?}");
    assert!(summary.answers > 0 && summary.searches > 0, "{summary:?}");
}

#[test]
fn seed_1_is_allowed() {
    assert_allowed(1);
}

#[test]
fn seed_2_is_allowed() {
    assert_allowed(2);
}

#[test]
fn seed_3_is_allowed() {
    assert_allowed(3);
}
