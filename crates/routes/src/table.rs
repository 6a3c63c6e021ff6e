//! Finds the route of a request.

use std::sync::Arc;

use sapphirerack_catalogue::{Map, Name};

use crate::{Configuration, Route};

/// A configuration with its routes by host, the longest prefix first.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    hosts: Map<Name, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Table of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: Map<Name, Vec<Arc<Route>>> = Map::default();
        for route in &configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { configuration, hosts }
    }

    /// The configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Route with the longest prefix that begins the path; `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}
