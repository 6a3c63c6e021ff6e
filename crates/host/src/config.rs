//! The catalogue in force.
//!
//! A host adopts only a higher version than the one it has, wherever it comes from.

use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_platform::{Store, Value};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Key of the catalogue in the store.
pub(crate) const HEAD_KEY: &str = "catalogue/head";

const WATCH_WAIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The catalogue as the store holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Head {
    /// Rises with every change.
    pub version: u64,
    /// Unique id of the change that wrote it.
    pub change: Name,
    /// The catalogue.
    pub catalogue: Catalogue,
}

/// A catalogue with its version; version 0 stands for none.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub version: u64,
    pub catalogue: Catalogue,
}

/// The view in force on this host.
#[derive(Debug, Default)]
pub(crate) struct Config {
    view: RwLock<Arc<View>>,
}

impl Config {
    /// View in force.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a view in force if its version is higher; tells whether it did.
    pub(crate) fn adopt(&self, view: View) -> bool {
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        if view.version <= current.version {
            return false;
        }
        log::info!("step=adopt version={}", view.version);
        *current = Arc::new(view);
        true
    }
}

/// Reads the head from a value of the store.
pub(crate) fn parse(value: &Value) -> Option<Head> {
    let head: Head = serde_json::from_slice(&value.bytes).ok()?;
    head.catalogue.check().ok()?;
    Some(head)
}

/// Follows the store on a thread of its own.
pub(crate) fn follow(config: Arc<Config>, store: Store) -> Result<()> {
    let run = move || {
        let mut after = 0;
        loop {
            match store.watch(HEAD_KEY, after, WATCH_WAIT) {
                Ok(Some(value)) => {
                    after = value.version;
                    adopt_value(&config, &value);
                }
                Ok(None) => {}
                Err(e) => {
                    log::warn!("step=watch error={e:?}");
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    };
    let builder = thread::Builder::new().name("config".into());
    builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "config", e))
}

fn adopt_value(config: &Config, value: &Value) {
    match parse(value) {
        Some(head) => {
            config.adopt(View { version: head.version, catalogue: head.catalogue });
        }
        None => log::error!("step=adopt error=\"malformed head\" store_version={}", value.version),
    }
}
