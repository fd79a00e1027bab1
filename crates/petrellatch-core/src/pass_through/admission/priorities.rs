//! In which order flows of several priorities get places, when more ask than there are.
//!
//! What decides about a new flow, in this order: the *state* of the back end (one that
//! leaves takes nothing), *room* (while there is a place and nobody waits for it, every
//! flow is taken), *priority* (the most urgent that wait get the next place, but for the
//! floor below), *objective* (the queue is as long as requests are likely to meet theirs,
//! and those that wait and can meet it go before those that can't), *deadline* (only who
//! is likely to get a place in time waits) and *age* (the oldest first).
//!
//! No place is kept free for urgent flows that may come: places that rest turn others
//! away, who come again at once and fill the balancers' links with questions.

use std::collections::BTreeMap;

/// So many more urgent flows may get the places that a less urgent one waits for; then
/// it gets the next one. Some of its class are too late by then, so that it has a twentieth
/// of the places at least.
const MOST_PASSED_OVER: u32 = 8;

/// How often flows that wait were passed over, by priority; zero is the most urgent.
#[derive(Debug, Default)]
pub(crate) struct PassedOver {
    counts: BTreeMap<u32, u32>,
}

impl PassedOver {
    /// Notes that a flow got a place while flows of the `waiting` priorities went on
    /// waiting.
    pub(crate) fn note_given(&mut self, given: u32, waiting: impl Iterator<Item = u32>) {
        let count = |priority: u32| {
            let before = self.counts.get(&priority).copied().unwrap_or(0);
            (priority, before + u32::from(priority > given))
        };
        // Who waits no more begins anew, and so does the class that got the place.
        let others = waiting.filter(|priority| *priority != given);
        self.counts = others.map(count).collect();
    }

    /// Whether it is the turn of a less urgent flow.
    pub(crate) fn is_due(&self, priority: u32) -> bool {
        let count = self.counts.get(&priority);
        count.is_some_and(|count| *count >= MOST_PASSED_OVER)
    }
}
