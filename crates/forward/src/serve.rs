//! Starts and stops a host.

use std::fs;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use sapphirerack_policy::{Clock, Host as HostName, Membership, Timing};
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::host::Host;
use crate::metrics::Metrics;
use crate::{
    Dialect, Error, Limits, Result, Settings, caller, from_text, peer_calls, peers, reader, ready,
};

/// Time between two checks of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Time that a suspected host has to refute the suspicion before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Runs a host until SIGTERM, then shuts it down gracefully. `path` is the file of the settings, which
/// `limits` complete.
///
/// # Errors
///
/// The runtime can't be started, or an address can't be bound.
pub fn serve(
    settings: Settings,
    limits: Limits,
    path: &Path,
    dialect: Dialect,
    clock: Arc<dyn Clock>,
) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Error::io("start runtime", "process", e))?;
    LocalSet::new().block_on(&runtime, run(settings, limits, path, dialect, clock))
}

async fn run(
    settings: Settings,
    limits: Limits,
    path: &Path,
    dialect: Dialect,
    clock: Arc<dyn Clock>,
) -> Result<()> {
    let listen = settings.listen.clone();
    let callers = bind(listen.callers).await?;
    let readiness = bind(listen.ready).await?;
    let hosts = bind(listen.hosts).await?;
    let datagrams = UdpSocket::bind(listen.hosts).await;
    let datagrams = datagrams.map_err(|e| Error::io("listen", listen.hosts, e))?;
    let mut stop = listen_signal(SignalKind::terminate())?;
    let reload = listen_signal(SignalKind::hangup())?;
    let members = membership(&settings, &*clock);
    let name = settings.name.clone();
    log::info!("event=start host={name} data_centre={}", settings.data_centre);
    let host = Rc::new(Host::new(settings, dialect, clock, Metrics::new()?, members));
    let callers = spawn_local(caller::accept(host.clone(), callers));
    spawn_local(ready::accept(host.clone(), readiness));
    spawn_local(peer_calls::accept(host.clone(), hosts));
    spawn_local(peers::run(host.clone(), datagrams));
    spawn_local(reader::run(host.clone()));
    spawn_local(watch_settings(host.clone(), limits, path.to_owned(), reload));
    stop.recv().await;
    log::info!("event=stop host={name} reason=signal");
    host.leave();
    callers.await.map_err(|e| Error::io("stop", "process", e.into()))
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| Error::io("listen", address, e))
}

fn listen_signal(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| Error::io("wait for signals", "process", e))
}

fn membership(settings: &Settings, clock: &dyn Clock) -> Membership {
    let own = HostName {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.advertised(),
        capacity: settings.machine.capacity(),
    };
    let timing = Timing {
        interval: peers::GOSSIP_INTERVAL,
        suspicion: SUSPICION_TIMEOUT,
        ..Timing::default()
    };
    let mut members =
        Membership::new(&own, timing, clock.boot_time(), clock.unix(), fastrand::u64(..));
    members.set_seeds(settings.seed_hosts());
    members
}

/// Reloads the settings on SIGHUP and when the file changes.
async fn watch_settings(
    host: Rc<Host>,
    limits: Limits,
    path: std::path::PathBuf,
    mut reload: Signal,
) {
    let mut last = modified(&path);
    loop {
        let signalled = tokio::time::timeout(SETTINGS_INTERVAL, reload.recv()).await.is_ok();
        let now = modified(&path);
        if !signalled && now == last {
            continue;
        }
        last = now;
        match read_settings(&path, limits) {
            Ok(settings) => reload_settings(&host, settings),
            Err(e) => log::warn!("event=reload_failed error=\"{e}\""),
        }
    }
}

fn read_settings(path: &Path, limits: Limits) -> Result<Settings> {
    let text = fs::read_to_string(path);
    from_text(&text.map_err(|e| Error::io("read settings", path.display(), e))?, limits)
}

/// Applies the settings that may change at run time.
fn reload_settings(host: &Host, settings: Settings) {
    let changed = *host.settings.borrow() != settings;
    log::info!("event=reload changed={changed}");
    host.fleet.members.borrow_mut().set_seeds(settings.seed_hosts());
    let Settings { seeds, bounds, stop, queries, .. } = settings;
    let mut own = host.settings.borrow_mut();
    *own = Settings { seeds, bounds, stop, queries, ..own.clone() };
    drop(own);
    host.update();
}

fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|m| m.modified()).ok()
}
