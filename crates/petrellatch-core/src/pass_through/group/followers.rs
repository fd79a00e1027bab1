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
const FOLLOWER_LIMIT: Duration = Duration::from_secs(10);
/// An agent that did not report for so long, or for so many intervals, is
/// forgotten.
const AGENT_LIMIT: Duration = Duration::from_secs(5);
const AGENT_LIMIT_INTERVALS: u32 = 4;
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
const LEAVING_MEMORY: Duration = Duration::from_secs(60);
/// An agent that is not heard any more is remembered for so long.
const FORMER_MEMORY: Duration = Duration::from_secs(60);
/// Most back ends that are remembered for one agent.
const MAX_LEAVING_KEPT: usize = 8;
/// Revisions of the directory that are kept for balancers that are a little
/// behind.
const KEPT_REVISIONS: usize = 256;

/// An agent is told of an order about its zone so often without an answer; then it
/// is told when it reports.
const MAX_TELLINGS: u32 = 24;

#[derive(Debug)]
struct ReportedAgent {
    report: Report,
    heard_at: Timestamp,
    /// Another life at its address was known before.
    had_former_life: bool,
    /// Index of the latest order about zones that it has said to know.
    evacuations_index: u64,
    /// When it was told of such an order last, and how often since it said so.
    told_of_zones_at: Timestamp,
    tellings: u32,
}

/// Agents that are told of orders about zones.
#[derive(Debug, Default)]
pub(crate) struct AgentsToTell {
    /// Those that are told now.
    pub(crate) told: Vec<SocketAddrV4>,
    /// Others are due as well.
    pub(crate) more_are_due: bool,
    /// Others were told a moment ago and have not answered.
    pub(crate) some_wait: bool,
}

/// Digests of back ends that said to one agent that they leave.
#[derive(Debug)]
struct LeavingBackends {
    digests: Vec<u64>,
    told_at: Timestamp,
}

/// An agent that is not heard any more.
#[derive(Debug)]
struct FormerAgent {
    since: Timestamp,
    /// It has said its last word: only another life, which is young then, may come back.
    has_stopped: bool,
}

/// Soft state of a replica: who follows it, and which agents there are.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    followers: BTreeMap<SocketAddrV4, Timestamp>,
    agents: BTreeMap<u64, ReportedAgent>,
    /// Back ends that leave, by the address of their agent, for its next lives.
    leaving: BTreeMap<u64, LeavingBackends>,
    /// Agents that are not heard any more, by their addresses.
    former: BTreeMap<u64, FormerAgent>,
    /// Those that were there before this life.
    expected: ExpectedAgents,
    started_at: Timestamp,
    /// The longest time between two reports that an agent told.
    told_interval: Duration,
    /// A directory was taken over that was whole, or all that were there before are known.
    is_known_whole: bool,
    /// What another replica tells after the start.
    fetched: Reassembly,
    /// Revision of the directory: changes of this life in the lower half.
    revision: u64,
    /// Agents that changed, each with the revision before.
    touched: VecDeque<(u64, u64)>,
}

