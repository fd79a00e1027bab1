//! A replica of the group that holds the configuration.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::consensus::{ConsensusBody, ConsensusMessage};
use petrellatch_proto::pass_through::{
    Confirmed, Follow, Group, PassThroughBody, Report, pack_address, unpack_address,
};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::consensus::{
    MemberRole, Membership, PersistRequest, PersistTicket, Replica, ReplicaOutput, ReplicaSettings,
    ReplicaStart, Role,
};
use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::time::Timestamp;

use super::configuration::Configuration;
use super::configuration_state::ConfigurationState;
use super::contacts::Contacts;
use super::followers::Followers;
use super::group_keeper::GroupKeeper;
use super::replacements::Replacements;

/// Between two sweeps over soft state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// News of agents are gathered for this long.
const DIRECTORY_DELAY: Duration = Duration::from_millis(20);

/// An agent is told the group's members with every so many reports.
const REPORTS_PER_GROUP: u64 = 4;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationNodeSettings {
    /// Of the replicated log.
    pub replica: ReplicaSettings,
    /// How many machines may be lost at once.
    pub losses: usize,
    /// A silent member is removed after this, if enough others stay.
    pub member_silence_limit: Duration,
    /// A request that is not answered by then gets the answer that its
    /// outcome is unknown.
    pub request_limit: Duration,
    /// A leader whose disk holds up a write for longer stops leading.
    pub write_limit: Duration,
    /// The longest that a planned stop waits for a successor.
    pub stop_limit: Duration,
}

impl Default for ConfigurationNodeSettings {
    fn default() -> Self {
        ConfigurationNodeSettings {
            replica: ReplicaSettings {
                compaction_threshold: 1024,
                compaction_bytes: 512 * 1024,
                max_batch_bytes: 16 * 1024,
                snapshot_chunk_bytes: 16 * 1024,
                readmit_retired: true,
                ..ReplicaSettings::default()
            },
            losses: 1,
            member_silence_limit: Duration::from_secs(8),
            request_limit: Duration::from_millis(850),
            write_limit: Duration::from_millis(400),
            stop_limit: Duration::from_secs(1),
        }
    }
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationRequest {
    /// Replace the configuration, unless the held version is as high.
    Replace(Configuration),
    /// Read the newest configuration.
    Read,
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationResponse {
    /// The version, or a higher one, is accepted for good.
    Accepted {
        /// The version that is held.
        version: u64,
    },
    /// The newest configuration.
    Read(Configuration),
    /// Another replica leads.
    Elsewhere {
        /// Its address for messages between processes.
        leader: SocketAddrV4,
    },
    /// Nobody is known to lead, or the outcome is not known in time.
    Unavailable,
}

impl ConfigurationResponse {
    /// The answer in a few words.
    fn summary(&self) -> String {
        match self {
            ConfigurationResponse::Accepted { version } => format!("accepted({version})"),
            ConfigurationResponse::Read(read) => format!("read({})", read.version),
            ConfigurationResponse::Elsewhere { leader } => format!("elsewhere({leader})"),
            ConfigurationResponse::Unavailable => "unavailable".to_owned(),
        }
    }
}

/// Something for the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationOutput {
    /// Send a message. It may get lost.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        body: PassThroughBody,
    },
    /// Write and sync, then call [`ConfigurationNode::handle_persisted`].
    Persist(PersistRequest),
    /// Answer a request.
    Respond {
        /// Token of the request.
        token: u64,
        /// The answer.
        response: ConfigurationResponse,
    },
    /// Write to the log.
    Event(Event),
}

#[derive(Debug)]
enum PendingRead {
    Operator { token: u64, deadline: Timestamp },
    Balancer { address: SocketAddrV4, confirm: u64 },
}

/// The state machine of a replica.
#[derive(Debug)]
pub struct ConfigurationNode {
    settings: ConfigurationNodeSettings,
    replica: Replica,
    random: ChaCha8Rng,
    state: ConfigurationState,
    replacements: Replacements,
    reads: BTreeMap<u64, PendingRead>,
    next_read: u64,
    followers: Followers,
    /// Revision of the directory that balancers were told last.
    pushed_revision: u64,
    contacts: Contacts,
    /// The version before the first change that balancers were not told.
    news_since: Option<u64>,
    keeper: GroupKeeper,
    directory_at: Option<Timestamp>,
    sweep_at: Timestamp,
    write_since: Option<Timestamp>,
    stop_at: Option<Timestamp>,
    stopped: bool,
    outputs: VecDeque<ConfigurationOutput>,
}

