//! What waits for the balancer's link.

use std::collections::VecDeque;
use std::time::Duration;

use crate::pass_through::latency::LatencyHistogram;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, SYN_TIMEOUT};
use crate::time::Timestamp;

use super::fair_queue::{FairQueue, Queued};
use super::link_pacer::LinkPacer;

/// What waits takes the link so long at most: callers give up opening a flow after that.
const MAX_WAIT: Duration = SYN_TIMEOUT;
/// A datagram of at most so many bytes is short: it opens or acknowledges, or is a request of
/// its own. One of full size, 1.3 KB, shows that more of its flow follows.
const SHORT_BYTES: usize = 1_100;
/// Short datagrams go before the others, but after so many bytes of them another one goes:
/// a fifth of the link is left to long flows whatever else comes.
const SHORT_RUN_BYTES: usize = 4 * 1_300;
/// A link counts as full when what waits takes it so long: half of what a caller waits for an
/// acknowledgement before it sends a packet again.
const FULL_WAIT: Duration = Duration::from_millis(100);
/// A link that was full is so no more when nothing has waited for so long.
const CLEAR_AFTER: Duration = Duration::from_secs(1);

/// Which turn something takes on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkClass {
    /// Before all others: questions for open flows, and what keeps the balancer current. All
    /// of it has budgets that are small beside the link.
    Control,
    /// Packets of a flow, in their order, in turn with other flows; those of flows that have
    /// little to send before those that have much.
    Flow(FlowId),
}

/// Counters of a balancer's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that had to wait for the link.
    pub waited: u64,
    /// Packets that were sent again while their first copies waited, and not sent twice.
    pub duplicates: u64,
    /// Packets dropped, as too much waited.
    pub dropped: u64,
}

/// Whether the link is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkChange {
    /// It has become full.
    Congested,
    /// It is full no more, after this time.
    Cleared(Duration),
}

#[derive(Debug)]
struct Waiting {
    output: PassThroughOutput,
    since: Timestamp,
}

/// Two are the same if they would do the same, whenever they came.
impl PartialEq for Waiting {
    fn eq(&self, other: &Waiting) -> bool {
        self.output == other.output
    }
}

/// The queue of a link whose speed is known.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    pacer: LinkPacer,
    control: VecDeque<Queued<Waiting>>,
    short: FairQueue<FlowId, Waiting>,
    /// Bytes of short datagrams since a long one.
    short_run: usize,
    long: FairQueue<FlowId, Waiting>,
    full_since: Option<Timestamp>,
    /// When something waited last.
    waited_at: Timestamp,
    counters: LinkCounters,
    waits: LatencyHistogram,
}

impl LinkQueue {
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: u64) -> Self {
        LinkQueue {
            pacer: LinkPacer::new(now, link_bytes_per_second),
            control: VecDeque::new(),
            short: FairQueue::new(),
            short_run: 0,
            long: FairQueue::new(),
            full_since: None,
            waited_at: now,
            counters: LinkCounters::default(),
            waits: LatencyHistogram::default(),
        }
    }

    pub(crate) fn counters(&self) -> LinkCounters {
        self.counters
    }

    /// How long datagrams waited that had to.
    pub(crate) fn wait_times(&self) -> &LatencyHistogram {
        &self.waits
    }

    /// How long the link takes for all that waits.
    pub(crate) fn backlog(&self) -> Duration {
        self.pacer.time_for(self.short.bytes() + self.long.bytes())
    }

    /// Takes something to send, of so many bytes with all heads. A copy of what still waits
    /// is left out.
    pub(crate) fn push(
        &mut self,
        now: Timestamp,
        class: LinkClass,
        bytes: usize,
        output: PassThroughOutput,
    ) {
        let item = Waiting { output, since: now };
        let flow = match class {
            LinkClass::Control => {
                self.control.push_back(Queued { item, bytes });
                return;
            }
            LinkClass::Flow(flow) => flow,
        };
        // Packets of one flow keep their order.
        let is_short = bytes <= SHORT_BYTES && !self.long.holds(flow);
        let queue = match is_short {
            true => &mut self.short,
            false => &mut self.long,
        };
        if queue.contains(flow, &item) {
            self.counters.duplicates += 1;
            return;
        }
        queue.push(flow, Queued { item, bytes });
        while self.backlog() > MAX_WAIT {
            let longest = self.long.drop_from_longest();
            if longest.or_else(|| self.short.drop_from_longest()).is_none() {
                return;
            }
            self.counters.dropped += 1;
        }
    }

    /// The next thing to send, if the link is free.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<PassThroughOutput> {
        if self.is_empty() || !self.pacer.is_free(now) {
            return None;
        }
        self.pop_immediate(now)
    }

    /// The next thing to send, whether the link is free or not.
    pub(crate) fn pop_immediate(&mut self, now: Timestamp) -> Option<PassThroughOutput> {
        let next = self.control.pop_front().or_else(|| self.pop_flow());
        let Queued { item, bytes } = next?;
        self.pacer.note_sent(bytes);
        self.counters.sent_bytes += bytes as u64;
        let waited = now.saturating_since(item.since);
        if !waited.is_zero() {
            self.counters.waited += 1;
            self.waits.record(waited);
        }
        Some(item.output)
    }

    fn pop_flow(&mut self) -> Option<Queued<Waiting>> {
        let is_turn_of_long = self.short_run >= SHORT_RUN_BYTES && !self.long.is_empty();
        if !is_turn_of_long && let Some(short) = self.short.pop() {
            self.short_run += short.bytes;
            return Some(short);
        }
        self.short_run = 0;
        self.long.pop()
    }

    /// When [`LinkQueue::pop`] has something.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.is_empty()).then(|| self.pacer.free_at())
    }

    /// Whether the link has become full, or clear.
    pub(crate) fn take_change(&mut self, now: Timestamp) -> Option<LinkChange> {
        if !self.is_empty() {
            self.waited_at = now;
        }
        match self.full_since {
            None if self.backlog() >= FULL_WAIT => {
                self.full_since = Some(now);
                Some(LinkChange::Congested)
            }
            Some(since) if now.saturating_since(self.waited_at) >= CLEAR_AFTER => {
                self.full_since = None;
                Some(LinkChange::Cleared(self.waited_at.saturating_since(since)))
            }
            _ => None,
        }
    }

    fn is_empty(&self) -> bool {
        self.control.is_empty() && self.short.is_empty() && self.long.is_empty()
    }
}
