//! Gathers queries for other hosts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use sapphirerack_catalogue::Map;
use sapphirerack_protocol::{GatherMessage, GatherQuery, GatherReply, GatherScope};
use sapphirerack_routes::{Action, Gather};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};

use crate::aim::Aim;
use crate::ask::Attempts;
use crate::attempt::Call;
use crate::client::set_options;
use crate::frames::{Outbox, outbox, read_frames, write_frames};
use crate::host::{Host, Phase};
use crate::part_query::gather_parts;
use crate::parts::Parts;
use crate::query::{Gathered, Query, gather};
use crate::{Error, Result};

/// Longest time that a query may take; a longer one in a message is cut to it.
const MAX_TIME: Duration = Duration::from_secs(60 * 60);

/// Queries of one link that are being gathered; dropping it aborts them.
#[derive(Default)]
struct Running {
    tasks: RefCell<Map<u64, (AbortHandle, Rc<Aim>)>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.take().into_values().for_each(|(task, _)| task.abort());
    }
}

/// Serves the queries on a link until it ends.
///
/// # Errors
///
/// The connection broke, or a message is malformed.
pub(crate) async fn serve(host: &Rc<Host>, stream: TcpStream, peer: SocketAddr) -> Result<()> {
    set_options(&stream);
    let (read, write) = stream.into_split();
    let (outbox, queue) = outbox(peer);
    let running = Rc::new(Running::default());
    let received = read_frames(read, peer, |message| receive(host, &running, &outbox, message));
    tokio::select! {
        written = write_frames(write, queue) => written.map(drop),
        received = received => received,
    }
}

fn receive(host: &Rc<Host>, running: &Rc<Running>, outbox: &Outbox, message: GatherMessage) {
    match message {
        GatherMessage::Query { id, query } => start(host, running, outbox, id, *query),
        GatherMessage::Cancel { id } => {
            if let Some((task, _)) = running.tasks.borrow_mut().remove(&id) {
                task.abort();
            }
        }
        GatherMessage::Due { id } => {
            if let Some((_, aim)) = running.tasks.borrow().get(&id) {
                aim.bring_forward(host.now());
            }
        }
        GatherMessage::Accepted { id } | GatherMessage::Reply { id, .. } => {
            log::debug!("event=link_message_ignored id={id}");
        }
    }
}

fn start(host: &Rc<Host>, running: &Rc<Running>, outbox: &Outbox, id: u64, query: GatherQuery) {
    if host.phase() != Phase::Serving {
        send(outbox, &GatherMessage::Reply { id, reply: GatherReply::Declined });
        return;
    }
    send(outbox, &GatherMessage::Accepted { id });
    let (host, outbox, tasks) = (host.clone(), outbox.clone(), Rc::downgrade(running));
    let due = host.now() + query.aim.min(MAX_TIME);
    let aim = Rc::new(Aim::new(due));
    let own_aim = aim.clone();
    let task = spawn_local(async move {
        let working = async {
            tokio::time::sleep_until(due.into()).await;
            send(&outbox, &GatherMessage::Accepted { id });
            std::future::pending::<()>().await;
        };
        let reply = |reply| send(&outbox, &GatherMessage::Reply { id, reply });
        tokio::select! {
            biased;
            () = work(&host, query, &own_aim, reply) => {}
            () = working => {}
        }
        if let Some(running) = tasks.upgrade() {
            running.tasks.borrow_mut().remove(&id);
        }
    });
    running.tasks.borrow_mut().insert(id, (task.abort_handle(), aim));
}

/// Queues a message; if that fails, the link ends, which the other host notices.
fn send(outbox: &Outbox, message: &GatherMessage) {
    if let Err(e) = outbox.send(message) {
        log::debug!("event=reply_not_sent error=\"{e}\"");
    }
}

/// Gathers what a query asks for, and replies.
async fn work(host: &Rc<Host>, query: GatherQuery, aim: &Aim, reply: impl Fn(GatherReply)) {
    let (scope, levels) = (query.scope, query.levels);
    let call = match call(host, query) {
        Ok(call) => Rc::new(call),
        Err(e) => {
            log::warn!("event=query_refused error=\"{e}\"");
            return reply(GatherReply::Declined);
        }
    };
    let Action::Gather(shards) = &call.route.action else { return reply(GatherReply::Declined) };
    let attempts = Attempts::default();
    let query = Query { call: &call, shards, aim, levels };
    match scope {
        GatherScope::Answer => reply(into_reply(gather(host, query, &attempts).await)),
        GatherScope::Parts => {
            let emit = |parts: &mut Parts, last| reply(parts_reply(host, shards, parts, last));
            gather_parts(host, query, &attempts, emit).await;
        }
    }
    attempts.mark_answered();
}

fn parts_reply(host: &Host, shards: &Gather, parts: &mut Parts, last: bool) -> GatherReply {
    let now = host.now();
    let share = |service| host.with_balancer(service, |b| b.admission().share(now));
    let shares = shards.shards.iter().zip(0..).filter_map(|(service, shard)| {
        let share = share(service)?;
        (share < 1.0).then_some((shard, share))
    });
    let shares = shares.collect();
    let (parts, body) = parts.take();
    GatherReply::Parts { parts, body, shares, last }
}

fn into_reply(gathered: Gathered) -> GatherReply {
    match gathered {
        Gathered::Answer { signatures, parts, body } => GatherReply::Answer {
            signatures: signatures.as_bytes().to_vec(),
            parts: parts as u32,
            body: body.to_vec(),
        },
        Gathered::Refused { retry_after } => GatherReply::Refused { retry_after },
        Gathered::Incomplete { parts, started } => {
            GatherReply::Incomplete { parts: parts as u32, started }
        }
    }
}

/// The caller's request that a query carries.
fn call(host: &Host, query: GatherQuery) -> Result<Call> {
    let malformed = |e: String| Error::malformed("read query", "host", e);
    let method = Method::from_bytes(query.method.as_bytes());
    let uri: Uri = query.path.parse().map_err(|_| malformed(query.path.clone()))?;
    let mut headers = HeaderMap::with_capacity(query.headers.len());
    for (name, value) in &query.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|e| malformed(e.to_string()))?;
        let value = HeaderValue::from_bytes(value).map_err(|e| malformed(e.to_string()))?;
        headers.append(name, value);
    }
    let now = host.now();
    Ok(Call {
        route: Arc::new(query.route),
        method: method.map_err(|e| malformed(e.to_string()))?,
        uri,
        headers,
        body: Bytes::from(query.body),
        id: HeaderValue::from_bytes(&query.attempt).map_err(|e| malformed(e.to_string()))?,
        start: now,
        deadline: now + query.deadline.min(MAX_TIME),
    })
}
