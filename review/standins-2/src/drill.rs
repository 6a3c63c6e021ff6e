//! Cases on the drill of `LETTER-incident.md`: the store is away for a moment and comes back from a
//! copy some seconds old, so that its revisions go back and are given out again.

use std::io;
use std::time::Duration;

use crate::client::Clients;
use crate::host::Host;
use crate::record::Record;
use crate::searcher::{Arrival, Searcher};
use crate::store::Store;
use crate::{Held, ZONES, configuration, free_address, pause, set_store_away, start_hosts};

/// `EvacuateMs`, `DrainMs` and `ConfigApplyMs` of the small deployments.
const EVACUATE_S: f64 = 5.0;
const DRAIN_S: f64 = 3.0;
const APPLY_S: f64 = 3.0;

/// Age of the copy when the store goes away, and how long it is away.
const COPY_AGE_S: f64 = 5.0;
const AWAY_S: f64 = 1.0;

/// Time from the store's return to the operator's next step; more than `ContactMs`, 4 s.
const SETTLE_S: f64 = 6.0;

/// Configurations in quick succession, and the pause between two of them.
const STORM: u64 = 12;
const STORM_GAP_S: f64 = 0.33;

const WORK: Duration = Duration::from_millis(20);

/// A small deployment under load.
struct Site {
    store: Store,
    searchers: Vec<Searcher>,
    hosts: Vec<Host>,
    clients: Vec<Clients>,
}

impl Site {
    /// Starts two searchers in each zone, the hosts, and clients that ask each host.
    fn start(record: &Record) -> Result<Self, Box<dyn std::error::Error>> {
        let store = Store::start(free_address())?;
        store.put("op/config", &configuration(1, &["desk"]));
        let mut searchers = Vec::new();
        for (n, zone) in ZONES.iter().chain(&ZONES).enumerate() {
            let id = format!("i-{zone}{n}");
            searchers.push(Searcher::start(&id, "desk", zone, WORK, &store, record)?);
        }
        let (_, hosts) = start_hosts(&store, 2, record)?;
        let start = |host: &Host| {
            let gap = Duration::from_millis(100);
            Clients::start(&host.name, host.callers, "/desk/1", 3, gap, record)
        };
        let clients = hosts.iter().map(start).collect();
        Ok(Self { store, searchers, hosts, clients })
    }

    /// Plays the operator's configurations, the start of `starting` further searchers and, if
    /// `is_troubled`, the drill in which the store loses all that. Returns once the store has been
    /// without disruption for longer than `ContactMs`.
    fn play(&mut self, record: &Record, starting: usize, is_troubled: bool) -> io::Result<()> {
        pause(2.0);
        let copy = self.store.copy();
        record.say(&format!("copy of the store, revision {}", self.store.revision()));
        let newest = 1 + STORM;
        for version in 2..=newest {
            pause(STORM_GAP_S);
            let revision = self.store.put("op/config", &configuration(version, &["desk"]));
            record.line(&format!("configuration {version}, revision {revision}"));
        }
        for n in 0..starting {
            let id = format!("i-late{n}");
            let searcher = Searcher::start(&id, "desk", ZONES[2], WORK, &self.store, record)?;
            self.searchers.push(searcher);
        }
        record.say(&format!(
            "{STORM} configurations and {starting} searchers, revision {}",
            self.store.revision()
        ));
        pause(COPY_AGE_S - STORM as f64 * STORM_GAP_S);
        if is_troubled {
            record.say("the store is away");
            set_store_away(true);
            self.store.go_away();
            pause(AWAY_S);
            self.store.come_back(copy);
            set_store_away(false);
            record.say(&format!("the store is back, revision {}", self.store.revision()));
            // What the operator wrote is written again, and the searchers' entries that are not in
            // the copy with their next heartbeat.
            pause(0.2);
            let revision = self.store.put("op/config", &configuration(newest, &["desk"]));
            record.say(&format!("configuration {newest} again, revision {revision}"));
        }
        pause(SETTLE_S);
        record.say(&format!("the store's revision is {}", self.store.revision()));
        Ok(())
    }

    /// Ends the clients; an error if a host has ended, or one has served nothing.
    fn end(mut self, record: &Record) -> Result<(), Box<dyn std::error::Error>> {
        for (clients, host) in self.clients.into_iter().zip(&mut self.hosts) {
            let answered = clients.answered();
            clients.stop();
            record.say(&format!("host {} gave {answered} answers", host.name));
            if answered == 0 || !host.runs() {
                return Err(format!("host {} did not serve", host.name).into());
            }
        }
        Ok(())
    }
}

