//! What replicas tell: configuration, agents and the group.

use super::*;

/// When nobody was heard for so long, replicas are asked.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// Between two questions for the newest version before the first answer.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(60);
/// After so many of them the time between two doubles with each.
const QUICK_CONFIRM_TRIES: u32 = 16;
const MAX_CONFIRM_DOUBLINGS: u32 = 4;
/// Replicas that a balancer is attached to.
const ATTACHMENTS: usize = 2;
/// Replicas that are asked when nobody is heard.
const ASKED_IN_SILENCE: usize = 5;
/// Between two questions for a newer configuration; parts may be on their way.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Between two news after a part of a change did not arrive.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

impl<C: PacketCodec> PassThroughBalancer<C> {
    pub(super) fn handle_group(&mut self, now: Timestamp, from: SocketAddrV4, group: &GroupStatus) {
        self.contacts.handle_group_status(group);
        self.handle_zones(group.zones.as_ref());
        self.handle_policies(group.policies.as_ref());
        self.attachments.note_reply(now, from, group.has_leader);
        if !group.has_leader {
            // Another replica takes its place.
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        } else if !self.current && self.contacts.leader() != self.confirm_asked {
            // A leader that was not asked yet can confirm what is newest.
            self.follow(now);
        }
        let revision = group.directory_revision;
        let was_whole = self.agents.is_whole(now);
        self.agents
            .handle_revision(now, from, revision, group.directory_is_complete);
        if !was_whole && self.agents.is_whole(now) {
            self.settle_searches(now);
        }
        let lacks_directory =
            self.attachments.contains(from) && revision != self.agents.revision_of(from);
        let lacks_configuration = group.version > self.routes.version() && now >= self.fetch_at;
        if group.version > self.routes.version() {
            self.lagging_since.get_or_insert(now);
        }
        if lacks_configuration {
            self.fetch_at = now + FETCH_INTERVAL;
            let follow = Subscribe {
                wants_configuration: true,
                ..self.follow_message(from)
            };
            self.send(from, PassThroughBody::Subscribe(follow));
        } else if group.version > self.routes.version() {
            // Of an earlier answer something was lost.
            self.follow_at = self.follow_at.min(self.fetch_at);
        } else if lacks_directory && self.current {
            // The answer to the next question has it.
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        }
    }

    pub(super) fn handle_configuration(&mut self, now: Timestamp, part: ConfigurationPart) {
        if self.routes.handle_part(part) {
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::ConfigurationApplied, subject);
            let since = self.lagging_since.take().unwrap_or(now);
            let lag = now.saturating_since(since);
            self.latencies.configuration_lag.record(lag);
            self.check_current(now);
        } else if self.routes.is_incomplete() {
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        }
    }

    pub(super) fn handle_confirmed(&mut self, now: Timestamp, confirmed: &VersionConfirmed) {
        if confirmed.confirmation_id == self.confirm && !self.current {
            self.confirmed_version = Some(confirmed.version);
            self.handle_zones(confirmed.zones.as_ref());
            self.handle_policies(confirmed.policies.as_ref());
            self.check_current(now);
        }
    }

    /// Takes orders about zones, if they are newer.
    fn handle_zones(&mut self, told: Option<&ZoneStatuses>) {
        let Some(told) = told else { return };
        if self.evacuations.take_newer(told) {
            self.agents.set_evacuated(&self.evacuations);
            let subject = self.evacuations.to_string();
            self.emit_event(EventKind::ZonesApplied, subject);
        }
    }

    /// Takes placement policies, if they are newer.
    fn handle_policies(&mut self, told: Option<&PolicySet>) {
        let Some(told) = told else { return };
        if self.policies.take_newer(told) {
            let (index, count) = (told.index, told.policies.len());
            let subject = format!("index={index} policies={count}");
            self.emit_event(EventKind::PoliciesApplied, subject);
        }
    }

    /// The balancer is current once it has what was the newest version at
    /// some time of its life.
    fn check_current(&mut self, now: Timestamp) {
        let reached = |version| self.routes.version() >= version;
        if !self.current && self.confirmed_version.is_some_and(reached) {
            self.current = true;
            self.current_since = now;
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::BecameCurrent, subject);
            self.handle_early(now);
        }
    }

    /// When replicas are asked because nobody has been heard for a while.
    pub(super) fn silence_check_at(&self) -> Timestamp {
        (self.heard_at + SILENCE_LIMIT).max(self.followed_at + REPAIR_INTERVAL)
    }

    pub(super) fn follow(&mut self, now: Timestamp) {
        self.followed_at = now;
        self.follow_at = now + self.subscribe_interval();
        let known = self.contacts.all();
        let is_silent = now.saturating_since(self.heard_at) >= SILENCE_LIMIT;
        let count = match is_silent {
            false => ATTACHMENTS,
            true => ASKED_IN_SILENCE,
        };
        let attached = self.attachments.choose(now, &known, count).to_vec();
        self.confirm_asked = self.contacts.leader();
        for replica in self.confirming_replicas(&known) {
            if !attached.contains(&replica) {
                let follow = self.follow_message(replica);
                self.send(replica, PassThroughBody::Subscribe(follow));
            }
        }
        for replica in attached {
            let follow = Subscribe {
                wants_updates: true,
                ..self.follow_message(replica)
            };
            self.send(replica, PassThroughBody::Subscribe(follow));
        }
    }

    fn subscribe_interval(&mut self) -> Duration {
        if self.current && !self.routes.is_incomplete() {
            return self.settings.subscribe_interval;
        }
        self.confirm_tries += 1;
        let slow_tries = self.confirm_tries.saturating_sub(QUICK_CONFIRM_TRIES);
        CONFIRM_INTERVAL * (1 << slow_tries.min(MAX_CONFIRM_DOUBLINGS))
    }

    /// Who is asked for the newest version beside the attached replicas: the
    /// leader, or everybody as long as no leader is known.
    fn confirming_replicas(&self, known: &BTreeSet<SocketAddrV4>) -> Vec<SocketAddrV4> {
        match (self.current, self.contacts.leader()) {
            (true, _) => Vec::new(),
            (false, Some(leader)) => vec![leader],
            (false, None) => known.iter().copied().collect(),
        }
    }

    pub(super) fn leave_replicas(&mut self) {
        for replica in self.contacts.all() {
            let follow = Subscribe {
                unsubscribe: true,
                ..self.follow_message(replica)
            };
            self.send(replica, PassThroughBody::Subscribe(follow));
        }
    }

    fn follow_message(&self, replica: SocketAddrV4) -> Subscribe {
        Subscribe {
            incarnation: self.incarnation.0,
            version: self.routes.version(),
            confirmation_id: if self.current { 0 } else { self.confirm },
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
