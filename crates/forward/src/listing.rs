//! A listing of the store, which comes in pages.
//!
//! Pages are no snapshot: what is written between two of them is missed if it falls on a page that
//! was read, and seen if it falls on a later one. With the changes since the first page, a listing
//! is as complete as one of a single page.

use std::collections::BTreeMap;

use crate::{Event, Events, Page};

/// Items of the pages so far.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    items: BTreeMap<String, Event>,
    /// Lowest and highest revision of a page.
    revisions: Option<(u64, u64)>,
}

impl Listing {
    /// Adds a page.
    pub fn add(&mut self, page: Page) {
        self.items.extend(page.items.into_iter().map(|item| (item.key.clone(), item)));
        let (first, last) = self.revisions.unwrap_or((page.revision, page.revision));
        self.revisions = Some((first.min(page.revision), last.max(page.revision)));
    }

    /// Revision after which changes may be missing.
    pub fn revision(&self) -> u64 {
        self.revisions.map_or(0, |(first, _)| first)
    }

    /// Whether the store was written to between two pages.
    pub fn is_torn(&self) -> bool {
        self.revisions.is_some_and(|(first, last)| first != last)
    }

    /// Applies the changes after [`Listing::revision`].
    pub fn amend(&mut self, changes: Events) {
        for event in changes.events {
            match event.value {
                Some(_) => drop(self.items.insert(event.key.clone(), event)),
                None => drop(self.items.remove(&event.key)),
            }
        }
        self.revisions = Some((changes.revision, changes.revision));
    }

    /// The items, in the order of their keys.
    pub fn into_items(self) -> Vec<Event> {
        self.items.into_values().collect()
    }
}
