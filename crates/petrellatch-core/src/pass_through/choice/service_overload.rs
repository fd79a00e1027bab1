//! Services that have no room: for how long a balancer refuses new flows of them
//! without asking an agent.
//!
//! A flow that nobody has room for costs questions and answers on the balancer's link,
//! and its caller is back at once. Without a pause these fill the link: answers come
//! late, and flows that could be served are lost as well.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

/// The shortest pause. Within it a balancer learns nothing new, as an answer takes some
/// milliseconds.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// The longest pause: room that is there again is found within this.
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// The first pause if agents don't foretell the balancer's turn: a back end works some
/// 30 ms on a request, so that by then a place has come free at most of them.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(20);
/// How much longer a pause is than the one before.
const BACKOFF_GROWTH: f64 = 1.3;
/// If so many flows were taken between two pauses, the next one is shorter:
/// so many flows served for a question in vain is little enough.
const SHORTEN_AFTER_ACCEPTED: u32 = 12;
/// If so many flows were taken since a pause, there is room: the next pause is a first
/// one again. At the longest pause that is what 320 places a second leave, which is
/// more than one balancer has of a service.
const RESET_AFTER_ACCEPTED: u32 = 32;
/// The flow that ends a pause is answered by then, or another one asks. It is longer
/// than answers take over links that are busy.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(60);
/// An agent that had no room is not asked again for so long while others are there, even
/// if it tells that it is idle: half of what callers with an objective of half a second
/// can lose.
const DECLINE_TTL: Duration = Duration::from_millis(250);
/// Agents that are remembered for that. One that lies is among the latest ones; more
/// would leave few to ask of a small service.
const MAX_RECENT_DECLINES: usize = 4;
/// So many flows that are let wait, with none taken between, show that there is no room:
/// of a large service a single agent may have a queue while others have none.
const MIN_QUEUED_RUN: u32 = 3;
/// The same after a short pause since which no flow was taken, of a service with few
/// agents: there is likely still no room.
const QUEUED_RUN_AFTER_BACKOFF: u32 = 2;
/// More agents than these are not few.
const MAX_SMALL_SERVICE: usize = 64;
/// A service without a pause for so long is no more under pressure.
const OVERLOAD_TTL: Duration = Duration::from_secs(1);

/// Flows that find room, or none, alike. Those whose callers have waited for so long
/// that their answers will be late get other places than fresh ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowClass {
    pub(crate) service: u64,
    pub(crate) is_late: bool,
    /// Zero is the most urgent.
    pub(crate) priority: u32,
}

/// What becomes of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SheddingDecision {
    /// Agents are asked.
    Offer,
    /// It is refused at once.
    Shed,
}

/// How a service came to its present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverloadChange {
    pub(crate) service: u64,
    /// The most urgent priority that is refused at times; none if pressure has ended.
    pub(crate) level: Option<u32>,
    /// The level before.
    pub(crate) previous_level: Option<u32>,
    /// A route whose flows found no room.
    pub(crate) route: SocketAddrV4,
}

/// The pauses of one kind of flows.
#[derive(Debug)]
struct OverloadBackoff {
    length: Duration,
    until: Timestamp,
    /// Until then the answer to the flow that asks after the pause is expected.
    trial_until: Timestamp,
    /// Whether a flow that asked after the pause was taken.
    is_over: bool,
    /// Flows that were taken since.
    accepted: u32,
    /// The route of the flow that began it.
    route: SocketAddrV4,
}

/// Flows of one kind that were let wait, with none taken between.
#[derive(Debug)]
struct QueuedRun {
    flows: u32,
    latest_at: Timestamp,
}

/// The services that have lately had no room.
#[derive(Debug, Default)]
pub(crate) struct ServiceOverload {
    backoffs: BTreeMap<FlowClass, OverloadBackoff>,
    /// Flows that were let wait since the latest one that was taken.
    queued_runs: BTreeMap<FlowClass, QueuedRun>,
    /// Agents that have lately had no room, the latest last.
    recent_declines: VecDeque<(Timestamp, SocketAddrV4)>,
    /// The shortest turn that agents of a service have foretold since its latest pause.
    expected_waits: BTreeMap<u64, Duration>,
    /// The most urgent priority that finds no room, and a route of it.
    levels: BTreeMap<u64, (u32, SocketAddrV4)>,
}

impl ServiceOverload {
    /// Whether agents are asked for a new flow. It is refused while flows of its
    /// priority, or of a more urgent one, find no room; after each pause one asks.
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

    /// Whether flows of this kind have lately found no room.
    pub(crate) fn is_overloaded(&self, now: Timestamp, class: FlowClass) -> bool {
        let mut relevant = self.backoffs.range(highest_priority_class(class)..=class);
        relevant.any(|(_, backoff)| {
            now < backoff.until + OVERLOAD_TTL && backoff.accepted < RESET_AFTER_ACCEPTED
        })
    }

    /// Whether an agent has just had no room.
    pub(crate) fn declined_recently(&self, now: Timestamp, agent: SocketAddrV4) -> bool {
        let is_recent = |at| now.saturating_since(at) < DECLINE_TTL;
        let mut recent_declines = self.recent_declines.iter();
        recent_declines.any(|(at, other)| *other == agent && is_recent(*at))
    }

    /// An agent had no room, not even in its queue.
    pub(crate) fn note_declined(&mut self, now: Timestamp, agent: SocketAddrV4) {
        if self.recent_declines.len() == MAX_RECENT_DECLINES {
            self.recent_declines.pop_front();
        }
        self.recent_declines.push_back((now, agent));
    }

    /// At an agent without room a place comes free for this balancer after `turn`, zero
    /// if that is not known.
    pub(crate) fn note_expected_wait(&mut self, service: u64, expected_wait: Duration) {
        if !expected_wait.is_zero() {
            let shortest = self.expected_waits.entry(service).or_insert(expected_wait);
            *shortest = expected_wait.min(*shortest);
        }
    }

    /// All agents that were asked for a flow that came at `created_at` had no room;
    /// the service has so many. Returns whether a pause begins.
    pub(crate) fn note_all_full(
        &mut self,
        now: Timestamp,
        class: FlowClass,
        created_at: Timestamp,
        agents: usize,
        route: SocketAddrV4,
    ) -> bool {
        let known = self
            .backoffs
            .get(&class)
            .filter(|it| now < it.until + OVERLOAD_TTL);
        let expected_wait = self.expected_waits.get(&class.service);
        let initial_length = expected_wait.map_or(DEFAULT_BACKOFF, |expected_wait| {
            *expected_wait / agents.max(1) as u32
        });
        let length = match known {
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

    /// An agent whose back end works at its usual rate lets a flow wait that came at
    /// `created_at`; the service has so many agents. Returns whether this shows that there
    /// is no room.
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

    /// A flow that came at `created_at` was taken: there is room for its kind, and for
    /// the more urgent ones.
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

    /// The flow that asked after a pause found no room for another reason, which says
    /// nothing: the next one asks.
    pub(crate) fn note_inconclusive(&mut self, class: FlowClass) {
        for (_, backoff) in self
            .backoffs
            .range_mut(highest_priority_class(class)..=class)
        {
            backoff.trial_until = Timestamp::ZERO;
        }
    }

    /// Forgets what is over, and says which services have come under pressure, are
    /// under more or less of it, or under none any more.
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

/// The first kind that pauses a kind as well.
fn highest_priority_class(class: FlowClass) -> FlowClass {
    FlowClass {
        priority: 0,
        ..class
    }
}