/// Shows what reached a searcher too late; returns how many requests did.
fn report(record: &Record, searcher: &Searcher, due: f64) -> usize {
    let late: Vec<Arrival> = searcher.arrivals().into_iter().filter(|a| a.at > due).collect();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let mut hosts: Vec<&str> =
            late.iter().filter_map(|a| a.attempt.split('.').next()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        record.say(&format!(
            "searcher {} of zone {} gets {} requests later than allowed, from {:.1} s to {:.1} s \
             after that, from {}",
            searcher.id,
            searcher.zone,
            late.len(),
            first.at - due,
            last.at - due,
            hosts.join(" "),
        ));
    }
    late.len()
}

/// The operator evacuates a zone after the drill.
pub fn evacuation(record: &Record, is_troubled: bool) -> Held {
    let mut site = Site::start(record)?;
    site.play(record, 0, is_troubled)?;
    let revision = site.store.put("op/evacuate/b", "{}");
    let acknowledged = record.say(&format!("zone b is evacuated, revision {revision}"));
    pause(EVACUATE_S + 8.0);
    let due = acknowledged + EVACUATE_S;
    let evacuated = site.searchers.iter().filter(|s| s.zone == "b");
    let late: usize = evacuated.map(|s| report(record, s, due)).sum();
    site.end(record)?;
    record.say(&format!("EVAC: {late} requests reached zone b later than EvacuateMs"));
    Ok(late == 0)
}

/// The operator adds a route after the drill, to a service whose searchers have just started.
pub fn route(record: &Record, is_troubled: bool) -> Held {
    let mut site = Site::start(record)?;
    site.play(record, 0, is_troubled)?;
    for (n, zone) in ZONES.iter().chain(&ZONES).enumerate() {
        let id = format!("i-new-{zone}{n}");
        let searcher = Searcher::start(&id, "portal", zone, WORK, &site.store, record)?;
        site.searchers.push(searcher);
    }
    record.say(&format!("6 searchers of another service, revision {}", site.store.revision()));
    pause(3.0);
    let revision = site.store.put("op/config", &configuration(2 + STORM, &["desk", "portal"]));
    record.say(&format!("a route to that service, revision {revision}"));
    pause(APPLY_S + 1.0);
    let answered = |clients: &[Clients]| -> usize { clients.iter().map(Clients::answered).sum() };
    let sent = |clients: &[Clients]| -> usize { clients.iter().map(Clients::sent).sum() };
    let before = (sent(&site.clients), answered(&site.clients));
    let start = |host: &Host| {
        let gap = Duration::from_millis(100);
        Clients::start(&format!("{}.new", host.name), host.callers, "/portal/1", 2, gap, record)
    };
    let added: Vec<Clients> = site.hosts.iter().map(start).collect();
    pause(12.0);
    let first = (sent(&site.clients) - before.0, answered(&site.clients) - before.1);
    let second = (sent(&added), answered(&added));
    for (clients, host) in added.into_iter().zip(&site.hosts) {
        let (answered, sent) = (clients.answered(), clients.sent());
        record.say(&format!("host {} served {answered} of {sent} on the new route", host.name));
        clients.stop();
    }
    site.end(record)?;
    record.say(&format!("served on the first route: {} of {}", first.1, first.0));
    record.say(&format!("CONFIG: served on the added route: {} of {}", second.1, second.0));
    if first.0 < 20 || second.0 < 20 {
        return Err("too few requests".into());
    }
    let share = |(sent, answered): (usize, usize)| answered as f64 / sent as f64;
    Ok(share(second) >= share(first) / 4.0)
}

/// A searcher leaves after the drill, while nobody asks for its service.
pub fn drain(record: &Record, is_troubled: bool) -> Held {
    let mut site = Site::start(record)?;
    site.play(record, 1, is_troubled)?;
    site.clients.iter().for_each(|c| c.pause(true));
    pause(0.5);
    let acknowledged = site.searchers[1].drain();
    pause(DRAIN_S + 0.5);
    site.clients.iter().for_each(|c| c.pause(false));
    pause(4.0);
    let late = report(record, &site.searchers[1], acknowledged + DRAIN_S);
    site.end(record)?;
    record.say(&format!("DRAIN: {late} requests reached the searcher later than DrainMs"));
    Ok(late == 0)
}
