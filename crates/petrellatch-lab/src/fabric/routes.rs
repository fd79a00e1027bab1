//! The way back to callers that send their packets themselves.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;

/// How long a caller that sends nothing is remembered.
const ROUTE_LIFETIME: Duration = Duration::from_secs(300);
/// How often forgotten routes are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Route {
    via: SocketAddr,
    last_used: Timestamp,
}

/// Learns from each packet where its sender is to be reached.
#[derive(Debug, Default)]
pub struct CallerRoutes {
    routes: BTreeMap<SocketAddrV4, Route>,
    next_sweep: Timestamp,
}

impl CallerRoutes {
    /// Remembers that `caller` sends its packets from `via`.
    pub fn learn(&mut self, now: Timestamp, caller: SocketAddrV4, via: SocketAddr) {
        let route = Route {
            via,
            last_used: now,
        };
        self.routes.insert(caller, route);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.routes
                .retain(|_, route| now.saturating_since(route.last_used) < ROUTE_LIFETIME);
        }
    }

    /// Returns where `caller` is to be reached.
    pub fn find(&self, caller: SocketAddrV4) -> Option<SocketAddr> {
        self.routes.get(&caller).map(|route| route.via)
    }
}
