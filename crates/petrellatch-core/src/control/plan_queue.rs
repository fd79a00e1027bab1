//! Services whose placement must be looked at, now or later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::identity::ServiceId;
use crate::time::Timestamp;

/// Services that wait in line, each once, and services with a time at which
/// they join the line.
#[derive(Debug, Default)]
pub(super) struct PlanQueue {
    line: VecDeque<ServiceId>,
    in_line: BTreeSet<ServiceId>,
    wakeups: BTreeSet<(Timestamp, ServiceId)>,
    wakeup_of: BTreeMap<ServiceId, Timestamp>,
}

impl PlanQueue {
    /// Puts a service at the end of the line, unless it waits already.
    pub(super) fn push(&mut self, service: ServiceId) {
        if self.in_line.insert(service) {
            self.line.push_back(service);
        }
    }

    /// Takes the service that has waited longest.
    pub(super) fn pop(&mut self) -> Option<ServiceId> {
        let service = self.line.pop_front()?;
        self.in_line.remove(&service);
        Some(service)
    }

    /// Whether nothing waits in line.
    pub(super) fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Sets the time at which a service joins the line by itself.
    pub(super) fn set_wakeup(&mut self, service: ServiceId, at: Option<Timestamp>) {
        let former = match at {
            Some(at) => self.wakeup_of.insert(service, at),
            None => self.wakeup_of.remove(&service),
        };
        if let Some(former) = former {
            self.wakeups.remove(&(former, service));
        }
        if let Some(at) = at {
            self.wakeups.insert((at, service));
        }
    }

    /// Puts services into the line whose time has come.
    pub(super) fn wake(&mut self, now: Timestamp) {
        while let Some((at, service)) = self.wakeups.first().copied() {
            if at > now {
                return;
            }
            self.set_wakeup(service, None);
            self.push(service);
        }
    }

    /// When the next service joins the line by itself.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.wakeups.first().map(|(at, _)| *at)
    }
}
