//! Outputs, and their queue for the balancer's link.

use super::*;
use crate::pass_through::link::link_queue::{LinkChange, LinkClass, LinkCounters};

/// Bytes that a datagram takes of a link in addition to its data: headers of UDP and IP (28),
/// and the Ethernet frame with preamble and interframe gap (38). Without these, a busy link
/// with many small datagrams would be given a tenth more than it carries.
const DATAGRAM_HEADER_BYTES: usize = 28 + 38;
/// Bytes of a message in addition to its body: the magic bytes before it.
const MESSAGE_HEADER_BYTES: usize = 4;

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// The next output to perform, as of the time of the latest input; `None` if nothing is due.
    pub fn poll_output(&mut self) -> Option<PassThroughOutput> {
        if self.link.is_none() {
            return self.outputs.pop_front();
        }
        while let Some(output) = self.outputs.pop_front() {
            if matches!(output, PassThroughOutput::Event(_)) {
                return Some(output);
            }
            self.queue_for_link(output);
        }
        let (link, now) = (self.link.as_mut()?, self.last_input_at);
        // Datagrams still queued when the process ends would be lost, so a stopped balancer
        // leaves them to the buffer of the link.
        match self.stopped {
            true => link.pop_immediate(now),
            false => link.pop(now),
        }
    }

    /// Counters of the link; all zero if the link's speed is not known.
    pub fn link_counters(&self) -> LinkCounters {
        let link = self.link.as_ref();
        link.map_or(LinkCounters::default(), LinkQueue::counters)
    }

    /// Wait times of the datagrams that were queued for the link; `None` if the link's speed is
    /// not known.
    pub fn link_wait_times(&self) -> Option<&LatencyHistogram> {
        self.link.as_ref().map(LinkQueue::wait_times)
    }

    fn queue_for_link(&mut self, output: PassThroughOutput) {
        let class = self.link_class(&output);
        let bytes = DATAGRAM_HEADER_BYTES + data_bytes(&output);
        if let Some(link) = &mut self.link {
            link.push(self.last_input_at, class, bytes, output);
        }
    }

    fn link_class(&self, output: &PassThroughOutput) -> LinkClass {
        let flow = match output {
            PassThroughOutput::Send {
                body: PassThroughBody::ForwardedPacket(forwarded),
                ..
            } => {
                let view = self.codec.view(&forwarded.packet);
                view.map(|view| view.flow_from_caller())
            }
            PassThroughOutput::ToCaller { packet, .. } => {
                let view = self.codec.view(packet);
                view.map(|view| view.flow_from_backend())
            }
            _ => None,
        };
        flow.map_or(LinkClass::Control, LinkClass::Flow)
    }

    /// Logs that the link has become congested, or that this has ended.
    pub(super) fn log_link_change(&mut self, now: Timestamp) {
        let Some(link) = &mut self.link else { return };
        let backlog = link.backlog().as_millis();
        let Some(change) = link.take_change(now) else {
            return;
        };
        let LinkCounters {
            duplicates,
            dropped,
            ..
        } = link.counters();
        let totals = format!("copies={duplicates} dropped={dropped}");
        match change {
            LinkChange::Congested => {
                let subject = format!("wait={backlog} {totals}");
                self.emit_event(EventKind::LinkFull, subject);
            }
            LinkChange::Cleared(time) => {
                let subject = format!("full_for={} {totals}", time.as_millis());
                self.emit_event(EventKind::LinkClear, subject);
            }
        }
    }
}

/// Bytes of the UDP payload, or of the packet, of an output.
fn data_bytes(output: &PassThroughOutput) -> usize {
    match output {
        PassThroughOutput::Send { body, .. } => MESSAGE_HEADER_BYTES + body.encoded_len(),
        PassThroughOutput::ToCaller { packet, .. } | PassThroughOutput::ToBackend(packet) => {
            packet.len()
        }
        PassThroughOutput::Event(_) => 0,
    }
}
