//! The send queue of a balancer's link.

use std::collections::VecDeque;
use std::time::Duration;

use crate::pass_through::latency::LatencyHistogram;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, SYN_TIMEOUT};
use crate::time::Timestamp;

use super::fair_queue::{FairQueue, Queued};
use super::link_pacer::LinkPacer;

/// Maximum transmission time of the queued packets: callers give up a SYN after that.
const MAX_BACKLOG: Duration = SYN_TIMEOUT;
/// Maximum size of a short datagram: a SYN, an acknowledgement, or a request in a single
/// packet. A full-size datagram of 1.3 KB shows that more packets of its flow follow.
const SHORT_BYTES: usize = 1_100;
/// Short datagrams go before the others, but after this many bytes of them a long one is sent.
/// This leaves a fifth of the link to long flows under any load.
const SHORT_RUN_BYTES: usize = 4 * 1_300;
/// Backlog from which a link counts as congested: half of the time after which a caller sends
/// an unacknowledged packet again.
const CONGESTED_BACKLOG: Duration = Duration::from_millis(100);
/// A congested link counts as cleared once its queue was empty for this long.
const CLEARED_AFTER: Duration = Duration::from_secs(1);

/// Scheduling class of an output on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkClass {
    /// Sent before all others: flow queries, and messages that keep the balancer up to date.
    /// Other limits keep this traffic small compared to the link's speed.
    Control,
    /// Packets of a flow, sent in order and in turn with other flows. Flows with little to send
    /// go before those with much.
    Flow(FlowId),
}

/// Counters of a balancer's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams that had to wait for the link.
    pub waited: u64,
    /// Retransmissions that were dropped because the first copy was still queued.
    pub duplicates: u64,
    /// Packets dropped because the backlog was too long.
    pub dropped: u64,
}

/// A change of the link's congestion state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkChange {
    /// The link has become congested.
    Congested,
    /// The link is no longer congested. It was for this time.
    Cleared(Duration),
}

#[derive(Debug)]
struct QueuedOutput {
    output: PassThroughOutput,
    queued_at: Timestamp,
}

/// Equality ignores when an output was queued.
impl PartialEq for QueuedOutput {
    fn eq(&self, other: &QueuedOutput) -> bool {
        self.output == other.output
    }
}

/// The send queue of a link whose speed is known.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    pacer: LinkPacer,
    control: VecDeque<Queued<QueuedOutput>>,
    short: FairQueue<FlowId, QueuedOutput>,
    /// Bytes of short datagrams sent since the last long one.
    short_run: usize,
    long: FairQueue<FlowId, QueuedOutput>,
    congested_since: Option<Timestamp>,
    /// When the queue was last known not to be empty.
    last_queued_at: Timestamp,
    counters: LinkCounters,
    wait_times: LatencyHistogram,
}

impl LinkQueue {
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: u64) -> Self {
        LinkQueue {
            pacer: LinkPacer::new(now, link_bytes_per_second),
            control: VecDeque::new(),
            short: FairQueue::new(),
            short_run: 0,
            long: FairQueue::new(),
            congested_since: None,
            last_queued_at: now,
            counters: LinkCounters::default(),
            wait_times: LatencyHistogram::default(),
        }
    }

    pub(crate) fn counters(&self) -> LinkCounters {
        self.counters
    }

    /// Queueing times of the datagrams that had to wait.
    pub(crate) fn wait_times(&self) -> &LatencyHistogram {
        &self.wait_times
    }

    /// Transmission time of all queued packets of flows.
    pub(crate) fn backlog(&self) -> Duration {
        self.pacer
            .transmission_time(self.short.bytes() + self.long.bytes())
    }

    /// Queues an output of `bytes` bytes, all headers included. A packet that equals one that
    /// is still queued is dropped.
    pub(crate) fn push(
        &mut self,
        now: Timestamp,
        class: LinkClass,
        bytes: usize,
        output: PassThroughOutput,
    ) {
        let item = QueuedOutput {
            output,
            queued_at: now,
        };
        let flow = match class {
            LinkClass::Control => {
                self.control.push_back(Queued { item, bytes });
                return;
            }
            LinkClass::Flow(flow) => flow,
        };
        // Packets of one flow keep their order.
        let is_short = bytes <= SHORT_BYTES && !self.long.has_flow(flow);
        let queue = match is_short {
            true => &mut self.short,
            false => &mut self.long,
        };
        if queue.contains(flow, &item) {
            self.counters.duplicates += 1;
            return;
        }
        queue.push(flow, Queued { item, bytes });
        while self.backlog() > MAX_BACKLOG {
            let longest = self.long.drop_from_longest();
            if longest.or_else(|| self.short.drop_from_longest()).is_none() {
                return;
            }
            self.counters.dropped += 1;
        }
    }

    /// Removes the next output, if the pacer lets it go now.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<PassThroughOutput> {
        if self.is_empty() || !self.pacer.may_send(now) {
            return None;
        }
        self.pop_immediate(now)
    }

    /// Removes the next output regardless of the pacer.
    pub(crate) fn pop_immediate(&mut self, now: Timestamp) -> Option<PassThroughOutput> {
        let next = self.control.pop_front().or_else(|| self.pop_flow());
        let Queued { item, bytes } = next?;
        self.pacer.note_sent(bytes);
        self.counters.sent_bytes += bytes as u64;
        let waited = now.saturating_since(item.queued_at);
        if !waited.is_zero() {
            self.counters.waited += 1;
            self.wait_times.record(waited);
        }
        Some(item.output)
    }

    fn pop_flow(&mut self) -> Option<Queued<QueuedOutput>> {
        let is_turn_of_long = self.short_run >= SHORT_RUN_BYTES && !self.long.is_empty();
        if !is_turn_of_long && let Some(short) = self.short.pop() {
            self.short_run += short.bytes;
            return Some(short);
        }
        self.short_run = 0;
        self.long.pop()
    }

    /// When [`LinkQueue::pop`] returns the next output; `None` if nothing is queued.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.is_empty()).then(|| self.pacer.next_send_at())
    }

    /// Returns a change of the congestion state since the last call, if there is one.
    pub(crate) fn take_change(&mut self, now: Timestamp) -> Option<LinkChange> {
        if !self.is_empty() {
            self.last_queued_at = now;
        }
        match self.congested_since {
            None if self.backlog() >= CONGESTED_BACKLOG => {
                self.congested_since = Some(now);
                Some(LinkChange::Congested)
            }
            Some(since) if now.saturating_since(self.last_queued_at) >= CLEARED_AFTER => {
                self.congested_since = None;
                Some(LinkChange::Cleared(
                    self.last_queued_at.saturating_since(since),
                ))
            }
            _ => None,
        }
    }

    fn is_empty(&self) -> bool {
        self.control.is_empty() && self.short.is_empty() && self.long.is_empty()
    }
}
