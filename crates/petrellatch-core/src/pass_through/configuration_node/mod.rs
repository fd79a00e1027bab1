//! A replica of the group that holds the configuration.

mod balancer_news;
mod calls;
mod directory_fetch;
mod flow_record_keeping;
mod memory_exchange;
mod own_zone;
mod policy_changes;
mod replica_outputs;
mod requests;
mod settings;
mod waiting_orders;
mod zone_news;
mod zone_orders;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::consensus::{ConsensusBody, ConsensusMessage};
use petrellatch_proto::pass_through::{
    DirectoryPart, GroupStatus, PassThroughBody, PolicyChange, ReplicaZone, Report, Subscribe,
    VersionConfirmed, ZoneCommand, pack_address, unpack_address,
};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::consensus::{
    ElectionLoss, MemberRole, Membership, PersistTicket, Replica, ReplicaOutput, ReplicaStart, Role,
};
use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::time::Timestamp;

use super::group::daemon_memory::{DaemonMemory, remembered};
use super::group::evacuations::Evacuations;
use super::group::flow_record_store::{FlowRecordStoreStats, FlowRecords};
use super::group::followers::Followers;
use super::group::group_keeper::GroupKeeper;
use super::group::known_replicas::KnownReplicas;
use super::group::told_changes::ToldChanges;
use super::latency::LatencyHistogram;
use super::routes::configuration::Configuration;
use super::routes::configuration_state::ConfigurationState;
use super::routes::pending_replacements::PendingReplacements;

pub use calls::{
    ConfigurationOutput, ConfigurationRequest, ConfigurationResponse, ZoneCommandRefusal,
};
pub use settings::ConfigurationNodeSettings;

use directory_fetch::DirectoryFetch;
use memory_exchange::MemoryExchange;
use waiting_orders::WaitingOrders;
use zone_news::ZoneNews;

/// Between two sweeps over soft state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// News of agents are gathered for this long.
const DIRECTORY_DELAY: Duration = Duration::from_millis(20);

/// An agent is told the group's members with every so many reports.
const REPORTS_PER_GROUP: u64 = 4;

/// Times that a replica measures.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationNodeLatencies {
    /// From the request of a replacement until it was accepted.
    pub acceptance: LatencyHistogram,
    /// From the request of a write until it was synced.
    pub log_sync: LatencyHistogram,
}

#[derive(Debug)]
enum PendingRead {
    Operator {
        token: u64,
        deadline: Timestamp,
        subject: ReadSubject,
    },
    Balancer {
        address: SocketAddrV4,
        confirm: u64,
    },
}

/// What an operator reads.
#[derive(Clone, Copy, Debug)]
enum ReadSubject {
    Configuration,
    Policies,
}

/// The state machine of a replica.
#[derive(Debug)]
pub struct ConfigurationNode {
    settings: ConfigurationNodeSettings,
    replica: Replica,
    random: ChaCha8Rng,
    state: ConfigurationState,
    replacements: PendingReplacements,
    /// Orders about zones that are in the log.
    zone_orders: WaitingOrders,
    /// Changes of the placement policies that are in the log.
    policy_changes: WaitingOrders,
    zone_news: ZoneNews,
    reads: BTreeMap<u64, PendingRead>,
    next_read: u64,
    followers: Followers,
    told_changes: ToldChanges,
    /// Revision of the directory that balancers were told last.
    pushed_revision: u64,
    contacts: KnownReplicas,
    /// The version before the first change that balancers were not told.
    news_since: Option<u64>,
    keeper: GroupKeeper,
    daemon_memory: DaemonMemory,
    flow_records: FlowRecords,
    /// When the other replicas are told this one's zone next, and how often they were.
    zone_told_at: Timestamp,
    zone_tellings: u32,
    directory_at: Option<Timestamp>,
    directory_fetch: DirectoryFetch,
    memory_exchange: MemoryExchange,
    /// The replica whose directory was taken over, until it has said whether
    /// that is whole.
    took_over_from: Option<SocketAddrV4>,
    /// Whether balancers were told that the directory is whole.
    told_whole: bool,
    /// When to look whether it is.
    whole_check_at: Option<Timestamp>,
    /// Whether this replica heard a leader at the latest input.
    served: bool,
    latencies: ConfigurationNodeLatencies,
    elections_lost: BTreeMap<ElectionLoss, u64>,
    sweep_at: Timestamp,
    write_since: Option<Timestamp>,
    stop_at: Option<Timestamp>,
    stopped: bool,
    outputs: VecDeque<ConfigurationOutput>,
}

