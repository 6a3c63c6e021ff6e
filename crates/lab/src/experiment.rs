//! Runs a load file: each variant at each load under each condition, with repeats.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Service};

use crate::answer::Answer;
use crate::baseline::Baseline;
use crate::client::Pool;
use crate::driver::{self, Arrival, Arrivals, Outcome, Tally};
use crate::fleet::{Fleet, Plan};
use crate::load::{Condition, Dispatch, LoadFile, Portion, Variant};
use crate::report::Run;
use crate::target::{Behaviour, ColdStart, Overload, TargetServer};

/// Maximum number of connections from the load to one host.
const CALLER_CONNECTIONS: usize = 512;

const STRAGGLER_SHARE: f64 = 0.01;
const STRAGGLER_FACTOR: f64 = 10.0;

/// A cold target takes one request at a time, three times as long for each of its first 50; a
/// second request at the same time crashes it.
const COLD_START: ColdStart = ColdStart {
    capacity: 1,
    warmup_requests: 50,
    slowdown: 3.0,
    overload: Overload::Crash(Duration::from_millis(500)),
};

/// One run of one combination of variant, load and condition.
struct Cell<'a> {
    file: &'a LoadFile,
    variant: &'a Variant,
    load: f64,
    condition: Condition,
    repeat: u32,
}

/// Runs the file with the binary `program`; calls `done` with the results of each run as it ends.
pub fn run(program: &Path, file: &LoadFile, mut done: impl FnMut(&Run)) -> Vec<Run> {
    let mut runs = Vec::new();
    // Repeats are the outermost loop, so that a change of the machine's background load affects all
    // variants.
    for repeat in 0..file.repeats {
        for &condition in &file.conditions {
            for &load in &file.loads {
                for variant in &file.variants {
                    let cell = Cell { file, variant, load, condition, repeat };
                    for run in cell.run(program) {
                        done(&run);
                        runs.push(run);
                    }
                }
            }
        }
    }
    runs
}

