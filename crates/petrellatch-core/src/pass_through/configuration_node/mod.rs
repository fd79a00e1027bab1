//! A replica of the group that holds the configuration.

mod daemon_messages;
mod departures;
mod directory_fetch;
mod flow_record_keeping;
mod pending_commands;
mod policy_changes;
mod replica_outputs;
mod requests;
mod requests_and_responses;
mod saved_agents_exchange;
mod settings;
mod update_notifier;
mod zone_announcement;
mod zone_commands;

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

use super::group::daemon_registry::DaemonRegistry;
use super::group::departure_store::DepartureStore;
use super::group::evacuations::Evacuations;
use super::group::flow_record_store::{FlowRecordStore, FlowRecordStoreStats};
use super::group::known_replicas::KnownReplicas;
use super::group::membership_manager::MembershipManager;
use super::group::recent_changes::RecentChanges;
use super::group::saved_daemons::{DaemonStore, to_saved_daemons};
use super::latency::LatencyHistogram;
use super::routes::configuration::Configuration;
use super::routes::configuration_state::ConfigurationState;
use super::routes::pending_replacements::PendingReplacements;

pub use requests_and_responses::{
    ConfigurationOutput, ConfigurationRequest, ConfigurationResponse, ZoneCommandRefusal,
};
pub use settings::ConfigurationNodeSettings;

use directory_fetch::DirectoryFetch;
use pending_commands::PendingCommands;
use saved_agents_exchange::SavedAgentsExchange;
use update_notifier::UpdateNotifier;

/// Interval between sweeps that expire soft state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// How long changes of the directory are collected before they are sent.
const DIRECTORY_DELAY: Duration = Duration::from_millis(20);

/// Number of reports per group status that an agent gets in reply although nothing has
/// changed.
const REPORTS_PER_GROUP_STATUS: u64 = 4;

/// Latencies that a replica measures.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationNodeLatencies {
    /// From the request to replace the configuration until the version was accepted.
    pub acceptance: LatencyHistogram,
    /// From the request to write to the log until the write was synced.
    pub log_sync: LatencyHistogram,
}

/// A read whose result the consensus replica has not confirmed yet.
#[derive(Debug)]
enum PendingRead {
    Operator {
        token: u64,
        deadline: Timestamp,
        subject: ReadSubject,
    },
    Balancer {
        address: SocketAddrV4,
        confirmation_id: u64,
    },
}

/// The data that an operator reads.
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
    /// Zone commands that are in the log and not yet applied.
    pending_zone_commands: PendingCommands,
    /// Changes of the placement policies that are in the log and not yet applied.
    pending_policy_changes: PendingCommands,
    update_notifier: UpdateNotifier,
    reads: BTreeMap<u64, PendingRead>,
    last_read_id: u64,
    daemons: DaemonRegistry,
    recent_changes: RecentChanges,
    /// Revision of the directory that subscribers were sent last.
    sent_directory_revision: u64,
    known_replicas: KnownReplicas,
    /// The version before the first change that subscribers were not sent yet.
    unsent_since: Option<u64>,
    membership_manager: MembershipManager,
    daemon_store: DaemonStore,
    flow_records: FlowRecordStore,
    departures: DepartureStore,
    /// When this replica announces its zone to the others next.
    next_zone_announcement_at: Timestamp,
    /// Number of zone announcements since the start.
    zone_announcements: u32,
    send_directory_at: Option<Timestamp>,
    directory_fetch: DirectoryFetch,
    saved_agents_exchange: SavedAgentsExchange,
    /// The replica whose directory was fetched, until it reports whether that is complete.
    fetched_directory_from: Option<SocketAddrV4>,
    /// Whether subscribers were notified that the directory is complete.
    announced_complete: bool,
    /// When to check next whether the directory is complete.
    completeness_check_at: Option<Timestamp>,
    /// Whether this replica had contact with a leader at the latest input.
    had_leader: bool,
    latencies: ConfigurationNodeLatencies,
    elections_lost: BTreeMap<ElectionLoss, u64>,
    sweep_at: Timestamp,
    write_started_at: Option<Timestamp>,
    stop_deadline: Option<Timestamp>,
    is_stopped: bool,
    outputs: VecDeque<ConfigurationOutput>,
}

/// The identifier of the replica at this address.
pub fn node_id_of_address(address: SocketAddrV4) -> NodeId {
    NodeId(pack_address(address))
}

/// The address of a replica, from an identifier that [`node_id_of_address`] made.
pub fn address_of_node_id(node: NodeId) -> SocketAddrV4 {
    unpack_address(node.0)
}