/// The identifier of the replica at this address.
pub fn node_id_of_address(address: SocketAddrV4) -> NodeId {
    NodeId(pack_address(address))
}

/// The address of a replica whose identifier [`node_id_of_address`] made.
pub fn address_of_node_id(node: NodeId) -> SocketAddrV4 {
    unpack_address(node.0)
}

impl ConfigurationNode {
    /// Starts a life of a replica. Nodes in `start` are made by [`node_id_of_address`].
    pub fn new(now: Timestamp, settings: ConfigurationNodeSettings, start: ReplicaStart) -> Self {
        let flow_records = FlowRecords::new(
            now,
            settings.max_flow_record_bytes,
            settings.flow_record_ttl,
        );
        let mut random = ChaCha8Rng::seed_from_u64(start.seed.wrapping_add(1));
        let followers = Followers::new(now, random.random());
        let founders = start.bootstrap.as_ref().map(Membership::members);
        let founders = founders.unwrap_or_default().iter();
        let seeds = founders.map(|founder| address_of_node_id(founder.replica.node));
        let seeds = seeds.collect();
        ConfigurationNode {
            replica: Replica::new(now, settings.replica.clone(), start),
            random,
            keeper: GroupKeeper::new(
                settings.max_lost_replicas,
                settings.max_lost_zones,
                settings.member_silence_timeout,
            ),
            zone_told_at: now,
            zone_tellings: 0,
            settings,
            state: ConfigurationState::default(),
            replacements: PendingReplacements::default(),
            zone_orders: WaitingOrders::default(),
            policy_changes: WaitingOrders::default(),
            zone_news: ZoneNews::default(),
            reads: BTreeMap::new(),
            next_read: 0,
            pushed_revision: followers.revision(),
            followers,
            told_changes: ToldChanges::default(),
            contacts: KnownReplicas::new(seeds),
            news_since: None,
            daemon_memory: DaemonMemory::new(now),
            flow_records,
            directory_at: None,
            directory_fetch: DirectoryFetch::new(now),
            memory_exchange: MemoryExchange::new(now),
            took_over_from: None,
            told_whole: false,
            whole_check_at: Some(now),
            served: false,
            latencies: ConfigurationNodeLatencies::default(),
            elections_lost: BTreeMap::new(),
            sweep_at: now + SWEEP_INTERVAL,
            write_since: None,
            stop_at: None,
            stopped: false,
            outputs: VecDeque::new(),
        }
    }

    /// Takes what a former life asked to be remembered. Returns whether it could
    /// be read.
    pub fn load_daemons(&mut self, saved: &[u8]) -> bool {
        let is_readable = self.daemon_memory.recall(saved);
        let agents = self.daemon_memory.saved_agents();
        self.followers.expected_mut().recall(agents);
        is_readable
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The configuration as far as it is applied here.
    pub fn configuration(&self) -> &Configuration {
        self.state.configuration()
    }

    /// The orders about zones as far as they are applied here.
    pub fn evacuations(&self) -> &Evacuations {
        self.state.evacuations()
    }

    /// Elections of this life that this replica stood for and lost, by reason.
    pub fn elections_lost(&self, reason: ElectionLoss) -> u64 {
        self.elections_lost.get(&reason).copied().unwrap_or(0)
    }

    /// Agents that have not said that they know the latest order about their
    /// zone. Only the leader hears all of them.
    pub fn agents_behind(&self) -> usize {
        self.followers.agents_behind(self.evacuations()).count()
    }

    /// Times since the start.
    pub fn latencies(&self) -> &ConfigurationNodeLatencies {
        &self.latencies
    }

    /// Replaces the replicas that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.replica
            .set_contacts(seeds.iter().copied().map(node_id_of_address));
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
        self.stop_at = Some(now + self.settings.stop_timeout);
        if self.replica.transfer_leadership(now).is_err() {
            self.stopped = true;
        }
    }