/// The identifier of the replica at this address.
pub fn node_at(address: SocketAddrV4) -> NodeId {
    NodeId(pack_address(address))
}

/// The address of a replica whose identifier [`node_at`] made.
pub fn node_address(node: NodeId) -> SocketAddrV4 {
    unpack_address(node.0)
}

impl ConfigurationNode {
    /// Starts a life of a replica. Nodes in `start` are made by [`node_at`].
    pub fn new(now: Timestamp, settings: ConfigurationNodeSettings, start: ReplicaStart) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(start.seed.wrapping_add(1));
        let followers = Followers::new(random.random());
        let founders = start.bootstrap.as_ref().map(Membership::members);
        let founders = founders.unwrap_or_default().iter();
        let seeds = founders.map(|founder| node_address(founder.replica.node));
        let seeds = seeds.collect();
        ConfigurationNode {
            replica: Replica::new(now, settings.replica.clone(), start),
            random,
            keeper: GroupKeeper::new(settings.losses, settings.member_silence_limit),
            settings,
            state: ConfigurationState::default(),
            replacements: Replacements::default(),
            reads: BTreeMap::new(),
            next_read: 0,
            pushed_revision: followers.revision(),
            followers,
            contacts: Contacts::new(seeds),
            news_since: None,
            directory_at: None,
            sweep_at: now + SWEEP_INTERVAL,
            write_since: None,
            stop_at: None,
            stopped: false,
            outputs: VecDeque::new(),
        }
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The configuration as far as it is applied here.
    pub fn configuration(&self) -> &Configuration {
        self.state.configuration()
    }

