//! Departures of back ends, which a replica keeps for the next incarnations of their agents.
//!
//! An agent has no disk. It acknowledges a departure once a majority of the replicas has synced
//! it, and asks a majority after its start. The departures need no order and no leader, so they
//! stand in a file of each replica's own beside the replicated log.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use petrellatch_proto::pass_through::{DepartureStatus, SavedDepartures};
use prost::Message;

use crate::time::Timestamp;

use super::record_file_write::RecordFileWrite;

/// How long a departure is kept after its agent's last report of it. A back end that leaves ends
/// long before, and an agent that is down for longer finds another one at its address.
const DEPARTURE_TTL: Duration = Duration::from_secs(300);
/// Maximum number of departures kept per agent.
const MAX_DEPARTURES: usize = 8;
/// Delay of the next write after a failed one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The file is rewritten once it has more records than this, and than twice the number of agents
/// with departures.
const SMALL_FILE_RECORDS: usize = 1_024;

/// An agent: its address, and the digest of its service. An address may pass to another service.
pub(crate) type AgentKey = (u64, u64);

#[derive(Clone, Copy, Debug)]
struct Departure {
    backend: u64,
    known_since: Timestamp,
    is_saved: bool,
}

#[derive(Debug)]
struct AgentDepartures {
    departures: Vec<Departure>,
    /// A packet that the address of the latest back end refuses once that has ended; empty if
    /// there is none.
    probe_packet: Vec<u8>,
    reported_at: Timestamp,
}

impl AgentDepartures {
    fn backends(&self) -> impl Iterator<Item = u64> + '_ {
        self.departures.iter().map(|it| it.backend)
    }
}

/// The departures at all agents, and their state on disk.
#[derive(Debug)]
pub(crate) struct DepartureStore {
    agents: BTreeMap<AgentKey, AgentDepartures>,
    started_at: Timestamp,
    /// Whether the departures were complete at the start.
    was_complete: bool,
    /// Whether the file says that it is complete.
    is_marked: bool,
    /// Agents with departures that aren't synced, nor part of the write in progress.
    unsaved: BTreeSet<AgentKey>,
    /// Departures that the write in progress contains.
    writing: Vec<(AgentKey, u64)>,
    is_writing: bool,
    /// Number of records in the file.
    file_records: usize,
    must_replace: bool,
    next_write_at: Timestamp,
    last_write_failed: bool,
}

impl DepartureStore {
    /// Creates an empty store. If the whole system starts for the first time, there were no
    /// departures before.
    pub(crate) fn new(now: Timestamp, first_start: bool) -> Self {
        DepartureStore {
            agents: BTreeMap::new(),
            started_at: now,
            was_complete: first_start,
            is_marked: false,
            unsaved: BTreeSet::new(),
            writing: Vec::new(),
            is_writing: false,
            file_records: 0,
            must_replace: false,
            next_write_at: now,
            last_write_failed: false,
        }
    }

    /// Loads the records that the previous incarnation wrote. Returns whether all are readable.
    ///
    /// A killed process may have written records without a sync. They are written again, and
    /// count as saved only then.
    pub(crate) fn load(&mut self, now: Timestamp, records: &[Vec<u8>]) -> bool {
        let decoded: Result<Vec<SavedDepartures>, _> = records
            .iter()
            .map(|it| SavedDepartures::decode(it.as_slice()))
            .collect();
        self.must_replace = !records.is_empty();
        let Ok(saved) = decoded else { return false };
        for record in saved {
            self.was_complete |= record.is_complete;
            if record.agent != 0 {
                let key = (record.agent, record.service);
                self.note(now, key, &record.backends, &record.probe_packet);
            }
        }
        true
    }

    /// Notes the departures that an agent reports, and a packet that the address of the back end
    /// refuses once that has ended.
    pub(crate) fn note(
        &mut self,
        now: Timestamp,
        agent: AgentKey,
        backends: &[u64],
        probe_packet: &[u8],
    ) {
        if backends.is_empty() {
            return;
        }
        let known = self.agents.entry(agent).or_insert(AgentDepartures {
            departures: Vec::new(),
            probe_packet: Vec::new(),
            reported_at: now,
        });
        known.reported_at = now;
        for backend in backends.iter().copied() {
            if !known.backends().any(|it| it == backend) {
                known.departures.push(Departure {
                    backend,
                    known_since: now,
                    is_saved: false,
                });
                self.unsaved.insert(agent);
                if !probe_packet.is_empty() {
                    known.probe_packet = probe_packet.to_vec();
                }
            }
        }
        let excess = known.departures.len().saturating_sub(MAX_DEPARTURES);
        known.departures.drain(..excess);
    }

    /// Digests of the back ends that have left at an agent, the latest last.
    pub(crate) fn backends(&self, agent: AgentKey) -> Vec<u64> {
        let known = self.agents.get(&agent);
        known.map_or_else(Vec::new, |known| known.backends().collect())
    }

