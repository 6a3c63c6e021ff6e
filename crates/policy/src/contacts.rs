//! When this host, or one near it, last heard of each data centre.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};

/// Last contact with a data centre.
#[derive(Clone, Copy)]
struct Contact {
    at: Instant,
    /// Time since then in which this host was paused and could not notice any contact.
    paused: Duration,
}

/// Last contacts, by data centre.
#[derive(Default)]
pub(crate) struct Contacts {
    last: Map<Name, Contact>,
}

impl Contacts {
    /// Records a contact, unless a later one is known.
    pub(crate) fn record(&mut self, data_centre: &Name, at: Instant) {
        let contact = Contact { at, paused: Duration::ZERO };
        let known = self.last.entry(data_centre.clone()).or_insert(contact);
        if at > known.at {
            *known = contact;
        }
    }

    /// Records that this host was paused for some time.
    pub(crate) fn record_pause(&mut self, time: Duration) {
        for contact in self.last.values_mut() {
            contact.paused += time;
        }
    }

    /// Time since the last contact; `None` if there was none.
    pub(crate) fn age(&self, data_centre: &str, now: Instant) -> Option<Duration> {
        let contact = self.last.get(data_centre)?;
        Some(now.saturating_duration_since(contact.at))
    }

    /// Time for which this host could have noticed a contact and did not.
    pub(crate) fn silence(&self, data_centre: &str, now: Instant) -> Option<Duration> {
        let paused = self.last.get(data_centre)?.paused;
        Some(self.age(data_centre, now)?.saturating_sub(paused))
    }
}
