//! Load shedding: how long a balancer refuses new flows of an overloaded service without
//! offering them.
//!
//! A flow that no agent has capacity for costs offers and replies on the balancer's link,
//! and its caller retries at once. Without a backoff these messages fill the link: replies
//! come late, and flows that could be served are lost as well.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// Shortest backoff. A reply takes some milliseconds, so that a balancer learns nothing new
/// earlier.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// Longest backoff, and so the longest time until returning capacity is found.
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// First backoff if agents report no expected wait. A back end takes some 30 ms for a
/// request, so that a slot has become free at most back ends by then.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(20);
/// Factor from one backoff to the next.
const BACKOFF_GROWTH: f64 = 1.3;
/// If at least this many flows were accepted since a backoff, the next one is shorter:
/// one declined flow for this many served ones is cheap enough.
const SHORTEN_AFTER_ACCEPTED: u32 = 12;
/// If at least this many flows were accepted since a backoff, the overload has ended,
/// and the next backoff starts at the first length again. At the longest backoff that is
/// 320 slots per second, more than one balancer's part of a service.
const RESET_AFTER_ACCEPTED: u32 = 32;
/// How long the reply to a trial flow is awaited before another trial flow is let
/// through. It is longer than replies take over busy links.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an agent that declined for lack of capacity gets no offers while there are
/// others, even if its load message says that it is idle. The value is half of a latency
/// objective of 500 ms.
const DECLINE_TTL: Duration = Duration::from_millis(250);
/// Number of agents that are excluded for that. An agent whose load message is wrong is
/// among the latest that declined; a higher number would leave few agents of a small
/// service.
const MAX_RECENT_DECLINES: usize = 4;
/// Number of flows in a row that are queued, with none accepted between, from which a
/// service counts as overloaded. It is more than one, since in a large service a single
/// agent may have a queue while others have none.
const MIN_QUEUED_RUN: u32 = 3;
/// The same for a service with few agents, after a backoff of less than half of
/// [`MAX_BACKOFF`] since which no flow was accepted: the service is likely still overloaded.
const QUEUED_RUN_AFTER_BACKOFF: u32 = 2;
/// Highest number of agents for which [`QUEUED_RUN_AFTER_BACKOFF`] applies.
const MAX_SMALL_SERVICE: usize = 64;
/// How long after its latest backoff a service counts as overloaded.
const OVERLOAD_TTL: Duration = Duration::from_secs(1);

/// Class of new flows that are shed alike. Agents treat a flow that will miss its latency
/// objective differently from others, so that the two are different classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowClass {
    pub(crate) service: u64,
    /// The caller has already waited for as long as its latency objective.
    pub(crate) is_late: bool,
    /// Zero is the highest priority.
    pub(crate) priority: u32,
}

/// What to do with a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SheddingDecision {
    /// Offer it to agents.
    Offer,
    /// Refuse it without an offer.
    Shed,
}

/// A change of a service's overload level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverloadChange {
    pub(crate) service: u64,
    /// The highest priority of which flows are shed; `None` if the overload has ended.
    pub(crate) level: Option<u32>,
    /// The level before the change.
    pub(crate) previous_level: Option<u32>,
    /// A route whose flows are or were shed.
    pub(crate) route: SocketAddrV4,
}

/// The latest backoff of one class of flows.
#[derive(Debug)]
struct OverloadBackoff {
    length: Duration,
    until: Timestamp,
    /// Until then the reply to the offer of the trial flow is awaited, and other flows are
    /// shed.
    trial_until: Timestamp,
    /// Whether a flow was accepted after the backoff.
    is_over: bool,
    /// Number of flows accepted since.
    accepted: u32,
    /// The route of the flow that started the backoff.
    route: SocketAddrV4,
}

/// Flows of one class that were queued in a row, with none accepted between.
#[derive(Debug)]
struct QueuedRun {
    flows: u32,
    latest_at: Timestamp,
}