impl Cell<'_> {
    fn run(&self, program: &Path) -> Vec<Run> {
        let plan = self.plan();
        let hosts = plan.hosts.len();
        let product = self.variant.dispatch == Dispatch::Product;
        let plan = if product { plan } else { Plan { hosts: Vec::new(), ..plan } };
        let fleet = Fleet::launch(program, plan);
        let catalogue = &fleet.catalogue;
        let rate = self.load * self.file.capacity(catalogue);
        let arrivals = Arrivals {
            rate,
            warm_up: self.file.warm_up,
            duration: self.file.duration,
            seed: self.file.seed + u64::from(self.repeat),
        };
        let sender = QuerySender::new(self.file, catalogue);
        let before = std::cell::Cell::new(Duration::ZERO);
        let at_start = || {
            self.apply_condition(&fleet);
            fleet.targets.iter().for_each(TargetServer::reset_counters);
            before.set(cpu_time(&fleet));
        };
        let label = self.label();
        let tallies = if product {
            fleet.apply(program);
            fleet.await_ready();
            let pools = fleet.hosts.iter().map(|h| Pool::new(h.callers, CALLER_CONNECTIONS));
            let pools: Arc<[Pool]> = pools.collect();
            driver::drive(&arrivals, &label, at_start, |a| sender.query_product(pools.clone(), a))
        } else {
            let service_time = self.file.service_time;
            let baseline = Baseline::new(catalogue, self.variant.dispatch, hosts, service_time);
            let baseline = Arc::new(baseline);
            driver::drive(&arrivals, &label, at_start, |a| {
                sender.query_baseline(baseline.clone(), hosts, a)
            })
        };
        let cpu = cpu_time(&fleet).saturating_sub(before.get());
        self.results(&fleet, rate, &tallies, cpu)
    }

    fn label(&self) -> String {
        let (name, load) = (&self.variant.name, self.load);
        format!(
            "{name} at {load} {:?} run {} of {}",
            self.condition,
            self.repeat + 1,
            self.file.repeats
        )
    }

    fn plan(&self) -> Plan {
        let service = self.file.service_time;
        let seed = self.file.seed + u64::from(self.repeat) * 1_000;
        let has_stragglers = self.condition == Condition::Stragglers;
        let stragglers = if has_stragglers { STRAGGLER_SHARE } else { 0.0 };
        let plan = self.file.deployment.plan();
        plan.with_settings(self.variant.settings.clone()).with_behaviour(move |_, _, behaviour| {
            Behaviour {
                service,
                stragglers,
                straggler_factor: STRAGGLER_FACTOR,
                seed: behaviour.seed + seed,
                ..behaviour
            }
        })
    }

    /// Takes one replica of each shard down or makes it cold, if the condition says so; stragglers
    /// are part of the plan.
    fn apply_condition(&self, fleet: &Fleet) {
        let shards = fleet.catalogue.services.iter().flat_map(|s| &s.shards);
        for (i, shard) in shards.enumerate() {
            let name = &shard.targets[i % shard.targets.len()].name;
            let target = fleet.target(name);
            match self.condition {
                Condition::Healthy | Condition::Stragglers => {}
                Condition::LostReplica => target.update(|b| b.down = true),
                Condition::ColdRestart => target.go_cold(COLD_START),
            }
        }
    }

    /// Results of the whole run, followed by those of each portion if the mix has several.
    fn results(
        &self,
        fleet: &Fleet,
        rate: f64,
        tallies: &driver::Tallies,
        cpu: Duration,
    ) -> Vec<Run> {
        let mut all = Tally::default();
        tallies.values().for_each(|tally| all.merge(tally));
        let mut whole = self.summarize("all", rate, &all);
        self.add_target_counters(&mut whole, fleet, tallies);
        whole.query_cpu = cpu.as_secs_f64() * 1e6 / all.queries.max(1) as f64;
        let mut runs = vec![whole];
        if self.file.mix.len() > 1 {
            for (i, portion) in self.file.mix.iter().enumerate() {
                let tally = tallies.get(&i).cloned().unwrap_or_default();
                let share = portion.share / self.file.mix.iter().map(|p| p.share).sum::<f64>();
                let part = part_name(&fleet.catalogue, portion);
                runs.push(self.summarize(&part, rate * share, &tally));
            }
        }
        runs
    }

    fn summarize(&self, part: &str, rate: f64, tally: &Tally) -> Run {
        let seconds = self.file.duration.as_secs_f64();
        Run {
            variant: self.variant.name.to_string(),
            load: self.load,
            condition: self.condition,
            repeat: self.repeat,
            part: part.to_owned(),
            rate,
            queries: tally.queries,
            answered: tally.answered,
            refused: tally.refused,
            failed: tally.failed,
            goodput: tally.good as f64 / seconds,
            good_share: tally.good as f64 / tally.queries.max(1) as f64,
            coverage: tally.coverage / tally.queries.max(1) as f64,
            p50_ms: tally.quantile_ms(0.5),
            p99_ms: tally.quantile_ms(0.99),
            p999_ms: tally.quantile_ms(0.999),
            foreign: tally.foreign,
            mixed: tally.mixed,
            false_coverage: tally.false_coverage,
            ..Run::default()
        }
    }

    fn add_target_counters(&self, run: &mut Run, fleet: &Fleet, tallies: &driver::Tallies) {
        let min_requests: f64 = self
            .file
            .mix
            .iter()
            .enumerate()
            .map(|(i, portion)| {
                let shards =
                    fleet.catalogue.service(&portion.service).map_or(0, |s| s.shards.len());
                tallies.get(&i).map_or(0, |t| t.answered) as f64 * shards as f64
            })
            .sum();
        let mut received = 0;
        let mut busy = Duration::ZERO;
        let mut slots = 0;
        for (target, server) in queried_targets(fleet, &self.file.mix) {
            let counters = server.counters();
            received += counters.received;
            busy += counters.busy;
            slots += target.slots;
            let ratio = |most: u32| f64::from(most) / f64::from(target.slots);
            run.most_running = run.most_running.max(counters.most_running);
            run.held_ratio = run.held_ratio.max(ratio(counters.most_outstanding));
            let connections = server.most_connections() as f64 / f64::from(target.connections);
            run.connection_ratio = run.connection_ratio.max(connections);
            run.most_cold = run.most_cold.max(counters.most_cold);
            run.overloads += counters.overloads;
            run.shed += counters.shed;
        }
        run.extra = received as f64 / min_requests.max(1.0) - 1.0;
        let time = self.file.duration.as_secs_f64() * f64::from(slots.max(1));
        run.busy = busy.as_secs_f64() / time;
    }
}

