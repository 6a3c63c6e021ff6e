//! Cost of searches at the entry host and at the owner, by number of sub-queries; each shard is a
//! group of one replica.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::Name;

use crate::answer::Answer;
use crate::client::Pool;
use crate::driver::{self, Arrivals, Outcome, Tally};
use crate::fleet::{Fleet, Plan};
use crate::slopes::{Series, Slope};
use crate::target::{Behaviour, TargetServer};

/// Shards and queries per second; the rates keep the machine well below saturation.
const SIZES: [(u32, f64); 4] = [(5, 120.0), (20, 60.0), (40, 40.0), (81, 30.0)];
const DURATION: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(1);
const CONNECTIONS: usize = 64;
const SLOTS: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(5);

const QUERY: &str = "query";

/// Time for the memory of an idle group to stop growing.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Measures queries with several numbers of sub-queries.
///
/// The entry host is in a data centre without targets, so that it only gathers; a host in another
/// data centre owns all targets and only dispatches.
pub fn measure(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for (shards, rate) in SIZES {
        let fleet = launch_fleet(program, shards);
        let idle: Vec<u64> = fleet.hosts.iter().map(|h| h.memory()).collect();
        let before = std::cell::Cell::new(CpuTimes::default());
        let arrivals = Arrivals { rate, warm_up: WARM_UP, duration: DURATION, seed: 1 };
        let pool = Arc::new(Pool::new(fleet.hosts[0].callers, CONNECTIONS));
        let at_start = || {
            fleet.targets.iter().for_each(TargetServer::reset_counters);
            before.set(CpuTimes::take(&fleet));
        };
        let label = format!("{shards} sub-queries a query");
        let tallies = driver::drive(&arrivals, &label, at_start, |_| send_query(pool.clone()));
        let used = CpuTimes::take(&fleet).since(&before.get());
        let mut all = Tally::default();
        tallies.values().for_each(|t| all.merge(t));
        assert!(all.answered > 0, "no query with {shards} sub-queries was answered");
        let queries = all.queries as f64;
        let sub_queries = queries * f64::from(shards);
        thread::sleep(SETTLE_TIME);
        series.add(
            f64::from(shards),
            &[
                ("entry host, CPU a query", "us", micros(used.entry) / queries),
                ("owner, CPU a query", "us", micros(used.owner) / queries),
                ("owner, CPU a sub-query", "us", micros(used.owner) / sub_queries),
                ("owner, memory by groups", "KB", memory_growth(&fleet, 1, idle[1])),
                ("entry host, memory by groups", "KB", memory_growth(&fleet, 0, idle[0])),
                ("owner, threads by groups", "", fleet.hosts[1].threads() as f64),
                ("complete answers", "% of queries", all.good as f64 * 100.0 / queries),
                ("p50 of a query", "ms", all.quantile_ms(0.5)),
            ],
        );
    }
    series.fit("sub-query or group")
}

fn launch_fleet(program: &Path, shards: u32) -> Fleet {
    let mut plan = Plan::group(shards, 1, SLOTS);
    let near: Name = "near".into();
    let far = plan.catalogue.data_centres[0].name.clone();
    let mut centre = plan.catalogue.data_centres[0].clone();
    centre.name = near.clone();
    plan.catalogue.data_centres.push(centre);
    plan.hosts = vec![near, far];
    let plan = plan.with_behaviour(|_, _, behaviour| Behaviour {
        service: SERVICE_TIME,
        connect: Duration::ZERO,
        ..behaviour
    });
    let fleet = Fleet::launch(program, plan);
    fleet.apply(program);
    fleet.await_ready();
    fleet
}

async fn send_query(pool: Arc<Pool>) -> (usize, Duration, Outcome) {
    let reply = pool.post("/search/search", &[], QUERY.into()).await;
    let answer = reply.ok().and_then(|(_, body)| serde_json::from_slice::<Answer>(&body).ok());
    let outcome = answer.map_or(Outcome::Failed, |a| Outcome::Answered(a.check(QUERY)));
    (0, DURATION, outcome)
}

/// CPU times of the two hosts.
#[derive(Clone, Copy, Default)]
struct CpuTimes {
    entry: Duration,
    owner: Duration,
}

impl CpuTimes {
    fn take(fleet: &Fleet) -> Self {
        Self { entry: fleet.hosts[0].cpu(), owner: fleet.hosts[1].cpu() }
    }

    fn since(&self, before: &Self) -> Self {
        Self { entry: self.entry - before.entry, owner: self.owner - before.owner }
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn memory_growth(fleet: &Fleet, host: usize, before: u64) -> f64 {
    fleet.hosts[host].memory() as f64 - before as f64
}