/// Services that have recently been overloaded.
#[derive(Debug, Default)]
pub(crate) struct ServiceOverload {
    backoffs: BTreeMap<FlowClass, OverloadBackoff>,
    /// Flows that were queued since the latest one that was accepted.
    queued_runs: BTreeMap<FlowClass, QueuedRun>,
    /// Agents that have recently declined for lack of capacity, in order of time.
    recent_declines: VecDeque<(Timestamp, SocketAddrV4)>,
    /// The shortest expected wait that agents of a service reported since its latest
    /// backoff.
    expected_waits: BTreeMap<u64, Duration>,
    /// The highest priority of which flows are shed, and a route of such a flow, by service.
    levels: BTreeMap<u64, (u32, SocketAddrV4)>,
}

impl ServiceOverload {
    /// Decides whether a new flow is offered. It is shed during a backoff of its own or a
    /// higher priority; after each backoff one trial flow is let through.
    pub(crate) fn decide(&mut self, now: Timestamp, class: FlowClass) -> SheddingDecision {
        let relevant = self
            .backoffs
            .range_mut(highest_priority_class(class)..=class);
        let mut active: Vec<&mut OverloadBackoff> = relevant
            .map(|(_, backoff)| backoff)
            .filter(|backoff| !backoff.is_over)
            .collect();
        let is_shedding =
            |backoff: &&mut OverloadBackoff| now < backoff.until.max(backoff.trial_until);
        if active.iter().any(is_shedding) {
            return SheddingDecision::Shed;
        }
        for backoff in &mut active {
            backoff.trial_until = now + TRIAL_TIMEOUT;
        }
        SheddingDecision::Offer
    }

    /// Whether the service has recently been overloaded for flows of this class.
    pub(crate) fn is_overloaded(&self, now: Timestamp, class: FlowClass) -> bool {
        let mut relevant = self.backoffs.range(highest_priority_class(class)..=class);
        relevant.any(|(_, backoff)| {
            now < backoff.until + OVERLOAD_TTL && backoff.accepted < RESET_AFTER_ACCEPTED
        })
    }

    /// Whether an agent has declined for lack of capacity within [`DECLINE_TTL`].
    pub(crate) fn declined_recently(&self, now: Timestamp, agent: SocketAddrV4) -> bool {
        let is_recent = |at| now.saturating_since(at) < DECLINE_TTL;
        let mut recent_declines = self.recent_declines.iter();
        recent_declines.any(|(at, other)| *other == agent && is_recent(*at))
    }

    /// Notes that an agent declined, as its slots and its queue are full.
    pub(crate) fn note_declined(&mut self, now: Timestamp, agent: SocketAddrV4) {
        if self.recent_declines.len() == MAX_RECENT_DECLINES {
            self.recent_declines.pop_front();
        }
        self.recent_declines.push_back((now, agent));
    }

    /// Notes the time after which an agent that declined expects a free slot for this
    /// balancer; zero if that is not known.
    pub(crate) fn note_expected_wait(&mut self, service: u64, expected_wait: Duration) {
        if !expected_wait.is_zero() {
            let shortest = self.expected_waits.entry(service).or_insert(expected_wait);
            *shortest = expected_wait.min(*shortest);
        }
    }

    /// Notes that a flow that arrived at `created_at` found no capacity. `agents` is the number
    /// of the service's agents. Returns whether a backoff starts; none does if the flow
    /// arrived before the end of the latest one.
    pub(crate) fn note_all_full(
        &mut self,
        now: Timestamp,
        class: FlowClass,
        created_at: Timestamp,
        agents: usize,
        route: SocketAddrV4,
    ) -> bool {
        let latest = self
            .backoffs
            .get(&class)
            .filter(|it| now < it.until + OVERLOAD_TTL);
        let expected_wait = self.expected_waits.get(&class.service);
        // Each agent expects a free slot within this wait, so that the service has `agents`
        // free slots in that time.
        let initial_length = expected_wait.map_or(DEFAULT_BACKOFF, |expected_wait| {
            *expected_wait / agents.max(1) as u32
        });
        let length = match latest {
            Some(backoff) if created_at < backoff.until => return false,
            Some(backoff) if backoff.accepted >= RESET_AFTER_ACCEPTED => initial_length,
            Some(backoff) if backoff.accepted >= SHORTEN_AFTER_ACCEPTED => {
                backoff.length.div_f64(BACKOFF_GROWTH * BACKOFF_GROWTH)
            }
            Some(backoff) => backoff.length.mul_f64(BACKOFF_GROWTH),
            None => initial_length,
        };
        let length = length.max(initial_length).clamp(MIN_BACKOFF, MAX_BACKOFF);
        let backoff = OverloadBackoff {
            length,
            until: now + length,
            trial_until: Timestamp::ZERO,
            is_over: false,
            accepted: 0,
            route,
        };
        self.expected_waits.remove(&class.service);
        self.queued_runs.remove(&class);
        self.backoffs.insert(class, backoff);
        true
    }