impl ConfigurationNode {
    /// Starts a replica. [`node_id_of_address`] makes the node identifiers in `start`.
    pub fn new(now: Timestamp, settings: ConfigurationNodeSettings, start: ReplicaStart) -> Self {
        let flow_records = FlowRecordStore::new(
            now,
            settings.max_flow_record_bytes,
            settings.flow_record_ttl,
        );
        let mut random = ChaCha8Rng::seed_from_u64(start.seed.wrapping_add(1));
        let salt = random.random();
        let first_start = settings.first_start;
        let daemons = DaemonRegistry::new(now, salt, first_start, settings.flow_record_ttl);
        let founders = start.bootstrap.as_ref().map(Membership::members);
        let founders = founders.unwrap_or_default().iter();
        let seeds = founders.map(|founder| address_of_node_id(founder.replica.node));
        let seeds = seeds.collect();
        ConfigurationNode {
            replica: Replica::new(now, settings.replica.clone(), start),
            random,
            membership_manager: MembershipManager::new(
                settings.max_lost_replicas,
                settings.max_lost_zones,
                settings.member_silence_timeout,
            ),
            next_zone_announcement_at: now,
            zone_announcements: 0,
            settings,
            state: ConfigurationState::default(),
            replacements: PendingReplacements::default(),
            pending_zone_commands: PendingCommands::default(),
            pending_policy_changes: PendingCommands::default(),
            update_notifier: UpdateNotifier::default(),
            reads: BTreeMap::new(),
            last_read_id: 0,
            sent_directory_revision: daemons.revision(),
            daemons,
            recent_changes: RecentChanges::default(),
            known_replicas: KnownReplicas::new(seeds),
            unsent_since: None,
            daemon_store: DaemonStore::new(now),
            flow_records,
            departures: DepartureStore::new(now, first_start),
            send_directory_at: None,
            directory_fetch: DirectoryFetch::new(now),
            saved_agents_exchange: SavedAgentsExchange::new(now),
            fetched_directory_from: None,
            announced_complete: false,
            completeness_check_at: Some(now),
            had_leader: false,
            latencies: ConfigurationNodeLatencies::default(),
            elections_lost: BTreeMap::new(),
            sweep_at: now + SWEEP_INTERVAL,
            write_started_at: None,
            stop_deadline: None,
            is_stopped: false,
            outputs: VecDeque::new(),
        }
    }

    /// Loads the daemons that the previous incarnation saved, see
    /// [`ConfigurationOutput::SaveDaemons`]. Returns whether they are readable.
    pub fn load_daemons(&mut self, saved: &[u8]) -> bool {
        let is_readable = self.daemon_store.load(saved);
        let agents = self.daemon_store.saved_agents();
        self.daemons.expected_mut().load_saved(agents);
        is_readable
    }

    /// The consensus replica, which replicates the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The configuration, as far as the log is applied here.
    pub fn configuration(&self) -> &Configuration {
        self.state.configuration()
    }

    /// The evacuated zones, as far as the log is applied here.
    pub fn evacuations(&self) -> &Evacuations {
        self.state.evacuations()
    }

    /// Number of elections since the start that this replica lost as a candidate, for this
    /// reason.
    pub fn elections_lost(&self, reason: ElectionLoss) -> u64 {
        self.elections_lost.get(&reason).copied().unwrap_or(0)
    }

    /// Number of agents that have not acknowledged the latest command for their zone. Only
    /// the leader receives all acknowledgements.
    pub fn agents_behind(&self) -> usize {
        self.daemons.agents_behind(self.evacuations()).count()
    }

    /// Latencies measured since the start.
    pub fn latencies(&self) -> &ConfigurationNodeLatencies {
        &self.latencies
    }

