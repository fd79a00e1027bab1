//! Admission queue: new flows that wait at an agent for a slot, because its back end is full.
//!
//! After an outage, the callers of many seconds arrive at once at back ends that are still
//! cold. Fresh flows fill the back ends' queues, and a caller that is refused retries at once
//! and has used up its attempts long before there is capacity. With this queue, its flow waits
//! if slots free fast enough for it to get one in time, and is declined at once otherwise.
//!
//! The most urgent flows get the next slot. Among flows of one priority, those that can still
//! meet their latency objectives go first, and then the oldest. Late flows get the slots that
//! the others leave, or a queue position before less urgent flows.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::admission::priorities::PassedOver;
use crate::pass_through::packet::{FlowId, SYN_TIMEOUT};

/// Maximum wait while the processing time is unknown.
const MAX_BLIND_WAIT: Duration = Duration::from_millis(800);
/// Time that a packet of the back end is assumed to take to the caller, which it must reach
/// before the caller gives up.
const WAY_BACK: Duration = Duration::from_millis(100);
/// Queued flows per slot while the processing time is unknown: at 40 ms, a slot frees 20 times
/// within [`MAX_UNMEASURED_WAIT`], and fresh flows take half of that.
const BLIND_PER_SLOT: u32 = 10;
/// Maximum number of flows per slot ahead of a queued one, which bounds the memory: as many as
/// a slot processes, at 30 ms each, until a caller gives up.
const MAX_PER_SLOT: u32 = 40;
/// After queued flows have expired and none got a slot, no flow is queued for this time.
const PAUSE: Duration = Duration::from_millis(500);
/// Once flows are queued, the fraction of slots that they get is assumed for this time, or for
/// two processing times if that is longer, and measured from then on.
const LEARNING: Duration = Duration::from_millis(300);
/// Window over which granted slots are counted, or four processing times if that is longer.
const WINDOW: Duration = Duration::from_millis(500);
/// Fraction of slots that queued flows are assumed to get at first: fresh flows keep back ends
/// half busy at ordinary times. It is halved, down to the minimum, each time that no slot was
/// left for queued flows, and reset once the queue is empty.
const ASSUMED_PART: f64 = 0.5;
const LEAST_ASSUMED_PART: f64 = 1.0 / 16.0;
/// A queued flow is declined once its expected wait is this multiple of its remaining time.
/// Measured rates vary by a third if 20 slots are counted.
const HOPELESS_FACTOR: f64 = 1.5;

/// Interval between checks for flows to decline: too short for callers to notice, and long
/// enough to leave a full agent time for other work.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A new flow that a balancer offers to an agent, with the caller's SYN.
#[derive(Clone, Debug)]
pub(crate) struct Opening {
    pub(crate) flow: FlowId,
    /// The balancer that gets the reply.
    pub(crate) balancer: SocketAddrV4,
    pub(crate) packet: Vec<u8>,
    /// Latency objective, counted from the first SYN; zero if unknown.
    pub(crate) objective: Duration,
    /// Priority; zero is the most urgent.
    pub(crate) priority: u32,
    /// Deadline, counted from the first SYN; zero if unknown.
    pub(crate) deadline: Duration,
    /// Minimum time since the first SYN.
    pub(crate) age: Duration,
    /// Whether it may be queued, here or at the back end, because other agents have no
    /// capacity.
    pub(crate) may_queue: bool,
    /// Whether it is admitted even if the back end is ejected.
    pub(crate) despite_failures: bool,
}

/// Processing rate of a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Number of requests that it processes at once.
    pub(crate) slots: u32,
    /// Mean processing time of a request, if known.
    pub(crate) work: Option<Duration>,
}

/// Order in which queued flows get slots, the smallest first: priority, whether the flow is
/// late, and age, the oldest first.
type Rank = (u32, bool, Reverse<Duration>);

