//! Admission queue: new flows that wait at an agent for a slot, because its back end is full.
//!
//! After an outage, the callers of many seconds arrive at once at back ends that are still
//! cold. Fresh flows fill the back ends' queues, and a caller that is refused retries at once
//! and has used up its attempts long before there is capacity. With this queue, its flow waits
//! if slots free fast enough for it to get one in time, and is declined at once otherwise.
//!
//! The flows of the highest priority get the next slot. Among flows of one priority, those that
//! can still meet their latency objectives go first, and then the oldest. Late flows get the
//! slots that the others leave, or a queue position before flows of lower priorities.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::admission::priorities::PassedOverCounts;
use crate::pass_through::packet::{FlowId, SYN_TIMEOUT};

/// Maximum wait while the processing time is unknown.
const MAX_UNMEASURED_WAIT: Duration = Duration::from_millis(800);
/// Time that a packet of the back end is assumed to take to the caller, which it must reach
/// before the caller gives up.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// Queued flows per slot while the processing time is unknown: at 40 ms, a slot frees 20 times
/// within [`MAX_UNMEASURED_WAIT`], and fresh flows take half of that.
const UNMEASURED_PER_SLOT: u32 = 10;
/// Maximum number of flows per slot ahead of a queued one, which bounds the memory: as many as
/// a slot processes, at 30 ms each, until a caller gives up.
const MAX_PER_SLOT: u32 = 40;
/// After queued flows have expired and none got a slot, no flow is queued for this time.
const CLOSED_TIME: Duration = Duration::from_millis(500);
/// Once flows are queued, the fraction of slots that they get is assumed for this time, or for
/// two processing times if that is longer, and measured from then on.
const ASSUMPTION_TIME: Duration = Duration::from_millis(300);
/// Window over which granted slots are counted, or four processing times if that is longer.
const WINDOW: Duration = Duration::from_millis(500);
/// Fraction of slots that queued flows are assumed to get at first: fresh flows keep back ends
/// half busy at ordinary times. It is halved, down to the minimum, each time that no slot was
/// left for queued flows, and reset once the queue is empty.
const INITIAL_ASSUMED_FRACTION: f64 = 0.5;
const MIN_ASSUMED_FRACTION: f64 = 1.0 / 16.0;
/// A queued flow is declined once its expected wait exceeds this multiple of its remaining time.
/// Measured rates vary by a third if 20 slots are counted.
const MAX_WAIT_FACTOR: f64 = 1.5;

/// Interval between checks for flows to decline: too short for callers to notice, and long
/// enough to leave a full agent time for other work.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A new flow that a balancer offers to an agent, with the caller's SYN.
#[derive(Clone, Debug)]
pub(crate) struct NewFlow {
    pub(crate) flow: FlowId,
    /// The balancer that gets the reply.
    pub(crate) balancer: SocketAddrV4,
    pub(crate) packet: Vec<u8>,
    /// Latency objective, counted from the first SYN; zero if unknown.
    pub(crate) latency_objective: Duration,
    /// Priority; zero is the highest.
    pub(crate) priority: u32,
    /// Deadline, counted from the first SYN; zero if unknown.
    pub(crate) deadline: Duration,
    /// Minimum time since the first SYN.
    pub(crate) syn_age: Duration,
    /// Whether it may be queued, here or at the back end, because other agents have no
    /// capacity.
    pub(crate) may_queue: bool,
    /// Whether it is admitted even if the back end is ejected.
    pub(crate) ignore_ejection: bool,
}

/// Processing rate of a back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessingRate {
    /// Number of requests that it processes at once.
    pub(crate) slots: u32,
    /// Mean processing time of a request, if known.
    pub(crate) processing_time: Option<Duration>,
}

/// Order in which queued flows get slots, the smallest first: priority, whether the flow is
/// late, and age, the oldest first.
type Rank = (u32, bool, Reverse<Duration>);

#[derive(Debug)]
struct QueuedFlow {
    queued_at: Timestamp,
    expires_at: Timestamp,
    new_flow: NewFlow,
}