    /// What this replica knows of those departures.
    pub(crate) fn status(&self, now: Timestamp, agent: AgentKey) -> DepartureStatus {
        let known = self.agents.get(&agent);
        let departures = known.map_or(&[][..], |known| &known.departures);
        let age = |it: &Departure| now.saturating_since(it.known_since).as_millis() as u32;
        let saved = departures.iter().filter(|it| it.is_saved);
        DepartureStatus {
            ages_millis: departures.iter().map(age).collect(),
            saved: saved.map(|it| it.backend).collect(),
            is_complete: self.is_complete(now),
            probe_packet: known.map_or_else(Vec::new, |known| known.probe_packet.clone()),
        }
    }

    /// Whether the store has every departure that was ever reported to this replica and may still
    /// matter.
    fn is_complete(&self, now: Timestamp) -> bool {
        self.was_complete || now.saturating_since(self.started_at) >= DEPARTURE_TTL
    }

    /// Number of departures.
    pub(crate) fn len(&self) -> usize {
        self.agents.values().map(|it| it.departures.len()).sum()
    }

    /// When [`DepartureStore::poll_write`] is due next.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        let is_due = self.must_replace || !self.unsaved.is_empty() || self.marker_is_due_at_start();
        (!self.is_writing && is_due).then_some(self.next_write_at)
    }

    fn marker_is_due_at_start(&self) -> bool {
        self.was_complete && !self.is_marked
    }

    fn has_unsaved(&self, now: Timestamp) -> bool {
        let marker_is_due = !self.is_marked && self.is_complete(now);
        self.must_replace || marker_is_due || !self.unsaved.is_empty()
    }

    /// The next write, if none is in progress and something has changed.
    pub(crate) fn poll_write(&mut self, now: Timestamp) -> Option<RecordFileWrite> {
        if self.is_writing || now < self.next_write_at || !self.has_unsaved(now) {
            return None;
        }
        self.is_writing = true;
        let limit = SMALL_FILE_RECORDS.max(self.agents.len() * 2);
        let replaces = self.must_replace || self.file_records > limit;
        let marker = SavedDepartures {
            is_complete: self.is_complete(now),
            ..SavedDepartures::default()
        };
        let unsaved = std::mem::take(&mut self.unsaved);
        let agents: Vec<AgentKey> = match replaces {
            true => self.agents.keys().copied().collect(),
            false => unsaved.into_iter().collect(),
        };
        let mut records = vec![marker.encode_to_vec()];
        records.extend(agents.into_iter().filter_map(|it| self.record_of(it)));
        self.is_marked = marker.is_complete;
        if replaces {
            self.must_replace = false;
            self.file_records = records.len();
            return Some(RecordFileWrite::Replace(records));
        }
        self.file_records += records.len();
        Some(RecordFileWrite::Append(records))
    }

    /// The record of an agent's departures, which become part of the write in progress.
    fn record_of(&mut self, key: AgentKey) -> Option<Vec<u8>> {
        let known = self.agents.get(&key)?;
        let unsaved = known.departures.iter().filter(|it| !it.is_saved);
        self.writing.extend(unsaved.map(|it| (key, it.backend)));
        let (agent, service) = key;
        let record = SavedDepartures {
            agent,
            service,
            backends: known.backends().collect(),
            is_complete: false,
            probe_packet: known.probe_packet.clone(),
        };
        Some(record.encode_to_vec())
    }

    /// Notes that the write has succeeded. Returns the addresses of the agents whose departures
    /// are synced by it.
    pub(crate) fn note_saved(&mut self) -> Vec<u64> {
        self.is_writing = false;
        self.last_write_failed = false;
        let mut agents = Vec::new();
        for (key, backend) in std::mem::take(&mut self.writing) {
            let known = self.agents.get_mut(&key);
            let mut departures = known.into_iter().flat_map(|it| &mut it.departures);
            if let Some(departure) = departures.find(|it| it.backend == backend) {
                departure.is_saved = true;
                agents.push(key.0);
            }
        }
        agents.dedup();
        agents
    }

    /// Notes that the write has failed. It is repeated later. Returns whether it is the first
    /// failure since the last success.
    pub(crate) fn note_failure(&mut self, now: Timestamp) -> bool {
        self.is_writing = false;
        let writing = std::mem::take(&mut self.writing);
        self.unsaved.extend(writing.into_iter().map(|(key, _)| key));
        self.is_marked = false;
        // The file may contain a part of the failed write.
        self.must_replace = true;
        self.next_write_at = now + RETRY_INTERVAL;
        !std::mem::replace(&mut self.last_write_failed, true)
    }

    /// Forgets departures that their agents haven't reported for long.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let is_kept = |it: &AgentDepartures| now.saturating_since(it.reported_at) < DEPARTURE_TTL;
        self.agents.retain(|_, known| is_kept(known));
    }
}