impl Followers {
    /// Starts without followers and agents. `life` tells the revisions of this
    /// life from those of others.
    pub(crate) fn new(now: Timestamp, life: u32) -> Self {
        Followers {
            started_at: now,
            expected: ExpectedAgents::new(now),
            revision: u64::from(life.max(1)) << 32,
            ..Followers::default()
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether every agent that runs is in the directory: all that were there before
    /// are known, or each has had the time to report since the start, or another replica
    /// told of all.
    pub(crate) fn is_whole(&self, now: Timestamp) -> bool {
        self.is_known_whole || now >= self.all_reported_at()
    }

    /// Notes it if all that were there before are known by now.
    pub(crate) fn check_expected(&mut self, now: Timestamp) {
        let young_interval = self.longest_interval() / NEW_AGENT_REPORTS;
        self.is_known_whole |= self.expected.are_heard(now, young_interval);
    }

    /// When to look whether the directory is whole, if nothing is heard.
    pub(crate) fn whole_at(&self, now: Timestamp) -> Timestamp {
        let young_interval = self.longest_interval() / NEW_AGENT_REPORTS;
        let settled_at = self.expected.settled_at(young_interval);
        let may_settle = self.expected.has_memory() && now < settled_at;
        match may_settle {
            true => settled_at.min(self.all_reported_at()),
            false => self.all_reported_at(),
        }
    }

    /// When all agents have reported, whether this replica expects them or not.
    fn all_reported_at(&self) -> Timestamp {
        let interval = self.longest_interval().max(MIN_REPORT_INTERVAL);
        self.started_at + interval + REPORT_DELAY
    }

    /// The longest time that agents take between two reports: by their own word, and as
    /// replicas told them when all that are remembered were there.
    fn longest_interval(&self) -> Duration {
        let remembered = interval_of(self.expected.count());
        self.told_interval.max(remembered)
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
    pub(crate) fn agents_to_remember(&self) -> BTreeSet<u64> {
        let agents = self.agents.iter();
        let agents = agents.filter(|(_, agent)| !agent.is_gone());
        let former = self.former.iter().filter(|(_, former)| !former.has_stopped);
        let agents = agents.map(|(address, _)| *address);
        let former = former.map(|(address, _)| *address);
        agents
            .chain(former)
            .chain(self.expected.awaited())
            .collect()
    }

    /// Notes that the directory that was taken over is whole.
    pub(crate) fn note_whole(&mut self) {
        self.is_known_whole = true;
    }

    pub(crate) fn note_follower(&mut self, now: Timestamp, address: SocketAddrV4) {
        self.followers.insert(address, now);
    }

    pub(crate) fn forget_follower(&mut self, address: SocketAddrV4) {
        self.followers.remove(&address);
    }

    pub(crate) fn followers(&self) -> Vec<SocketAddrV4> {
        self.followers.keys().copied().collect()
    }

    /// Takes a report. Returns whether balancers should know at once.
    pub(crate) fn handle_report(&mut self, now: Timestamp, mut report: Report) -> bool {
        let leaving = std::mem::take(&mut report.draining_backends);
        let interval = Duration::from_millis(u64::from(report.next_report_millis));
        self.told_interval = self.told_interval.max(interval.min(MAX_REPORT_INTERVAL));
        self.note_leaving(now, report.address, leaving);
        self.expected.note_heard(report.address);
        let known = self.agents.get(&report.address);
        if let Some(known) = known {
            let same_life = known.report.incarnation == report.incarnation;
            if same_life && report.sequence <= known.report.sequence {
                return false;
            }
        }
        let news = known.is_none_or(|known| {
            known.report.incarnation != report.incarnation
                || known.report.state != report.state
                || !describes_same(&known.report, &report)
        });
        let had_former_life = match known {
            Some(known) if known.report.incarnation == report.incarnation => known.had_former_life,
            Some(_) => true,
            None => self.former.contains_key(&report.address),
        };
        let evacuations_index = match known {
            Some(known) if known.report.incarnation == report.incarnation => {
                known.evacuations_index.max(report.evacuations_index)
            }
            _ => report.evacuations_index,
        };
        if news {
            self.touch(report.address);
        }
        let agent = ReportedAgent {
            heard_at: now,
            had_former_life,
            evacuations_index,
            ..ReportedAgent::new(now, report)
        };
        self.agents.insert(agent.report.address, agent);
        news
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
        let change: Option<DirectoryChange> =
            self.fetched.add_compressed(revision, part, parts, bytes);
        let Some(change) = change else { return false };
        for entry in change.agents {
            let address = entry.report.address;
            self.expected.note_heard(address);
            if self.agents.contains_key(&address) {
                continue;
            }
            let age = Duration::from_millis(u64::from(entry.age_millis));
            let agent = ReportedAgent::new(now - age, entry.report);
            self.agents.insert(address, agent);
            self.touch(address);
        }
        true
    }

    /// Whether another life of the agent at `address` was known before this one.
    pub(crate) fn had_former_life(&self, address: u64) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.had_former_life)
    }

    /// Notes that an agent knows the orders about zones up to an index.
    pub(crate) fn note_evacuations_known(&mut self, address: u64, index: u64) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.evacuations_index = agent.evacuations_index.max(index);
            agent.tellings = 0;
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
    pub(crate) fn agents_to_tell(
        &mut self,
        now: Timestamp,
        evacuations: &Evacuations,
        interval: Duration,
        limit: usize,
    ) -> AgentsToTell {
        let mut result = AgentsToTell::default();
        for (address, agent) in &mut self.agents {
            if agent.tellings >= MAX_TELLINGS || !agent.is_behind(evacuations) {
                continue;
            }
            let is_due = now.saturating_since(agent.told_of_zones_at) >= interval;
            if !is_due {
                result.some_wait = true;
            } else if result.told.len() == limit {
                result.more_are_due = true;
                return result;
            } else {
                agent.told_of_zones_at = now;
                agent.tellings += 1;
                result.told.push(unpack_address(*address));
            }
        }
        result
    }

    /// A service none of whose agents is in a zone that `stays` in service.
    pub(crate) fn service_without_zone(&self, stays: impl Fn(&str) -> bool) -> Option<String> {
        let mut services: BTreeMap<&str, bool> = BTreeMap::new();
        for agent in self.agents.values() {
            let has_zone = services.entry(agent.report.service.as_str()).or_default();
            *has_zone |= stays(&agent.report.zone);
        }
        let without = services.into_iter().find(|(_, has_zone)| !has_zone);
        without.map(|(service, _)| service.to_owned())
    }

    /// The back ends that agents report of, as policies see them.
    pub(crate) fn backends(&self, now: Timestamp) -> Vec<ReportedBackend> {
        let serves = |agent: &&ReportedAgent| agent.report.state() != AgentState::Unavailable;
        let agents = self.agents.values().filter(serves);
        let backend =
            |agent: &ReportedAgent| ReportedBackend::new(now, agent.heard_at, &agent.report);
        agents.map(backend).collect()
    }

    /// What lives of the agent at `address` told of back ends that leave.
    pub(crate) fn leaving(&self, address: u64) -> Vec<u64> {
        let leaving = self.leaving.get(&address);
        leaving.map_or_else(Vec::new, |leaving| leaving.digests.clone())
    }

    fn note_leaving(&mut self, now: Timestamp, address: u64, digests: Vec<u64>) {
        if digests.is_empty() {
            return;
        }
        let known = self.leaving.entry(address).or_insert(LeavingBackends {
            digests: Vec::new(),
            told_at: now,
        });
        known.told_at = now;
        known.digests.retain(|digest| !digests.contains(digest));
        known.digests.extend(digests);
        let excess = known.digests.len().saturating_sub(MAX_LEAVING_KEPT);
        known.digests.drain(..excess);
    }

    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.leaving
            .retain(|_, leaving| now.saturating_since(leaving.told_at) < LEAVING_MEMORY);
        self.followers
            .retain(|_, heard| now.saturating_since(*heard) < FOLLOWER_LIMIT);
        let limit = AGENT_LIMIT.max(self.report_interval() * AGENT_LIMIT_INTERVALS);
        let is_gone = |agent: &ReportedAgent| now.saturating_since(agent.heard_at) >= limit;
        let gone: Vec<u64> = self
            .agents
            .iter()
            .filter(|(_, agent)| is_gone(agent))
            .map(|(address, _)| *address)
            .collect();
        for address in gone {
            let agent = self.agents.remove(&address);
            let former = FormerAgent {
                since: now,
                has_stopped: agent.is_some_and(|agent| agent.has_stopped()),
            };
            self.former.insert(address, former);
            self.touch(address);
        }
        self.former
            .retain(|_, former| now.saturating_since(former.since) < FORMER_MEMORY);
        if now >= self.all_reported_at() {
            self.expected.expire(now);
        }
    }

