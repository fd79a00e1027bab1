//! What replicas tell: configuration, agents and the group.

use super::*;

/// When nobody was heard for so long, replicas are asked.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Between two questions for the newest version before the first answer.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(60);
/// After so many of them the time between two doubles with each.
const FAST_CONFIRMATION_ATTEMPTS: u32 = 16;
const MAX_CONFIRMATION_DOUBLINGS: u32 = 4;
/// Replicas that a balancer is attached to.
const PREFERRED_REPLICAS: usize = 2;
/// Replicas that are asked when nobody is heard.
const REPLICAS_POLLED_IN_SILENCE: usize = 5;
/// Between two questions for a newer configuration; parts may be on their way.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Between two news after a part of a change did not arrive.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

impl<C: PacketCodec> PassThroughBalancer<C> {
    pub(super) fn handle_group_status(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        status: &GroupStatus,
    ) {
        self.known_replicas.handle_group_status(status);
        self.handle_zones(status.zones.as_ref());
        self.handle_policies(status.policies.as_ref());
        self.preferred_replicas
            .note_reply(now, from, status.has_leader);
        if !status.has_leader {
            // Another replica takes its place.
            self.subscribe_at = self.subscribe_at.min(now + REPAIR_INTERVAL);
        } else if !self.is_up_to_date && self.known_replicas.leader() != self.confirmation_leader {
            // A leader that was not asked yet can confirm what is newest.
            self.subscribe(now);
        }
        let revision = status.directory_revision;
        let was_complete = self.agents.is_complete(now);
        self.agents
            .handle_revision(now, from, revision, status.directory_is_complete);
        if !was_complete && self.agents.is_complete(now) {
            self.finish_searches(now);
        }
        let directory_is_outdated =
            self.preferred_replicas.contains(from) && revision != self.agents.revision_of(from);
        let requests_configuration =
            status.version > self.routes.version() && now >= self.next_fetch_at;
        if status.version > self.routes.version() {
            self.lagging_since.get_or_insert(now);
        }
        if requests_configuration {
            self.next_fetch_at = now + FETCH_INTERVAL;
            let message = Subscribe {
                wants_configuration: true,
                ..self.subscribe_message(from)
            };
            self.send(from, PassThroughBody::Subscribe(message));
        } else if status.version > self.routes.version() {
            // Of an earlier answer something was lost.
            self.subscribe_at = self.subscribe_at.min(self.next_fetch_at);
        } else if directory_is_outdated && self.is_up_to_date {
            // The answer to the next question has it.
            self.subscribe_at = self.subscribe_at.min(now + REPAIR_INTERVAL);
        }
    }

