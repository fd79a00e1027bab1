//! Balancers that follow a replica, and the agents that report to it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, DirectoryChange, DirectoryEntry, DirectoryPart, MAX_PART_BYTES, PassThroughBody,
    Report, unpack_address,
};
use prost::Message;

use crate::time::Timestamp;

use super::evacuations::Evacuations;
use super::expected_agents::ExpectedAgents;
use crate::pass_through::agent::NEW_AGENT_REPORTS;
use crate::pass_through::policies::policy_check::ReportedBackend;
use crate::pass_through::routes::reassembly::{Reassembly, compress, split};

/// A balancer that did not ask for so long is forgotten.
const SUBSCRIBER_TTL: Duration = Duration::from_secs(10);
/// An agent that did not report for so long, or for so many intervals, is
/// forgotten.
const AGENT_TTL: Duration = Duration::from_secs(5);
const AGENT_TTL_INTERVALS: u32 = 4;
/// Reports a second that a replica bears from agents without news. Balancers
/// notice a dead agent by its silence, so these may be rare.
const REPORTS_PER_SECOND: u32 = 50;
/// Agents report at most so often without news.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a report may take.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Agents report at least so often.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(300);
/// A back end that leaves is remembered for so long after its agent told of it
/// last.
const DRAINING_TTL: Duration = Duration::from_secs(60);
/// An agent that is not heard any more is remembered for so long.
const SILENT_AGENT_TTL: Duration = Duration::from_secs(60);
/// Most back ends that are remembered for one agent.
const MAX_DRAINING_KEPT: usize = 8;
/// Revisions of the directory that are kept for balancers that are a little
/// behind.
const KEPT_REVISIONS: usize = 256;

/// An agent is told of an order about its zone so often without an answer; then it
/// is told when it reports.
const MAX_NOTIFICATIONS: u32 = 24;

#[derive(Debug)]
struct ReportedAgent {
    report: Report,
    last_seen_at: Timestamp,
    /// Another life at its address was known before.
    knows_previous_incarnation: bool,
    /// Index of the latest order about zones that it has said to know.
    evacuations_index: u64,
    /// When it was told of such an order last, and how often since it said so.
    notified_at: Timestamp,
    notifications: u32,
}

/// Agents that are told of orders about zones.
#[derive(Debug, Default)]
pub(crate) struct AgentsToNotify {
    /// Those that are told now.
    pub(crate) notified: Vec<SocketAddrV4>,
    /// Others are due as well.
    pub(crate) has_more_due: bool,
    /// Others were told a moment ago and have not answered.
    pub(crate) awaits_ack: bool,
}

/// Digests of back ends that said to one agent that they leave.
#[derive(Debug)]
struct DrainingBackends {
    digests: Vec<u64>,
    reported_at: Timestamp,
}

/// An agent that is not heard any more.
#[derive(Debug)]
struct SilentAgent {
    since: Timestamp,
    /// It has said its last word: only another life, which is young then, may come back.
    sent_final_report: bool,
}

/// Soft state of a replica: who follows it, and which agents there are.
#[derive(Debug, Default)]
pub(crate) struct DaemonRegistry {
    subscribers: BTreeMap<SocketAddrV4, Timestamp>,
    agents: BTreeMap<u64, ReportedAgent>,
    /// Back ends that leave, by the address of their agent, for its next lives.
    draining_backends: BTreeMap<u64, DrainingBackends>,
    /// Agents that are not heard any more, by their addresses.
    silent_agents: BTreeMap<u64, SilentAgent>,
    /// Those that were there before this life.
    expected: ExpectedAgents,
    started_at: Timestamp,
    /// The longest time between two reports that an agent told.
    announced_interval: Duration,
    /// A directory was taken over that was whole, or all that were there before are known.
    is_known_complete: bool,
    /// What another replica tells after the start.
    fetched_directory: Reassembly,
    /// Revision of the directory: changes of this life in the lower half.
    revision: u64,
    /// Agents that changed, each with the revision before.
    changes: VecDeque<(u64, u64)>,
}

