//! Messages from and to balancers and agents.

use super::*;

impl ConfigurationNode {
    /// Handles a report of an agent. The agent gets a group status in reply if the report
    /// changes the directory or is the final one, if the agent lacks a zone command or awaits
    /// something about departures, and otherwise for one of [`REPORTS_PER_GROUP_STATUS`] reports.
    pub(super) fn handle_report(&mut self, now: Timestamp, from: SocketAddrV4, report: Report) {
        let is_group_status_due = report.sequence % REPORTS_PER_GROUP_STATUS == 1;
        let lacks_zone_command =
            report.evacuations_index < self.evacuations().index_of(&report.zone);
        let is_final = report.next_report_millis == 0;
        self.note_departures(now, &report);
        let has_changed = self.daemons.handle_report(now, report.clone());
        if has_changed {
            let at = now + DIRECTORY_DELAY;
            self.send_directory_at = Some(self.send_directory_at.map_or(at, |due| due.min(at)));
        }
        let awaits_departures = report.departures.is_some();
        if has_changed || is_group_status_due || lacks_zone_command || is_final || awaits_departures
        {
            self.send_agent_status(now, from, &report);
        }
    }

    /// Handles a poll of a balancer, or of another replica that fetches the directory or the
    /// saved agents.
    pub(super) fn handle_subscribe(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        subscribe: &Subscribe,
    ) {
        if subscribe.wants_saved_agents {
            self.send_saved_agents(now, from);
            return;
        }
        if subscribe.unsubscribe {
            self.daemons.remove_subscriber(from);
            return;
        }
        if subscribe.wants_updates {
            self.daemons.note_subscriber(now, from);
            let directory = self
                .daemons
                .directory_parts(now, subscribe.directory_revision);
            self.send_all(from, directory);
        }
        if subscribe.wants_configuration {
            let updates = self
                .recent_changes
                .updates(subscribe.version, self.state.configuration());
            self.send_all(from, updates);
        }
        let status = GroupStatus {
            policies: self.policies().updates_since(subscribe.policies_index),
            ..self.group_status_with_zones(now, subscribe.evacuations_index)
        };
        self.send(from, PassThroughBody::GroupStatus(status));
        if subscribe.confirmation_id != 0 && self.replica.role() == Role::Leader {
            let read = PendingRead::Balancer {
                address: from,
                confirmation_id: subscribe.confirmation_id,
            };
            self.request_read(now, read);
        }
    }

    /// Whether updates reach this replica in time: it has contact with a leader, and its disk
    /// is not stalled.
    fn has_leader(&self, now: Timestamp) -> bool {
        let has_leader_contact = match self.replica.role() {
            Role::Leader => self.replica.is_leader_with_quorum(now),
            _ => self.replica.leader().is_some(),
        };
        has_leader_contact && !self.is_disk_stalled(now)
    }

    pub(super) fn group_status(&self, now: Timestamp) -> GroupStatus {
        let members = self.replica.membership().members();
        let address = |member: &crate::consensus::Member| member.replica.node.0;
        GroupStatus {
            replicas: members.iter().map(address).collect(),
            membership_index: self.replica.membership_index(),
            version: self.configuration().version,
            directory_revision: self.daemons.revision(),
            draining_backends: Vec::new(),
            serving_backend: 0,
            has_leader: self.has_leader(now),
            leader: self.replica.leader().map_or(0, |leader| leader.0),
            report_interval_millis: self.daemons.report_interval().as_millis() as u32,
            directory_is_complete: self.daemons.is_complete(now),
            knows_previous_incarnation: false,
            has_report: false,
            zones: None,
            acknowledged_report: 0,
            agent_is_saved: false,
            wants_report: false,
            saved_agents: Vec::new(),
            saved_agent_count: 0,
            policies: None,
            departures: None,
            remembers_agents: false,
            agent_incarnation: 0,
        }
    }

    /// Requests the directory of another replica after the start, if that is due.
    pub(super) fn fetch_directory(&mut self, now: Timestamp) {
        let own = address_of_node_id(self.replica.id().node);
        let mut peers = self.known_replicas.all();
        peers.remove(&own);
        if let Some(peer) = self.directory_fetch.next(now, &peers) {
            self.request_directory(peer, false);
        }
    }

