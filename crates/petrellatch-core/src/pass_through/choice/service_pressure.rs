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
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// The longest pause: room that is there again is found within this.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// The first pause if agents don't foretell the balancer's turn: a back end works some
/// 30 ms on a request, so that by then a place has come free at most of them.
const DEFAULT_PAUSE: Duration = Duration::from_millis(20);
/// How much longer a pause is than the one before.
const GROWTH: f64 = 1.3;
/// If so many flows were taken between two pauses, the next one is shorter:
/// so many flows served for a question in vain is little enough.
const FAIR_RUN: u32 = 12;
/// If so many flows were taken since a pause, there is room: the next pause is a first
/// one again. At the longest pause that is what 320 places a second leave, which is
/// more than one balancer has of a service.
const LONG_RUN: u32 = 32;
/// The flow that ends a pause is answered by then, or another one asks. It is longer
/// than answers take over links that are busy.
const PROBE_PATIENCE: Duration = Duration::from_millis(60);
/// An agent that had no room is not asked again for so long while others are there, even
/// if it tells that it is idle: half of what callers with an objective of half a second
/// can lose.
const DECLINE_LIFE: Duration = Duration::from_millis(250);
/// Agents that are remembered for that. One that lies is among the latest ones; more
/// would leave few to ask of a small service.
const MAX_DECLINES: usize = 4;
/// So many flows that are let wait, with none taken between, show that there is no room:
/// of a large service a single agent may have a queue while others have none.
const WAITING_RUN: u32 = 3;
/// The same after a short pause since which no flow was taken, of a service with few
/// agents: there is likely still no room.
const FURTHER_WAITING_RUN: u32 = 2;
/// More agents than these are not few.
const FEW_AGENTS: usize = 64;
/// A service without a pause for so long is no more under pressure.
const CALM: Duration = Duration::from_secs(1);

/// Flows that find room, or none, alike. Those whose callers have waited for so long
/// that their answers will be late get other places than fresh ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FlowKind {
    pub(crate) service: u64,
    pub(crate) is_late: bool,
    /// Zero is the most urgent.
    pub(crate) priority: u32,
}

/// What becomes of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EdgeDecision {
    /// Agents are asked.
    Ask,
    /// It is refused at once.
    Refuse,
}

/// How a service came to its present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PressureChange {
    pub(crate) service: u64,
    /// The most urgent priority that is refused at times; none if pressure has ended.
    pub(crate) level: Option<u32>,
    /// The level before.
    pub(crate) before: Option<u32>,
    /// A route whose flows found no room.
    pub(crate) route: SocketAddrV4,
}

/// The pauses of one kind of flows.
#[derive(Debug)]
struct Pause {
    length: Duration,
    until: Timestamp,
    /// Until then the answer to the flow that asks after the pause is expected.
    probed_until: Timestamp,
    /// Whether a flow that asked after the pause was taken.
    is_over: bool,
    /// Flows that were taken since.
    taken: u32,
    /// The route of the flow that began it.
    route: SocketAddrV4,
}

/// Flows of one kind that were let wait, with none taken between.
#[derive(Debug)]
struct WaitingRun {
    flows: u32,
    latest_at: Timestamp,
}

/// The services that have lately had no room.
#[derive(Debug, Default)]
pub(crate) struct ServicePressure {
    pauses: BTreeMap<FlowKind, Pause>,
    /// Flows that were let wait since the latest one that was taken.
    waiting: BTreeMap<FlowKind, WaitingRun>,
    /// Agents that have lately had no room, the latest last.
    declines: VecDeque<(Timestamp, SocketAddrV4)>,
    /// The shortest turn that agents of a service have foretold since its latest pause.
    turns: BTreeMap<u64, Duration>,
    /// The most urgent priority that finds no room, and a route of it.
    levels: BTreeMap<u64, (u32, SocketAddrV4)>,
}

impl ServicePressure {
    /// Whether agents are asked for a new flow. It is refused while flows of its
    /// priority, or of a more urgent one, find no room; after each pause one asks.
    pub(crate) fn decide(&mut self, now: Timestamp, kind: FlowKind) -> EdgeDecision {
        let upto = self.pauses.range_mut(most_urgent(kind)..=kind);
        let mut holding: Vec<&mut Pause> = upto
            .map(|(_, pause)| pause)
            .filter(|pause| !pause.is_over)
            .collect();
        let is_held = |pause: &&mut Pause| now < pause.until.max(pause.probed_until);
        if holding.iter().any(is_held) {
            return EdgeDecision::Refuse;
        }
        for pause in &mut holding {
            pause.probed_until = now + PROBE_PATIENCE;
        }
        EdgeDecision::Ask
    }

    /// Whether flows of this kind have lately found no room.
    pub(crate) fn is_pressed(&self, now: Timestamp, kind: FlowKind) -> bool {
        let mut upto = self.pauses.range(most_urgent(kind)..=kind);
        upto.any(|(_, pause)| now < pause.until + CALM && pause.taken < LONG_RUN)
    }

    /// Whether an agent has just had no room.
    pub(crate) fn has_declined(&self, now: Timestamp, agent: SocketAddrV4) -> bool {
        let is_recent = |at| now.saturating_since(at) < DECLINE_LIFE;
        let mut declines = self.declines.iter();
        declines.any(|(at, other)| *other == agent && is_recent(*at))
    }

