//! Changes against a store with lost replies, delayed writes, stale reads and outages.

#![allow(clippy::unwrap_used)]

mod fake;

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use fake::{FakeStore, Fault, SleepClock};
use quickcheck::{Gen, QuickCheck};
use sapphirerack_catalogue::{Catalogue, DataCentre, Map, Presence};
use sapphirerack_repository::{
    Change, CurrentView, Head, RECENT_CHANGES, Rejection, Repository, View,
};

fn repository(store: &Arc<FakeStore>) -> Repository {
    Repository::new(store.clone(), Arc::new(SleepClock), SleepClock::sleep)
}

fn change(id: &str) -> Change {
    Change { id: id.into(), member: "castlegate".into(), summary: id.into(), base: None }
}

/// Adds a data centre named after the change, so that applied changes can be identified.
fn add_marker(catalogue: &Catalogue, id: &str) -> Catalogue {
    let mut catalogue = catalogue.clone();
    catalogue.data_centres.push(DataCentre { name: id.into(), presence: Presence::In });
    catalogue
}

fn submit(store: &Arc<FakeStore>, change: &Change) -> Result<u64, Rejection> {
    let edit = |c: &Catalogue| Ok(add_marker(c, &change.id));
    repository(store).apply(change, 0, |_| None, edit).map(|(version, _)| version)
}

fn head(store: &FakeStore) -> Head {
    store.head().map(|bytes| Head::parse(&bytes).unwrap()).unwrap_or_default()
}

#[test]
fn applied_change_is_stored() {
    let store = FakeStore::new(1);

    let version = submit(&store, &change("a")).unwrap();

    assert_eq!(version, 1);
    assert_eq!(head(&store).find("a"), Some(1));
}

#[test]
fn lost_reply_is_resolved_by_reading_back() {
    let store = FakeStore::new(1);
    store.inject([Fault::None, Fault::LostReply]);

    assert_eq!(submit(&store, &change("a")), Ok(1));
    assert_eq!(head(&store).version, 1);
}

#[test]
fn change_succeeds_after_a_failed_part_write() {
    for fault in [Fault::LostReply, Fault::LostWrite, Fault::Refused] {
        let store = FakeStore::new(1);
        store.inject([fault]);

        assert_eq!(submit(&store, &change("a")), Ok(1), "{fault:?}");
    }
}

#[test]
fn lost_reply_is_resolved_after_a_later_change() {
    let store = FakeStore::new(1);
    store.inject([Fault::None, Fault::LostReply]);
    let concurrent = store.clone();
    store.after_lost_reply(move || assert!(submit(&concurrent, &change("b")).is_ok()));

    assert_eq!(submit(&store, &change("a")), Ok(1));
    assert_eq!(head(&store).find("b"), Some(2));
}

#[test]
fn lost_write_is_retried() {
    let store = FakeStore::new(1);
    store.inject([Fault::None, Fault::LostWrite]);

    assert_eq!(submit(&store, &change("a")), Ok(1));
}

#[test]
fn delayed_write_is_applied_once() {
    let store = FakeStore::new(1);
    store.inject([Fault::None, Fault::Delayed]);

    assert_eq!(submit(&store, &change("a")), Ok(1));
    store.deliver_delayed();

    assert_eq!(head(&store).version, 1);
}

#[test]
fn unknown_outcome_is_resolved_by_repeating_the_change_after_an_outage() {
    let store = FakeStore::new(1);
    store.inject([Fault::None, Fault::LostReply]);
    let outage = store.clone();
    store.after_lost_reply(move || outage.set_down(true));

    let first = submit(&store, &change("a")).unwrap_err();
    store.set_down(false);
    let second = submit(&store, &change("a"));

    assert!(matches!(first, Rejection::Unknown(_)), "{first:?}");
    assert_eq!(second, Ok(1));
    assert_eq!(head(&store).version, 1, "the repeated change was applied more than once");
}