impl QueuedFlow {
    /// Position in the queue's order; the smallest goes first.
    fn rank(&self, now: Timestamp, rate: ProcessingRate) -> Rank {
        let age = self.new_flow.syn_age + now.saturating_since(self.queued_at);
        let latency_objective = self.new_flow.latency_objective;
        let response_age = age + rate.processing_time.unwrap_or(Duration::ZERO);
        let is_late = !latency_objective.is_zero() && response_age > latency_objective;
        let priority = self.new_flow.priority;
        (priority, is_late, Reverse(age))
    }
}

/// The new flows that wait for a slot.
#[derive(Debug)]
pub(crate) struct AdmissionQueue {
    queued: Vec<QueuedFlow>,
    /// Since when the queue has not been empty.
    queueing_since: Timestamp,
    /// When queued flows got slots, within the window.
    granted_at: VecDeque<Timestamp>,
    passed_over: PassedOverCounts,
    assumed_fraction: f64,
    checked_at: Timestamp,
    closed_until: Timestamp,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        AdmissionQueue {
            queued: Vec::new(),
            queueing_since: Timestamp::ZERO,
            granted_at: VecDeque::new(),
            passed_over: PassedOverCounts::default(),
            assumed_fraction: INITIAL_ASSUMED_FRACTION,
            checked_at: Timestamp::ZERO,
            closed_until: Timestamp::ZERO,
        }
    }
}

impl AdmissionQueue {
    /// Queues a flow if it is likely to get a slot in time. Returns whether it is queued.
    pub(crate) fn add(&mut self, now: Timestamp, new_flow: &NewFlow, rate: ProcessingRate) -> bool {
        self.queued
            .retain(|other| other.new_flow.flow != new_flow.flow);
        if self.queued.is_empty() {
            self.queueing_since = now;
            self.granted_at.clear();
        }
        let max_wait = max_wait(new_flow, rate);
        let mut added = QueuedFlow {
            queued_at: now,
            expires_at: now + max_wait,
            new_flow: new_flow.clone(),
        };
        let rank = added.rank(now, rate);
        let goes_before = |other: &&QueuedFlow| other.rank(now, rate) <= rank;
        let ahead = self.queued.iter().filter(goes_before).count();
        let is_in_time = match self.slots_per_second(now, rate) {
            Some(grant_rate) => {
                expected_wait(ahead, grant_rate) <= max_wait
                    && has_position(ahead, rate, MAX_PER_SLOT)
            }
            None => {
                added.expires_at = now + max_wait.min(MAX_UNMEASURED_WAIT);
                !new_flow.latency_objective.is_zero()
                    && has_position(ahead, rate, UNMEASURED_PER_SLOT)
            }
        };
        let is_queued = is_in_time && now >= self.closed_until && !max_wait.is_zero();
        if is_queued {
            self.queued.push(added);
        }
        is_queued
    }

    /// Slots per second that queued flows get; `None` while the processing time is unknown.
    fn slots_per_second(&self, now: Timestamp, rate: ProcessingRate) -> Option<f64> {
        let processing_time = rate.processing_time?.as_secs_f64().max(1e-6);
        if self.is_assuming(now, rate) {
            return Some(f64::from(rate.slots) / processing_time * self.assumed_fraction);
        }
        let span = counted_window(rate);
        let is_counted = |at: &&Timestamp| now.saturating_since(**at) < span;
        let counted = self.granted_at.iter().filter(is_counted).count() as f64;
        let queueing_for = now.saturating_since(self.queueing_since);
        Some(counted / queueing_for.min(span).as_secs_f64())
    }

    fn is_assuming(&self, now: Timestamp, rate: ProcessingRate) -> bool {
        let span = ASSUMPTION_TIME.max(rate.processing_time.unwrap_or_default() * 2);
        now.saturating_since(self.queueing_since) < span
    }

    /// The flow that gets the next slot, with its present age, among those that
    /// `may_be_admitted` accepts at their age.
    pub(crate) fn next(
        &self,
        now: Timestamp,
        rate: ProcessingRate,
        may_be_admitted: impl Fn(&NewFlow, Duration) -> bool,
    ) -> Option<NewFlow> {
        let age = |it: &QueuedFlow| it.new_flow.syn_age + now.saturating_since(it.queued_at);
        let queued = self.queued.iter();
        let queued = queued.filter(|it| may_be_admitted(&it.new_flow, age(it)));
        let is_due = |it: &QueuedFlow| self.passed_over.is_due(it.new_flow.priority);
        let priorities = self.queued.iter().map(|it| it.new_flow.priority);
        let highest_priority = priorities.min()?;
        let queued = queued.filter(|it| it.new_flow.priority == highest_priority || is_due(it));
        let first = queued.min_by_key(|it| (!is_due(it), it.rank(now, rate)))?;
        let mut new_flow = first.new_flow.clone();
        new_flow.syn_age = age(first);
        Some(new_flow)
    }

