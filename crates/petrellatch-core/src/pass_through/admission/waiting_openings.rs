//! Opening packets that wait at an agent for a place, as its back end is full.
//!
//! After an outage the callers of many seconds come at once, into back ends that are
//! still cold. Fresh ones fill the queues; whoever is refused comes again at once, and
//! has used up its tries long before there is room. Here it waits instead, if places are
//! left so fast that it gets one in time; otherwise it is refused at once. The most
//! urgent get the next place; of one priority those first that can still meet their
//! objectives, and then the oldest. Late ones get the slots that the others leave, or a
//! place in the queue before less urgent ones.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::admission::priorities::PassedOver;
use crate::pass_through::packet::{FlowId, SYN_TIMEOUT};

/// The longest that a packet waits as long as times of work are not known.
const MAX_BLIND_WAIT: Duration = Duration::from_millis(800);
/// An answer must reach a caller before it gives up the packet.
const WAY_BACK: Duration = Duration::from_millis(100);
/// Packets that wait for each slot as long as times of work are not known: at 40 ms of
/// work a slot frees 20 times within [`MAX_BLIND_WAIT`], and fresh ones take half of that.
const BLIND_PER_SLOT: u32 = 10;
/// Most packets for each slot that may be before one that waits, so that memory is
/// bounded: as many as a slot serves at 30 ms of work while a caller is patient.
const MAX_PER_SLOT: u32 = 40;
/// After packets have waited while no place was left, none is let wait for so long.
const PAUSE: Duration = Duration::from_millis(500);
/// After packets began to wait, the part of the places that is left to them is assumed
/// for so long, or for two times of work, and measured from then on.
const LEARNING: Duration = Duration::from_millis(300);
/// The span over which places are counted, or four times of work.
const WINDOW: Duration = Duration::from_millis(500);
/// The part of the places that is assumed at first: back ends are half busy with fresh
/// ones at ordinary times. Each time that nothing was left it is halved, down to the
/// least part, until all that wait have been served.
const ASSUMED_PART: f64 = 0.5;
const LEAST_ASSUMED_PART: f64 = 1.0 / 16.0;
/// One that waits is told that there is no hope once its foretold wait is so many times
/// what is left to it: measured rates sway by a third with 20 places counted.
const HOPELESS_FACTOR: f64 = 1.5;

/// Between two looks at who waits in vain: sooner than a caller notices, and seldom enough
/// that a full agent has other work.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A caller's opening packet at an agent.
#[derive(Clone, Debug)]
pub(crate) struct Opening {
    pub(crate) flow: FlowId,
    /// Who is told what became of it.
    pub(crate) balancer: SocketAddrV4,
    pub(crate) packet: Vec<u8>,
    /// By when a request should be answered; zero if that is not known.
    pub(crate) objective: Duration,
    /// How urgent it is; zero is the most urgent.
    pub(crate) priority: u32,
    /// By when a request must be answered; zero if that is not known.
    pub(crate) deadline: Duration,
    /// How long its caller has waited, at least.
    pub(crate) age: Duration,
    /// Whether it may wait for a place, here or at the back end: others have none.
    pub(crate) may_queue: bool,
    /// Whether it is taken although the back end fails requests.
    pub(crate) despite_failures: bool,
}

/// How fast a back end works.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Requests that it works on at once.
    pub(crate) slots: u32,
    /// How long it works on one, if that is known.
    pub(crate) work: Option<Duration>,
}

/// The order in which packets get places: the least comes first. Its priority, whether it
/// is late, its age.
type Rank = (u32, bool, Reverse<Duration>);

#[derive(Debug)]
struct Waiting {
    since: Timestamp,
    until: Timestamp,
    opening: Opening,
}

impl Waiting {
    /// Who goes first: the least.
    fn rank(&self, now: Timestamp, pace: Pace) -> Rank {
        let age = self.opening.age + now.saturating_since(self.since);
        let objective = self.opening.objective;
        let answered = age + pace.work.unwrap_or(Duration::ZERO);
        let is_late = !objective.is_zero() && answered > objective;
        let priority = self.opening.priority;
        (priority, is_late, Reverse(age))
    }
}

/// Packets that wait.
#[derive(Debug)]
pub(crate) struct WaitingOpenings {
    waiting: Vec<Waiting>,
    /// Since when some wait without a break.
    began_at: Timestamp,
    /// When places were given to those that waited, within the window.
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
    /// Lets a packet wait, if it is likely to get a place in time. Returns whether it
    /// waits.
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

    /// How many places a second those that wait get, if that can be foretold.
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

    /// The packet that gets the next place, with its age by now, among those that may be
    /// taken at their age.
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

    /// Whether a more urgent packet waits: a flow of this priority must not be queued before
    /// it.
    pub(crate) fn must_yield(&self, priority: u32) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|it| it.opening.priority < priority)
    }

    /// Whether a less urgent packet waits.
    pub(crate) fn has_less_urgent(&self, priority: u32) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|it| it.opening.priority > priority)
    }

    /// Takes out a packet that leaves, and notes that it got a place if it is `given` one.
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

    /// Takes out the packets that have waited in vain, or will.
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

/// How long a packet waits with so many before it.
fn foretold(ahead: usize, places_per_second: f64) -> Duration {
    let seconds = (ahead as f64 + 1.0) / places_per_second;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Whether one may wait with so many before it.
fn has_place(ahead: usize, pace: Pace, per_slot: u32) -> bool {
    ahead < pace.slots.saturating_mul(per_slot) as usize
}

/// The span over which places are counted.
fn span_counted(pace: Pace) -> Duration {
    WINDOW.max(pace.work.unwrap_or_default() * 4)
}

/// How long a packet may wait so that its caller is still there, and is answered before
/// its deadline.
fn patience(opening: &Opening, pace: Pace) -> Duration {
    let patience = SYN_TIMEOUT.saturating_sub(opening.age + WAY_BACK);
    if opening.deadline.is_zero() {
        return patience;
    }
    let answered = opening.age + pace.work.unwrap_or_default() + WAY_BACK;
    patience.min(opening.deadline.saturating_sub(answered))
}