#[derive(Debug)]
struct Waiting {
    since: Timestamp,
    until: Timestamp,
    opening: Opening,
}

impl Waiting {
    /// Position in the queue's order; the smallest goes first.
    fn rank(&self, now: Timestamp, pace: Pace) -> Rank {
        let age = self.opening.age + now.saturating_since(self.since);
        let objective = self.opening.objective;
        let answered = age + pace.work.unwrap_or(Duration::ZERO);
        let is_late = !objective.is_zero() && answered > objective;
        let priority = self.opening.priority;
        (priority, is_late, Reverse(age))
    }
}

/// The new flows that wait for a slot.
#[derive(Debug)]
pub(crate) struct WaitingOpenings {
    waiting: Vec<Waiting>,
    /// Since when the queue has not been empty.
    began_at: Timestamp,
    /// When queued flows got slots, within the window.
    given: VecDeque<Timestamp>,
    passed_over: PassedOver,
    assumed_part: f64,
    checked_at: Timestamp,
    paused_until: Timestamp,
}

impl Default for WaitingOpenings {
    fn default() -> Self {
        WaitingOpenings {
            waiting: Vec::new(),
            began_at: Timestamp::ZERO,
            given: VecDeque::new(),
            passed_over: PassedOver::default(),
            assumed_part: ASSUMED_PART,
            checked_at: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
        }
    }
}

impl WaitingOpenings {
    /// Queues a flow if it is likely to get a slot in time. Returns whether it is queued.
    pub(crate) fn add(&mut self, now: Timestamp, opening: &Opening, pace: Pace) -> bool {
        self.waiting
            .retain(|other| other.opening.flow != opening.flow);
        if self.waiting.is_empty() {
            self.began_at = now;
            self.given.clear();
        }
        let patience = patience(opening, pace);
        let mut added = Waiting {
            since: now,
            until: now + patience,
            opening: opening.clone(),
        };
        let rank = added.rank(now, pace);
        let goes_before = |other: &&Waiting| other.rank(now, pace) <= rank;
        let ahead = self.waiting.iter().filter(goes_before).count();
        let bears = match self.places_per_second(now, pace) {
            Some(rate) => foretold(ahead, rate) <= patience && has_place(ahead, pace, MAX_PER_SLOT),
            None => {
                added.until = now + patience.min(MAX_BLIND_WAIT);
                !opening.objective.is_zero() && has_place(ahead, pace, BLIND_PER_SLOT)
            }
        };
        let waits = bears && now >= self.paused_until && !patience.is_zero();
        if waits {
            self.waiting.push(added);
        }
        waits
    }

    /// Slots per second that queued flows get; `None` while the processing time is unknown.
    fn places_per_second(&self, now: Timestamp, pace: Pace) -> Option<f64> {
        let work = pace.work?.as_secs_f64().max(1e-6);
        if self.is_learning(now, pace) {
            return Some(f64::from(pace.slots) / work * self.assumed_part);
        }
        let span = span_counted(pace);
        let is_counted = |at: &&Timestamp| now.saturating_since(**at) < span;
        let counted = self.given.iter().filter(is_counted).count() as f64;
        let since_began = now.saturating_since(self.began_at);
        Some(counted / since_began.min(span).as_secs_f64())
    }

    fn is_learning(&self, now: Timestamp, pace: Pace) -> bool {
        let span = LEARNING.max(pace.work.unwrap_or_default() * 2);
        now.saturating_since(self.began_at) < span
    }