impl DaemonRegistry {
    /// Starts without followers and agents. `life` tells the revisions of this
    /// life from those of others.
    pub(crate) fn new(now: Timestamp, salt: u32) -> Self {
        DaemonRegistry {
            started_at: now,
            expected: ExpectedAgents::new(now),
            revision: u64::from(salt.max(1)) << 32,
            ..DaemonRegistry::default()
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether every agent that runs is in the directory: all that were there before
    /// are known, or each has had the time to report since the start, or another replica
    /// told of all.
    pub(crate) fn is_complete(&self, now: Timestamp) -> bool {
        self.is_known_complete || now >= self.all_reported_at()
    }

    /// Notes it if all that were there before are known by now.
    pub(crate) fn update_completeness(&mut self, now: Timestamp) {
        let new_agent_interval = self.longest_report_interval() / NEW_AGENT_REPORTS;
        self.is_known_complete |= self.expected.are_all_seen(now, new_agent_interval);
    }

    /// When to look whether the directory is whole, if nothing is heard.
    pub(crate) fn complete_at(&self, now: Timestamp) -> Timestamp {
        let new_agent_interval = self.longest_report_interval() / NEW_AGENT_REPORTS;
        let complete_at = self.expected.complete_at(new_agent_interval);
        let may_complete_early = self.expected.has_saved_list() && now < complete_at;
        match may_complete_early {
            true => complete_at.min(self.all_reported_at()),
            false => self.all_reported_at(),
        }
    }

    /// When all agents have reported, whether this replica expects them or not.
    fn all_reported_at(&self) -> Timestamp {
        let interval = self.longest_report_interval().max(MIN_REPORT_INTERVAL);
        self.started_at + interval + REPORT_DELAY
    }

    /// The longest time that agents take between two reports: by their own word, and as
    /// replicas told them when all that are remembered were there.
    fn longest_report_interval(&self) -> Duration {
        let saved_interval = report_interval_for(self.expected.count());
        self.announced_interval.max(saved_interval)
    }

    /// The agents that were there before this life.
    pub(crate) fn expected_mut(&mut self) -> &mut ExpectedAgents {
        &mut self.expected
    }

    pub(crate) fn expected(&self) -> &ExpectedAgents {
        &self.expected
    }

    /// Agents to expect after the next start: those that are listed, unless they left no
    /// flows for certain, and those that fell silent without a last word, as they may be cut
    /// off.
    pub(crate) fn agents_to_save(&self) -> BTreeSet<u64> {
        let agents = self.agents.iter();
        let agents = agents.filter(|(_, agent)| !agent.stopped_without_flows());
        let silent = self
            .silent_agents
            .iter()
            .filter(|(_, agent)| !agent.sent_final_report);
        let agents = agents.map(|(address, _)| *address);
        let silent = silent.map(|(address, _)| *address);
        agents
            .chain(silent)
            .chain(self.expected.awaited())
            .collect()
    }

    /// Notes that the directory that was taken over is whole.
    pub(crate) fn note_complete(&mut self) {
        self.is_known_complete = true;
    }

    pub(crate) fn note_subscriber(&mut self, now: Timestamp, address: SocketAddrV4) {
        self.subscribers.insert(address, now);
    }

    pub(crate) fn remove_subscriber(&mut self, address: SocketAddrV4) {
        self.subscribers.remove(&address);
    }

    pub(crate) fn subscribers(&self) -> Vec<SocketAddrV4> {
        self.subscribers.keys().copied().collect()
    }

    /// Takes a report. Returns whether balancers should know at once.
    pub(crate) fn handle_report(&mut self, now: Timestamp, mut report: Report) -> bool {
        let draining = std::mem::take(&mut report.draining_backends);
        let interval = Duration::from_millis(u64::from(report.next_report_millis));
        self.announced_interval = self
            .announced_interval
            .max(interval.min(MAX_REPORT_INTERVAL));
        self.note_draining(now, report.address, draining);
        self.expected.note_seen(report.address);
        let known = self.agents.get(&report.address);
        if let Some(known) = known {
            let is_same_incarnation = known.report.incarnation == report.incarnation;
            if is_same_incarnation && report.sequence <= known.report.sequence {
                return false;
            }
        }
        let has_changed = known.is_none_or(|known| {
            known.report.incarnation != report.incarnation
                || known.report.state != report.state
                || !describes_same_backend(&known.report, &report)
        });
        let knows_previous_incarnation = match known {
            Some(known) if known.report.incarnation == report.incarnation => {
                known.knows_previous_incarnation
            }
            Some(_) => true,
            None => self.silent_agents.contains_key(&report.address),
        };
        let evacuations_index = match known {
            Some(known) if known.report.incarnation == report.incarnation => {
                known.evacuations_index.max(report.evacuations_index)
            }
            _ => report.evacuations_index,
        };
        if has_changed {
            self.note_change(report.address);
        }
        let agent = ReportedAgent {
            last_seen_at: now,
            knows_previous_incarnation,
            evacuations_index,
            ..ReportedAgent::new(now, report)
        };
        self.agents.insert(agent.report.address, agent);
        has_changed
    }

    /// Takes a part of what another replica knows of agents. Returns whether
    /// that is complete. What this replica heard itself goes before it.
    pub(crate) fn handle_directory(&mut self, now: Timestamp, directory: DirectoryPart) -> bool {
        if directory.base_revision != 0 {
            return false;
        }
        let DirectoryPart {
            revision,
            part,
            parts,
            bytes,
            ..
        } = directory;
        let change: Option<DirectoryChange> = self
            .fetched_directory
            .add_compressed(revision, part, parts, bytes);
        let Some(change) = change else { return false };
        for entry in change.agents {
            let address = entry.report.address;
            self.expected.note_seen(address);
            if self.agents.contains_key(&address) {
                continue;
            }
            let age = Duration::from_millis(u64::from(entry.age_millis));
            let agent = ReportedAgent::new(now - age, entry.report);
            self.agents.insert(address, agent);
            self.note_change(address);
        }
        true
    }

    /// Whether another life of the agent at `address` was known before this one.
    pub(crate) fn knows_previous_incarnation(&self, address: u64) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.knows_previous_incarnation)
    }

