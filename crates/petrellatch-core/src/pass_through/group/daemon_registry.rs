//! Subscribed balancers and reporting agents of a replica.

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

/// How long a balancer stays subscribed after its last poll.
const SUBSCRIBER_TTL: Duration = Duration::from_secs(10);
/// An agent is removed from the directory after this time without a report, or after
/// [`AGENT_TTL_INTERVALS`] report intervals if that is longer.
const AGENT_TTL: Duration = Duration::from_secs(5);
const AGENT_TTL_INTERVALS: u32 = 4;
/// Regular reports per second that a replica takes from all agents together. Balancers notice
/// a failed agent by its silence, so these reports may be rare.
const REPORTS_PER_SECOND: u32 = 50;
/// Minimum interval between regular reports of an agent.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time that a report takes to arrive.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Maximum interval between regular reports of an agent.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(300);
/// How long it is kept which back end serves, after its agent's last report of a draining one.
const SERVING_TTL: Duration = Duration::from_secs(60);
/// Number of directory revisions kept, so that balancers can be sent only the changes since
/// theirs.
const KEPT_REVISIONS: usize = 256;

/// Maximum number of notifications of zone commands to an agent that does not acknowledge
/// them. After that it is notified only when it reports.
const MAX_NOTIFICATIONS: u32 = 24;

#[derive(Debug)]
struct ReportedAgent {
    report: Report,
    last_seen_at: Timestamp,
    /// Whether a previous incarnation at its address was known.
    knows_previous_incarnation: bool,
    /// Log index of the latest zone command that it has acknowledged.
    evacuations_index: u64,
    /// Time of the last notification of zone commands.
    notified_at: Timestamp,
    /// Number of these notifications since the last acknowledgement.
    notifications: u32,
}

/// Agents to notify of zone commands.
#[derive(Debug, Default)]
pub(crate) struct AgentsToNotify {
    /// Agents to notify now.
    pub(crate) notified: Vec<SocketAddrV4>,
    /// Whether further agents are due, beyond the limit.
    pub(crate) has_more_due: bool,
    /// Whether other agents were notified recently and have not acknowledged yet.
    pub(crate) awaits_ack: bool,
}

/// The back end that takes new flows at an agent with draining ones.
#[derive(Debug)]
struct ServingBackend {
    /// Its digest; zero if there is none.
    serving: u64,
    /// The same at the end of the agent's previous incarnation.
    served_previously: u64,
    /// Incarnation of the agent that reported last.
    incarnation: u64,
    reported_at: Timestamp,
}

/// An agent that was removed from the directory because it was silent.
#[derive(Debug)]
struct SilentAgent {
    since: Timestamp,
    /// Whether it sent its final report: then only another incarnation, which is a new agent,
    /// may come back.
    sent_final_report: bool,
}

/// Soft state of a replica: subscribed balancers and reporting agents.
#[derive(Debug, Default)]
pub(crate) struct DaemonRegistry {
    subscribers: BTreeMap<SocketAddrV4, Timestamp>,
    agents: BTreeMap<u64, ReportedAgent>,
    /// Serving back ends by the address of their agent, for its next incarnations.
    serving_backends: BTreeMap<u64, ServingBackend>,
    /// Silent agents by address.
    silent_agents: BTreeMap<u64, SilentAgent>,
    /// Agents that replicas saved before the start.
    expected: ExpectedAgents,
    started_at: Timestamp,
    first_start: bool,
    /// How long a silent agent is kept after its removal from the directory: flows of its back
    /// end may be open for as long.
    agent_memory: Duration,
    /// The longest report interval that an agent has announced.
    announced_interval: Duration,
    /// Whether a complete directory was fetched, or all expected agents have been seen.
    is_known_complete: bool,
    /// Reassembly of the directory that another replica sends after the start.
    fetched_directory: Reassembly,
    /// Revision of the directory: the changes of this incarnation are counted in the lower 32
    /// bits.
    revision: u64,
    /// Changed agents, each with the revision before its change.
    changes: VecDeque<(u64, u64)>,
}

