//! Membership under loss, pauses, partitions, leaving and restarts.

#![allow(clippy::unwrap_used)]

mod net;

use std::time::{Duration, Instant};

use net::Net;
use quickcheck::{Gen, QuickCheck};
use sapphirerack_policy::{Host, Membership, Timing};
use sapphirerack_protocol::{Datagram, Liveness};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn converged(data_centres: &[&str], hosts: usize) -> Net {
    let mut net = Net::new(data_centres, hosts, 7);
    net.run_until(seconds(20), Net::has_converged);
    net
}

#[test]
fn hosts_find_each_other_through_seeds() {
    let mut net = Net::new(&["munich", "augsburg", "leith"], 6, 1);

    net.run_until(seconds(10), Net::has_converged);
}

#[test]
fn killed_host_is_suspected_and_then_removed_everywhere() {
    let mut net = converged(&["munich", "leith"], 5);
    net.nodes[3].up = false;

    net.run_until(seconds(5), |n| {
        n.nodes[0].membership.liveness("munich-3") == Some(Liveness::Suspect)
    });
    assert!(net.live(0).contains(&"munich-3".into()), "a suspected host is still live");
    net.run_until(seconds(5), Net::has_converged);
}

#[test]
fn host_paused_for_less_than_the_suspicion_timeout_stays_live() {
    let mut net = converged(&["munich"], 6);
    net.nodes[2].paused = true;
    net.run(seconds(2));
    net.resume(2);

    for _ in 0..200 {
        net.run(Duration::from_millis(100));
        for i in 0..6 {
            assert_eq!(net.live(i).len(), 6, "live hosts in the view of host {i}");
        }
    }
}

#[test]
fn resumed_host_suspects_no_other() {
    let mut net = converged(&["munich"], 6);
    net.nodes[2].paused = true;
    net.run(seconds(30));
    assert_eq!(net.live(0).len(), 5);
    net.resume(2);

    for _ in 0..100 {
        net.run(Duration::from_millis(100));
        assert_eq!(net.live(2).len(), 6);
    }
    assert!(net.has_converged(), "the others readmit the resumed host");
}

#[test]
fn host_that_announced_leaving_is_removed_and_does_not_return() {
    let mut net = converged(&["munich", "leith"], 5);

    net.leave(4);

    assert!(net.has_converged(), "removed everywhere within a second");
    net.run(seconds(60));
    assert!(net.has_converged());
}

#[test]
fn leaving_host_that_is_resumed_does_not_return() {
    let mut net = converged(&["munich"], 5);
    let now = net.now;
    net.nodes[4].membership.leave(now);
    net.run(seconds(1));
    net.nodes[4].paused = true;
    net.run(seconds(10));
    net.resume(4);

    net.run(seconds(10));

    assert!((0..4).all(|i| net.live(i).len() == 4));
}

#[test]
fn partitioned_data_centres_continue_and_merge_without_reviving_departed_hosts() {
    let mut net = converged(&["munich", "augsburg", "leith"], 4);
    net.partition("munich", "leith");
    net.partition("augsburg", "leith");
    let limit = Timing::default().cut_off + seconds(3);
    net.run_until(limit, |n| n.live(0).len() == 8 && n.live(8).len() == 4);
    net.leave(1);
    net.nodes[9].up = false;
    net.run(seconds(60));
    assert_eq!((net.live(0).len(), net.live(8).len()), (7, 3));

    net.heal();

    net.run_until(seconds(10), Net::has_converged);
    net.run(seconds(60));
    assert!(net.has_converged());
}

#[test]
fn halves_of_a_data_centre_merge_after_one_half_was_paused() {
    let mut net = converged(&["munich", "munich2"], 3);
    for node in &mut net.nodes {
        node.host.data_centre = "munich".into();
    }
    for i in 0..3 {
        net.nodes[i].paused = true;
    }
    net.run(seconds(20));
    for i in 0..3 {
        net.resume(i);
    }

    net.run_until(seconds(20), Net::has_converged);
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
    let idle_bytes = net.bytes / 1_040;
    let now = net.now;
    net.nodes[17].membership.leave(now);

    let gone = |n: &Net| {
        n.nodes.iter().all(|n| n.membership.liveness("munich-17") == Some(Liveness::Left))
    };
    let time = net.run_until(seconds(2), gone);

    assert!(time <= seconds(1), "the change took {time:?}");
    assert!(idle_bytes < 4_000, "{idle_bytes} bytes sent per host and second without changes");
}

/// Injects the fault, or ends the faults, that a random byte selects.
fn inject_fault(net: &mut Net, choice: u8) {
    let index = usize::from(choice >> 3) % net.nodes.len();
    match choice & 7 {
        0 => net.nodes[index].up = false,
        1 | 2 => net.restart(index),
        3 => net.nodes[index].paused = true,
        4 => net.resume(index),
        5 => net.partition("munich", "leith"),
        6 => net.partition("munich", "augsburg"),
        _ => net.heal(),
    }
    net.run(Duration::from_millis(700));
}

