//! The event loop of a configuration replica.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mio::Waker;
use petrellatch_core::consensus::{Membership, ReplicaId, ReplicaSettings, ReplicaStart};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationNodeSettings, ConfigurationOutput, ConfigurationRequest,
    ConfigurationResponse, node_id_of_address,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_storage::{
    AtomicFile, FolderIdentity, LogStore, OpenedRecords, OpenedStore, RecordFile, StorageError,
};

use crate::error::ProgramError;
use crate::http::{EventServer, ReceivedRequest};
use crate::runtime::datagram_socket::Batch;

use super::api_translator::{ApiRequest, ApiResponse, ApiTranslator};
use super::event_loop::{
    EventLoop, FIRST_CONNECTION, HTTP, MAX_CONNECTIONS, MESSAGES, PendingRequest, WAKE,
    serve_requests,
};
use super::message_socket::MessageSocket;
use super::metrics::replica_metrics;
use super::policy_api;
use super::record_file_writer::RecordFileWriter;
use super::retrying_log_writer::{RetryingLogWriter, WriteOutcome};
use super::settings::{PassThroughSettings, ReplicaRoleSettings};
use super::settings_watcher::SettingsWatcher;

/// Maximum size of a request body, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Interval between attempts to open the data folder.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Name of the file in the data folder with the daemons that the previous incarnation
/// saved.
const DAEMONS_FILE: &str = "daemons";
/// Names of the files of flow records and of departures there.
const FLOW_RECORDS_FILE: &str = "flow-records";
const DEPARTURES_FILE: &str = "departures";
/// Cluster id in every data folder. This tier has no cluster keys that could tell
/// clusters apart.
const CLUSTER_ID: u64 = 1;

/// Time without a leader after which a replica starts an election. It must be longer
/// than several round trips and a sync, and adds to the time of every recovery.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(200);
/// Election timeout of a group that spans regions, or of a replica with a low CPU
/// quota, which one large request can occupy for long.
const LONG_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// CPU quotas below this fraction of a CPU count as low.
const LOW_CPU_QUOTA: f64 = 0.1;
/// Number of heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

