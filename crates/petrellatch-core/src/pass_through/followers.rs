//! Balancers that follow a replica, and the agents that report to it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, Directory, DirectoryEntry, MAX_PART_BYTES,
    PassThroughBody, Report,
};
use prost::Message;

use crate::time::Timestamp;

use super::change_assembly::split;
use super::configuration::Configuration;

/// A balancer that did not ask for so long is forgotten.
const FOLLOWER_LIMIT: Duration = Duration::from_secs(10);
/// An agent that did not report for so long is forgotten.
const AGENT_LIMIT: Duration = Duration::from_secs(5);
/// Changes that are kept for balancers that are a little behind.
const KEPT_CHANGES: usize = 64;
/// A balancer that misses more gets the whole configuration.
const MAX_CHANGES_TOLD: usize = 8;
/// Agents in one message.
const AGENTS_PER_MESSAGE: usize = 64;

#[derive(Debug)]
struct ReportedAgent {
    report: Report,
    heard_at: Timestamp,
}

/// Soft state of a replica: who follows it, and which agents there are.
#[derive(Debug, Default)]
pub(super) struct Followers {
    followers: BTreeMap<SocketAddrV4, Timestamp>,
    agents: BTreeMap<u64, ReportedAgent>,
    changes: VecDeque<ConfigurationChange>,
}

impl Followers {
    pub(super) fn note_follower(&mut self, now: Timestamp, address: SocketAddrV4) {
        self.followers.insert(address, now);
    }

    pub(super) fn forget_follower(&mut self, address: SocketAddrV4) {
        self.followers.remove(&address);
    }

    pub(super) fn followers(&self) -> Vec<SocketAddrV4> {
        self.followers.keys().copied().collect()
    }

    /// Takes a report. Returns whether balancers should know at once.
    pub(super) fn handle_report(&mut self, now: Timestamp, report: Report) -> bool {
        let known = self.agents.get(&report.address);
        if let Some(known) = known {
            let same_life = known.report.incarnation == report.incarnation;
            if same_life && report.sequence <= known.report.sequence {
                return false;
            }
        }
        let news = known.is_none_or(|known| {
            known.report.incarnation != report.incarnation || known.report.state != report.state
        });
        let heard_at = now;
        self.agents
            .insert(report.address, ReportedAgent { report, heard_at });
        news
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.followers
            .retain(|_, heard| now.saturating_since(*heard) < FOLLOWER_LIMIT);
        self.agents
            .retain(|_, agent| now.saturating_since(agent.heard_at) < AGENT_LIMIT);
    }

    /// Keeps a change for balancers that are a little behind.
    pub(super) fn note_change(&mut self, change: &ConfigurationChange) {
        let mut change = change.clone();
        strip(&mut change);
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    pub(super) fn forget_changes(&mut self) {
        self.changes.clear();
    }

    /// What a balancer with `version` needs to have the newest one.
    pub(super) fn news(&self, version: u64, newest: &Configuration) -> Vec<PassThroughBody> {
        if version >= newest.version {
            return Vec::new();
        }
        let first = self
            .changes
            .iter()
            .position(|change| change.base_version == version && version > 0);
        let first = first.filter(|first| self.changes.len() - first <= MAX_CHANGES_TOLD);
        let Some(first) = first else {
            let mut whole = Configuration::default().change_to(newest);
            strip(&mut whole);
            return parts(&whole);
        };
        let missing = self.changes.iter().skip(first);
        missing.flat_map(parts).collect()
    }

    /// The agents, as messages for balancers.
    pub(super) fn directory(&self, now: Timestamp) -> Vec<PassThroughBody> {
        let entry = |agent: &ReportedAgent| DirectoryEntry {
            report: agent.report.clone(),
            age_millis: now.saturating_since(agent.heard_at).as_millis() as u32,
        };
        let entries: Vec<DirectoryEntry> = self.agents.values().map(entry).collect();
        let message = |agents: &[DirectoryEntry]| {
            PassThroughBody::Directory(Directory {
                agents: agents.to_vec(),
            })
        };
        entries.chunks(AGENTS_PER_MESSAGE).map(message).collect()
    }
}

/// Removes what only operators read.
fn strip(change: &mut ConfigurationChange) {
    change.annotation = None;
    for route in &mut change.put {
        route.annotation = Vec::new();
        route.position = 0;
    }
}

fn parts(change: &ConfigurationChange) -> Vec<PassThroughBody> {
    let bytes = change.encode_to_vec();
    let parts = split(&bytes, MAX_PART_BYTES);
    let count = parts.len() as u32;
    let part = |(part, bytes): (usize, &[u8])| {
        PassThroughBody::Configuration(ConfigurationPart {
            base_version: change.base_version,
            version: change.version,
            part: part as u32,
            parts: count,
            bytes: bytes.to_vec(),
        })
    };
    parts.into_iter().enumerate().map(part).collect()
}
