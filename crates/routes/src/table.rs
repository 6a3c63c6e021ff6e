//! Finds the route of a request.

use std::sync::Arc;

use sapphirerack_catalogue::{Map, Name};

use crate::{Configuration, Route};

/// A configuration with its routes by host, the longest prefix first.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    hosts: Map<Name, Vec<Arc<Route>>>,
    /// Rank of the least urgent route to each service.
    least: Map<Name, u32>,
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
        let mut least: Map<Name, u32> = Map::default();
        for route in &configuration.routes {
            for service in route.services() {
                let rank = least.entry(service.clone()).or_default();
                *rank = route.priority.max(*rank);
            }
        }
        Self { configuration, hosts, least }
    }

    /// The configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// By how many ranks a route is more urgent than the least urgent one to its first service.
    pub fn priority_levels(&self, route: &Route) -> u32 {
        let first = route.services().first().and_then(|s| self.least.get(*s));
        first.map_or(0, |least| least.saturating_sub(route.priority))
    }

    /// Route with the longest prefix that begins the path; `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}