    /// An agent had no room, not even in its queue.
    pub(crate) fn note_declined(&mut self, now: Timestamp, agent: SocketAddrV4) {
        if self.declines.len() == MAX_DECLINES {
            self.declines.pop_front();
        }
        self.declines.push_back((now, agent));
    }

    /// At an agent without room a place comes free for this balancer after `turn`, zero
    /// if that is not known.
    pub(crate) fn note_turn(&mut self, service: u64, turn: Duration) {
        if !turn.is_zero() {
            let shortest = self.turns.entry(service).or_insert(turn);
            *shortest = turn.min(*shortest);
        }
    }

    /// All agents that were asked for a flow that came at `created_at` had no room;
    /// the service has so many. Returns whether a pause begins.
    pub(crate) fn note_full(
        &mut self,
        now: Timestamp,
        kind: FlowKind,
        created_at: Timestamp,
        agents: usize,
        route: SocketAddrV4,
    ) -> bool {
        let known = self.pauses.get(&kind).filter(|it| now < it.until + CALM);
        let turn = self.turns.get(&kind.service);
        let foretold = turn.map_or(DEFAULT_PAUSE, |turn| *turn / agents.max(1) as u32);
        let length = match known {
            Some(pause) if created_at < pause.until => return false,
            Some(pause) if pause.taken >= LONG_RUN => foretold,
            Some(pause) if pause.taken >= FAIR_RUN => pause.length.div_f64(GROWTH * GROWTH),
            Some(pause) => pause.length.mul_f64(GROWTH),
            None => foretold,
        };
        let length = length.max(foretold).clamp(MIN_PAUSE, MAX_PAUSE);
        let pause = Pause {
            length,
            until: now + length,
            probed_until: Timestamp::ZERO,
            is_over: false,
            taken: 0,
            route,
        };
        self.turns.remove(&kind.service);
        self.waiting.remove(&kind);
        self.pauses.insert(kind, pause);
        true
    }

    /// An agent whose back end works at its usual rate lets a flow wait that came at
    /// `created_at`; the service has so many agents. Returns whether this shows that there
    /// is no room.
    pub(crate) fn note_waiting(
        &mut self,
        now: Timestamp,
        kind: FlowKind,
        created_at: Timestamp,
        agents: usize,
    ) -> bool {
        let pause = self.pauses.get(&kind);
        if pause.is_some_and(|pause| created_at < pause.until) {
            return false;
        }
        let is_further = pause.is_some_and(|pause| {
            pause.taken == 0 && pause.length < MAX_PAUSE / 2 && now < pause.until + CALM
        });
        let needed = match is_further && agents <= FEW_AGENTS {
            true => FURTHER_WAITING_RUN,
            false => WAITING_RUN,
        };
        let run = self.waiting.entry(kind).or_insert(WaitingRun {
            flows: 0,
            latest_at: now,
        });
        let is_broken = now >= run.latest_at + CALM;
        run.flows = if is_broken { 1 } else { run.flows + 1 };
        run.latest_at = now;
        run.flows >= needed
    }

    /// A flow that came at `created_at` was taken: there is room for its kind, and for
    /// the more urgent ones.
    pub(crate) fn note_taken(&mut self, kind: FlowKind, created_at: Timestamp) {
        let has_room = most_urgent(kind)..=kind;
        self.waiting.retain(|it, _| !has_room.contains(it));
        let upto = self.pauses.range_mut(most_urgent(kind)..=kind);
        for (_, pause) in upto.filter(|(_, pause)| created_at >= pause.until) {
            pause.is_over = true;
            pause.taken += 1;
        }
    }

    /// The flow that asked after a pause found no room for another reason, which says
    /// nothing: the next one asks.
    pub(crate) fn note_unknown(&mut self, kind: FlowKind) {
        for (_, pause) in self.pauses.range_mut(most_urgent(kind)..=kind) {
            pause.probed_until = Timestamp::ZERO;
        }
    }

    /// Forgets what is over, and says which services have come under pressure, are
    /// under more or less of it, or under none any more.
    pub(crate) fn take_changes(&mut self, now: Timestamp) -> Vec<PressureChange> {
        self.pauses.retain(|_, pause| now < pause.until + CALM);
        self.waiting.retain(|_, run| now < run.latest_at + CALM);
        let mut levels: BTreeMap<u64, (u32, SocketAddrV4)> = BTreeMap::new();
        for (kind, pause) in &self.pauses {
            let told = (kind.priority, pause.route);
            let level = levels.entry(kind.service).or_insert(told);
            *level = (*level).min(told);
        }
        let before = std::mem::replace(&mut self.levels, levels);
        let mut services: Vec<u64> = before.keys().chain(self.levels.keys()).copied().collect();
        services.sort_unstable();
        services.dedup();
        let change = |service: u64| {
            let (was, is) = (before.get(&service), self.levels.get(&service));
            let (_, route) = is.or(was)?;
            let change = PressureChange {
                service,
                level: is.map(|(level, _)| *level),
                before: was.map(|(level, _)| *level),
                route: *route,
            };
            (change.level != change.before).then_some(change)
        };
        services.into_iter().filter_map(change).collect()
    }
}

/// The first kind that pauses a kind as well.
fn most_urgent(kind: FlowKind) -> FlowKind {
    FlowKind {
        priority: 0,
        ..kind
    }
}
