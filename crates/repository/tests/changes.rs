//! Changes over a store that loses answers, delays writes, shows old values and is down.

#![allow(clippy::unwrap_used)]

mod fake;

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use fake::{Fake, Fault, PausingClock};
use quickcheck::{Gen, QuickCheck};
use sapphirerack_catalogue::{Catalogue, DataCentre, Map, Presence};
use sapphirerack_repository::{Change, Head, InForce, RECENT_CHANGES, Rejection, Repository, View};

fn repository(store: &Arc<Fake>) -> Repository {
    Repository::new(store.clone(), Arc::new(PausingClock), PausingClock::sleep)
}

fn change(id: &str) -> Change {
    Change { id: id.into(), member: "castlegate".into(), summary: id.into(), base: None }
}

/// Adds a data centre named after the change, so that every change leaves a trace.
fn mark(catalogue: &Catalogue, id: &str) -> Catalogue {
    let mut catalogue = catalogue.clone();
    catalogue.data_centres.push(DataCentre { name: id.into(), presence: Presence::In });
    catalogue
}

fn submit(store: &Arc<Fake>, change: &Change) -> Result<u64, Rejection> {
    let edit = |c: &Catalogue| Ok(mark(c, &change.id));
    repository(store).apply(change, 0, |_| None, edit).map(|(version, _)| version)
}

fn head(store: &Fake) -> Head {
    store.head().map(|bytes| Head::parse(&bytes).unwrap()).unwrap_or_default()
}

#[test]
fn accepted_change_is_durable() {
    let store = Fake::new(1);

    let version = submit(&store, &change("a")).unwrap();

    assert_eq!(version, 1);
    assert_eq!(head(&store).find("a"), Some(1));
}

#[test]
fn lost_answer_is_settled_by_reading_back() {
    let store = Fake::new(1);
    store.plan([Fault::None, Fault::LostAfter]);

    assert_eq!(submit(&store, &change("a")), Ok(1));
    assert_eq!(head(&store).version, 1);
}

#[test]
fn lost_answer_is_settled_although_others_changed_since() {
    let store = Fake::new(1);
    store.plan([Fault::None, Fault::LostAfter]);
    let rival = store.clone();
    store.on_lost(move || assert!(submit(&rival, &change("b")).is_ok()));

    assert_eq!(submit(&store, &change("a")), Ok(1));
    assert_eq!(head(&store).find("b"), Some(2));
}

#[test]
fn lost_write_is_sent_again() {
    let store = Fake::new(1);
    store.plan([Fault::None, Fault::LostBefore]);

    assert_eq!(submit(&store, &change("a")), Ok(1));
}

#[test]
fn delayed_write_takes_effect_once() {
    let store = Fake::new(1);
    store.plan([Fault::None, Fault::Delayed]);

    assert_eq!(submit(&store, &change("a")), Ok(1));
    store.land();

    assert_eq!(head(&store).version, 1);
}

#[test]
fn outcome_is_unknown_only_while_the_store_is_down_and_can_be_asked_again() {
    let store = Fake::new(1);
    store.plan([Fault::None, Fault::LostAfter]);
    let door = store.clone();
    store.on_lost(move || door.set_down(true));

    let first = submit(&store, &change("a")).unwrap_err();
    store.set_down(false);
    let second = submit(&store, &change("a"));

    assert!(matches!(first, Rejection::Unknown(_)), "{first:?}");
    assert_eq!(second, Ok(1));
    assert_eq!(head(&store).version, 1, "the repeated change took effect once");
}

#[test]
fn change_during_an_outage_is_refused_as_not_made() {
    let store = Fake::new(1);
    store.set_down(true);

    let rejection = submit(&store, &change("a")).unwrap_err();

    assert!(matches!(rejection, Rejection::Unavailable(_)));
}

#[test]
fn second_of_two_conflicting_operators_is_told_what_changed() {
    let store = Fake::new(1);
    submit(&store, &change("first")).unwrap();
    let late = Change { base: Some(1), ..change("late") };
    submit(&store, &Change { base: Some(1), ..change("early") }).unwrap();

    let rejection = submit(&store, &late).unwrap_err();

    assert!(matches!(rejection, Rejection::Conflict(_)));
    assert!(rejection.to_string().contains("version 2 by castlegate: early"), "{rejection}");
    assert_eq!(head(&store).find("late"), None);
}

#[test]
fn conflict_during_the_write_is_told_too() {
    let store = Fake::new(1);
    submit(&store, &change("first")).unwrap();
    let rival = store.clone();
    store.before_swap(move || assert!(submit(&rival, &change("rival")).is_ok()));

    let rejection = submit(&store, &Change { base: Some(1), ..change("late") }).unwrap_err();

    assert!(rejection.to_string().contains("castlegate: rival"), "{rejection}");
}

#[test]
fn edit_without_base_is_made_on_the_newer_catalogue() {
    let store = Fake::new(1);
    submit(&store, &change("first")).unwrap();
    let rival = store.clone();
    store.before_swap(move || assert!(submit(&rival, &change("rival")).is_ok()));

    assert_eq!(submit(&store, &change("late")), Ok(3));
    assert_eq!(store.catalogue().data_centres.len(), 3);
}

#[test]
fn store_that_shows_less_than_is_in_force_is_not_believed() {
    let store = Fake::new(1);
    submit(&store, &change("a")).unwrap();

    let edit = |c: &Catalogue| Ok(mark(c, "b"));
    let result = repository(&store).apply(&change("b"), 9, |_| None, edit);

    assert!(matches!(result.unwrap_err(), Rejection::Unavailable(_)));
}

