//! Runs a small setup for a while, to try commands against.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::demo;
use crate::fleet::{Fleet, MEMBER_KEY};

/// Starts the setup of the demonstration, prints its addresses, and stops it after `time`.
pub fn run(program: &Path, time: Duration) {
    let fleet = Fleet::start(program, &demo::shape());
    fleet.apply(program);
    fleet.await_ready();
    println!("member {} key {MEMBER_KEY}", fleet.catalogue.members[0].name);
    for host in &fleet.hosts {
        println!("host {} callers {} operators {}", host.name, host.callers, host.operators);
    }
    thread::sleep(time);
}