    /// The time between two reports of an agent that this replica bears.
    pub(crate) fn report_interval(&self) -> Duration {
        interval_of(self.agents.len())
    }

    /// Makes the next revision, in which an agent differs.
    fn touch(&mut self, address: u64) {
        self.touched.push_back((self.revision, address));
        self.revision += 1;
        if self.touched.len() > KEPT_REVISIONS {
            self.touched.pop_front();
        }
    }

    /// How the directory differs from `base`, as messages for balancers; none
    /// if it does not.
    pub(crate) fn directory(&self, now: Timestamp, base: u64) -> Vec<PassThroughBody> {
        if base == self.revision {
            return Vec::new();
        }
        let first = self.touched.iter().position(|(before, _)| *before == base);
        let change = match first {
            Some(first) => self.change_of(now, self.touched.iter().skip(first)),
            None => DirectoryChange {
                agents: self.agents.values().map(|it| it.entry(now)).collect(),
                removed: Vec::new(),
            },
        };
        let base_revision = first.map_or(0, |_| base);
        self.directory_parts(base_revision, &change)
    }

    fn change_of<'a>(
        &self,
        now: Timestamp,
        touched: impl Iterator<Item = &'a (u64, u64)>,
    ) -> DirectoryChange {
        let addresses: BTreeSet<u64> = touched.map(|(_, address)| *address).collect();
        let known = addresses.iter().filter_map(|it| self.agents.get(it));
        let gone = addresses.iter().filter(|it| !self.agents.contains_key(it));
        DirectoryChange {
            agents: known.map(|agent| agent.entry(now)).collect(),
            removed: gone.copied().collect(),
        }
    }

    fn directory_parts(
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
    fn new(heard_at: Timestamp, report: Report) -> Self {
        ReportedAgent {
            evacuations_index: report.evacuations_index,
            report,
            heard_at,
            had_former_life: false,
            told_of_zones_at: Timestamp::ZERO,
            tellings: 0,
        }
    }

    /// Whether it has said its last word.
    fn has_stopped(&self) -> bool {
        self.report.next_report_millis == 0
    }

    /// Whether it has stopped and leaves no flows.
    fn is_gone(&self) -> bool {
        self.has_stopped() && self.report.state() == AgentState::Unavailable
    }

    fn is_behind(&self, evacuations: &Evacuations) -> bool {
        self.evacuations_index < evacuations.index_of(&self.report.zone)
    }

    fn entry(&self, now: Timestamp) -> DirectoryEntry {
        DirectoryEntry {
            report: self.report.clone(),
            age_millis: now.saturating_since(self.heard_at).as_millis() as u32,
        }
    }
}

/// The time between two reports of one of so many agents that a replica bears.
fn interval_of(agents: usize) -> Duration {
    let interval = Duration::from_secs(1) * agents as u32 / REPORTS_PER_SECOND;
    interval.min(MAX_REPORT_INTERVAL)
}

/// Whether two reports tell the same of the back end, but for its age.
fn describes_same(one: &Report, other: &Report) -> bool {
    let (one, other) = (one.backend.as_ref(), other.backend.as_ref());
    match one.zip(other) {
        Some((one, other)) => one.name == other.name && one.labels == other.labels,
        None => one.is_none() && other.is_none(),
    }
}
