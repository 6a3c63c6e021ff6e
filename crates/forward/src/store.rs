//! Client of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use sapphirerack_routes::Revision;

use crate::answer_memory::AnswerMemory;
use crate::client::Connection;
use crate::host::Host;
use crate::{Category, Error, Event, Events, Listing, Page, Result, StoreDialect};

/// Timeout of a call, including the connection attempt.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// What the store answered, and the era in which it did.
struct Answered<T> {
    era: u64,
    content: T,
}

/// What a read of all prefixes found.
pub(crate) struct Found {
    pub events: Vec<Event>,
    /// Revision as of which it is complete.
    pub synced: Revision,
}

/// Client of the store, with one connection.
pub(crate) struct Store {
    host: Rc<Host>,
    address: SocketAddr,
    dialect: StoreDialect,
    connection: Option<Connection>,
    answers: AnswerMemory,
}

impl Store {
    pub(crate) fn new(host: Rc<Host>) -> Self {
        let (address, dialect) = (host.settings.borrow().store, host.dialect.store);
        Self { host, address, dialect, connection: None, answers: AnswerMemory::default() }
    }

    /// All items, in the era `least` or a later one.
    ///
    /// # Errors
    ///
    /// The store did not answer, refused, its answer can't be read, a page would be the same again,
    /// or the pages come from several eras or an earlier one; [`Category::Expired`] if the store was
    /// restored between two pages.
    pub(crate) async fn list(&mut self, least: u64) -> Result<Found> {
        let mut known = None;
        let mut listing = Listing::default();
        for prefix in self.dialect.prefixes {
            let mut after: Option<String> = None;
            loop {
                let Answered { era, content: page } = self.page(prefix, after.as_deref()).await?;
                if era < least || known.is_some_and(|known| known != era) {
                    return Err(Error::era("list", self.address, era, known.unwrap_or(least)));
                }
                known = Some(era);
                after = page.next.clone();
                listing.add(page);
                if after.is_none() {
                    break;
                }
            }
        }
        let era = known.unwrap_or(least);
        if listing.is_torn() {
            let Found { events, synced } =
                self.changes(Revision::new(era, listing.revision())).await?;
            listing.amend(Events { events, revision: synced.number });
        }
        let synced = Revision::new(era, listing.revision());
        Ok(Found { events: listing.into_items(), synced })
    }

    /// Changes after a revision, in its era; returns at once if there are none. Those that were made
    /// between the reads of two prefixes are left for the next call.
    ///
    /// # Errors
    ///
    /// As [`Store::list`]; [`Category::Expired`] if the store has discarded these changes, or was
    /// restored since.
    pub(crate) async fn changes(&mut self, after: Revision) -> Result<Found> {
        let mut number = u64::MAX;
        let mut events = Vec::new();
        for prefix in self.dialect.prefixes {
            let path = (self.dialect.watch)(prefix, after.number, Duration::ZERO);
            let Answered { era, content: body } = self.get("watch", path).await?;
            if era != after.era {
                return Err(Error::era("watch", self.address, era, after.era));
            }
            let found = (self.dialect.read_watch)(&body);
            let found = found.map_err(|e| Error::malformed("watch", self.address, e))?;
            number = number.min(found.revision);
            events.extend(found.events);
        }
        events.retain(|event| event.revision <= number);
        Ok(Found { events, synced: Revision::new(after.era, number) })
    }

    /// Error of a read in an earlier era than the one that is known by now.
    pub(crate) fn outdated(&self, found: u64, known: u64) -> Error {
        Error::era("read", self.address, found, known)
    }

    /// One page of the items of a prefix.
    async fn page(&mut self, prefix: &str, after: Option<&str>) -> Result<Answered<Page>> {
        let answered = self.get("list", (self.dialect.list)(prefix, after)).await?;
        let page = (self.dialect.read_list)(&answered.content);
        let page = page.map_err(|e| Error::malformed("list", self.address, e))?;
        if page.next.is_some() && page.next.as_deref() == after {
            let reason = format!("another page after {after:?}");
            return Err(Error::malformed("list", self.address, reason));
        }
        Ok(Answered { era: answered.era, content: page })
    }

    async fn get(&mut self, step: &'static str, path: String) -> Result<Answered<Bytes>> {
        let kept = self.connection.take();
        let is_kept = kept.is_some();
        match self.call_in_time(step, &path, kept).await {
            // A connection that idled may have been closed or gone silent, which says nothing of the
            // store.
            Err(e) if is_kept && matches!(e.classify(), Category::Broken | Category::Timeout) => {
                log::info!("event=store_connection_stale error=\"{e}\"");
                self.call_in_time(step, &path, None).await
            }
            result => result,
        }
    }

    async fn call_in_time(
        &mut self,
        step: &'static str,
        path: &str,
        open: Option<Connection>,
    ) -> Result<Answered<Bytes>> {
        // A timeout drops the connection: a late answer must not be taken for the next one.
        let result = tokio::time::timeout(CALL_TIMEOUT, self.call(step, path, open)).await;
        result.map_err(|_| Error::timeout(step, self.address))?
    }

    async fn call(
        &mut self,
        step: &'static str,
        path: &str,
        open: Option<Connection>,
    ) -> Result<Answered<Bytes>> {
        let mut connection = match open {
            Some(connection) => connection,
            None => Connection::open(self.address).await?,
        };
        let mut request = Request::new(Full::default());
        *request.uri_mut() =
            path.parse().map_err(|_| Error::malformed(step, self.address, path.to_owned()))?;
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let answer = connection.send(request, &self.answers).await;
        let answer = answer.map_err(|e| Error::broken(step, self.address, e.reason))?;
        match answer.head.status.as_u16() {
            200 => {
                self.connection = connection.is_open().then_some(connection);
                let era = (self.dialect.read_era)(&answer.head.headers);
                let era = era.map_err(|e| Error::malformed(step, self.address, e))?;
                self.host.metrics.count_store_call();
                Ok(Answered { era, content: answer.body })
            }
            status => Err(Error::status(step, self.address, status)),
        }
    }
}