    /// Takes a message of another process.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::Consensus(bytes) => self.handle_consensus(now, from, &bytes),
            PassThroughBody::GroupStatus(group) => {
                self.note_whole_takeover(from, &group);
                self.note_remembered(from, &group);
                self.contacts.handle_group_status(&group);
                self.apply_contacts();
            }
            PassThroughBody::Report(report) => self.handle_report(now, from, report),
            PassThroughBody::Subscribe(follow) => self.handle_follow(now, from, &follow),
            PassThroughBody::DirectoryPart(directory) => {
                self.handle_directory(now, from, directory);
            }
            PassThroughBody::ReplicaZone(told) => {
                self.keeper.note_zone(node_id_of_address(from), told.zone)
            }
            PassThroughBody::EvacuationsAck(known) => {
                self.followers
                    .note_evacuations_known(known.address, known.index);
            }
            PassThroughBody::FlowRecordChange(change) => {
                self.handle_record_change(now, from, *change);
            }
            PassThroughBody::FlowRecordRequest(question) => self.handle_recall(now, from, question),
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
                self.request_operator_read(now, token, ReadSubject::Configuration);
            }
            ConfigurationRequest::ReadPolicies => {
                self.request_operator_read(now, token, ReadSubject::Policies);
            }
            ConfigurationRequest::PutPolicy { policy, base_index } => {
                let change = PolicyChange {
                    change_id: self.random.random(),
                    base_index,
                    put: Some(policy),
                    removed: String::new(),
                };
                self.handle_policy_change(now, token, change);
            }
            ConfigurationRequest::RemovePolicy { name, base_index } => {
                let change = PolicyChange {
                    change_id: self.random.random(),
                    base_index,
                    put: None,
                    removed: name,
                };
                self.handle_policy_change(now, token, change);
            }
            ConfigurationRequest::CheckPolicy(policy) => {
                self.handle_policy_check(now, token, &policy);
            }
            ConfigurationRequest::ExplainPolicy { service } => {
                self.handle_policy_explanation(now, token, service);
            }
            ConfigurationRequest::SetZoneEvacuated {
                zone,
                evacuated,
                allow_last,
                ordered_at_millis,
            } => {
                let order = ZoneCommand {
                    command_id: self.random.random(),
                    zone,
                    evacuated,
                    issued_at_millis: ordered_at_millis,
                };
                self.handle_zone_order(now, token, order, allow_last);
            }
        }
        self.drain(now);
    }

    /// Notes that a write is synced.
    pub fn handle_persisted(&mut self, now: Timestamp, ticket: PersistTicket) {
        if let Some(since) = self.write_since.take() {
            self.latencies.log_sync.record(now.saturating_since(since));
        }
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
            self.flow_records.expire(now);
        }
        if self.directory_at.is_some_and(|at| at <= now) {
            self.directory_at = None;
            self.push_directory(now);
        }
        self.tell_agents_of_zones(now);
        self.tell_own_zone(now);
        self.save_daemons(now);
        self.save_flow_records(now);
        self.fetch_directory(now);
        self.ask_for_memories(now);
        self.tell_former_agents(now);
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
            Some(self.daemon_memory.poll_timeout()),
            Some(self.flow_records.poll_timeout()),
            self.directory_at,
            self.zone_news.poll_timeout(),
            Some(self.zone_told_at),
            self.directory_fetch.poll_timeout(),
            self.memory_exchange.poll_timeout(),
            self.whole_check_at,
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
        self.replica
            .handle_message(now, node_id_of_address(from), message);
        if joins && self.replica.role() != Role::Leader {
            // The newcomer may know no replica but this one.
            let group = self.group(now);
            self.send(from, PassThroughBody::GroupStatus(group));
        }
    }

    fn apply_contacts(&mut self) {
        let nodes = self.contacts.all().into_iter().map(node_id_of_address);
        self.replica.set_contacts(nodes);
    }

    fn disk_is_stalled(&self, now: Timestamp) -> bool {
        let limit = self.settings.write_timeout;
        let is_late = |since| now.saturating_since(since) >= limit;
        self.write_since.is_some_and(is_late)
    }

    fn leave_stalled_disk(&mut self, now: Timestamp) {
        if self.disk_is_stalled(now) && self.replica.membership().voters().count() > 1 {
            self.replica.resign(now);
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