#[test]
fn views_converge_once_faults_end() {
    fn converges(schedule: Vec<u8>) -> bool {
        let mut net = Net::new(&["munich", "augsburg", "leith"], 4, schedule.len() as u64);
        net.loss = 0.2;
        net.run(seconds(10));
        for choice in schedule {
            inject_fault(&mut net, choice);
        }
        net.heal();
        for i in 0..net.nodes.len() {
            if !net.nodes[i].up {
                continue;
            }
            net.resume(i);
        }
        net.run(seconds(20));
        net.loss = 0.0;
        net.run(seconds(10));
        net.nodes.iter().all(|n| !n.up) || net.has_converged()
    }
    let r#gen = Gen::from_size_and_seed(24, 2026);
    QuickCheck::new().rng(r#gen).tests(12).quickcheck(converges as fn(Vec<u8>) -> bool);
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
            // Host 5 has left for good: a restart would bring it back as a new incarnation.
            if usize::from(choice >> 3) % net.nodes.len() == 5 {
                continue;
            }
            if matches!(choice & 7, 1 | 2) {
                gone[usize::from(choice >> 3) % net.nodes.len()] = false;
            }
            inject_fault(&mut net, choice);
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

/// Membership of the host `index`, which starts at `start`.
fn member(index: usize, start: Instant) -> Membership {
    member_with(index, start, index as u64)
}

fn member_with(index: usize, start: Instant, seed: u64) -> Membership {
    let host = Host {
        name: format!("munich-{index}").into(),
        data_centre: "munich".into(),
        address: net::address(index),
        capacity: 0,
    };
    let mut membership = Membership::new(&host, Timing::default(), start, seconds(1), seed);
    membership.set_seeds(vec![net::address(1 - index)]);
    membership
}

/// The first ping of host 0, sent at `sent`, and its ack by host 1.
fn first_exchange(asking: &mut Membership, start: Instant, sent: Instant) -> (Datagram, Datagram) {
    let ping = asking.tick(sent).remove(0).datagram;
    let ack = member(1, start).receive(net::address(0), &ping, sent + seconds(1)).remove(0);
    (ping, ack.datagram)
}

#[test]
fn reply_was_not_sent_before_the_datagram_that_it_echoes() {
    let start = Instant::now();
    let sent = start + seconds(3);
    let mut asking = member(0, start);

    let (_, ack) = first_exchange(&mut asking, start, sent);

    let later = sent + seconds(9);
    assert_eq!(asking.earliest_send(&ack, later), Some(sent), "however long it waited");
}

#[test]
fn datagram_that_replies_to_none_of_this_process_may_have_been_sent_at_any_time() {
    let start = Instant::now();
    let sent = start + seconds(3);
    let mut asking = member(0, start);
    let (ping, ack) = first_exchange(&mut asking, start, sent);
    let restarted = member_with(0, sent, 7);

    let later = sent + seconds(20);
    assert_eq!(member(1, start).earliest_send(&ping, later), None, "it echoes nothing");
    assert_eq!(restarted.earliest_send(&ack, later), None, "the process before sent the ping");
    let ahead = Datagram { echo: Some(u64::MAX), ..ack };
    assert_eq!(asking.earliest_send(&ahead, later), None, "it was never sent");
}

/// Guards against a lost data centre that counts as reachable while hosts freeze in turn.
#[test]
fn data_centre_is_cut_off_in_time_while_hosts_freeze_in_turn() {
    cut_off_while_hosts_freeze(Duration::from_millis(550));
}

/// Guards against a host that tells others of a contact as if its own pause had not been.
#[test]
fn data_centre_is_cut_off_in_time_while_hosts_freeze_in_turn_for_longer() {
    cut_off_while_hosts_freeze(Duration::from_millis(1_500));
}

fn cut_off_while_hosts_freeze(time: Duration) {
    let mut net = converged(&["munich", "leith"], 4);
    net.partition("munich", "leith");
    let cut_off = |net: &Net| (0..4).all(|i| net.live(i).len() == 4);

    let start = net.now;
    // A host does not count its own pauses as time without contact, if it notices them. Each host
    // has two at most.
    let noticed = if time >= Timing::default().pause { 2 * time } else { Duration::ZERO };
    let limit = Timing::default().cut_off + noticed + seconds(2);
    for i in (0..4).cycle() {
        assert!(net.now <= start + limit, "leith still counts as reachable");
        net.nodes[i].paused = true;
        net.run(time);
        net.resume(i);
        if cut_off(&net) {
            break;
        }
    }
}