pub(super) fn run<T: ApiTranslator>(
    watcher: SettingsWatcher,
    settings: PassThroughSettings,
    role: &ReplicaRoleSettings,
    translator: T,
) -> Result<(), ProgramError> {
    let mut event_loop = EventLoop::new(watcher, &settings.name)?;
    let registry = event_loop.poll.registry();
    let mut messages = MessageSocket::open(settings.message_address, registry, MESSAGES)?;
    let mut http = EventServer::open(
        role.operator_address,
        registry,
        HTTP,
        FIRST_CONNECTION,
        MAX_CONNECTIONS,
        BODY_BYTES,
    )?;
    let waker = Waker::new(registry, WAKE).map_err(|source| ProgramError::System {
        action: "create the waker of the event loop",
        source,
    })?;
    let opened = open_folder(&mut event_loop, &settings, role);
    let start = replica_start(&settings, &opened);
    let daemons = AtomicFile::new(role.data_folder.join(DAEMONS_FILE));
    let saved_daemons = daemons.read();
    let records = RecordFile::open(role.data_folder.join(FLOW_RECORDS_FILE));
    let departures = RecordFile::open(role.data_folder.join(DEPARTURES_FILE));
    let waker = Arc::new(waker);
    let writer = RetryingLogWriter::start(
        role.data_folder.clone(),
        opened.store,
        daemons,
        Arc::clone(&waker),
    )?;
    let now = event_loop.clock.now();
    let mut node = ConfigurationNode::new(now, node_settings(&settings, role), start);
    load_daemons(&mut event_loop, &mut node, saved_daemons);
    let record_file = load_flow_records(&mut event_loop, &mut node, records);
    let departure_file = load_departures(&mut event_loop, &mut node, departures);
    let record_writer = RecordFileWriter::start("flow-records", record_file, Arc::clone(&waker))?;
    let departure_writer = RecordFileWriter::start("departures", departure_file, waker)?;
    event_loop
        .log
        .write_always(now, EventKind::ProcessStarted, "replica");
    let mut pending: BTreeMap<u64, PendingRequest> = BTreeMap::new();
    let mut next_token = 0;
    let mut has_backlog = false;
    let mut pipelined: Vec<ReceivedRequest> = Vec::new();
    while !node.is_stopped() {
        let wakeup = event_loop.wait(node.poll_timeout(), has_backlog || !pipelined.is_empty())?;
        let now = event_loop.clock.now();
        if wakeup.begin_stop {
            node.begin_stop(now);
        }
        if let Some(settings) = wakeup.settings {
            node.set_seeds(&settings.seeds);
        }
        while let Some(outcome) = writer.poll() {
            match outcome {
                WriteOutcome::Done(ticket) => node.handle_persisted(now, ticket),
                WriteOutcome::Failed(error) => {
                    let message = error.to_string();
                    event_loop
                        .log
                        .write_always(now, EventKind::WriteFailed, message);
                }
                WriteOutcome::DaemonsNotSaved(error) => {
                    let message = error.to_string();
                    let kind = EventKind::DaemonMemoryFailed;
                    event_loop.log.write_always(now, kind, message);
                }
            }
        }
        while let Some(result) = record_writer.poll() {
            let result = result.map_err(|error| error.to_string());
            node.handle_flow_records_written(now, result);
        }
        while let Some(result) = departure_writer.poll() {
            let result = result.map_err(|error| error.to_string());
            node.handle_departures_written(now, result);
        }
        has_backlog =
            messages.receive(|from, body| node.handle_message(now, from, body)) == Batch::Full;
        let mut requests = std::mem::take(&mut pipelined);
        for token in wakeup.tokens {
            requests.extend(http.handle_event(now, event_loop.poll.registry(), token));
        }
        if !requests.is_empty() {
            let node = RefCell::new(&mut node);
            let metrics = || replica_metrics(&node.borrow(), now);
            let handle = |received: &ReceivedRequest, request| {
                let request = match request {
                    ApiRequest::Replace(configuration) => {
                        ConfigurationRequest::Replace(configuration)
                    }
                    ApiRequest::Read => ConfigurationRequest::Read,
                    ApiRequest::SetZoneEvacuated {
                        zone,
                        evacuated,
                        allow_last,
                    } => ConfigurationRequest::SetZoneEvacuated {
                        zone,
                        evacuated,
                        allow_last,
                        issued_at_millis: unix_millis(),
                    },
                    ApiRequest::Policies(request) => request,
                    ApiRequest::Readiness => return Some(readiness(&node.borrow())),
                    ApiRequest::Register(_) | ApiRequest::Deregister { .. } => {
                        return Some(ApiResponse::NotServed);
                    }
                };
                next_token += 1;
                pending.insert(next_token, PendingRequest::new(received));
                node.borrow_mut().handle_request(now, next_token, request);
                None
            };
            for refusal in serve_requests(now, &mut http, &translator, requests, metrics, handle) {
                let kind = EventKind::ReplacementRefused;
                event_loop.log.write_always(now, kind, refusal);
            }
        }
        if wakeup.expire_connections {
            http.expire(now);
        }
        if node.poll_timeout() <= now {
            node.handle_timeout(now);
        }
        while let Some(output) = node.poll_output() {
            match output {
                ConfigurationOutput::Send { to, body } => messages.send(to, body),
                ConfigurationOutput::Persist(request) => writer.write(request),
                ConfigurationOutput::SaveDaemons(bytes) => writer.save_daemons(bytes),
                ConfigurationOutput::WriteFlowRecords(write) => record_writer.write(write),
                ConfigurationOutput::WriteDepartures(write) => departure_writer.write(write),
                ConfigurationOutput::Respond { token, response } => {
                    if let Some(pending) = pending.remove(&token) {
                        let port = role.operator_address.port();
                        let response = match policy_api::is_policy_request(&pending.request) {
                            true => policy_api::to_http_response(&response, port),
                            false => {
                                let response = to_api_response(response, port);
                                translator.translate_response(&pending.request, &response)
                            }
                        };
                        pipelined.extend(http.respond(now, pending.connection, &response));
                    }
                }
                ConfigurationOutput::Event(event) => event_loop.log.write(now, &event),
            }
        }
    }
    let now = event_loop.clock.now();
    event_loop
        .log
        .write_always(now, EventKind::ProcessStopped, "replica");
    Ok(())
}

/// Unix time in milliseconds; zero if the clock is before 1970. It is only used to show
/// operators when a zone command was issued.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn readiness(node: &ConfigurationNode) -> ApiResponse {
    ApiResponse::Readiness {
        ready: node.replica().leader().is_some(),
    }
}

fn to_api_response(response: ConfigurationResponse, operator_port: u16) -> ApiResponse {
    match response {
        ConfigurationResponse::Accepted { version } => ApiResponse::Accepted { version },
        ConfigurationResponse::Read(configuration) => ApiResponse::Configuration(configuration),
        ConfigurationResponse::ZoneCommandApplied => ApiResponse::ZoneCommandApplied,
        ConfigurationResponse::ZoneCommandRefused(refusal) => {
            ApiResponse::ZoneCommandRefused(refusal)
        }
        ConfigurationResponse::NotLeader { leader } => ApiResponse::NotLeader {
            operator_address: SocketAddrV4::new(*leader.ip(), operator_port),
        },
        ConfigurationResponse::Unavailable
        | ConfigurationResponse::PolicyChanged { .. }
        | ConfigurationResponse::PolicyRefused(_)
        | ConfigurationResponse::PolicyValid
        | ConfigurationResponse::PolicyExplained(_)
        | ConfigurationResponse::Policies(_) => ApiResponse::Unavailable,
    }
}