    /// Replaces the seed replicas of the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddrV4]) {
        self.replica
            .set_join_targets(seeds.iter().copied().map(node_id_of_address));
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Begins a planned stop. A leader transfers its leadership first.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_deadline.is_some() {
            return;
        }
        self.stop_deadline = Some(now + self.settings.stop_timeout);
        if self.replica.transfer_leadership(now).is_err() {
            self.is_stopped = true;
        }
    }

    /// Handles a message of another process.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::Consensus(bytes) => self.handle_consensus(now, from, &bytes),
            PassThroughBody::GroupStatus(status) => {
                self.note_fetched_directory(from, &status);
                self.note_saved_agents(from, &status);
                self.known_replicas.handle_group_status(&status);
                self.apply_known_replicas();
            }
            PassThroughBody::Report(report) => self.handle_report(now, from, report),
            PassThroughBody::Subscribe(subscribe) => self.handle_subscribe(now, from, &subscribe),
            PassThroughBody::DirectoryPart(directory) => {
                self.handle_directory(now, from, directory);
            }
            PassThroughBody::ReplicaZone(announcement) => self
                .membership_manager
                .note_zone(node_id_of_address(from), announcement.zone),
            PassThroughBody::EvacuationsAck(ack) => {
                self.daemons.note_evacuations_ack(ack.address, ack.index);
            }
            PassThroughBody::FlowRecordChange(change) => {
                self.handle_flow_record_change(now, from, *change);
            }
            PassThroughBody::FlowRecordRequest(request) => {
                self.handle_flow_record_request(now, from, request)
            }
            _ => {}
        }
        self.process_replica_outputs(now);
    }

    /// Handles a request of an operator. The response carries the `token`.
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
                issued_at_millis,
            } => {
                let command = ZoneCommand {
                    command_id: self.random.random(),
                    zone,
                    evacuated,
                    issued_at_millis,
                };
                self.handle_zone_command(now, token, command, allow_last);
            }
        }
        self.process_replica_outputs(now);
    }

    /// Notes that the write with this ticket is synced.
    pub fn handle_persisted(&mut self, now: Timestamp, ticket: PersistTicket) {
        if let Some(since) = self.write_started_at.take() {
            self.latencies.log_sync.record(now.saturating_since(since));
        }
        self.replica.handle_persisted(now, ticket);
        self.process_replica_outputs(now);
    }

    /// Runs all timers that are due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if self.replica.poll_timeout().is_some_and(|due| due <= now) {
            self.replica.handle_timeout(now);
        }
        self.membership_manager
            .handle_timeout(now, &mut self.replica);
        self.resign_if_disk_stalled(now);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.daemons.expire(now);
            self.flow_records.expire(now);
            self.departures.expire(now);
        }
        if self.send_directory_at.is_some_and(|at| at <= now) {
            self.send_directory_at = None;
            self.send_directory(now);
        }
        self.notify_agents_of_zones(now);
        self.announce_zone(now);
        self.save_daemons(now);
        self.save_flow_records(now);
        self.save_departures(now);
        self.fetch_directory(now);
        self.request_saved_agents(now);
        self.notify_saved_agents(now);
        self.expire_requests(now);
        self.continue_stop(now);
        self.process_replica_outputs(now);
    }

    /// When to call [`ConfigurationNode::handle_timeout`] next.
    pub fn poll_timeout(&self) -> Timestamp {
        let timers = [
            self.departures.poll_timeout(),
            self.replica.poll_timeout(),
            Some(self.membership_manager.poll_timeout()),
            Some(self.sweep_at),
            Some(self.daemon_store.poll_timeout()),
            Some(self.flow_records.poll_timeout()),
            self.send_directory_at,
            self.update_notifier.poll_timeout(),
            Some(self.next_zone_announcement_at),
            self.directory_fetch.poll_timeout(),
            self.saved_agents_exchange.poll_timeout(),
            self.completeness_check_at,
            self.stop_deadline,
        ];
        let first = timers.into_iter().flatten().min();
        first.unwrap_or(self.sweep_at)
    }

    /// The next output for the event loop.
    pub fn poll_output(&mut self) -> Option<ConfigurationOutput> {
        self.outputs.pop_front()
    }

    fn handle_consensus(&mut self, now: Timestamp, from: SocketAddrV4, bytes: &[u8]) {
        let Ok(message) = ConsensusMessage::decode(bytes) else {
            return;
        };
        let is_join_request = matches!(message.body, Some(ConsensusBody::JoinRequest(_)));
        self.replica
            .handle_message(now, node_id_of_address(from), message);
        if is_join_request && self.replica.role() != Role::Leader {
            // The joining replica may know no other replica.
            let status = self.group_status(now);
            self.send(from, PassThroughBody::GroupStatus(status));
        }
    }

    fn apply_known_replicas(&mut self) {
        let nodes = self
            .known_replicas
            .all()
            .into_iter()
            .map(node_id_of_address);
        self.replica.set_join_targets(nodes);
    }

    fn is_disk_stalled(&self, now: Timestamp) -> bool {
        let timeout = self.settings.write_timeout;
        let is_late = |since| now.saturating_since(since) >= timeout;
        self.write_started_at.is_some_and(is_late)
    }

    fn resign_if_disk_stalled(&mut self, now: Timestamp) {
        if self.is_disk_stalled(now) && self.replica.membership().voters().count() > 1 {
            self.replica.resign(now);
        }
    }

    fn continue_stop(&mut self, now: Timestamp) {
        let Some(stop_deadline) = self.stop_deadline else {
            return;
        };
        let is_leader = self.replica.role() == Role::Leader;
        if is_leader && now < stop_deadline && !self.replica.is_transferring() {
            let _ = self.replica.transfer_leadership(now);
        }
        if !is_leader || now >= stop_deadline {
            self.is_stopped = true;
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
