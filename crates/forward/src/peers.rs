//! Gossip with other hosts.
//!
//! The membership decides which hosts get a datagram. Each datagram carries a summary of the view;
//! a host whose own view is behind fetches the difference from the sender over TCP. The age of a
//! view is taken over only from replies, as the time since any other datagram was sent is unknown.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphirerack_policy::Outgoing;
use sapphirerack_policy::direct::SlowReport;
use sapphirerack_protocol::{Datagram, PeerReply, PeerRequest, Purpose, Topic};
use sapphirerack_routes::{Comparison, Delta, Departure, ViewSummary};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::host::Host;
use crate::peer_calls::call;

/// Time between two gossip rounds.
pub(crate) const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a call to another host during startup, when many hosts may call it.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause after the first round of calls to the seeds during startup; doubles with each round.
const STARTUP_PAUSE: Duration = Duration::from_millis(25);

/// Rounds without an answer after which the seeds are taken to be down; they may start slightly
/// later than this host.
const MAX_SILENT_ROUNDS: u32 = 4;

/// Longest pause between two rounds of calls to the seeds.
const MAX_STARTUP_PAUSE: Duration = Duration::from_millis(200);

/// Number of hosts of the same data centre to which urgent changes are gossiped at once.
const URGENT_FANOUT: usize = 2;

/// Topic of the summary of the view.
const VIEW_TOPIC: &str = "view";

/// Topic of reports of slow targets.
const SLOW_TOPIC: &str = "slow";

/// Most reports in a datagram.
const MAX_REPORTS: usize = 12;

/// Topic of departures of targets.
const DEPARTURE_TOPIC: &str = "departures";

/// Most departures in a datagram.
const MAX_DEPARTURES: usize = 12;

/// Difference of ages from which a host tells the sender of an ack that its own view is younger.
const AGE_MARGIN: Duration = GOSSIP_INTERVAL;

/// Least time between two fetches of a whole view.
const MIN_WHOLE_INTERVAL: Duration = Duration::from_secs(2);

/// Least time between two urgent rounds on slow targets.
const MIN_SLOW_INTERVAL: Duration = Duration::from_millis(30);

/// Most bytes of a topic beyond its name and content.
const TOPIC_OVERHEAD: usize = 4;

const RECEIVE_BUFFER: usize = 2_048;

