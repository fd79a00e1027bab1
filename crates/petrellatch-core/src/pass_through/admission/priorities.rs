//! The order in which flows of several priorities get slots when there are too few.
//!
//! These criteria decide about a new flow, in this order:
//!
//! * *state* of the back end: a draining one takes no flows;
//! * *capacity*: every flow is admitted while there is a free slot and no flow is queued for
//!   it;
//! * *priority*: the queued flows of the highest priority get the next slot, except for the
//!   starvation limit below;
//! * *latency objective*: the queue is as long as requests are likely to meet theirs, and
//!   queued flows that can meet it go before those that can't;
//! * *deadline*: a flow is queued only if it is likely to get a slot in time;
//! * *age*: the oldest flow goes first.
//!
//! No slot is kept free for high-priority flows that may arrive. An idle slot would cause
//! declined flows, whose callers retry at once and fill the balancers' links with offers.

use std::collections::BTreeMap;

/// Starvation limit: number of slots that go to flows of higher priorities while flows of a
/// lower one are queued, before the lower one gets the next slot. That would be a ninth of the
/// slots, but some of its flows expire meanwhile, so it gets at least a twentieth.
const MAX_PASSED_OVER: u32 = 8;

/// How often queued flows were passed over, by priority. Zero is the highest one.
#[derive(Debug, Default)]
pub(crate) struct PassedOverCounts {
    counts: BTreeMap<u32, u32>,
}

impl PassedOverCounts {
    /// Notes that a flow of the `granted` priority got a slot while flows of the `queued`
    /// priorities stayed in the queue.
    pub(crate) fn note_granted(&mut self, granted: u32, queued: impl Iterator<Item = u32>) {
        let count = |priority: u32| {
            let before = self.counts.get(&priority).copied().unwrap_or(0);
            (priority, before + u32::from(priority > granted))
        };
        // Counting starts over for priorities without queued flows, and for the one that got
        // the slot.
        let others = queued.filter(|priority| *priority != granted);
        self.counts = others.map(count).collect();
    }

    /// Whether the starvation limit gives this priority the next slot.
    pub(crate) fn is_due(&self, priority: u32) -> bool {
        let count = self.counts.get(&priority);
        count.is_some_and(|count| *count >= MAX_PASSED_OVER)
    }
}