    /// Notes that an agent knows the orders about zones up to an index.
    pub(crate) fn note_evacuations_ack(&mut self, address: u64, index: u64) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.evacuations_index = agent.evacuations_index.max(index);
            agent.notifications = 0;
        }
    }

    /// Addresses of agents that have not said that they know the latest order
    /// about their zone.
    pub(crate) fn agents_behind(&self, evacuations: &Evacuations) -> impl Iterator<Item = u64> {
        let behind = self.agents.iter();
        let behind = behind.filter(|(_, agent)| agent.is_behind(evacuations));
        behind.map(|(address, _)| *address)
    }

    /// At most `limit` of those agents that were not told within `interval`. They
    /// count as told now. One that never answers is told again when it reports.
    pub(crate) fn agents_to_notify(
        &mut self,
        now: Timestamp,
        evacuations: &Evacuations,
        interval: Duration,
        limit: usize,
    ) -> AgentsToNotify {
        let mut result = AgentsToNotify::default();
        for (address, agent) in &mut self.agents {
            if agent.notifications >= MAX_NOTIFICATIONS || !agent.is_behind(evacuations) {
                continue;
            }
            let is_due = now.saturating_since(agent.notified_at) >= interval;
            if !is_due {
                result.awaits_ack = true;
            } else if result.notified.len() == limit {
                result.has_more_due = true;
                return result;
            } else {
                agent.notified_at = now;
                agent.notifications += 1;
                result.notified.push(unpack_address(*address));
            }
        }
        result
    }

    /// A service none of whose agents is in a zone that `stays` in service.
    pub(crate) fn service_without_zone(
        &self,
        stays_in_service: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let mut services: BTreeMap<&str, bool> = BTreeMap::new();
        for agent in self.agents.values() {
            let has_zone = services.entry(agent.report.service.as_str()).or_default();
            *has_zone |= stays_in_service(&agent.report.zone);
        }
        let without = services.into_iter().find(|(_, has_zone)| !has_zone);
        without.map(|(service, _)| service.to_owned())
    }

    /// The back ends that agents report of, as policies see them.
    pub(crate) fn backends(&self, now: Timestamp) -> Vec<ReportedBackend> {
        let serves = |agent: &&ReportedAgent| agent.report.state() != AgentState::Unavailable;
        let agents = self.agents.values().filter(serves);
        let backend =
            |agent: &ReportedAgent| ReportedBackend::new(now, agent.last_seen_at, &agent.report);
        agents.map(backend).collect()
    }

    /// What lives of the agent at `address` told of back ends that leave.
    pub(crate) fn draining_backends(&self, address: u64) -> Vec<u64> {
        let draining = self.draining_backends.get(&address);
        draining.map_or_else(Vec::new, |draining| draining.digests.clone())
    }

    fn note_draining(&mut self, now: Timestamp, address: u64, digests: Vec<u64>) {
        if digests.is_empty() {
            return;
        }
        let known = self
            .draining_backends
            .entry(address)
            .or_insert(DrainingBackends {
                digests: Vec::new(),
                reported_at: now,
            });
        known.reported_at = now;
        known.digests.retain(|digest| !digests.contains(digest));
        known.digests.extend(digests);
        let excess = known.digests.len().saturating_sub(MAX_DRAINING_KEPT);
        known.digests.drain(..excess);
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.draining_backends
            .retain(|_, draining| now.saturating_since(draining.reported_at) < DRAINING_TTL);
        self.subscribers
            .retain(|_, last_poll| now.saturating_since(*last_poll) < SUBSCRIBER_TTL);
        let ttl = AGENT_TTL.max(self.report_interval() * AGENT_TTL_INTERVALS);
        let is_expired = |agent: &ReportedAgent| now.saturating_since(agent.last_seen_at) >= ttl;
        let expired: Vec<u64> = self
            .agents
            .iter()
            .filter(|(_, agent)| is_expired(agent))
            .map(|(address, _)| *address)
            .collect();
        for address in expired {
            let agent = self.agents.remove(&address);
            let silent = SilentAgent {
                since: now,
                sent_final_report: agent.is_some_and(|agent| agent.sent_final_report()),
            };
            self.silent_agents.insert(address, silent);
            self.note_change(address);
        }
        self.silent_agents
            .retain(|_, agent| now.saturating_since(agent.since) < SILENT_AGENT_TTL);
        if now >= self.all_reported_at() {
            self.expected.expire(now);
        }
    }

    /// The time between two reports of an agent that this replica bears.
    pub(crate) fn report_interval(&self) -> Duration {
        report_interval_for(self.agents.len())
    }

    /// Makes the next revision, in which an agent differs.
    fn note_change(&mut self, address: u64) {
        self.changes.push_back((self.revision, address));
        self.revision += 1;
        if self.changes.len() > KEPT_REVISIONS {
            self.changes.pop_front();
        }
    }

    /// How the directory differs from `base`, as messages for balancers; none
    /// if it does not.
    pub(crate) fn directory_parts(&self, now: Timestamp, base: u64) -> Vec<PassThroughBody> {
        if base == self.revision {
            return Vec::new();
        }
        let first = self.changes.iter().position(|(before, _)| *before == base);
        let change = match first {
            Some(first) => self.change_for(now, self.changes.iter().skip(first)),
            None => DirectoryChange {
                agents: self.agents.values().map(|it| it.entry(now)).collect(),
                removed: Vec::new(),
            },
        };
        let base_revision = first.map_or(0, |_| base);
        self.split_directory(base_revision, &change)
    }

    fn change_for<'a>(
        &self,
        now: Timestamp,
        changes: impl Iterator<Item = &'a (u64, u64)>,
    ) -> DirectoryChange {
        let addresses: BTreeSet<u64> = changes.map(|(_, address)| *address).collect();
        let known = addresses.iter().filter_map(|it| self.agents.get(it));
        let removed = addresses.iter().filter(|it| !self.agents.contains_key(it));
        DirectoryChange {
            agents: known.map(|agent| agent.entry(now)).collect(),
            removed: removed.copied().collect(),
        }
    }

    fn split_directory(
        &self,
        base_revision: u64,
        change: &DirectoryChange,
    ) -> Vec<PassThroughBody> {
        let bytes = compress(&change.encode_to_vec());
        let parts = split(&bytes, MAX_PART_BYTES);
        let count = parts.len() as u32;
        let part = |(part, bytes): (usize, &[u8])| {
            PassThroughBody::DirectoryPart(DirectoryPart {
                base_revision,
                revision: self.revision,
                part: part as u32,
                parts: count,
                bytes: bytes.to_vec(),
            })
        };
        parts.into_iter().enumerate().map(part).collect()
    }
}