impl DaemonRegistry {
    /// Starts without subscribers and agents. `salt` distinguishes the revisions of this
    /// incarnation from those of others. `first_start` is set if the whole system starts for the
    /// first time, and `flow_ttl` is the lifetime of a flow.
    pub(crate) fn new(now: Timestamp, salt: u32, first_start: bool, flow_ttl: Duration) -> Self {
        DaemonRegistry {
            started_at: now,
            first_start,
            agent_memory: flow_ttl,
            expected: ExpectedAgents::new(now),
            revision: u64::from(salt.max(1)) << 32,
            ..DaemonRegistry::default()
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether every running agent is in the directory: all expected agents have been seen,
    /// or every agent has had the time to report since the start, or a complete directory was
    /// fetched from another replica.
    pub(crate) fn is_complete(&self, now: Timestamp) -> bool {
        self.is_known_complete || now >= self.all_reported_at()
    }

    /// Marks the directory as complete once all expected agents have been seen.
    pub(crate) fn update_completeness(&mut self, now: Timestamp) {
        let new_agent_interval = self.longest_report_interval() / NEW_AGENT_REPORTS;
        self.is_known_complete |= self.expected.are_all_seen(now, new_agent_interval);
    }

    /// When to check next whether the directory is complete, if no message arrives.
    pub(crate) fn complete_at(&self, now: Timestamp) -> Timestamp {
        let new_agent_interval = self.longest_report_interval() / NEW_AGENT_REPORTS;
        let complete_at = self.expected.complete_at(new_agent_interval);
        let may_complete_early = self.expected.has_saved_list() && now < complete_at;
        match may_complete_early {
            true => complete_at.min(self.all_reported_at()),
            false => self.all_reported_at(),
        }
    }

    /// When all running agents have reported, whether they are expected or not.
    fn all_reported_at(&self) -> Timestamp {
        let interval = self.longest_report_interval().max(MIN_REPORT_INTERVAL);
        self.started_at + interval + REPORT_DELAY
    }

    /// The longest report interval of agents: the longest one that they have announced, or the
    /// one that replicas request for the number of expected agents if that is longer.
    fn longest_report_interval(&self) -> Duration {
        let saved_interval = report_interval_for(self.expected.count());
        self.announced_interval.max(saved_interval)
    }

    /// Agents that replicas saved before the start.
    pub(crate) fn expected_mut(&mut self) -> &mut ExpectedAgents {
        &mut self.expected
    }

    pub(crate) fn expected(&self) -> &ExpectedAgents {
        &self.expected
    }

    /// Agents to expect after the next start: those in the directory, except those that
    /// stopped without open flows; silent ones without a final report, as they may be cut
    /// off; and expected ones that have not been seen yet.
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

    /// Notes that the fetched directory is complete.
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

    /// Takes a report. Returns whether it changes the directory, so that it has to be sent to
    /// balancers soon.
    pub(crate) fn handle_report(&mut self, now: Timestamp, mut report: Report) -> bool {
        // An agent that has just started reports before it has restored what is kept for it.
        let is_restored = !std::mem::take(&mut report.draining_backends).is_empty();
        let interval = Duration::from_millis(u64::from(report.next_report_millis));
        self.announced_interval = self
            .announced_interval
            .max(interval.min(MAX_REPORT_INTERVAL));
        self.expected.note_seen(report.address);
        let known = self.agents.get(&report.address);
        if let Some(known) = known {
            let is_same_incarnation = known.report.incarnation == report.incarnation;
            if is_same_incarnation && report.sequence <= known.report.sequence {
                return false;
            }
        }
        if is_restored {
            self.note_serving(now, &report);
        }
        let known = self.agents.get(&report.address);
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

    /// Takes a part of another replica's directory. Returns whether all parts have arrived.
    /// An agent that has reported to this replica keeps that report.
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

    /// Whether every agent is known that has reported to this replica within the lifetime of a
    /// flow. Agents are kept in memory, which a restart clears.
    pub(crate) fn remembers_agents(&self, now: Timestamp) -> bool {
        self.first_start || now.saturating_since(self.started_at) >= self.agent_memory
    }

    /// The latest report of the agent at `address`.
    pub(crate) fn latest_report(&self, address: u64) -> Option<&Report> {
        Some(&self.agents.get(&address)?.report)
    }

    /// Whether a previous incarnation of the agent at `address` was known.
    pub(crate) fn knows_previous_incarnation(&self, address: u64) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.knows_previous_incarnation)
    }

    /// Notes that an agent has acknowledged the zone commands up to a log index.
    pub(crate) fn note_evacuations_ack(&mut self, address: u64, index: u64) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.evacuations_index = agent.evacuations_index.max(index);
            agent.notifications = 0;
        }
    }

    /// Addresses of agents that have not acknowledged the latest command for their zone.
    pub(crate) fn agents_behind(&self, evacuations: &Evacuations) -> impl Iterator<Item = u64> {
        let behind = self.agents.iter();
        let behind = behind.filter(|(_, agent)| agent.is_behind(evacuations));
        behind.map(|(address, _)| *address)
    }

    /// At most `limit` of those agents that were not notified within `interval`. They count
    /// as notified now. After [`MAX_NOTIFICATIONS`] without an acknowledgement an agent is
    /// notified only when it reports.
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

    /// A service without an agent in any zone for which `stays_in_service` holds, if there is
    /// one.
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

    /// The back ends that agents report, as input for placement policies.
    pub(crate) fn backends(&self, now: Timestamp) -> Vec<ReportedBackend> {
        let is_available = |agent: &&ReportedAgent| agent.report.state() != AgentState::Unavailable;
        let agents = self.agents.values().filter(is_available);
        let backend =
            |agent: &ReportedAgent| ReportedBackend::new(now, agent.last_seen_at, &agent.report);
        agents.map(backend).collect()
    }

    /// Digest of the back end that took new flows when the agent at `address` had another
    /// incarnation, if there are draining ones as well; otherwise zero.
    pub(crate) fn served_previously(&self, address: u64, incarnation: u64) -> u64 {
        match self.serving_backends.get(&address) {
            Some(known) if known.incarnation == incarnation => known.served_previously,
            Some(known) => known.serving,
            None => 0,
        }
    }

    /// Notes the back end that takes new flows, by the latest report of its agent.
    fn note_serving(&mut self, now: Timestamp, report: &Report) {
        let known = self
            .serving_backends
            .entry(report.address)
            .or_insert(ServingBackend {
                serving: 0,
                served_previously: 0,
                incarnation: report.incarnation,
                reported_at: now,
            });
        if known.incarnation != report.incarnation {
            known.incarnation = report.incarnation;
            known.served_previously = known.serving;
        }
        known.serving = report.serving_backend;
        known.reported_at = now;
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.serving_backends
            .retain(|_, known| now.saturating_since(known.reported_at) < SERVING_TTL);
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
            .retain(|_, agent| now.saturating_since(agent.since) < self.agent_memory);
        if now >= self.all_reported_at() {
            self.expected.expire(now);
        }
    }

    /// The interval at which this replica asks each agent to report.
    pub(crate) fn report_interval(&self) -> Duration {
        report_interval_for(self.agents.len())
    }

    /// Starts the next revision of the directory, in which an agent has changed.
    fn note_change(&mut self, address: u64) {
        self.changes.push_back((self.revision, address));
        self.revision += 1;
        if self.changes.len() > KEPT_REVISIONS {
            self.changes.pop_front();
        }
    }

    /// Messages that bring a balancer from revision `base` to the current directory; none if
    /// it has not changed. For an unknown `base` they contain the full directory.
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

    /// Whether it has sent its final report.
    fn sent_final_report(&self) -> bool {
        self.report.next_report_millis == 0
    }

    /// Whether it has stopped without open flows.
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

/// The report interval for this number of agents, so that all together send
/// [`REPORTS_PER_SECOND`].
fn report_interval_for(agents: usize) -> Duration {
    let interval = Duration::from_secs(1) * agents as u32 / REPORTS_PER_SECOND;
    interval.min(MAX_REPORT_INTERVAL)
}

/// Whether two reports describe the back end alike, except for its age.
fn describes_same_backend(one: &Report, other: &Report) -> bool {
    let (one, other) = (one.backend.as_ref(), other.backend.as_ref());
    match one.zip(other) {
        Some((one, other)) => one.name == other.name && one.labels == other.labels,
        None => one.is_none() && other.is_none(),
    }
}