    /// The flow that gets the next slot, with its present age, among those that
    /// `may_be_admitted` accepts at their age.
    pub(crate) fn first(
        &self,
        now: Timestamp,
        pace: Pace,
        may_be_taken: impl Fn(&Opening, Duration) -> bool,
    ) -> Option<Opening> {
        let age = |it: &Waiting| it.opening.age + now.saturating_since(it.since);
        let waiting = self.waiting.iter();
        let waiting = waiting.filter(|it| may_be_taken(&it.opening, age(it)));
        let is_due = |it: &Waiting| self.passed_over.is_due(it.opening.priority);
        let priorities = self.waiting.iter().map(|it| it.opening.priority);
        let most_urgent = priorities.min()?;
        let waiting = waiting.filter(|it| it.opening.priority == most_urgent || is_due(it));
        let first = waiting.min_by_key(|it| (!is_due(it), it.rank(now, pace)))?;
        let mut opening = first.opening.clone();
        opening.age = age(first);
        Some(opening)
    }

    /// Whether a more urgent flow is queued, which a flow of this priority must not overtake.
    pub(crate) fn must_yield(&self, priority: u32) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|it| it.opening.priority < priority)
    }

    /// Whether a less urgent flow is queued.
    pub(crate) fn has_less_urgent(&self, priority: u32) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|it| it.opening.priority > priority)
    }

    /// Removes a flow from the queue, and counts the slot if it was `granted` one.
    pub(crate) fn remove(&mut self, now: Timestamp, leaving: &Opening, given: bool, pace: Pace) {
        self.waiting
            .retain(|other| other.opening.flow != leaving.flow);
        if given {
            self.given.push_back(now);
            let waiting = self.waiting.iter().map(|other| other.opening.priority);
            self.passed_over.note_given(leaving.priority, waiting);
        }
        while let Some(oldest) = self.given.front()
            && now.saturating_since(*oldest) >= span_counted(pace)
        {
            self.given.pop_front();
        }
        if self.waiting.is_empty() {
            self.assumed_part = ASSUMED_PART;
        }
    }

    /// Removes the flows that have expired, or won't get a slot in time.
    pub(crate) fn take_expired(&mut self, now: Timestamp, pace: Pace) -> Vec<Opening> {
        if now < self.checked_at + CHECK_INTERVAL {
            return Vec::new();
        }
        self.checked_at = now;
        self.waiting.sort_by_key(|waiting| waiting.rank(now, pace));
        let rate = self.places_per_second(now, pace);
        let rate = rate.filter(|_| !self.is_learning(now, pace));
        let mut ahead = 0;
        let mut expired = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let left = waiting.until.saturating_since(now);
            let foretold = rate.map(|rate| foretold(ahead, rate));
            let is_hopeless = foretold.is_some_and(|it| it > left.mul_f64(HOPELESS_FACTOR));
            if left.is_zero() || is_hopeless {
                expired.push(waiting.opening);
            } else {
                ahead += 1;
                self.waiting.push(waiting);
            }
        }
        if !expired.is_empty() && (rate.is_none() || self.given.is_empty()) {
            self.paused_until = now + PAUSE;
            self.assumed_part = (self.assumed_part / 2.0).max(LEAST_ASSUMED_PART);
        }
        expired
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Expected wait of a flow with `ahead` flows before it.
fn foretold(ahead: usize, places_per_second: f64) -> Duration {
    let seconds = (ahead as f64 + 1.0) / places_per_second;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Whether a flow may be queued with `ahead` flows before it.
fn has_place(ahead: usize, pace: Pace, per_slot: u32) -> bool {
    ahead < pace.slots.saturating_mul(per_slot) as usize
}

/// Window over which granted slots are counted.
fn span_counted(pace: Pace) -> Duration {
    WINDOW.max(pace.work.unwrap_or_default() * 4)
}

/// Maximum wait of a flow so that its caller hasn't given up and gets the response before its
/// deadline.
fn patience(opening: &Opening, pace: Pace) -> Duration {
    let patience = SYN_TIMEOUT.saturating_sub(opening.age + WAY_BACK);
    if opening.deadline.is_zero() {
        return patience;
    }
    let answered = opening.age + pace.work.unwrap_or_default() + WAY_BACK;
    patience.min(opening.deadline.saturating_sub(answered))
}