/// Exchanges datagrams until the process ends.
pub(crate) async fn run(host: Rc<Host>, socket: UdpSocket) {
    let peers =
        Rc::new(Peers { host, socket, fetching: Cell::new(false), last_whole: Cell::new(None) });
    let mut buffer = vec![0; RECEIVE_BUFFER];
    let mut ticks = tokio::time::interval(GOSSIP_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut gossiped = ViewSummary::default();
    let mut last_slow = peers.host.boot_time();
    loop {
        let (mut slow, mut departed) = (false, false);
        tokio::select! {
            () = peers.host.slow_changed.notified() => slow = true,
            () = peers.host.departed.notified() => departed = true,
            _ = ticks.tick() => {
                let outgoing = peers.host.fleet.members.borrow_mut().tick(peers.host.boot_time());
                peers.send(outgoing).await;
                peers.repair();
                peers.host.update_members();
                peers.host.pool.evict_expired(peers.host.now());
            }
            received = peers.socket.recv_from(&mut buffer) => match received {
                Ok((size, source)) => peers.receive(source, &buffer[..size]).await,
                Err(e) => log::debug!("event=datagram_lost error=\"{e}\""),
            },
        }
        let now = peers.host.boot_time();
        let own = peers.host.view.borrow().summary(now);
        let changed = own.content > gossiped.content || own.version > gossiped.version;
        slow &= now.saturating_duration_since(last_slow) >= MIN_SLOW_INTERVAL;
        if slow {
            last_slow = now;
        }
        if changed || slow || departed || peers.host.fleet.members.borrow_mut().take_urgent() {
            gossiped = own;
            let outgoing = peers.host.fleet.members.borrow_mut().gossip(now, URGENT_FANOUT);
            peers.send(outgoing).await;
        }
    }
}

struct Peers {
    host: Rc<Host>,
    socket: UdpSocket,
    fetching: Cell<bool>,
    /// Last fetch of a whole view.
    last_whole: Cell<Option<Instant>>,
}

impl Peers {
    async fn send(&self, outgoing: Vec<Outgoing>) {
        if outgoing.is_empty() {
            return;
        }
        let now = self.host.boot_time();
        let topics = [
            encode_topic(DEPARTURE_TOPIC, &self.host.recent_departures(MAX_DEPARTURES)),
            encode_topic(SLOW_TOPIC, &self.host.slow_reports(MAX_REPORTS)),
        ];
        for Outgoing { to, mut datagram } in outgoing {
            let own = self.host.view.borrow().summary(now);
            datagram.version = own.version;
            if let Ok(bytes) = postcard::to_stdvec(&own) {
                datagram.topics.push(Topic { name: VIEW_TOPIC.into(), bytes });
            }
            // Membership updates take precedence: the other topics are sent again in later rounds.
            for topic in topics.iter().flatten() {
                if topic.bytes.len() + topic.name.len() + TOPIC_OVERHEAD < datagram.room() {
                    datagram.topics.push(topic.clone());
                }
            }
            match datagram.encode() {
                // Gossip tolerates lost datagrams.
                Ok(bytes) => drop(self.socket.send_to(&bytes, to).await),
                Err(e) => log::warn!("event=datagram_unsent peer={to} error=\"{e}\""),
            }
        }
    }

    async fn receive(self: &Rc<Self>, source: SocketAddr, bytes: &[u8]) {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::debug!("event=datagram_refused peer={source} error=\"{e}\"");
                return;
            }
        };
        let now = self.host.boot_time();
        let sent = self.host.fleet.members.borrow().earliest_send(&datagram, now);
        let outgoing = self.host.fleet.members.borrow_mut().receive(source, &datagram, now);
        self.send(outgoing).await;
        for departure in topic::<Vec<Departure>>(&datagram, DEPARTURE_TOPIC).unwrap_or_default() {
            self.host.record_departure(&departure.target, departure.born);
        }
        if let Some(reports) = topic::<Vec<SlowReport>>(&datagram, SLOW_TOPIC)
            && self.host.merge_reports(&reports)
        {
            self.host.slow_changed.notify_one();
        }
        let Some(summary) = topic::<ViewSummary>(&datagram, VIEW_TOPIC) else { return };
        let comparison = self.host.view.borrow().compare(&summary, now);
        match comparison {
            Comparison::Current => {
                if let Some(sent) = sent {
                    self.host.view.borrow_mut().refresh(&summary, sent);
                }
                self.pass_age_on(source, &datagram, &summary, now).await;
            }
            Comparison::Behind => {
                let own = self.host.view.borrow().summary(now);
                self.fetch_view(datagram.from.address, PeerRequest::View(own));
            }
            Comparison::Diverged => self.fetch_whole(datagram.from.address, now),
        }
    }

    /// Replies to an ack if this host's view is younger than that of the sender, which can't rely on
    /// the age in the ping: it does not know when that was sent.
    async fn pass_age_on(
        &self,
        source: SocketAddr,
        datagram: &Datagram,
        summary: &ViewSummary,
        now: Instant,
    ) {
        let is_ack = matches!(datagram.purpose, Purpose::Ack(_));
        if is_ack && self.host.view.borrow().is_fresher(summary, AGE_MARGIN, now) {
            let reply = self.host.fleet.members.borrow_mut().reply(source, datagram, now);
            self.send(vec![reply]).await;
        }
    }

    /// Fetches the whole view of a peer, unless one was fetched only recently.
    fn fetch_whole(self: &Rc<Self>, peer: SocketAddr, now: Instant) {
        let is_recent = |at| now.saturating_duration_since(at) < MIN_WHOLE_INTERVAL;
        if !self.last_whole.get().is_some_and(is_recent) {
            log::info!("event=view_diverged peer={peer}");
            self.last_whole.set(Some(now));
            self.fetch_view(peer, PeerRequest::WholeView);
        }
    }

    /// Fetches the changes that this host's view lacks, from one peer at a time.
    fn fetch_view(self: &Rc<Self>, peer: SocketAddr, request: PeerRequest) {
        if self.fetching.replace(true) {
            return;
        }
        let peers = self.clone();
        spawn_local(async move {
            let asked = peers.host.boot_time();
            match call(peer, &request).await {
                Ok(PeerReply::View(delta)) => merge_delta(&peers.host, peer, *delta, asked),
                Ok(PeerReply::Peers(_)) => log::warn!("event=view_refused peer={peer}"),
                Err(e) => log::debug!("event=view_not_learnt error=\"{e}\""),
            }
            peers.fetching.set(false);
        });
    }

    /// Fetches the hosts of a data centre from a peer that has newer state of them (anti-entropy).
    fn repair(self: &Rc<Self>) {
        let now = self.host.boot_time();
        let Some(repair) = self.host.fleet.members.borrow_mut().repair(now) else { return };
        let host = self.host.clone();
        spawn_local(async move {
            match call(repair.peer, &PeerRequest::Peers(repair.data_centre)).await {
                Ok(PeerReply::Peers(peers)) => {
                    host.fleet.members.borrow_mut().merge(&peers, host.boot_time());
                }
                Ok(PeerReply::View(_)) => log::warn!("event=peers_refused peer={}", repair.peer),
                Err(e) => log::debug!("event=peers_not_learnt error=\"{e}\""),
            }
        });
    }
}

