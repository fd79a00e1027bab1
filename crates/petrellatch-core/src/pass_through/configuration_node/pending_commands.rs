//! Orders of operators that a leader has put into the log, until they are applied.

use std::collections::BTreeMap;

use crate::time::Timestamp;

/// Requests that wait for their orders to be applied, by the orders' random numbers.
#[derive(Debug, Default)]
pub(super) struct PendingCommands {
    commands: BTreeMap<u64, PendingCommand>,
}

#[derive(Debug)]
struct PendingCommand {
    token: u64,
    deadline: Timestamp,
}

impl PendingCommands {
    pub(super) fn add(&mut self, command_id: u64, token: u64, deadline: Timestamp) {
        let pending = PendingCommand { token, deadline };
        self.commands.insert(command_id, pending);
    }

    /// Takes out who waits for an order that was applied.
    pub(super) fn take(&mut self, command_id: u64) -> Option<u64> {
        self.commands
            .remove(&command_id)
            .map(|command| command.token)
    }

    /// Takes out all.
    pub(super) fn take_all(&mut self) -> Vec<u64> {
        let all = std::mem::take(&mut self.commands).into_values();
        all.map(|command| command.token).collect()
    }

    /// Takes out those who have waited too long. Their orders may still hold.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        let is_due = |command: &PendingCommand| command.deadline <= now;
        let expired = self.commands.values().filter(|command| is_due(command));
        let expired = expired.map(|command| command.token).collect();
        self.commands.retain(|_, command| !is_due(command));
        expired
    }
}