    pub(super) fn handle_directory(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        directory: DirectoryPart,
    ) {
        if !self.directory_fetch.awaits(from) {
            return;
        }
        if self.daemons.handle_directory(now, directory) {
            self.fetched_directory_from = Some(from);
            self.request_directory(from, true);
            self.send_directory_at.get_or_insert(now + DIRECTORY_DELAY);
        }
    }

    /// Notes whether the directory fetched from another replica is complete. Unless it is,
    /// further replicas are asked, since that one may also have started just now.
    pub(super) fn note_fetched_directory(&mut self, from: SocketAddrV4, status: &GroupStatus) {
        if self.fetched_directory_from == Some(from) {
            self.fetched_directory_from = None;
            if status.directory_is_complete {
                self.directory_fetch.finish();
                self.daemons.note_complete();
            }
        }
    }

    fn request_directory(&mut self, peer: SocketAddrV4, unsubscribe: bool) {
        let subscribe = Subscribe {
            wants_updates: true,
            unsubscribe,
            ..Subscribe::default()
        };
        self.send(peer, PassThroughBody::Subscribe(subscribe));
    }

    /// Notifies the subscribers when this replica has contact with a leader again: some of
    /// them may wait for a leader to confirm the newest version. After a start the saved
    /// daemons are notified as well, as they may know no running replica.
    pub(super) fn announce_leader_contact(&mut self, now: Timestamp) {
        let has_leader = self.has_leader(now);
        if has_leader && !self.had_leader {
            let status = self.group_status(now);
            let saved = self.daemon_store.take_unnotified_balancers();
            self.saved_agents_exchange.schedule_notifications(now);
            let receivers: BTreeSet<SocketAddrV4> = self
                .daemons
                .subscribers()
                .into_iter()
                .chain(saved)
                .collect();
            for receiver in receivers {
                self.send(receiver, PassThroughBody::GroupStatus(status.clone()));
            }
        }
        self.had_leader = has_leader;
    }

    /// Saves the addresses of daemons for the next incarnation, if that is due.
    pub(super) fn save_daemons(&mut self, now: Timestamp) {
        let daemons = &self.daemons;
        let current = || to_saved_daemons(daemons.subscribers(), daemons.agents_to_save());
        if let Some(bytes) = self.daemon_store.save(now, current) {
            self.outputs
                .push_back(ConfigurationOutput::SaveDaemons(bytes));
        }
    }

    /// Notifies the subscribers once the directory is complete and all of its agents were
    /// sent to them.
    pub(super) fn announce_complete_directory(&mut self, now: Timestamp) {
        if self.announced_complete || self.send_directory_at.is_some() {
            self.completeness_check_at = None;
            return;
        }
        let members = self.replica.membership().members().len();
        self.daemons.expected_mut().set_members(members);
        self.daemons.update_completeness(now);
        if !self.daemons.is_complete(now) {
            self.completeness_check_at = Some(self.daemons.complete_at(now));
            return;
        }
        self.announced_complete = true;
        self.completeness_check_at = None;
        let status = self.group_status(now);
        for subscriber in self.daemons.subscribers() {
            self.send(subscriber, PassThroughBody::GroupStatus(status.clone()));
        }
    }

    pub(super) fn send_directory(&mut self, now: Timestamp) {
        let directory = self
            .daemons
            .directory_parts(now, self.sent_directory_revision);
        self.sent_directory_revision = self.daemons.revision();
        for subscriber in self.daemons.subscribers() {
            self.send_all(subscriber, directory.clone());
        }
    }

    /// Sends subscribers the changes applied since the last call, all at once.
    pub(super) fn push_updates(&mut self) {
        let Some(version) = self.unsent_since.take() else {
            return;
        };
        let updates = self
            .recent_changes
            .updates(version, self.state.configuration());
        for subscriber in self.daemons.subscribers() {
            self.send_all(subscriber, updates.clone());
        }
    }
}
