//! Which hosts gather queries, and which of them is chosen for one.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::Host;
use sapphirerack_policy::direct::{Gatherers, designate, limit_share, targets_left};

const LARGE: u32 = 500;
const SMALL: u32 = 120;

/// Connections that a target of the fleet below accepts.
const CONNECTIONS: u32 = 195;

/// A data centre with three large machines.
fn data_centre(name: &str, small: usize) -> Vec<Host> {
    let host = |n: usize| Host {
        name: format!("{name}-{n}").into(),
        data_centre: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        capacity: if n < 3 { LARGE } else { SMALL },
    };
    (0..small + 3).map(host).collect()
}

/// 295 hosts in five data centres.
fn fleet() -> Vec<Host> {
    let sizes = [("a", 61), ("b", 56), ("c", 55), ("d", 57), ("e", 51)];
    sizes.iter().flat_map(|(name, small)| data_centre(name, *small)).collect()
}

fn centres(names: &[&str]) -> Set<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

fn names(hosts: &[Host]) -> Vec<&str> {
    hosts.iter().map(|h| &*h.name).collect()
}

fn gatherers(own: &str, home: &str, hosts: Vec<Host>) -> Gatherers {
    let mut gatherers = Gatherers::new(own.into(), home.into(), fastrand::Rng::with_seed(7));
    gatherers.set(hosts);
    gatherers
}

fn large_fleet_gatherers(home: &str) -> Gatherers {
    let hosts = fleet();
    let centres = centres(&["a", "b", "c"]);
    gatherers(&format!("{home}-9"), home, designate(&hosts, hosts.len(), &centres, CONNECTIONS))
}

fn nobody(_: &Name) -> bool {
    false
}

#[test]
fn each_of_eight_hosts_gathers_its_own_queries() {
    let hosts: Vec<Host> = fleet().into_iter().take(8).collect();

    for connections in [26, 36] {
        assert!(designate(&hosts, 8, &centres(&["a"]), connections).is_empty());
    }
    assert!(gatherers("a-1", "a", Vec::new()).includes_own());
}

#[test]
fn large_machines_of_data_centres_with_targets_gather_for_295_hosts() {
    let hosts = fleet();

    let designated = designate(&hosts, hosts.len(), &centres(&["a", "b", "c"]), CONNECTIONS);

    assert_eq!(designated.len(), 9);
    assert!(designated.iter().all(|h| h.capacity == LARGE && *h.data_centre < *"d"));
}

#[test]
fn hosts_that_know_the_same_hosts_designate_the_same_gatherers() {
    let hosts = fleet();
    let mut shuffled = hosts.clone();
    fastrand::Rng::with_seed(7).shuffle(&mut shuffled);
    let centres = centres(&["a", "b", "c"]);

    let (one, other) = (
        designate(&hosts, 295, &centres, CONNECTIONS),
        designate(&shuffled, 295, &centres, CONNECTIONS),
    );

    assert_eq!(names(&one), names(&other));
}

#[test]
fn number_of_gatherers_follows_the_connections_of_a_target() {
    let equal: Vec<Host> = fleet().into_iter().map(|h| Host { capacity: SMALL, ..h }).collect();
    let centres = centres(&["a", "b", "c"]);
    let count = |connections| designate(&equal, 295, &centres, connections).len();

    assert_eq!(count(195), 24);
    assert_eq!(count(68), 6);
    assert_eq!(count(25), 6, "two in each data centre, so that one can fail");
}

#[test]
fn gatherer_that_died_is_replaced_by_one_of_the_same_size() {
    let hosts: Vec<Host> = fleet().into_iter().filter(|h| *h.data_centre == *"a").collect();
    let equal: Vec<Host> = hosts.into_iter().map(|h| Host { capacity: LARGE, ..h }).collect();
    let before = designate(&equal, 295, &centres(&["a"]), 25);
    let live: Vec<Host> = equal.into_iter().filter(|h| h.name != before[0].name).collect();

    let after = designate(&live, 295, &centres(&["a"]), 25);

    assert_eq!((before.len(), after.len()), (3, 3));
    assert_eq!(names(&before[1..]), names(&after[..2]));
}

#[test]
fn small_machine_does_not_replace_a_large_one() {
    let mut hosts = fleet();
    hosts.retain(|h| &*h.name != "a-0" && &*h.name != "a-1");
    let one_left = designate(&hosts, 295, &centres(&["a", "b"]), CONNECTIONS);
    hosts.retain(|h| &*h.name != "a-2");
    let none_left = designate(&hosts, 295, &centres(&["a", "b"]), CONNECTIONS);

    assert_eq!(names(&one_left), ["a-2", "b-2", "b-0", "b-1"]);
    assert!(none_left.iter().all(|h| *h.data_centre == *"b"), "they serve a's hosts as well");
}