#[test]
fn repeated_change_is_recognised_among_the_recent_ones() {
    let store = Fake::new(1);
    submit(&store, &change("a")).unwrap();
    for i in 1..RECENT_CHANGES {
        submit(&store, &change(&format!("c{i}"))).unwrap();
    }

    assert_eq!(submit(&store, &change("a")), Ok(1));
    assert_eq!(head(&store).version, RECENT_CHANGES as u64);
}

/// Every change ends as reported, under random faults.
#[test]
fn reported_outcomes_are_true() {
    fn holds(seed: u64) -> bool {
        let store = Fake::new(seed);
        store.set_chaos(true);
        let mut outcomes = Vec::new();
        for i in 0..30 {
            let change = change(&format!("c{i}"));
            if i % 3 == 0 {
                let rival = store.clone();
                let id = format!("r{i}");
                store.before_swap(move || drop(submit(&rival, &self::change(&id))));
            }
            let before = head(&store).version;
            outcomes.push((change.id.clone(), submit(&store, &change)));
            assert!(head(&store).version >= before, "the head never falls");
        }
        store.set_chaos(false);
        store.land();
        let catalogue = store.catalogue();
        let accepted = |id: &str| catalogue.data_centres.iter().any(|d| &*d.name == id);
        outcomes.iter().all(|(id, outcome)| match outcome {
            Ok(version) => accepted(id) && head(&store).find(id) == Some(*version),
            Err(Rejection::Unknown(_)) => true,
            Err(_) => !accepted(id),
        })
    }
    let r#gen = Gen::from_size_and_seed(64, 41);
    QuickCheck::new().rng(r#gen).tests(60).quickcheck(holds as fn(u64) -> bool);
}

/// Hosts that exchange heads and parts in any order, restart, and read an unsteady store.
#[test]
fn versions_never_fall_and_come_into_force_everywhere() {
    fn holds(seed: u64) -> bool {
        const HOSTS: usize = 5;
        let store = Fake::new(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut hosts: Vec<InForce> = (0..HOSTS).map(|_| InForce::default()).collect();
        let heads = RefCell::new(Vec::new());
        let mut seen: Map<u64, Arc<Catalogue>> = Map::default();
        let mut highest = [0; HOSTS];
        for step in 0..120 {
            let (a, b) = (rng.usize(..HOSTS), rng.usize(..HOSTS));
            match rng.u8(..10) {
                0 => {
                    let id = format!("c{step}");
                    let edit = |c: &Catalogue| Ok(mark(c, &id));
                    let floor = hosts[a].version();
                    let done = repository(&store).apply(&change(&id), floor, |_| None, edit);
                    if let Ok((version, Some(snapshot))) = done {
                        hosts[a].adopt(View::new(version, &snapshot));
                    }
                }
                1 => {
                    hosts[a] = InForce::default();
                    highest[a] = 0;
                }
                2 => {
                    store.set_down(rng.u8(..4) == 0);
                    store.set_chaos(rng.bool());
                }
                3 => read_store(&store, &hosts[a]),
                4 => replay(&hosts[a], &hosts[b], &heads.borrow(), &mut rng),
                _ => exchange(&hosts[a], &hosts[b], &heads),
            }
            for (host, highest) in hosts.iter().zip(&mut highest) {
                let view = host.view();
                assert!(view.version >= *highest, "a version fell");
                *highest = view.version;
                let same = seen.entry(view.version).or_insert_with(|| view.catalogue.clone());
                assert_eq!(*same, view.catalogue, "one version, two catalogues");
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
    QuickCheck::new().rng(r#gen).tests(200).quickcheck(holds as fn(u64) -> bool);
}

/// `to` takes what `from` has; the head is kept, to be delivered again later.
fn exchange(from: &InForce, to: &InForce, heads: &RefCell<Vec<Vec<u8>>>) {
    if let Some(head) = from.head_above(to.version()) {
        to.take(&head, |keys| from.parts(keys)).unwrap();
        heads.borrow_mut().push(head);
    }
}

/// A head that was delayed arrives, perhaps after its parts are gone.
fn replay(from: &InForce, to: &InForce, heads: &[Vec<u8>], rng: &mut fastrand::Rng) {
    if let Some(head) = rng.choice(heads) {
        let _ = to.take(head, |keys| from.parts(keys));
    }
}

fn read_store(store: &Arc<Fake>, host: &InForce) {
    let repository = repository(store);
    let Ok((_, head)) = repository.head() else {
        return;
    };
    let known = host.view();
    if let Ok(snapshot) = repository.load(&head.keys, |key| known.part(key))
        && head.version > 0
    {
        host.adopt(View::new(head.version, &snapshot));
    }
}

#[test]
fn part_that_is_not_what_its_digest_says_is_refused() {
    let store = Fake::new(1);
    submit(&store, &change("a")).unwrap();
    let (from, to) = (InForce::default(), InForce::default());
    read_store(&store, &from);

    let taken = to.take(&from.head_above(0).unwrap(), |_| vec![b"{}".to_vec()]);

    assert!(taken.is_err());
    assert_eq!(to.version(), 0);
}

#[test]
fn pauses_pass_time_for_the_change() {
    let clock = PausingClock;
    let before = sapphirerack_policy::Clock::now(&clock);

    PausingClock::sleep(Duration::from_secs(1));

    assert!(sapphirerack_policy::Clock::now(&clock) >= before + Duration::from_secs(1));
}
