//! Opening packets whose callers have waited so long that their answers will be late:
//! they get the places that fresh ones leave.
//!
//! After an outage callers of many seconds come at once. Taken in the order in which
//! they come, the old ones fill the back ends, and the fresh ones are late as well.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::packet::{FlowId, OPENING_PATIENCE};

/// The longest that a packet waits. In an outage that is over, places are left within
/// a second; where they are not, the caller is told.
const MAX_WAIT: Duration = Duration::from_millis(800);
/// An answer must reach a caller before it gives up the packet.
const WAY_BACK: Duration = Duration::from_millis(100);
/// Packets that wait, for each slot: at 40 ms of work a slot frees 20 times within
/// [`MAX_WAIT`], and fresh ones take half of that.
const WAITING_PER_SLOT: u32 = 10;
/// After a packet has waited in vain, none is let wait for so long: no places are left
/// at this back end.
const PAUSE: Duration = Duration::from_millis(500);

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
    /// How long its caller has waited, at least.
    pub(crate) age: Duration,
    /// Whether it may wait for a place, here or at the back end: others have none.
    pub(crate) may_queue: bool,
    /// Whether it is taken although the back end fails requests.
    pub(crate) despite_failures: bool,
}

/// Packets that wait, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct WaitingOpenings {
    waiting: VecDeque<(Timestamp, Opening)>,
    paused_until: Timestamp,
}

impl WaitingOpenings {
    /// Lets a packet wait, if one is likely to get a place beside a back end with so
    /// many slots. Returns whether it waits.
    pub(crate) fn add(&mut self, now: Timestamp, opening: &Opening, slots: u32) -> bool {
        let limit = slots.saturating_mul(WAITING_PER_SLOT) as usize;
        let patience = OPENING_PATIENCE.saturating_sub(opening.age + WAY_BACK);
        let has_place = now >= self.paused_until && self.waiting.len() < limit;
        if !has_place || patience.is_zero() {
            return false;
        }
        let until = now + patience.min(MAX_WAIT);
        self.waiting.retain(|(_, other)| other.flow != opening.flow);
        self.waiting.push_back((until, opening.clone()));
        true
    }

    /// The packet that gets the next place.
    pub(crate) fn pop(&mut self) -> Option<Opening> {
        self.waiting.pop_front().map(|(_, opening)| opening)
    }

    /// Takes out the packets that have waited in vain.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<Opening> {
        let mut expired = Vec::new();
        self.waiting.retain(|(until, opening)| {
            let waits = now < *until;
            if !waits {
                expired.push(opening.clone());
            }
            waits
        });
        if !expired.is_empty() {
            self.paused_until = now + PAUSE;
        }
        expired
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
