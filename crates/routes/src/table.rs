//! Lookup of the route of a request.

use std::sync::Arc;

use sapphirerack_catalogue::{Map, Name};

use crate::{Configuration, Route};

/// A configuration with its routes indexed by host, sorted by descending length of the prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    hosts: Map<Name, Vec<Arc<Route>>>,
    /// Lowest priority of the routes to each service, which is the highest number.
    lowest: Map<Name, u32>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: Map<Name, Vec<Arc<Route>>> = Map::default();
        for route in &configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let mut lowest: Map<Name, u32> = Map::default();
        for route in &configuration.routes {
            for service in route.services() {
                let priority = lowest.entry(service.clone()).or_default();
                *priority = route.priority.max(*priority);
            }
        }
        Self { configuration, hosts, lowest }
    }

    /// Configuration that the table was built from.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Number of priority levels of a route above the lowest-priority route to its first service.
    pub fn priority_levels(&self, route: &Route) -> u32 {
        let first = route.services().first().and_then(|s| self.lowest.get(*s));
        first.map_or(0, |lowest| lowest.saturating_sub(route.priority))
    }

    /// Route with the longest matching prefix; `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}