    /// Notes that an agent with a warm back end queued a flow that arrived at `created_at`.
    /// `agents` is the number of the service's agents. Returns whether the service is
    /// overloaded, by the number of flows queued in a row.
    pub(crate) fn note_queued(
        &mut self,
        now: Timestamp,
        class: FlowClass,
        created_at: Timestamp,
        agents: usize,
    ) -> bool {
        let backoff = self.backoffs.get(&class);
        if backoff.is_some_and(|backoff| created_at < backoff.until) {
            return false;
        }
        let follows_backoff = backoff.is_some_and(|backoff| {
            backoff.accepted == 0
                && backoff.length < MAX_BACKOFF / 2
                && now < backoff.until + OVERLOAD_TTL
        });
        let min_run = match follows_backoff && agents <= MAX_SMALL_SERVICE {
            true => QUEUED_RUN_AFTER_BACKOFF,
            false => MIN_QUEUED_RUN,
        };
        let run = self.queued_runs.entry(class).or_insert(QueuedRun {
            flows: 0,
            latest_at: now,
        });
        let is_expired = now >= run.latest_at + OVERLOAD_TTL;
        run.flows = if is_expired { 1 } else { run.flows + 1 };
        run.latest_at = now;
        run.flows >= min_run
    }

    /// Notes that a flow that arrived at `created_at` was accepted, which ends the backoffs
    /// of its class and of higher priorities.
    pub(crate) fn note_accepted(&mut self, class: FlowClass, created_at: Timestamp) {
        let accepted_classes = highest_priority_class(class)..=class;
        self.queued_runs
            .retain(|it, _| !accepted_classes.contains(it));
        let relevant = self
            .backoffs
            .range_mut(highest_priority_class(class)..=class);
        for (_, backoff) in relevant.filter(|(_, backoff)| created_at >= backoff.until) {
            backoff.is_over = true;
            backoff.accepted += 1;
        }
    }

    /// Notes that a trial flow was not accepted for a reason other than capacity. As this
    /// says nothing about the overload, the next flow becomes the trial flow.
    pub(crate) fn note_inconclusive(&mut self, class: FlowClass) {
        for (_, backoff) in self
            .backoffs
            .range_mut(highest_priority_class(class)..=class)
        {
            backoff.trial_until = Timestamp::ZERO;
        }
    }

    /// Removes expired backoffs, and returns the services whose overload level has changed.
    pub(crate) fn take_changes(&mut self, now: Timestamp) -> Vec<OverloadChange> {
        self.backoffs
            .retain(|_, backoff| now < backoff.until + OVERLOAD_TTL);
        self.queued_runs
            .retain(|_, run| now < run.latest_at + OVERLOAD_TTL);
        let mut levels: BTreeMap<u64, (u32, SocketAddrV4)> = BTreeMap::new();
        for (class, backoff) in &self.backoffs {
            let level_and_route = (class.priority, backoff.route);
            let level = levels.entry(class.service).or_insert(level_and_route);
            *level = (*level).min(level_and_route);
        }
        let previous_levels = std::mem::replace(&mut self.levels, levels);
        let mut services: Vec<u64> = previous_levels
            .keys()
            .chain(self.levels.keys())
            .copied()
            .collect();
        services.sort_unstable();
        services.dedup();
        let change = |service: u64| {
            let (was, is) = (previous_levels.get(&service), self.levels.get(&service));
            let (_, route) = is.or(was)?;
            let change = OverloadChange {
                service,
                level: is.map(|(level, _)| *level),
                previous_level: was.map(|(level, _)| *level),
                route: *route,
            };
            (change.level != change.previous_level).then_some(change)
        };
        services.into_iter().filter_map(change).collect()
    }
}

/// The class of the highest priority whose backoff also applies to `class`.
fn highest_priority_class(class: FlowClass) -> FlowClass {
    FlowClass {
        priority: 0,
        ..class
    }
}