#[test]
fn small_machines_gather_where_all_are_small() {
    let mut hosts = fleet();
    hosts.retain(|h| h.capacity == SMALL && *h.data_centre == *"a");

    assert!(!designate(&hosts, 295, &centres(&["a"]), CONNECTIONS).is_empty());
}

#[test]
fn fleet_that_has_shrunk_does_not_return_to_gathering_everywhere() {
    let hosts = data_centre("a", 20);

    assert!(!designate(&hosts, 295, &centres(&["a"]), CONNECTIONS).is_empty());
}

#[test]
fn shares_of_all_hosts_stay_within_the_limits_while_a_third_of_the_gatherers_is_replaced() {
    for (fleet, count) in [(75, 6), (295, 9), (5_200, 24)] {
        let own = limit_share(true, count, fleet);
        let other = limit_share(false, count, fleet);
        let ever = count + count / 3;

        let sum = own * ever as f64 + other * (fleet - ever) as f64;

        assert!(sum <= 1.06, "{sum} of the limits with {fleet} hosts");
        assert!(own > 4.0 * other);
    }
    assert_eq!(limit_share(true, 0, 8), 1.0 / 8.0);
}

#[test]
fn hosts_that_may_have_started_a_query_use_up_its_targets() {
    for attempts in 1..4 {
        let at_targets = (0..attempts).filter(|started| targets_left(attempts, *started) > 0);

        assert_eq!(at_targets.count() as u32, attempts, "one target for each host");
        assert_eq!(targets_left(attempts, attempts), 0, "no further host may send it");
    }
}

#[test]
fn gatherer_of_the_own_data_centre_is_preferred() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("b");

    for _ in 0..50 {
        assert_eq!(&*gatherers.choose(&[], nobody, now).unwrap().data_centre, "b");
    }
}

#[test]
fn queries_of_a_data_centre_without_targets_are_spread_over_all_gatherers() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("d");

    let chosen: Set<Name> =
        (0..200).map(|_| gatherers.choose(&[], nobody, now).unwrap().name).collect();

    assert_eq!(chosen.len(), 9);
}

#[test]
fn gatherer_with_outstanding_queries_is_chosen_less_often() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("a");
    let busy = gatherers.choose(&[], nobody, now).unwrap().name;
    (0..5).for_each(|_| gatherers.start(&busy));

    let chosen = (0..300).filter(|_| gatherers.choose(&[], nobody, now).unwrap().name == busy);

    assert!(chosen.count() < 60, "a third of 300 without the load");
}

#[test]
fn frozen_gatherer_is_avoided_for_a_while_and_longer_each_time() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("a");
    let failed = gatherers.choose(&[], nobody, now).unwrap().name;
    let is_chosen = |g: &mut Gatherers, at| {
        (0..50).any(|_| g.choose(&[], nobody, at).is_some_and(|h| h.name == failed))
    };

    gatherers.record_failure(&failed, now);
    assert!(!is_chosen(&mut gatherers, now + Duration::from_millis(900)));
    let second = now + Duration::from_millis(1_100);
    assert!(is_chosen(&mut gatherers, second));
    gatherers.record_failure(&failed, second);
    assert!(!is_chosen(&mut gatherers, second + Duration::from_millis(1_900)));
    gatherers.start(&failed);
    gatherers.end(&failed, Some(true), second + Duration::from_millis(2_100));
    assert!(is_chosen(&mut gatherers, second + Duration::from_millis(2_100)));
}

/// Two data centres can't reach each other while a third one reaches both.
#[test]
fn data_centre_out_of_reach_is_avoided_as_a_whole() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("d");
    gatherers.record_failure("c-1", now);

    for _ in 0..100 {
        assert_ne!(&*gatherers.choose(&[], nobody, now).unwrap().data_centre, "c");
    }
}

#[test]
fn suspected_gatherer_is_the_last_choice() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("a");
    let suspect = |name: &Name| name.starts_with("a-");

    assert_ne!(&*gatherers.choose(&[], suspect, now).unwrap().data_centre, "a");
    assert!(gatherers.choose(&[], |_| true, now).is_some());
}

#[test]
fn query_goes_to_each_gatherer_once() {
    let now = Instant::now();
    let mut gatherers = large_fleet_gatherers("a");
    let mut tried: Vec<Name> = Vec::new();

    while let Some(host) = gatherers.choose(&tried, nobody, now) {
        tried.push(host.name);
    }

    assert_eq!(tried.iter().collect::<Set<_>>().len(), 9);
}
