//! The process of a configuration replica.

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
    FolderIdentity, LogStore, OpenedRecords, OpenedStore, RecordFile, SnapshotFile, StorageError,
};

use crate::error::ProgramError;
use crate::http::{ConnectionId, EventServer, HttpRequest, ReceivedRequest};
use crate::runtime::datagram_socket::Batch;

use super::api_translator::{ApiRequest, ApiResponse, ApiTranslator};
use super::event_loop::{
    EventLoop, FIRST_CONNECTION, HTTP, MAX_CONNECTIONS, MESSAGES, WAKE, serve_requests,
};
use super::flow_record_writer::{FlowRecordWriter, flow_record_path};
use super::message_socket::MessageSocket;
use super::metrics::replica_metrics;
use super::policy_api;
use super::retrying_log_writer::{RetryingLogWriter, WriteOutcome};
use super::settings::{PassThroughSettings, ReplicaRoleSettings};
use super::settings_watcher::SettingsWatcher;

/// Largest body of a request, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Between two tries to open the data folder.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The file of the data folder with the daemons of the former life.
const DAEMONS_FILE: &str = "daemons";
/// The cluster that a folder belongs to, where no key tells them apart.
const CLUSTER: u64 = 1;

/// Time without a leader after which one is elected: it must be longer than
/// some round trips and a sync, and is part of every recovery.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(200);
/// The same where messages travel between regions, or where one large request
/// holds up a small processor for long.
const PATIENT_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// A smaller part of a processor is a small one.
const SMALL_PROCESSOR_SHARE: f64 = 0.1;
/// Heartbeats in one election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// A request that waits for the group.
struct Waiting {
    connection: ConnectionId,
    request: HttpRequest,
}

pub(super) fn run<I: ApiTranslator>(
    watcher: SettingsWatcher,
    settings: PassThroughSettings,
    addresses: &ReplicaRoleSettings,
    interface: I,
) -> Result<(), ProgramError> {
    let mut event_loop = EventLoop::new(watcher, &settings.name)?;
    let registry = event_loop.poll.registry();
    let mut messages = MessageSocket::open(settings.message_address, registry, MESSAGES)?;
    let mut http = EventServer::open(
        addresses.operator_address,
        registry,
        HTTP,
        FIRST_CONNECTION,
        MAX_CONNECTIONS,
        BODY_BYTES,
    )?;
    let waker = Waker::new(registry, WAKE).map_err(|source| ProgramError::System {
        action: "watch for writes",
        source,
    })?;
    let opened = open_folder(&mut event_loop, &settings, addresses);
    let start = replica_start(&settings, &opened);
    let daemons = SnapshotFile::new(addresses.data_folder.join(DAEMONS_FILE));
    let remembered = daemons.read();
    let records = RecordFile::open(flow_record_path(&addresses.data_folder));
    let waker = Arc::new(waker);
    let writer = RetryingLogWriter::start(
        addresses.data_folder.clone(),
        opened.store,
        daemons,
        Arc::clone(&waker),
    )?;
    let now = event_loop.clock.now();
    let mut node = ConfigurationNode::new(now, node_settings(&settings, addresses), start);
    recall_daemons(&mut event_loop, &mut node, remembered);
    let record_file = recall_flow_records(&mut event_loop, &mut node, records);
    let record_writer = FlowRecordWriter::start(record_file, waker)?;
    event_loop
        .log
        .note(now, EventKind::ProcessStarted, "replica");
    let mut waiting: BTreeMap<u64, Waiting> = BTreeMap::new();
    let mut next_token = 0;
    let mut more = false;
    let mut ahead: Vec<ReceivedRequest> = Vec::new();
    while !node.is_stopped() {
        let wakeup = event_loop.wait(node.poll_timeout(), more || !ahead.is_empty())?;
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
                    event_loop.log.note(now, EventKind::WriteFailed, message);
                }
                WriteOutcome::DaemonsNotSaved(error) => {
                    let message = error.to_string();
                    let kind = EventKind::DaemonMemoryFailed;
                    event_loop.log.note(now, kind, message);
                }
            }
        }
        while let Some(result) = record_writer.poll() {
            let result = result.map_err(|error| error.to_string());
            node.handle_flow_records_written(now, result);
        }
        more = messages.receive(|from, body| node.handle_message(now, from, body)) == Batch::Full;
        let mut requests = std::mem::take(&mut ahead);
        for token in wakeup.tokens {
            requests.extend(http.handle_event(now, event_loop.poll.registry(), token));
        }
        if !requests.is_empty() {
            let node = RefCell::new(&mut node);
            let metrics = || replica_metrics(&node.borrow(), now);
            let handle = |received: &ReceivedRequest, call| {
                let request = match call {
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
                waiting.insert(next_token, wait_for(received));
                node.borrow_mut().handle_request(now, next_token, request);
                None
            };
            for refusal in serve_requests(now, &mut http, &interface, requests, metrics, handle) {
                let kind = EventKind::ReplacementRefused;
                event_loop.log.note(now, kind, refusal);
            }
        }
        if wakeup.expire {
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
                ConfigurationOutput::Respond { token, response } => {
                    if let Some(waiting) = waiting.remove(&token) {
                        let port = addresses.operator_address.port();
                        let response = match policy_api::is_policy_call(&waiting.request) {
                            true => policy_api::answer(&response, port),
                            false => {
                                let answer = call_answer(response, port);
                                interface.translate_response(&waiting.request, &answer)
                            }
                        };
                        ahead.extend(http.respond(now, waiting.connection, &response));
                    }
                }
                ConfigurationOutput::Event(event) => event_loop.log.write(now, &event),
            }
        }
    }
    let now = event_loop.clock.now();
    event_loop
        .log
        .note(now, EventKind::ProcessStopped, "replica");
    Ok(())
}

