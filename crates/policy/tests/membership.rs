//! Membership under loss, pauses, cuts, leaving and restarts.

#![allow(clippy::unwrap_used)]

mod net;

use std::time::Duration;

use net::Net;
use quickcheck::{Gen, QuickCheck};
use sapphirerack_policy::Timing;
use sapphirerack_protocol::Liveness;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn joined(data_centres: &[&str], hosts: usize) -> Net {
    let mut net = Net::new(data_centres, hosts, 7);
    net.run_until(seconds(20), Net::agrees);
    net
}

#[test]
fn hosts_find_each_other_through_seeds() {
    let mut net = Net::new(&["munich", "augsburg", "leith"], 6, 1);

    net.run_until(seconds(10), Net::agrees);
}

#[test]
fn killed_host_is_suspected_then_removed_everywhere() {
    let mut net = joined(&["munich", "leith"], 5);
    net.nodes[3].up = false;

    net.run_until(seconds(5), |n| {
        n.nodes[0].membership.liveness("munich-3") == Some(Liveness::Suspect)
    });
    assert!(net.live(0).contains(&"munich-3".into()), "a suspected host is still live");
    net.run_until(seconds(5), Net::agrees);
}

#[test]
fn host_paused_for_less_than_the_suspicion_stays() {
    let mut net = joined(&["munich"], 6);
    net.nodes[2].paused = true;
    net.run(seconds(2));
    net.thaw(2);

    for _ in 0..200 {
        net.run(Duration::from_millis(100));
        for i in 0..6 {
            assert_eq!(net.live(i).len(), 6, "host {i}");
        }
    }
}

#[test]
fn paused_host_suspects_nobody_when_it_wakes() {
    let mut net = joined(&["munich"], 6);
    net.nodes[2].paused = true;
    net.run(seconds(30));
    assert_eq!(net.live(0).len(), 5);
    net.thaw(2);

    for _ in 0..100 {
        net.run(Duration::from_millis(100));
        assert_eq!(net.live(2).len(), 6);
    }
    assert!(net.agrees(), "the others take it back");
}

#[test]
fn host_that_announced_leaving_gets_no_work_and_stays_away() {
    let mut net = joined(&["munich", "leith"], 5);

    net.leave(4);

    assert!(net.agrees(), "gone everywhere within a second");
    net.run(seconds(60));
    assert!(net.agrees());
}

#[test]
fn paused_host_that_was_leaving_does_not_come_back() {
    let mut net = joined(&["munich"], 5);
    let now = net.now;
    net.nodes[4].membership.leave(now);
    net.run(seconds(1));
    net.nodes[4].paused = true;
    net.run(seconds(10));
    net.thaw(4);

    net.run(seconds(10));

    assert!((0..4).all(|i| net.live(i).len() == 4));
}

#[test]
fn cut_data_centres_go_on_alone_and_merge_without_reviving() {
    let mut net = joined(&["munich", "augsburg", "leith"], 4);
    net.cut("munich", "leith");
    net.cut("augsburg", "leith");
    let limit = Timing::default().cut_off + seconds(3);
    net.run_until(limit, |n| n.live(0).len() == 8 && n.live(8).len() == 4);
    net.leave(1);
    net.nodes[9].up = false;
    net.run(seconds(60));
    assert_eq!((net.live(0).len(), net.live(8).len()), (7, 3));

    net.heal();

    net.run_until(seconds(10), Net::agrees);
    net.run(seconds(60));
    assert!(net.agrees());
}

#[test]
fn half_of_a_data_centre_is_found_again_after_a_cut_inside_it() {
    let mut net = joined(&["munich", "munich2"], 3);
    for node in &mut net.nodes {
        node.host.data_centre = "munich".into();
    }
    for i in 0..3 {
        net.nodes[i].paused = true;
    }
    net.run(seconds(20));
    for i in 0..3 {
        net.thaw(i);
    }

    net.run_until(seconds(20), Net::agrees);
}

#[test]
fn change_reaches_a_large_data_centre_within_a_second() {
    let mut net = Net::new(&["munich"], 1_040, 11);
    let now = net.now;
    let mut all = Vec::new();
    for node in &net.nodes {
        all.extend(node.membership.view("munich", now));
    }
    for node in &mut net.nodes {
        node.membership.merge(&all, now);
    }
    net.run(seconds(4));
    net.bytes = 0;
    net.run(seconds(1));
    let quiet = net.bytes / 1_040;
    let now = net.now;
    net.nodes[17].membership.leave(now);

    let gone = |n: &Net| {
        n.nodes.iter().all(|n| n.membership.liveness("munich-17") == Some(Liveness::Left))
    };
    let time = net.run_until(seconds(2), gone);

    assert!(time <= seconds(1), "took {time:?}");
    assert!(quiet < 4_000, "{quiet} bytes a second sent");
}

/// One disturbance, drawn from a random byte.
fn disturb(net: &mut Net, choice: u8) {
    let index = usize::from(choice >> 3) % net.nodes.len();
    match choice & 7 {
        0 => net.nodes[index].up = false,
        1 | 2 => net.restart(index),
        3 => net.nodes[index].paused = true,
        4 => net.thaw(index),
        5 => net.cut("munich", "leith"),
        6 => net.cut("munich", "augsburg"),
        _ => net.heal(),
    }
    net.run(Duration::from_millis(700));
}

#[test]
fn views_agree_once_disturbances_end() {
    fn settles(schedule: Vec<u8>) -> bool {
        let mut net = Net::new(&["munich", "augsburg", "leith"], 4, schedule.len() as u64);
        net.loss = 0.2;
        net.run(seconds(10));
        for choice in schedule {
            disturb(&mut net, choice);
        }
        net.heal();
        for i in 0..net.nodes.len() {
            if !net.nodes[i].up {
                continue;
            }
            net.thaw(i);
        }
        net.run(seconds(20));
        net.loss = 0.0;
        net.run(seconds(10));
        net.nodes.iter().all(|n| !n.up) || net.agrees()
    }
    let r#gen = Gen::from_size_and_seed(24, 2026);
    QuickCheck::new().rng(r#gen).tests(12).quickcheck(settles as fn(Vec<u8>) -> bool);
}

#[test]
fn departed_hosts_are_never_live_again() {
    fn stays_away(schedule: Vec<u8>) -> bool {
        let mut net = Net::new(&["munich", "augsburg", "leith"], 4, schedule.len() as u64);
        net.run(seconds(10));
        net.loss = 0.1;
        net.leave(5);
        net.nodes[5].host.name = "gone".into();
        let mut gone = vec![false; net.nodes.len()];
        for choice in schedule {
            // A restart of the departed host would be a new one.
            if usize::from(choice >> 3) % net.nodes.len() == 5 {
                continue;
            }
            if matches!(choice & 7, 1 | 2) {
                gone[usize::from(choice >> 3) % net.nodes.len()] = false;
            }
            disturb(&mut net, choice);
            for (i, gone) in gone.iter_mut().enumerate().filter(|(i, _)| *i != 5) {
                let live = net.live(i).contains(&"augsburg-1".into());
                if live && *gone {
                    return false;
                }
                *gone |= !live;
            }
        }
        true
    }
    let r#gen = Gen::from_size_and_seed(24, 77);
    QuickCheck::new().rng(r#gen).tests(12).quickcheck(stays_away as fn(Vec<u8>) -> bool);
}