impl ReportedAgent {
    fn new(last_seen_at: Timestamp, report: Report) -> Self {
        ReportedAgent {
            evacuations_index: report.evacuations_index,
            report,
            last_seen_at,
            knows_previous_incarnation: false,
            notified_at: Timestamp::ZERO,
            notifications: 0,
        }
    }

    /// Whether it has said its last word.
    fn sent_final_report(&self) -> bool {
        self.report.next_report_millis == 0
    }

    /// Whether it has stopped and leaves no flows.
    fn stopped_without_flows(&self) -> bool {
        self.sent_final_report() && self.report.state() == AgentState::Unavailable
    }

    fn is_behind(&self, evacuations: &Evacuations) -> bool {
        self.evacuations_index < evacuations.index_of(&self.report.zone)
    }

    fn entry(&self, now: Timestamp) -> DirectoryEntry {
        DirectoryEntry {
            report: self.report.clone(),
            age_millis: now.saturating_since(self.last_seen_at).as_millis() as u32,
        }
    }
}

/// The time between two reports of one of so many agents that a replica bears.
fn report_interval_for(agents: usize) -> Duration {
    let interval = Duration::from_secs(1) * agents as u32 / REPORTS_PER_SECOND;
    interval.min(MAX_REPORT_INTERVAL)
}

/// Whether two reports tell the same of the back end, but for its age.
fn describes_same_backend(one: &Report, other: &Report) -> bool {
    let (one, other) = (one.backend.as_ref(), other.backend.as_ref());
    match one.zip(other) {
        Some((one, other)) => one.name == other.name && one.labels == other.labels,
        None => one.is_none() && other.is_none(),
    }
}