#[test]
fn change_during_an_outage_is_rejected_as_unavailable() {
    let store = FakeStore::new(1);
    store.set_down(true);

    let rejection = submit(&store, &change("a")).unwrap_err();

    assert!(matches!(rejection, Rejection::Unavailable(_)));
}

#[test]
fn conflict_reports_what_changed() {
    let store = FakeStore::new(1);
    submit(&store, &change("first")).unwrap();
    let late = Change { base: Some(1), ..change("late") };
    submit(&store, &Change { base: Some(1), ..change("early") }).unwrap();

    let rejection = submit(&store, &late).unwrap_err();

    assert!(matches!(rejection, Rejection::Conflict(_)));
    assert!(rejection.to_string().contains("version 2 by castlegate: early"), "{rejection}");
    assert_eq!(head(&store).find("late"), None);
}

#[test]
fn conflict_during_the_write_reports_what_changed() {
    let store = FakeStore::new(1);
    submit(&store, &change("first")).unwrap();
    let concurrent = store.clone();
    store.before_swap(move || assert!(submit(&concurrent, &change("concurrent")).is_ok()));

    let rejection = submit(&store, &Change { base: Some(1), ..change("late") }).unwrap_err();

    assert!(rejection.to_string().contains("castlegate: concurrent"), "{rejection}");
}

#[test]
fn edit_without_base_is_applied_to_the_latest_catalogue() {
    let store = FakeStore::new(1);
    submit(&store, &change("first")).unwrap();
    let concurrent = store.clone();
    store.before_swap(move || assert!(submit(&concurrent, &change("concurrent")).is_ok()));

    assert_eq!(submit(&store, &change("late")), Ok(3));
    assert_eq!(store.catalogue().data_centres.len(), 3);
}

#[test]
fn head_older_than_the_version_in_force_is_rejected() {
    let store = FakeStore::new(1);
    submit(&store, &change("a")).unwrap();

    let edit = |c: &Catalogue| Ok(add_marker(c, "b"));
    let result = repository(&store).apply(&change("b"), 9, |_| None, edit);

    assert!(matches!(result.unwrap_err(), Rejection::Unavailable(_)));
}

#[test]
fn repeated_change_is_detected_among_recent_changes() {
    let store = FakeStore::new(1);
    submit(&store, &change("a")).unwrap();
    for i in 1..RECENT_CHANGES {
        submit(&store, &change(&format!("c{i}"))).unwrap();
    }

    assert_eq!(submit(&store, &change("a")), Ok(1));
    assert_eq!(head(&store).version, RECENT_CHANGES as u64);
}