    /// Whether a flow of a higher priority is queued, which one of this priority must not
    /// overtake.
    pub(crate) fn must_yield(&self, priority: u32) -> bool {
        let mut queued = self.queued.iter();
        queued.any(|it| it.new_flow.priority < priority)
    }

    /// Whether a flow of a lower priority is queued.
    pub(crate) fn has_lower_priority(&self, priority: u32) -> bool {
        let mut queued = self.queued.iter();
        queued.any(|it| it.new_flow.priority > priority)
    }

    /// Removes a flow from the queue, and counts the slot if it was `granted` one.
    pub(crate) fn remove(
        &mut self,
        now: Timestamp,
        removed: &NewFlow,
        granted: bool,
        rate: ProcessingRate,
    ) {
        self.queued
            .retain(|other| other.new_flow.flow != removed.flow);
        if granted {
            self.granted_at.push_back(now);
            let queued = self.queued.iter().map(|other| other.new_flow.priority);
            self.passed_over.note_granted(removed.priority, queued);
        }
        while let Some(oldest) = self.granted_at.front()
            && now.saturating_since(*oldest) >= counted_window(rate)
        {
            self.granted_at.pop_front();
        }
        if self.queued.is_empty() {
            self.assumed_fraction = INITIAL_ASSUMED_FRACTION;
        }
    }

    /// Removes the flows that have expired, or won't get a slot in time.
    pub(crate) fn take_expired(&mut self, now: Timestamp, rate: ProcessingRate) -> Vec<NewFlow> {
        if now < self.checked_at + CHECK_INTERVAL {
            return Vec::new();
        }
        self.checked_at = now;
        self.queued.sort_by_key(|queued| queued.rank(now, rate));
        let grant_rate = self.slots_per_second(now, rate);
        let grant_rate = grant_rate.filter(|_| !self.is_assuming(now, rate));
        let mut ahead = 0;
        let mut expired = Vec::new();
        for queued in std::mem::take(&mut self.queued) {
            let left = queued.expires_at.saturating_since(now);
            let expected_wait = grant_rate.map(|grant_rate| expected_wait(ahead, grant_rate));
            let is_too_long = expected_wait.is_some_and(|it| it > left.mul_f64(MAX_WAIT_FACTOR));
            if left.is_zero() || is_too_long {
                expired.push(queued.new_flow);
            } else {
                ahead += 1;
                self.queued.push(queued);
            }
        }
        if !expired.is_empty() && (grant_rate.is_none() || self.granted_at.is_empty()) {
            self.closed_until = now + CLOSED_TIME;
            self.assumed_fraction = (self.assumed_fraction / 2.0).max(MIN_ASSUMED_FRACTION);
        }
        expired
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}

/// Expected wait of a flow with `ahead` flows before it.
fn expected_wait(ahead: usize, slots_per_second: f64) -> Duration {
    let seconds = (ahead as f64 + 1.0) / slots_per_second;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Whether a flow may be queued with `ahead` flows before it.
fn has_position(ahead: usize, rate: ProcessingRate, per_slot: u32) -> bool {
    ahead < rate.slots.saturating_mul(per_slot) as usize
}

/// Window over which granted slots are counted.
fn counted_window(rate: ProcessingRate) -> Duration {
    WINDOW.max(rate.processing_time.unwrap_or_default() * 4)
}

/// Maximum wait of a flow so that its caller hasn't given up and gets the response before its
/// deadline.
fn max_wait(new_flow: &NewFlow, rate: ProcessingRate) -> Duration {
    let max_wait = SYN_TIMEOUT.saturating_sub(new_flow.syn_age + RETURN_DELAY);
    if new_flow.deadline.is_zero() {
        return max_wait;
    }
    let response_age = new_flow.syn_age + rate.processing_time.unwrap_or_default() + RETURN_DELAY;
    max_wait.min(new_flow.deadline.saturating_sub(response_age))
}
