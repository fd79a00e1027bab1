//! Replacements and reads, from the request to the response.

use super::*;

impl ConfigurationNode {
    pub(super) fn handle_replace(
        &mut self,
        now: Timestamp,
        token: u64,
        configuration: Configuration,
    ) {
        let current = self.configuration().version;
        if configuration.version <= current {
            self.respond(token, ConfigurationResponse::Accepted { version: current });
            return;
        }
        if self.replica.role() != Role::Leader {
            self.respond_not_leader(token);
            return;
        }
        let deadline = now + self.settings.request_timeout;
        self.replacements.add(token, deadline, configuration);
        self.propose_next(now);
    }

    pub(super) fn propose_next(&mut self, now: Timestamp) {
        let Some(next) = self.replacements.next() else {
            return;
        };
        let change = self.state.configuration().change_to(next);
        let id: u64 = self.random.random();
        let commands = ConfigurationState::commands(id, &change);
        for command in commands {
            if self.replica.propose(now, command).is_err() {
                self.fail_replacements();
                return;
            }
        }
        self.replacements.note_proposed(id);
    }

    /// Responds to all pending replacements with `Unavailable`, since their outcome is
    /// unknown.
    pub(super) fn fail_replacements(&mut self) {
        for (token, _) in self.replacements.take_all() {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
    }

    pub(super) fn request_read(&mut self, now: Timestamp, read: PendingRead) {
        self.last_read_id += 1;
        let read_id = self.last_read_id;
        match self.replica.request_read(now, read_id) {
            Ok(()) => {
                self.reads.insert(read_id, read);
            }
            Err(_) => {
                if let PendingRead::Operator { token, .. } = read {
                    self.respond_not_leader(token);
                }
            }
        }
    }

    pub(super) fn request_operator_read(
        &mut self,
        now: Timestamp,
        token: u64,
        subject: ReadSubject,
    ) {
        let read = PendingRead::Operator {
            token,
            deadline: now + self.settings.request_timeout,
            subject,
        };
        self.request_read(now, read);
    }

    /// Responds to all pending zone commands and policy changes with `Unavailable`, since
    /// their outcome is unknown.
    pub(super) fn fail_pending_commands(&mut self) {
        let zones = self.pending_zone_commands.take_all();
        let policies = self.pending_policy_changes.take_all();
        for token in zones.into_iter().chain(policies) {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
    }

    pub(super) fn expire_requests(&mut self, now: Timestamp) {
        let replacements = self.replacements.take_expired(now);
        let zones = self.pending_zone_commands.take_expired(now);
        let policies = self.pending_policy_changes.take_expired(now);
        for token in replacements.into_iter().chain(zones).chain(policies) {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
        let expired = |read: &PendingRead| match read {
            PendingRead::Operator {
                token, deadline, ..
            } if *deadline <= now => Some(*token),
            _ => None,
        };
        let tokens: Vec<u64> = self.reads.values().filter_map(expired).collect();
        self.reads.retain(|_, read| expired(read).is_none());
        for token in tokens {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
    }

    pub(super) fn complete_read(&mut self, read_id: u64) {
        match self.reads.remove(&read_id) {
            Some(PendingRead::Operator { token, subject, .. }) => {
                let response = match subject {
                    ReadSubject::Configuration => {
                        ConfigurationResponse::Read(self.configuration().clone())
                    }
                    ReadSubject::Policies => {
                        ConfigurationResponse::Policies(self.policies().to_message())
                    }
                };
                self.respond(token, response);
            }
            Some(PendingRead::Balancer {
                address,
                confirmation_id,
            }) => {
                let version = self.configuration().version;
                let confirmed = VersionConfirmed {
                    confirmation_id,
                    version,
                    zones: self.evacuations().updates_since(0),
                    policies: self.policies().updates_since(0),
                };
                self.send(address, PassThroughBody::VersionConfirmed(confirmed));
            }
            None => {}
        }
    }

    pub(super) fn respond_not_leader(&mut self, token: u64) {
        let leader = self.replica.leader();
        let other = leader.filter(|leader| *leader != self.replica.id().node);
        let response = match other {
            Some(leader) => ConfigurationResponse::NotLeader {
                leader: address_of_node_id(leader),
            },
            None => ConfigurationResponse::Unavailable,
        };
        self.respond(token, response);
    }

    pub(super) fn respond(&mut self, token: u64, response: ConfigurationResponse) {
        let role = self.replica.role();
        let subject = format!(
            "request={token} answer={} role={role:?}",
            response.summary()
        );
        self.emit_event(EventKind::RequestAnswered, subject);
        self.outputs
            .push_back(ConfigurationOutput::Respond { token, response });
    }
}