/// Under random faults, the reported outcome of each change matches the store.
#[test]
fn reported_outcomes_match_the_store() {
    fn property(seed: u64) -> bool {
        let store = FakeStore::new(seed);
        store.set_random_faults(true);
        let mut outcomes = Vec::new();
        for i in 0..30 {
            let change = change(&format!("c{i}"));
            if i % 3 == 0 {
                let concurrent = store.clone();
                let id = format!("r{i}");
                store.before_swap(move || drop(submit(&concurrent, &self::change(&id))));
            }
            let before = head(&store).version;
            outcomes.push((change.id.clone(), submit(&store, &change)));
            assert!(head(&store).version >= before, "the version of the head decreased");
        }
        store.set_random_faults(false);
        store.deliver_delayed();
        let catalogue = store.catalogue();
        let accepted = |id: &str| catalogue.data_centres.iter().any(|d| &*d.name == id);
        outcomes.iter().all(|(id, outcome)| match outcome {
            Ok(version) => accepted(id) && head(&store).find(id) == Some(*version),
            Err(Rejection::Unknown(_)) => true,
            Err(_) => !accepted(id),
        })
    }
    let r#gen = Gen::from_size_and_seed(64, 41);
    QuickCheck::new().rng(r#gen).tests(60).quickcheck(property as fn(u64) -> bool);
}

/// Hosts exchange heads and parts in random order, restart, and read an unreliable store.
#[test]
fn versions_are_monotonic_and_converge() {
    fn property(seed: u64) -> bool {
        const HOSTS: usize = 5;
        let store = FakeStore::new(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut hosts: Vec<CurrentView> = (0..HOSTS).map(|_| CurrentView::default()).collect();
        let heads = RefCell::new(Vec::new());
        let mut seen: Map<u64, Arc<Catalogue>> = Map::default();
        let mut highest = [0; HOSTS];
        for step in 0..120 {
            let (a, b) = (rng.usize(..HOSTS), rng.usize(..HOSTS));
            match rng.u8(..10) {
                0 => {
                    let id = format!("c{step}");
                    let edit = |c: &Catalogue| Ok(add_marker(c, &id));
                    let min_version = hosts[a].version();
                    let done = repository(&store).apply(&change(&id), min_version, |_| None, edit);
                    if let Ok((version, Some(snapshot))) = done {
                        hosts[a].adopt(View::new(version, &snapshot));
                    }
                }
                1 => {
                    hosts[a] = CurrentView::default();
                    highest[a] = 0;
                }
                2 => {
                    store.set_down(rng.u8(..4) == 0);
                    store.set_random_faults(rng.bool());
                }
                3 => read_store(&store, &hosts[a]),
                4 => replay(&hosts[a], &hosts[b], &heads.borrow(), &mut rng),
                _ => exchange(&hosts[a], &hosts[b], &heads),
            }
            for (host, highest) in hosts.iter().zip(&mut highest) {
                let view = host.view();
                assert!(view.version >= *highest, "the version of a host decreased");
                *highest = view.version;
                let same = seen.entry(view.version).or_insert_with(|| view.catalogue.clone());
                assert_eq!(*same, view.catalogue, "one version with two different catalogues");
            }
        }
        for _ in 0..3 {
            for a in 0..HOSTS {
                (0..HOSTS).for_each(|b| exchange(&hosts[a], &hosts[b], &heads));
            }
        }
        hosts.iter().all(|h| h.version() == hosts[0].version())
    }
    let r#gen = Gen::from_size_and_seed(64, 42);
    QuickCheck::new().rng(r#gen).tests(200).quickcheck(property as fn(u64) -> bool);
}

/// Sends the head and parts of `from` to `to`, and records the head for later replay.
fn exchange(from: &CurrentView, to: &CurrentView, heads: &RefCell<Vec<Vec<u8>>>) {
    if let Some(head) = from.head_above(to.version()) {
        to.adopt_head(&head, |keys| from.parts(keys)).unwrap();
        heads.borrow_mut().push(head);
    }
}

/// Delivers a delayed head, whose parts may no longer be available.
fn replay(from: &CurrentView, to: &CurrentView, heads: &[Vec<u8>], rng: &mut fastrand::Rng) {
    if let Some(head) = rng.choice(heads) {
        let _ = to.adopt_head(head, |keys| from.parts(keys));
    }
}

fn read_store(store: &Arc<FakeStore>, host: &CurrentView) {
    let repository = repository(store);
    let Ok((_, head)) = repository.head() else {
        return;
    };
    let view = host.view();
    if let Ok(snapshot) = repository.load(&head.keys, |key| view.part(key))
        && head.version > 0
    {
        host.adopt(View::new(head.version, &snapshot));
    }
}

#[test]
fn part_that_does_not_match_its_digest_is_rejected() {
    let store = FakeStore::new(1);
    submit(&store, &change("a")).unwrap();
    let (from, to) = (CurrentView::default(), CurrentView::default());
    read_store(&store, &from);

    let adopted = to.adopt_head(&from.head_above(0).unwrap(), |_| vec![b"{}".to_vec()]);

    assert!(adopted.is_err());
    assert_eq!(to.version(), 0);
}

#[test]
fn sleep_advances_the_clock() {
    let clock = SleepClock;
    let before = sapphirerack_policy::Clock::now(&clock);

    SleepClock::sleep(Duration::from_secs(1));

    assert!(sapphirerack_policy::Clock::now(&clock) >= before + Duration::from_secs(1));
}
