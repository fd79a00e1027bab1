//! What balancers and agents tell and are told.

use super::*;

impl ConfigurationNode {
    pub(super) fn handle_report(&mut self, now: Timestamp, from: SocketAddrV4, report: Report) {
        let wants_group = report.sequence % REPORTS_PER_GROUP == 1;
        let agent = report.address;
        let lacks_zones = report.evacuations_index < self.evacuations().index_of(&report.zone);
        let known_zones = report.evacuations_index;
        let answered_report = report.sequence;
        let is_last = report.next_report_millis == 0;
        let news = self.followers.handle_report(now, report);
        if news {
            let at = now + DIRECTORY_DELAY;
            self.directory_at = Some(self.directory_at.map_or(at, |due| due.min(at)));
        }
        if news || wants_group || lacks_zones || is_last {
            let group = GroupStatus {
                draining_backends: self.followers.leaving(agent),
                knows_previous_incarnation: self.followers.had_former_life(agent),
                has_report: true,
                acknowledged_report: answered_report,
                agent_is_saved: self.daemon_memory.remembers(now, agent),
                ..self.group_with_zones(now, known_zones)
            };
            self.send(from, PassThroughBody::GroupStatus(group));
        }
    }

    pub(super) fn handle_follow(&mut self, now: Timestamp, from: SocketAddrV4, follow: &Subscribe) {
        if follow.wants_saved_agents {
            self.tell_remembered(now, from);
            return;
        }
        if follow.unsubscribe {
            self.followers.forget_follower(from);
            return;
        }
        if follow.wants_updates {
            self.followers.note_follower(now, from);
            let directory = self.followers.directory(now, follow.directory_revision);
            self.send_all(from, directory);
        }
        if follow.wants_configuration {
            let news = self
                .told_changes
                .news(follow.version, self.state.configuration());
            self.send_all(from, news);
        }
        let group = GroupStatus {
            policies: self.policies().updates_since(follow.policies_index),
            ..self.group_with_zones(now, follow.evacuations_index)
        };
        self.send(from, PassThroughBody::GroupStatus(group));
        if follow.confirmation_id != 0 && self.replica.role() == Role::Leader {
            let read = PendingRead::Balancer {
                address: from,
                confirm: follow.confirmation_id,
            };
            self.request_read(now, read);
        }
    }

    /// Whether news reach this replica in time: it hears a leader, and its
    /// disk does not hold it up.
    fn serves(&self, now: Timestamp) -> bool {
        let hears_leader = match self.replica.role() {
            Role::Leader => self.replica.is_leader_with_quorum(now),
            _ => self.replica.leader().is_some(),
        };
        hears_leader && !self.disk_is_stalled(now)
    }

    pub(super) fn group(&self, now: Timestamp) -> GroupStatus {
        let members = self.replica.membership().members();
        let address = |member: &crate::consensus::Member| member.replica.node.0;
        GroupStatus {
            replicas: members.iter().map(address).collect(),
            membership_index: self.replica.membership_index(),
            version: self.configuration().version,
            directory_revision: self.followers.revision(),
            draining_backends: Vec::new(),
            has_leader: self.serves(now),
            leader: self.replica.leader().map_or(0, |leader| leader.0),
            report_interval_millis: self.followers.report_interval().as_millis() as u32,
            directory_is_complete: self.followers.is_whole(now),
            knows_previous_incarnation: false,
            has_report: false,
            zones: None,
            acknowledged_report: 0,
            agent_is_saved: false,
            wants_report: false,
            saved_agents: Vec::new(),
            saved_agent_count: 0,
            policies: None,
        }
    }

    /// Asks another replica which agents there are, after the start.
    pub(super) fn fetch_directory(&mut self, now: Timestamp) {
        let own = address_of_node_id(self.replica.id().node);
        let mut peers = self.contacts.all();
        peers.remove(&own);
        if let Some(peer) = self.directory_fetch.next(now, &peers) {
            self.ask_for_directory(peer, false);
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
        if self.followers.handle_directory(now, directory) {
            self.took_over_from = Some(from);
            self.ask_for_directory(from, true);
            self.directory_at.get_or_insert(now + DIRECTORY_DELAY);
        }
    }

    /// Takes the word of another replica on the directory that it told before. As
    /// long as that is not whole, others are asked: they may have started as well.
    pub(super) fn note_whole_takeover(&mut self, from: SocketAddrV4, group: &GroupStatus) {
        if self.took_over_from == Some(from) {
            self.took_over_from = None;
            if group.directory_is_complete {
                self.directory_fetch.finish();
                self.followers.note_whole();
            }
        }
    }

    fn ask_for_directory(&mut self, peer: SocketAddrV4, leaving: bool) {
        let follow = Subscribe {
            wants_updates: true,
            unsubscribe: leaving,
            ..Subscribe::default()
        };
        self.send(peer, PassThroughBody::Subscribe(follow));
    }

    /// Tells the followers once this replica hears a leader again: some of
    /// them may wait for a leader to confirm what is newest. After a start the
    /// daemons of the former life are told, as they may know no replica that runs.
    pub(super) fn tell_return(&mut self, now: Timestamp) {
        let serves = self.serves(now);
        if serves && !self.served {
            let group = self.group(now);
            let former = self.daemon_memory.take_untold_balancers();
            self.memory_exchange.tell_agents(now);
            let followers: BTreeSet<SocketAddrV4> = self
                .followers
                .followers()
                .into_iter()
                .chain(former)
                .collect();
            for follower in followers {
                self.send(follower, PassThroughBody::GroupStatus(group.clone()));
            }
        }
        self.served = serves;
    }

    /// Has the addresses of daemons saved for the next life.
    pub(super) fn save_daemons(&mut self, now: Timestamp) {
        let followers = &self.followers;
        let current = || remembered(followers.followers(), followers.agents_to_remember());
        if let Some(bytes) = self.daemon_memory.save(now, current) {
            self.outputs
                .push_back(ConfigurationOutput::SaveDaemons(bytes));
        }
    }

    /// Tells the followers once the directory is whole, and after they were told of all
    /// agents in it.
    pub(super) fn tell_whole(&mut self, now: Timestamp) {
        if self.told_whole || self.directory_at.is_some() {
            self.whole_check_at = None;
            return;
        }
        let members = self.replica.membership().members().len();
        self.followers.expected_mut().set_members(members);
        self.followers.check_expected(now);
        if !self.followers.is_whole(now) {
            self.whole_check_at = Some(self.followers.whole_at(now));
            return;
        }
        self.told_whole = true;
        self.whole_check_at = None;
        let group = self.group(now);
        for follower in self.followers.followers() {
            self.send(follower, PassThroughBody::GroupStatus(group.clone()));
        }
    }

    pub(super) fn push_directory(&mut self, now: Timestamp) {
        let directory = self.followers.directory(now, self.pushed_revision);
        self.pushed_revision = self.followers.revision();
        for follower in self.followers.followers() {
            self.send_all(follower, directory.clone());
        }
    }

    /// Tells the balancers what was applied since the last time, all at once.
    pub(super) fn push_news(&mut self) {
        let Some(version) = self.news_since.take() else {
            return;
        };
        let news = self.told_changes.news(version, self.state.configuration());
        for follower in self.followers.followers() {
            self.send_all(follower, news.clone());
        }
    }
}
