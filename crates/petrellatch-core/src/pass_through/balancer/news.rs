//! What replicas tell: configuration, agents and the group.

use super::*;

impl<C: PacketCodec> PassThroughBalancer<C> {
    pub(super) fn handle_group(&mut self, now: Timestamp, from: SocketAddrV4, group: &Group) {
        self.contacts.handle_group(group);
        let revision = group.directory_revision;
        self.agents.handle_revision(now, from, revision);
        let lacks_directory = revision != self.agents.revision_of(from);
        let lacks_configuration = group.version > self.routes.version() && now >= self.fetch_at;
        if lacks_configuration {
            self.fetch_at = now + FETCH_INTERVAL;
            let follow = self.follow_message(from, true);
            self.send(from, PassThroughBody::Follow(follow));
        } else if lacks_directory && self.current {
            // The answer to the next question has it.
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        }
    }

    pub(super) fn handle_configuration(&mut self, now: Timestamp, part: ConfigurationPart) {
        if self.routes.handle_part(part) {
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::ConfigurationApplied, subject);
            self.check_current();
        } else if self.routes.is_partial() {
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        }
    }

    pub(super) fn handle_confirmed(&mut self, confirmed: &Confirmed) {
        if confirmed.confirm == self.confirm && !self.current {
            self.confirmed_version = Some(confirmed.version);
            self.check_current();
        }
    }

    /// The balancer is current once it has what was the newest version at
    /// some time of its life.
    fn check_current(&mut self) {
        let reached = |version| self.routes.version() >= version;
        if !self.current && self.confirmed_version.is_some_and(reached) {
            self.current = true;
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::BecameCurrent, subject);
        }
    }

    /// When replicas are asked because nobody has been heard for a while.
    pub(super) fn silence_check_at(&self) -> Timestamp {
        (self.heard_at + SILENCE_LIMIT).max(self.followed_at + REPAIR_INTERVAL)
    }

    pub(super) fn follow(&mut self, now: Timestamp) {
        self.followed_at = now;
        let interval = match self.current && !self.routes.is_partial() {
            true => self.settings.follow_interval,
            false => CONFIRM_INTERVAL,
        };
        self.follow_at = now + interval;
        self.tell_replicas(false);
    }

    pub(super) fn tell_replicas(&mut self, leaving: bool) {
        for replica in self.contacts.all() {
            let follow = Follow {
                leaving,
                ..self.follow_message(replica, false)
            };
            self.send(replica, PassThroughBody::Follow(follow));
        }
    }

    fn follow_message(&self, replica: SocketAddrV4, wants_configuration: bool) -> Follow {
        Follow {
            incarnation: self.incarnation.0,
            version: self.routes.version(),
            confirm: if self.current { 0 } else { self.confirm },
            leaving: false,
            directory_revision: self.agents.revision_of(replica),
            wants_configuration,
        }
    }
}
