//! Cost of bookings in store calls, bytes, memory and CPU time, by number of booking keys.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::answer::CheckResult;
use crate::client::Pool;
use crate::driver::{self, Arrivals, Outcome, Tally};
use crate::fleet::{Fleet, HostProcess, Plan};
use crate::slopes::{Series, Slope};
use crate::target::Behaviour;

/// Bookings per second.
const RATES: [f64; 4] = [25.0, 100.0, 300.0, 600.0];
const DURATION: Duration = Duration::from_secs(4);
const HOSTS: usize = 3;
const CONNECTIONS: usize = 256;

/// Simulated response time of the store, which is in the order of milliseconds.
const STORE_LATENCY: Duration = Duration::from_millis(3);
const SERVICE_TIME: Duration = Duration::from_millis(3);

/// Measures bookings at several rates, each booking with its own key.
pub fn measure(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for rate in RATES {
        let fleet = launch_fleet(program);
        let memory = |fleet: &Fleet| fleet.hosts.iter().map(HostProcess::memory).sum::<u64>();
        let cpu = |fleet: &Fleet| fleet.hosts.iter().map(HostProcess::cpu).sum::<Duration>();
        let (memory_before, cpu_before) = (memory(&fleet), cpu(&fleet));
        fleet.store.reset_calls();
        let stored_before = fleet.store.stored_bytes();
        let pools = fleet.hosts.iter().map(|h| Pool::new(h.callers, CONNECTIONS));
        let pools: Arc<[Pool]> = pools.collect();
        let arrivals = Arrivals { rate, warm_up: Duration::ZERO, duration: DURATION, seed: 1 };
        let start = Instant::now();
        let label = format!("{rate} bookings a second");
        let tallies =
            driver::drive(&arrivals, &label, || (), |a| send_booking(pools.clone(), a.number));
        let seconds = start.elapsed().as_secs_f64();
        let mut all = Tally::default();
        tallies.values().for_each(|t| all.merge(t));
        let calls = fleet.store.calls();
        let keys = all.queries as f64;
        let used = cpu(&fleet).saturating_sub(cpu_before);
        series.add(
            keys,
            &[
                ("bookings that were served", "% of bookings", all.answered as f64 * 100.0 / keys),
                ("store writes by bookings", "/s", calls.writes as f64 / seconds),
                ("store writes a booking", "", calls.writes as f64 / keys),
                ("store reads by bookings", "/s", calls.all_reads() as f64 / seconds),
                ("bytes to the store a booking", "B", calls.bytes_in as f64 / keys),
                (
                    "kept in the store by bookings",
                    "KB",
                    (fleet.store.stored_bytes() - stored_before) as f64 / 1e3,
                ),
                ("CPU of all hosts by bookings", "ms", used.as_secs_f64() * 1e3),
                (
                    "memory of all hosts by bookings",
                    "KB",
                    memory(&fleet) as f64 - memory_before as f64,
                ),
                ("p50 of a booking", "ms", all.quantile_ms(0.5)),
                ("p99 of a booking", "ms", all.quantile_ms(0.99)),
            ],
        );
    }
    series.fit("booking in 4 s")
}

fn launch_fleet(program: &Path) -> Fleet {
    let mut plan = Plan::group(10, 3, 3);
    plan.hosts.truncate(HOSTS);
    let plan = plan.with_behaviour(|_, _, behaviour| Behaviour {
        service: SERVICE_TIME,
        connect: Duration::ZERO,
        ..behaviour
    });
    let fleet = Fleet::launch(program, plan);
    fleet.store.update(|f| f.latency = STORE_LATENCY);
    fleet.apply(program);
    fleet.await_ready();
    fleet
}

async fn send_booking(pools: Arc<[Pool]>, number: u64) -> (usize, Duration, Outcome) {
    let pool = &pools[number as usize % pools.len()];
    let headers = [("x-idempotency-key", format!("key-{number}"))];
    let reply = pool.post("/book/search", &headers, b"booking".to_vec()).await;
    let outcome = match reply {
        Ok((200, _)) => Outcome::Answered(CheckResult { coverage: 1.0, ..CheckResult::default() }),
        _ => Outcome::Failed,
    };
    (0, DURATION, outcome)
}
