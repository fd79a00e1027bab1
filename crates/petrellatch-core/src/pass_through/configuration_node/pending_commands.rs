//! Commands of operators that a leader has put into the log, until they are applied.

use std::collections::BTreeMap;

use crate::time::Timestamp;

/// Requests whose commands are not applied yet, by the random identifiers of the commands.
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

    /// Removes an applied command. Returns the token of its request, if that is still
    /// pending.
    pub(super) fn take(&mut self, command_id: u64) -> Option<u64> {
        self.commands
            .remove(&command_id)
            .map(|command| command.token)
    }

    /// Removes all commands. Returns the tokens of their requests.
    pub(super) fn take_all(&mut self) -> Vec<u64> {
        let all = std::mem::take(&mut self.commands).into_values();
        all.map(|command| command.token).collect()
    }

    /// Removes commands past their deadline. Returns the tokens of their requests. The
    /// commands may still be applied.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        let is_due = |command: &PendingCommand| command.deadline <= now;
        let expired = self.commands.values().filter(|command| is_due(command));
        let expired = expired.map(|command| command.token).collect();
        self.commands.retain(|_, command| !is_due(command));
        expired
    }
}
