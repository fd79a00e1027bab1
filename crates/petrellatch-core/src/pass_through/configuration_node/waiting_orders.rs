//! Orders of operators that a leader has put into the log, until they are applied.

use std::collections::BTreeMap;

use crate::time::Timestamp;

/// Requests that wait for their orders to be applied, by the orders' random numbers.
#[derive(Debug, Default)]
pub(super) struct WaitingOrders {
    waiting: BTreeMap<u64, WaitingOrder>,
}

#[derive(Debug)]
struct WaitingOrder {
    token: u64,
    deadline: Timestamp,
}

impl WaitingOrders {
    pub(super) fn add(&mut self, order: u64, token: u64, deadline: Timestamp) {
        let waiting = WaitingOrder { token, deadline };
        self.waiting.insert(order, waiting);
    }

    /// Takes out who waits for an order that was applied.
    pub(super) fn take(&mut self, order: u64) -> Option<u64> {
        self.waiting.remove(&order).map(|waiting| waiting.token)
    }

    /// Takes out all.
    pub(super) fn take_all(&mut self) -> Vec<u64> {
        let all = std::mem::take(&mut self.waiting).into_values();
        all.map(|waiting| waiting.token).collect()
    }

    /// Takes out those who have waited too long. Their orders may still hold.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        let due = |waiting: &WaitingOrder| waiting.deadline <= now;
        let expired = self.waiting.values().filter(|waiting| due(waiting));
        let expired = expired.map(|waiting| waiting.token).collect();
        self.waiting.retain(|_, waiting| !due(waiting));
        expired
    }
}
