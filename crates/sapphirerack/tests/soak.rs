//! Short soak runs: histories of concurrent calls under faults must break no safety property.
//!
//! The seed fixes the schedule of faults but not how faults and calls interleave. Liveness is not
//! checked. `lab soak --seed N --minutes M` runs longer.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use sapphirerack_lab::soak::{Soak, run};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");

fn assert_safe(seed: u64) {
    let summary = run(Path::new(PROGRAM), &Soak { seed, duration: Duration::from_secs(5) });

    println!("{summary:?}");
    assert_eq!(summary.violations, Vec::<String>::new(), "{summary:?}");
    assert!(summary.answers > 0 && summary.searches > 0, "{summary:?}");
}

#[test]
fn seed_1_is_safe() {
    assert_safe(1);
}

#[test]
fn seed_2_is_safe() {
    assert_safe(2);
}

#[test]
fn seed_3_is_safe() {
    assert_safe(3);
}