    pub(super) fn handle_configuration(&mut self, now: Timestamp, part: ConfigurationPart) {
        if self.routes.handle_part(part) {
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::ConfigurationApplied, subject);
            let since = self.lagging_since.take().unwrap_or(now);
            let lag = now.saturating_since(since);
            self.latencies.configuration_lag.record(lag);
            self.check_up_to_date(now);
        } else if self.routes.is_incomplete() {
            self.subscribe_at = self.subscribe_at.min(now + REPAIR_INTERVAL);
        }
    }

    pub(super) fn handle_confirmed(&mut self, now: Timestamp, confirmed: &VersionConfirmed) {
        if confirmed.confirmation_id == self.confirmation_id && !self.is_up_to_date {
            self.confirmed_version = Some(confirmed.version);
            self.handle_zones(confirmed.zones.as_ref());
            self.handle_policies(confirmed.policies.as_ref());
            self.check_up_to_date(now);
        }
    }

    /// Takes orders about zones, if they are newer.
    fn handle_zones(&mut self, update: Option<&ZoneStatuses>) {
        let Some(update) = update else { return };
        if self.evacuations.take_newer(update) {
            self.agents.set_evacuated(&self.evacuations);
            let subject = self.evacuations.to_string();
            self.emit_event(EventKind::ZonesApplied, subject);
        }
    }

    /// Takes placement policies, if they are newer.
    fn handle_policies(&mut self, update: Option<&PolicySet>) {
        let Some(update) = update else { return };
        if self.policies.take_newer(update) {
            let (index, count) = (update.index, update.policies.len());
            let subject = format!("index={index} policies={count}");
            self.emit_event(EventKind::PoliciesApplied, subject);
        }
    }

    /// The balancer is current once it has what was the newest version at
    /// some time of its life.
    fn check_up_to_date(&mut self, now: Timestamp) {
        let reached = |version| self.routes.version() >= version;
        if !self.is_up_to_date && self.confirmed_version.is_some_and(reached) {
            self.is_up_to_date = true;
            self.up_to_date_since = now;
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::BecameCurrent, subject);
            self.handle_buffered(now);
        }
    }

    /// When replicas are asked because nobody has been heard for a while.
    pub(super) fn silence_check_at(&self) -> Timestamp {
        (self.last_message_at + SILENCE_TIMEOUT).max(self.subscribed_at + REPAIR_INTERVAL)
    }

    pub(super) fn subscribe(&mut self, now: Timestamp) {
        self.subscribed_at = now;
        self.subscribe_at = now + self.next_subscribe_interval();
        let known = self.known_replicas.all();
        let is_silent = now.saturating_since(self.last_message_at) >= SILENCE_TIMEOUT;
        let count = match is_silent {
            false => PREFERRED_REPLICAS,
            true => REPLICAS_POLLED_IN_SILENCE,
        };
        let preferred = self.preferred_replicas.choose(now, &known, count).to_vec();
        self.confirmation_leader = self.known_replicas.leader();
        for replica in self.confirmation_replicas(&known) {
            if !preferred.contains(&replica) {
                let message = self.subscribe_message(replica);
                self.send(replica, PassThroughBody::Subscribe(message));
            }
        }
        for replica in preferred {
            let message = Subscribe {
                wants_updates: true,
                ..self.subscribe_message(replica)
            };
            self.send(replica, PassThroughBody::Subscribe(message));
        }
    }

    fn next_subscribe_interval(&mut self) -> Duration {
        if self.is_up_to_date && !self.routes.is_incomplete() {
            return self.settings.subscribe_interval;
        }
        self.confirmation_attempts += 1;
        let slow_attempts = self
            .confirmation_attempts
            .saturating_sub(FAST_CONFIRMATION_ATTEMPTS);
        CONFIRMATION_INTERVAL * (1 << slow_attempts.min(MAX_CONFIRMATION_DOUBLINGS))
    }

    /// Who is asked for the newest version beside the attached replicas: the
    /// leader, or everybody as long as no leader is known.
    fn confirmation_replicas(&self, known: &BTreeSet<SocketAddrV4>) -> Vec<SocketAddrV4> {
        match (self.is_up_to_date, self.known_replicas.leader()) {
            (true, _) => Vec::new(),
            (false, Some(leader)) => vec![leader],
            (false, None) => known.iter().copied().collect(),
        }
    }

    pub(super) fn unsubscribe(&mut self) {
        for replica in self.known_replicas.all() {
            let message = Subscribe {
                unsubscribe: true,
                ..self.subscribe_message(replica)
            };
            self.send(replica, PassThroughBody::Subscribe(message));
        }
    }

    fn subscribe_message(&self, replica: SocketAddrV4) -> Subscribe {
        Subscribe {
            incarnation: self.incarnation.0,
            version: self.routes.version(),
            confirmation_id: if self.is_up_to_date {
                0
            } else {
                self.confirmation_id
            },
            unsubscribe: false,
            directory_revision: self.agents.revision_of(replica),
            wants_configuration: false,
            wants_updates: false,
            evacuations_index: self.evacuations.index(),
            wants_saved_agents: false,
            policies_index: self.policies.index(),
        }
    }
}