/// A topic with these entries; `None` if there are none.
fn encode_topic<T: serde::Serialize>(name: &str, entries: &[T]) -> Option<Topic> {
    if entries.is_empty() {
        return None;
    }
    let bytes = postcard::to_stdvec(entries);
    let bytes = bytes.inspect_err(|e| log::warn!("event=topic_unsent topic={name} error=\"{e}\""));
    Some(Topic { name: name.into(), bytes: bytes.ok()? })
}

fn topic<T: serde::de::DeserializeOwned>(datagram: &Datagram, name: &str) -> Option<T> {
    let topic = datagram.topics.iter().find(|t| &*t.name == name)?;
    postcard::from_bytes(&topic.bytes).ok()
}

/// Merges the changes of another host, which was asked for them at `asked`, into the view.
fn merge_delta(host: &Host, peer: SocketAddr, delta: Delta, asked: Instant) {
    let before = host.view.borrow().version();
    let (targets, orders, revision) = (delta.targets.len(), delta.orders.len(), delta.content);
    let changed = host.view.borrow_mut().merge(delta, asked);
    host.record_era();
    if changed {
        let version = host.view.borrow().version();
        log::info!(
            "event=view_learnt peer={peer} version={before} new_version={version} \
             revision={revision} targets={targets} orders={orders}"
        );
        host.update();
    }
}

/// Fetches the view from the given hosts in turn until there is a configuration, or until none of
/// them has answered for some rounds: they are down then, and the store has to be read.
pub(crate) async fn fetch_initial_view(host: Rc<Host>, mut peers: Vec<SocketAddr>) {
    fastrand::shuffle(&mut peers);
    let mut pause = STARTUP_PAUSE;
    let mut silent_rounds = 0;
    while silent_rounds < MAX_SILENT_ROUNDS {
        silent_rounds += 1;
        for peer in &peers {
            if host.view.borrow().version() > 0 {
                return;
            }
            let asked = host.boot_time();
            let own = host.view.borrow().summary(asked);
            let response =
                tokio::time::timeout(STARTUP_TIMEOUT, call(*peer, &PeerRequest::View(own))).await;
            if let Ok(Ok(PeerReply::View(delta))) = response {
                silent_rounds = 0;
                merge_delta(&host, *peer, *delta, asked);
            }
        }
        tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(MAX_STARTUP_PAUSE);
    }
}
