//! Model checks of the booking protocol: every interleaving of small cases.

mod model;

use model::{Case, Variant, search};

fn assert_sound(case: Case) {
    let searched = search(case.clone());

    println!("{case:?}: {} states", searched.states);
    assert_eq!(searched.violation, None, "{case:?}");
    assert!(searched.states > 1_000, "{searched:?}");
}

fn assert_caught(variant: Variant) {
    let searched = search(Case::new(variant));

    println!("{variant:?}: {searched:?}");
    assert!(searched.violation.is_some(), "the search found no violation for {variant:?}");
}

#[test]
fn two_retries_with_a_crash_and_a_pause() {
    let case = Case { slots: 1, store_faults: 0, target_faults: 0, ..Case::new(Variant::Shipped) };
    assert_sound(case);
}

#[test]
fn two_retries_with_a_store_fault_and_a_pause() {
    let case = Case { slots: 1, crashes: 0, target_faults: 0, ..Case::new(Variant::Shipped) };
    assert_sound(case);
}

#[test]
fn two_retries_with_a_target_fault_and_a_pause() {
    let case = Case { slots: 1, crashes: 0, store_faults: 0, ..Case::new(Variant::Shipped) };
    assert_sound(case);
}

#[test]
fn one_retry_with_every_fault() {
    assert_sound(Case { slots: 1, calls: 2, ..Case::new(Variant::Shipped) });
}

#[test]
fn every_record_in_a_segment_of_its_own() {
    let case = Case { slots: 3, segment: 1, calls: 2, ..Case::new(Variant::Shipped) };
    assert_sound(Case { store_faults: 0, ..case });
}

#[test]
#[ignore = "long; run by hand in release mode"]
fn two_retries_with_every_fault() {
    assert_sound(Case { slots: 1, ..Case::new(Variant::Shipped) });
}

#[test]
fn dispatch_before_the_claim_is_caught() {
    assert_caught(Variant::DispatchBeforeClaim);
}

#[test]
fn retry_after_a_timeout_is_caught() {
    assert_caught(Variant::RetryAfterTimeout);
}

#[test]
fn lease_trusted_after_a_pause_is_caught() {
    assert_caught(Variant::LeaseAfterPause);
}

#[test]
fn lost_write_treated_as_not_run_is_caught() {
    assert_caught(Variant::LostWriteIsNotRun);
}
