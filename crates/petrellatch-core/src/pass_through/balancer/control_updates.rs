//! Updates from replicas: configuration, directory, zones, policies, and the members of the
//! replica group.

use super::*;

/// If no message came from any agent or replica for this time, replicas are polled at
/// once.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between requests to confirm the newest version, until the balancer is up to date.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(60);
/// Number of such requests after which the interval doubles with each one.
const FAST_CONFIRMATION_ATTEMPTS: u32 = 16;
const MAX_CONFIRMATION_DOUBLINGS: u32 = 4;
/// Number of preferred replicas.
const PREFERRED_REPLICAS: usize = 2;
/// Number of replicas that are polled while no message arrives.
const REPLICAS_POLLED_IN_SILENCE: usize = 5;
/// Interval between requests for a newer configuration, as parts of an earlier response may
/// still arrive.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Time until replicas are polled again after an update was lost or a replica stopped
/// serving, and minimum interval of polls while no message arrives.
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
            // The next poll goes to another preferred replica instead of this one.
            self.subscribe_at = self.subscribe_at.min(now + REPAIR_INTERVAL);
        } else if !self.is_up_to_date && self.known_replicas.leader() != self.confirmation_leader {
            // A new leader can confirm the newest version.
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
            // The response to an earlier request is not complete yet. If a part was lost, the
            // poll after the fetch interval makes the replica send it again.
            self.subscribe_at = self.subscribe_at.min(self.next_fetch_at);
        } else if directory_is_outdated && self.is_up_to_date {
            // The reply to the next poll contains it.
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

    /// Applies the states of zones, if they are newer.
    fn handle_zones(&mut self, update: Option<&ZoneStatuses>) {
        let Some(update) = update else { return };
        if self.evacuations.take_newer(update) {
            self.agents.set_evacuated(&self.evacuations);
            let subject = self.evacuations.to_string();
            self.emit_event(EventKind::ZonesApplied, subject);
        }
    }

    /// Applies placement policies, if they are newer.
    fn handle_policies(&mut self, update: Option<&PolicySet>) {
        let Some(update) = update else { return };
        if self.policies.take_newer(update) {
            let (index, count) = (update.index, update.policies.len());
            let subject = format!("index={index} policies={count}");
            self.emit_event(EventKind::PoliciesApplied, subject);
        }
    }

    /// Checks whether the balancer has become up to date: whether it has reached the version
    /// that was confirmed as the newest at some time since its start.
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

    /// When replicas are polled because no message has arrived for a while.
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

    /// The replicas that are asked to confirm the newest version, in addition to the preferred
    /// ones: the leader, or all as long as no leader is known.
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
