//! What balancers and agents tell and are told.

use super::*;

impl ConfigurationNode {
    pub(super) fn handle_report(&mut self, now: Timestamp, from: SocketAddrV4, report: Report) {
        let wants_group = report.sequence % REPORTS_PER_GROUP == 1;
        let agent = report.address;
        let news = self.followers.handle_report(now, report);
        if news {
            let at = now + DIRECTORY_DELAY;
            self.directory_at = Some(self.directory_at.map_or(at, |due| due.min(at)));
        }
        if news || wants_group {
            let group = Group {
                leaving: self.followers.leaving(agent),
                ..self.group()
            };
            self.send(from, PassThroughBody::Group(group));
        }
    }

    pub(super) fn handle_follow(&mut self, now: Timestamp, from: SocketAddrV4, follow: &Follow) {
        if follow.leaving {
            self.followers.forget_follower(from);
            return;
        }
        self.followers.note_follower(now, from);
        let directory = self.followers.directory(now, follow.directory_revision);
        self.send_all(from, directory);
        if follow.wants_configuration {
            let news = self
                .followers
                .news(follow.version, self.state.configuration());
            self.send_all(from, news);
        }
        let group = self.group();
        self.send(from, PassThroughBody::Group(group));
        if follow.confirm != 0 && self.replica.role() == Role::Leader {
            let read = PendingRead::Balancer {
                address: from,
                confirm: follow.confirm,
            };
            self.request_read(now, read);
        }
    }

    pub(super) fn group(&self) -> Group {
        let members = self.replica.membership().members();
        let address = |member: &crate::consensus::Member| member.replica.node.0;
        Group {
            replicas: members.iter().map(address).collect(),
            index: self.replica.membership_index(),
            version: self.configuration().version,
            directory_revision: self.followers.revision(),
            leaving: Vec::new(),
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
        if self.replica.role() != Role::Leader {
            // Balancers see with their next question that there is news.
            return;
        }
        let news = self.followers.news(version, self.state.configuration());
        for follower in self.followers.followers() {
            self.send_all(follower, news.clone());
        }
    }
}