/// The time of day, which operators read of an order; zero if the clock stands
/// before 1970.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn wait_for(received: &ReceivedRequest) -> Waiting {
    let HttpRequest {
        method,
        path,
        query,
        ..
    } = received.request.clone();
    Waiting {
        connection: received.connection,
        request: HttpRequest {
            method,
            path,
            query,
            body: Vec::new(),
        },
    }
}

fn readiness(node: &ConfigurationNode) -> ApiResponse {
    ApiResponse::Readiness {
        ready: node.replica().leader().is_some(),
    }
}

fn call_answer(response: ConfigurationResponse, operator_port: u16) -> ApiResponse {
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

/// Opens the data folder, as soon as the disk lets it. Only a founding replica
/// formats it with the incarnation that the first membership lists; a folder
/// that was lost gets a random one, and can never vote twice.
fn open_folder(
    event_loop: &mut EventLoop,
    settings: &PassThroughSettings,
    addresses: &ReplicaRoleSettings,
) -> OpenedStore {
    let own = node_id_of_address(settings.message_address);
    let identity = FolderIdentity {
        cluster: CLUSTER,
        incarnation: match is_founder(settings, addresses) {
            true => first_incarnation(own),
            false => Incarnation(rand::random()),
        },
    };
    loop {
        match LogStore::open(&addresses.data_folder, identity) {
            Ok(opened) => {
                if opened.torn_bytes > 0 {
                    let subject = format!("{} bytes", opened.torn_bytes);
                    let now = event_loop.clock.now();
                    event_loop.log.note(now, EventKind::LogTailCut, subject);
                }
                return opened;
            }
            Err(error) => report_open_failure(event_loop, &error),
        }
        std::thread::sleep(OPEN_RETRY_INTERVAL);
    }
}

/// Hands the node what its former life saved of daemons.
fn recall_daemons(
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
    event_loop.log.note(now, kind, failure);
}

/// Hands the node the records of open flows that its former life wrote. What can't be read
/// costs the record, not the start.
fn recall_flow_records(
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
    event_loop.log.note(now, kind, failure);
    opened.file
}

/// The seeds found the group when all of it starts for the first time.
fn is_founder(settings: &PassThroughSettings, addresses: &ReplicaRoleSettings) -> bool {
    addresses.first_start && settings.seeds.contains(&settings.message_address)
}

fn report_open_failure(event_loop: &mut EventLoop, error: &StorageError) {
    let now: Timestamp = event_loop.clock.now();
    event_loop
        .log
        .note(now, EventKind::WriteFailed, error.to_string());
}

fn replica_start(settings: &PassThroughSettings, opened: &OpenedStore) -> ReplicaStart {
    let founders = settings.seeds.iter().map(|seed| {
        let node = node_id_of_address(*seed);
        ReplicaId {
            node,
            incarnation: first_incarnation(node),
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

/// The incarnation of a replica that founds the group.
fn first_incarnation(node: NodeId) -> Incarnation {
    Incarnation(NodeId::from_name(&format!("first life of {node}")).0)
}

fn node_settings(
    settings: &PassThroughSettings,
    addresses: &ReplicaRoleSettings,
) -> ConfigurationNodeSettings {
    let is_wide = addresses.region_count > 1;
    let is_small = addresses.cpu_quota < SMALL_PROCESSOR_SHARE;
    let election_timeout = match is_wide || is_small {
        false => ELECTION_TIMEOUT,
        true => PATIENT_ELECTION_TIMEOUT,
    };
    let defaults = ConfigurationNodeSettings::default();
    ConfigurationNodeSettings {
        max_lost_replicas: addresses.max_lost_replicas,
        max_lost_zones: addresses.max_lost_zones,
        zone: settings.zone.clone(),
        zones: addresses.zones.clone(),
        max_flow_record_bytes: addresses.max_flow_record_bytes,
        flow_record_ttl: settings.flow_ttl,
        replica: ReplicaSettings {
            election_timeout,
            heartbeat_interval: election_timeout / HEARTBEATS_PER_ELECTION,
            ..defaults.replica
        },
        ..defaults
    }
}