    /// Replaces the replicas that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.replica
            .set_contacts(seeds.iter().copied().map(node_at));
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Begins a planned stop: hands leadership over first.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_some() {
            return;
        }
        self.stop_at = Some(now + self.settings.stop_limit);
        if self.replica.transfer_leadership(now).is_err() {
            self.stopped = true;
        }
    }

    /// Takes a message of another process.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::Consensus(bytes) => self.handle_consensus(now, from, &bytes),
            PassThroughBody::Group(group) => {
                self.contacts.handle_group(&group);
                self.apply_contacts();
            }
            PassThroughBody::Report(report) => self.handle_report(now, from, report),
            PassThroughBody::Follow(follow) => self.handle_follow(now, from, &follow),
            _ => {}
        }
        self.drain(now);
    }

    /// Takes a request of an operator.
    pub fn handle_request(&mut self, now: Timestamp, token: u64, request: ConfigurationRequest) {
        match request {
            ConfigurationRequest::Replace(configuration) => {
                self.handle_replace(now, token, configuration);
            }
            ConfigurationRequest::Read => {
                let deadline = now + self.settings.request_limit;
                self.request_read(now, PendingRead::Operator { token, deadline });
            }
        }
        self.drain(now);
    }

    /// Notes that a write is synced.
    pub fn handle_persisted(&mut self, now: Timestamp, ticket: PersistTicket) {
        self.write_since = None;
        self.replica.handle_persisted(now, ticket);
        self.drain(now);
    }

    /// Does what has become due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if self.replica.poll_timeout().is_some_and(|due| due <= now) {
            self.replica.handle_timeout(now);
        }
        self.keeper.handle_timeout(now, &mut self.replica);
        self.leave_stalled_disk(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.followers.expire(now);
        }
        if self.directory_at.is_some_and(|at| at <= now) {
            self.directory_at = None;
            self.push_directory(now);
        }
        self.expire_requests(now);
        self.continue_stop(now);
        self.drain(now);
    }

    /// When [`ConfigurationNode::handle_timeout`] is wanted.
    pub fn poll_timeout(&self) -> Timestamp {
        let timers = [
            self.replica.poll_timeout(),
            Some(self.keeper.poll_timeout()),
            Some(self.sweep_at),
            self.directory_at,
            self.stop_at,
        ];
        let first = timers.into_iter().flatten().min();
        first.unwrap_or(self.sweep_at)
    }

    /// The next thing to do.
    pub fn poll_output(&mut self) -> Option<ConfigurationOutput> {
        self.outputs.pop_front()
    }

    fn handle_consensus(&mut self, now: Timestamp, from: SocketAddrV4, bytes: &[u8]) {
        let Ok(message) = ConsensusMessage::decode(bytes) else {
            return;
        };
        let joins = matches!(message.body, Some(ConsensusBody::JoinRequest(_)));
        self.replica.handle_message(now, node_at(from), message);
        if joins && self.replica.role() != Role::Leader {
            // The newcomer may know no replica but this one.
            let group = self.group();
            self.send(from, PassThroughBody::Group(group));
        }
    }

    fn apply_contacts(&mut self) {
        let nodes = self.contacts.all().into_iter().map(node_at);
        self.replica.set_contacts(nodes);
    }

    fn handle_replace(&mut self, now: Timestamp, token: u64, configuration: Configuration) {
        let held = self.configuration().version;
        if configuration.version <= held {
            self.respond(token, ConfigurationResponse::Accepted { version: held });
            return;
        }
        if self.replica.role() != Role::Leader {
            self.respond_elsewhere(token);
            return;
        }
        let deadline = now + self.settings.request_limit;
        self.replacements.add(token, deadline, configuration);
        self.propose_next(now);
    }

    fn propose_next(&mut self, now: Timestamp) {
        let Some(next) = self.replacements.next() else {
            return;
        };
        let change = self.state.configuration().change_to(next);
        let id: u64 = self.random.random();
        let commands = ConfigurationState::commands(id, &change);
        for command in commands {
            if self.replica.propose(now, command).is_err() {
                self.give_up_replacements();
                return;
            }
        }
        self.replacements.note_proposed(id);
    }

    /// Nothing is known of the outcome of what waits.
    fn give_up_replacements(&mut self) {
        for token in self.replacements.take_all() {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
    }

    fn request_read(&mut self, now: Timestamp, read: PendingRead) {
        self.next_read += 1;
        let number = self.next_read;
        match self.replica.request_read(now, number) {
            Ok(()) => {
                self.reads.insert(number, read);
            }
            Err(_) => {
                if let PendingRead::Operator { token, .. } = read {
                    self.respond_elsewhere(token);
                }
            }
        }
    }

    fn handle_report(&mut self, now: Timestamp, from: SocketAddrV4, report: Report) {
        let wants_group = report.sequence % REPORTS_PER_GROUP == 1;
        let news = self.followers.handle_report(now, report);
        if news {
            let at = now + DIRECTORY_DELAY;
            self.directory_at = Some(self.directory_at.map_or(at, |due| due.min(at)));
        }
        if news || wants_group {
            let group = self.group();
            self.send(from, PassThroughBody::Group(group));
        }
    }

    fn handle_follow(&mut self, now: Timestamp, from: SocketAddrV4, follow: &Follow) {
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

    fn group(&self) -> Group {
        let members = self.replica.membership().members();
        let address = |member: &crate::consensus::Member| member.replica.node.0;
        Group {
            replicas: members.iter().map(address).collect(),
            index: self.replica.membership_index(),
            version: self.configuration().version,
            directory_revision: self.followers.revision(),
        }
    }

    fn push_directory(&mut self, now: Timestamp) {
        let directory = self.followers.directory(now, self.pushed_revision);
        self.pushed_revision = self.followers.revision();
        for follower in self.followers.followers() {
            self.send_all(follower, directory.clone());
        }
    }

    fn leave_stalled_disk(&mut self, now: Timestamp) {
        let limit = self.settings.write_limit;
        let stalled = self
            .write_since
            .is_some_and(|since| now.saturating_since(since) >= limit);
        if stalled && self.replica.membership().voters().count() > 1 {
            self.replica.resign(now);
        }
    }

    fn expire_requests(&mut self, now: Timestamp) {
        for token in self.replacements.take_expired(now) {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
        let expired = |read: &PendingRead| match read {
            PendingRead::Operator { token, deadline } if *deadline <= now => Some(*token),
            _ => None,
        };
        let tokens: Vec<u64> = self.reads.values().filter_map(expired).collect();
        self.reads.retain(|_, read| expired(read).is_none());
        for token in tokens {
            self.respond(token, ConfigurationResponse::Unavailable);
        }
    }

    fn continue_stop(&mut self, now: Timestamp) {
        let Some(stop_at) = self.stop_at else { return };
        let leads = self.replica.role() == Role::Leader;
        if leads && now < stop_at && !self.replica.is_transferring() {
            let _ = self.replica.transfer_leadership(now);
        }
        if !leads || now >= stop_at {
            self.stopped = true;
        }
    }

    /// Carries out the replica's outputs.
    fn drain(&mut self, now: Timestamp) {
        while let Some(output) = self.replica.poll_output() {
            self.carry_out(now, output);
        }
        self.push_news();
    }

    /// Tells the balancers what was applied since the last time, all at once.
    fn push_news(&mut self) {
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

    fn carry_out(&mut self, now: Timestamp, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send { to, message } => {
                let body = PassThroughBody::Consensus(message.encode_to_vec());
                self.send(node_address(to), body);
            }
            ReplicaOutput::Persist(request) => {
                self.write_since = Some(now);
                self.outputs
                    .push_back(ConfigurationOutput::Persist(request));
            }
            ReplicaOutput::Apply { command, .. } => self.apply(now, &command),
            ReplicaOutput::RestoreSnapshot { bytes, .. } => self.restore(&bytes),
            ReplicaOutput::SnapshotWanted { index } => {
                let bytes = self.state.encode_snapshot();
                self.replica.install_application_snapshot(now, index, bytes);
            }
            ReplicaOutput::ReadReady { token, .. } => self.answer_read(token),
            ReplicaOutput::ReadLost { token } => {
                if let Some(PendingRead::Operator { token, .. }) = self.reads.remove(&token) {
                    self.respond(token, ConfigurationResponse::Unavailable);
                }
            }
            ReplicaOutput::ProposalLost { .. } => self.give_up_replacements(),
            ReplicaOutput::RoleChanged { role, term } => self.note_role(role, term),
            ReplicaOutput::MembershipChanged(membership) => {
                let voters = membership.voters().count();
                let members = membership.members().len();
                let joining = |member: &&crate::consensus::Member| member.role != MemberRole::Voter;
                let joining = membership.members().iter().filter(joining).count();
                let subject = format!("voters={voters} joining={joining} members={members}");
                self.keeper.note_membership(now, &membership);
                self.emit_event(EventKind::ReplicasChanged, subject);
            }
        }
    }

    fn apply(&mut self, now: Timestamp, command: &[u8]) {
        let Some(applied) = self.state.apply(command) else {
            return;
        };
        if let Some(change) = &applied.change {
            self.followers.note_change(change);
            let version = change.version;
            let (put, removed) = (change.put.len(), change.removed.len());
            let subject = format!("version={version} put={put} removed={removed}");
            self.emit_event(EventKind::ConfigurationReplaced, subject);
            self.news_since.get_or_insert(change.base_version);
        }
        self.replacements.note_finished(applied.id);
        let version = self.configuration().version;
        for token in self.replacements.take_reached(version) {
            self.respond(token, ConfigurationResponse::Accepted { version });
        }
        if self.replica.role() == Role::Leader {
            self.propose_next(now);
        }
    }

    fn restore(&mut self, bytes: &[u8]) {
        if let Some(state) = ConfigurationState::decode_snapshot(bytes) {
            self.state = state;
            self.followers.forget_changes();
        }
    }

    fn answer_read(&mut self, number: u64) {
        match self.reads.remove(&number) {
            Some(PendingRead::Operator { token, .. }) => {
                let configuration = self.configuration().clone();
                self.respond(token, ConfigurationResponse::Read(configuration));
            }
            Some(PendingRead::Balancer { address, confirm }) => {
                let version = self.configuration().version;
                let confirmed = Confirmed { confirm, version };
                self.send(address, PassThroughBody::Confirmed(confirmed));
            }
            None => {}
        }
    }

    fn note_role(&mut self, role: Role, term: u64) {
        let kind = match role {
            Role::Leader => EventKind::LeaderElected,
            Role::Follower => EventKind::LeaderSteppedDown,
            Role::PreCandidate | Role::Candidate => return,
        };
        self.keeper.restart();
        if role == Role::Follower {
            self.give_up_replacements();
        }
        self.emit_event(kind, format!("term={term}"));
    }

    fn respond_elsewhere(&mut self, token: u64) {
        let leader = self.replica.leader();
        let other = leader.filter(|leader| *leader != self.replica.id().node);
        let response = match other {
            Some(leader) => ConfigurationResponse::Elsewhere {
                leader: node_address(leader),
            },
            None => ConfigurationResponse::Unavailable,
        };
        self.respond(token, response);
    }

    fn respond(&mut self, token: u64, response: ConfigurationResponse) {
        let role = self.replica.role();
        let subject = format!(
            "request={token} answer={} role={role:?}",
            response.summary()
        );
        self.emit_event(EventKind::RequestAnswered, subject);
        self.outputs
            .push_back(ConfigurationOutput::Respond { token, response });
    }

    fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.outputs
            .push_back(ConfigurationOutput::Send { to, body });
    }

    fn send_all(&mut self, to: SocketAddrV4, bodies: Vec<PassThroughBody>) {
        for body in bodies {
            self.send(to, body);
        }
    }

    fn emit_event(&mut self, kind: EventKind, subject: String) {
        self.outputs
            .push_back(ConfigurationOutput::Event(Event::new(kind, subject)));
    }
}