/// Opens the data folder, and retries until it succeeds. Only a founding replica
/// formats it with the incarnation that the first membership lists. A replica that
/// lost its folder gets a random incarnation, so that it can never vote twice in a
/// term.
fn open_folder(
    event_loop: &mut EventLoop,
    settings: &PassThroughSettings,
    role: &ReplicaRoleSettings,
) -> OpenedStore {
    let own = node_id_of_address(settings.message_address);
    let identity = FolderIdentity {
        cluster: CLUSTER_ID,
        incarnation: match is_founder(settings, role) {
            true => founding_incarnation(own),
            false => Incarnation(rand::random()),
        },
    };
    loop {
        match LogStore::open(&role.data_folder, identity) {
            Ok(opened) => {
                if opened.torn_bytes > 0 {
                    let subject = format!("{} bytes", opened.torn_bytes);
                    let now = event_loop.clock.now();
                    event_loop
                        .log
                        .write_always(now, EventKind::LogTailCut, subject);
                }
                return opened;
            }
            Err(error) => report_open_failure(event_loop, &error),
        }
        std::thread::sleep(OPEN_RETRY_INTERVAL);
    }
}

/// Loads the daemons that the previous incarnation saved into the node.
fn load_daemons(
    event_loop: &mut EventLoop,
    node: &mut ConfigurationNode,
    saved: Result<Option<Vec<u8>>, StorageError>,
) {
    let failure = match saved {
        Ok(Some(bytes)) if node.load_daemons(&bytes) => return,
        Ok(Some(_)) => "the saved daemons can't be decoded".to_owned(),
        Ok(None) => return,
        Err(error) => error.to_string(),
    };
    let now = event_loop.clock.now();
    let kind = EventKind::DaemonMemoryFailed;
    event_loop.log.write_always(now, kind, failure);
}

/// Loads the flow records that the previous incarnation wrote into the node. Records
/// that can't be read are lost, but don't keep the replica from starting.
fn load_flow_records(
    event_loop: &mut EventLoop,
    node: &mut ConfigurationNode,
    opened: OpenedRecords,
) -> RecordFile {
    let now = event_loop.clock.now();
    let is_readable = node.load_flow_records(now, &opened.records);
    let failure = match opened.failure {
        Some(error) => error.to_string(),
        None if is_readable => return opened.file,
        None => "some records can't be decoded".to_owned(),
    };
    let kind = EventKind::FlowRecordsNotSaved;
    event_loop.log.write_always(now, kind, failure);
    opened.file
}

/// Loads the departures that the previous incarnation wrote into the node. A replica that can't
/// read them doesn't count towards the majority that knows all departures.
fn load_departures(
    event_loop: &mut EventLoop,
    node: &mut ConfigurationNode,
    opened: OpenedRecords,
) -> RecordFile {
    let now = event_loop.clock.now();
    let is_readable = node.load_departures(now, &opened.records);
    let failure = match opened.failure {
        Some(error) => error.to_string(),
        None if is_readable => return opened.file,
        None => "some departures can't be decoded".to_owned(),
    };
    let kind = EventKind::DeparturesNotSaved;
    event_loop.log.write_always(now, kind, failure);
    opened.file
}

/// Whether this replica is a founding member: the seeds are, when the whole group
/// starts for the first time.
fn is_founder(settings: &PassThroughSettings, role: &ReplicaRoleSettings) -> bool {
    role.first_start && settings.seeds.contains(&settings.message_address)
}

fn report_open_failure(event_loop: &mut EventLoop, error: &StorageError) {
    let now: Timestamp = event_loop.clock.now();
    event_loop
        .log
        .write_always(now, EventKind::WriteFailed, error.to_string());
}

fn replica_start(settings: &PassThroughSettings, opened: &OpenedStore) -> ReplicaStart {
    let founders = settings.seeds.iter().map(|seed| {
        let node = node_id_of_address(*seed);
        ReplicaId {
            node,
            incarnation: founding_incarnation(node),
        }
    });
    ReplicaStart {
        id: node_id_of_address(settings.message_address),
        incarnation: opened.store.identity().incarnation,
        seed: rand::random(),
        persisted: opened.state.clone(),
        bootstrap: Some(Membership::of_voters(founders)),
    }
}

/// The incarnation of a founding member, which all seeds can compute.
fn founding_incarnation(node: NodeId) -> Incarnation {
    Incarnation(NodeId::from_name(&format!("first life of {node}")).0)
}

fn node_settings(
    settings: &PassThroughSettings,
    role: &ReplicaRoleSettings,
) -> ConfigurationNodeSettings {
    let is_multi_region = role.region_count > 1;
    let has_low_cpu_quota = role.cpu_quota < LOW_CPU_QUOTA;
    let election_timeout = match is_multi_region || has_low_cpu_quota {
        false => ELECTION_TIMEOUT,
        true => LONG_ELECTION_TIMEOUT,
    };
    let defaults = ConfigurationNodeSettings::default();
    ConfigurationNodeSettings {
        max_lost_replicas: role.max_lost_replicas,
        max_lost_zones: role.max_lost_zones,
        zone: settings.zone.clone(),
        zones: role.zones.clone(),
        max_flow_record_bytes: role.max_flow_record_bytes,
        flow_record_ttl: settings.flow_ttl,
        first_start: role.first_start,
        replica: ReplicaSettings {
            election_timeout,
            heartbeat_interval: election_timeout / HEARTBEATS_PER_ELECTION,
            ..defaults.replica
        },
        ..defaults
    }
}
