//! Who finds a place in the queue of a back end when flows of several priorities ask
//! for more than there is.
//!
//! What decides about a new flow, in this order: the *state* of the back end (one that
//! leaves takes nothing), *room* (while a slot is free, every flow is taken), *priority*
//! (this module), *objective* (the queue is as long as requests are likely to meet
//! theirs), *deadline* (who finds it full waits only if a place is likely to come in
//! time), and *age* (among those that wait, the oldest first).
//!
//! A back end works on requests in the order in which they came, so a place in its
//! queue can't be taken back. Less urgent flows therefore leave the end of the queue
//! free while urgent ones come: these find a place there, and fewer before them. How
//! many places that takes follows from how busy the urgent ones keep the back end. If an
//! urgent one finds none all the same, no less urgent one is queued for a while after it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;

/// Urgent flows that came within this span are taken to come on. A class of which two
/// flows a second reach an agent is seen all the time.
const MEMORY: Duration = Duration::from_millis(500);
/// The part of the urgent flows that may find no place. Urgent ones that keep a back end
/// busy for a part `p` of the time are `n` or more ahead of it with a probability of
/// about `p` to the power of `n`, so this gives the places that are left to them: 4 at
/// 0.3, 8 at 0.6.
const MISSED_PART: f64 = 0.02;
/// The part of the places behind the slots that is left to urgent ones as long as times
/// of work are not known.
const UNKNOWN_PART: f64 = 0.5;
/// So many more urgent flows may be taken one after the other; then a less urgent one
/// may use the whole queue, so that its class gets at least a seventeenth of the places.
const MOST_PASSED_OVER: u32 = 16;
/// After an urgent flow found no place in the queue, less urgent ones get free slots only
/// for so long: about the time that a refused caller needs to come again, some times over.
const AFTER_REFUSAL: Duration = Duration::from_millis(100);
/// Priorities that are told apart. Routes use a few.
const MAX_PRIORITIES: usize = 16;

/// What is known of a priority of which flows have lately come.
#[derive(Debug)]
struct Seen {
    asked_at: Timestamp,
    /// More urgent flows that were taken since one of this priority was.
    passed_over: u32,
    /// Flows of this priority that were taken within the last [`MEMORY`], those of long
    /// ago with less weight.
    admitted: f64,
    admitted_at: Timestamp,
    /// Until when less urgent ones get no place in the queue.
    preferred_until: Timestamp,
}

impl Seen {
    fn admitted(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.admitted_at);
        self.admitted * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// The priorities of the flows that have lately come to an agent; zero is the most
/// urgent.
#[derive(Debug, Default)]
pub(crate) struct PriorityWatch {
    seen: BTreeMap<u32, Seen>,
}

impl PriorityWatch {
    /// Notes that a new flow asks.
    pub(crate) fn note_asked(&mut self, now: Timestamp, priority: u32) {
        self.seen
            .retain(|_, seen| now.saturating_since(seen.asked_at) < MEMORY);
        if let Some(seen) = self.seen.get_mut(&priority) {
            seen.asked_at = now;
        } else if self.seen.len() < MAX_PRIORITIES {
            let seen = Seen {
                asked_at: now,
                passed_over: 0,
                admitted: 0.0,
                admitted_at: now,
                preferred_until: now,
            };
            self.seen.insert(priority, seen);
        }
    }

    /// Notes that a flow was taken.
    pub(crate) fn note_admitted(&mut self, now: Timestamp, priority: u32) {
        for (other, seen) in self.seen.range_mut(priority..) {
            if *other == priority {
                seen.admitted = seen.admitted(now) + 1.0;
                seen.admitted_at = now;
                seen.passed_over = 0;
            } else {
                seen.passed_over = seen.passed_over.saturating_add(1);
            }
        }
    }

    /// Notes that a flow of this priority found no place in the queue.
    pub(crate) fn note_refused(&mut self, now: Timestamp, priority: u32) {
        if let Some(seen) = self.seen.get_mut(&priority) {
            seen.preferred_until = now + AFTER_REFUSAL;
        }
    }

    /// Beside how many requests a flow of this priority is taken, if `limit` may be at a
    /// back end with so many slots, which works on a request for so long.
    pub(crate) fn queue_limit(
        &self,
        now: Timestamp,
        priority: u32,
        limit: u32,
        slots: u32,
        work: Option<Duration>,
    ) -> u32 {
        if self.is_starved(priority) || !self.has_more_urgent(now, priority) {
            return limit;
        }
        if self.was_more_urgent_refused(now, priority) {
            return limit.min(slots);
        }
        let behind_slots = f64::from(limit.saturating_sub(slots));
        let left = match work {
            Some(work) => places_for(self.busy_part(now, priority, slots, work)),
            None => behind_slots * UNKNOWN_PART,
        };
        limit - left.min(behind_slots) as u32
    }

    /// The part of the back end that flows more urgent than this priority keep busy.
    fn busy_part(&self, now: Timestamp, priority: u32, slots: u32, work: Duration) -> f64 {
        let urgent = self.seen.range(..priority);
        let admitted: f64 = urgent.map(|(_, seen)| seen.admitted(now)).sum();
        admitted * work.as_secs_f64() / MEMORY.as_secs_f64() / f64::from(slots.max(1))
    }

    fn has_more_urgent(&self, now: Timestamp, priority: u32) -> bool {
        let comes = |seen: &Seen| now.saturating_since(seen.asked_at) < MEMORY;
        self.seen.range(..priority).any(|(_, seen)| comes(seen))
    }

    fn was_more_urgent_refused(&self, now: Timestamp, priority: u32) -> bool {
        let mut urgent = self.seen.range(..priority);
        urgent.any(|(_, seen)| now < seen.preferred_until)
    }

    fn is_starved(&self, priority: u32) -> bool {
        let seen = self.seen.get(&priority);
        seen.is_some_and(|seen| seen.passed_over >= MOST_PASSED_OVER)
    }
}

/// How many places urgent flows need that keep such a part of a back end busy: one at
/// least.
fn places_for(busy_part: f64) -> f64 {
    if busy_part >= 1.0 {
        return f64::INFINITY;
    }
    (MISSED_PART.ln() / busy_part.ln()).ceil().max(1.0)
}