/// Targets of the services in the mix.
fn queried_targets<'a>(
    fleet: &'a Fleet,
    mix: &'a [Portion],
) -> impl Iterator<Item = (&'a sapphirerack_catalogue::Target, &'a TargetServer)> {
    let services = fleet.catalogue.services.iter();
    let all = services.flat_map(|s| s.shards.iter().flat_map(|h| &h.targets).map(move |t| (s, t)));
    let is_queried = |s: &Service| mix.iter().any(|p| p.service == s.name);
    all.zip(&fleet.targets)
        .filter(move |((s, _), _)| is_queried(s))
        .map(|((_, t), server)| (t, server))
}

/// Member, class and route of a portion.
fn part_name(catalogue: &Catalogue, portion: &Portion) -> String {
    let service = catalogue.service(&portion.service).unwrap();
    format!("{}/{}/{}", service.owner, service.class, portion.route)
}

/// CPU time of all host processes.
fn cpu_time(fleet: &Fleet) -> Duration {
    fleet.hosts.iter().map(crate::fleet::HostProcess::cpu).sum()
}

/// Sends the queries of a mix.
struct QuerySender {
    parts: Arc<[(Portion, Duration)]>,
    total: f64,
}

impl QuerySender {
    fn new(file: &LoadFile, catalogue: &Catalogue) -> Self {
        let parts = file.mix.iter().map(|portion| {
            let service = catalogue.service(&portion.service).unwrap();
            (portion.clone(), service.limits.deadline)
        });
        Self { parts: parts.collect(), total: file.mix.iter().map(|p| p.share).sum() }
    }

    /// Index of the portion of the mix for an arrival.
    fn portion_index(&self, arrival: Arrival) -> usize {
        let mut remaining = arrival.portion * self.total;
        for (i, (portion, _)) in self.parts.iter().enumerate() {
            remaining -= portion.share;
            if remaining < 0.0 {
                return i;
            }
        }
        self.parts.len() - 1
    }

    fn query_product(
        &self,
        pools: Arc<[Pool]>,
        arrival: Arrival,
    ) -> impl Future<Output = (usize, Duration, Outcome)> + Send + 'static {
        let part = self.portion_index(arrival);
        let parts = self.parts.clone();
        async move {
            let (portion, limit) = &parts[part];
            let pool = &pools[arrival.host % pools.len()];
            let query = format!("q{}", arrival.number);
            let path = format!("/search/{}", portion.service);
            let headers = [("x-route", portion.route.to_string())];
            let reply = pool.post(&path, &headers, query.clone().into_bytes()).await;
            let outcome =
                reply.map_or(Outcome::Failed, |(status, body)| classify(status, &body, &query));
            (part, *limit, outcome)
        }
    }

    fn query_baseline(
        &self,
        baseline: Arc<Baseline>,
        hosts: usize,
        arrival: Arrival,
    ) -> impl Future<Output = (usize, Duration, Outcome)> + Send + 'static {
        let part = self.portion_index(arrival);
        let parts = self.parts.clone();
        async move {
            let (portion, limit) = &parts[part];
            let query = format!("q{}", arrival.number);
            let host = arrival.host % hosts;
            let answer = baseline.search(host, &portion.service, &query, *limit).await;
            (part, *limit, Outcome::Answered(answer.check(&query)))
        }
    }
}

fn classify(status: u16, body: &[u8], query: &str) -> Outcome {
    if status != 200 {
        let refusal: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        return if refusal["not_run"] == true { Outcome::Refused } else { Outcome::Failed };
    }
    match serde_json::from_slice::<Answer>(body) {
        Ok(answer) => Outcome::Answered(answer.check(query)),
        Err(_) => Outcome::Failed,
    }
}
