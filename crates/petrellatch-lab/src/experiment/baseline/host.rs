//! The machine beside a back end of a baseline: ends TCP and decides nothing.

use std::collections::{BTreeMap, HashMap};

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::BackendEvent;
use petrellatch_core::flow::{FlowBuffers, FlowTerminator, PacketView, reset_for};
use petrellatch_core::placement::FlowKey;

use crate::experiment::system::{Connection, Effect, Effects};

use super::BaselineEvent;

/// Bytes read at a time.
const READ_LIMIT: usize = 16 << 10;

struct HostFlow {
    key: FlowKey,
    /// The packet that opens the flow, until its connection came about.
    opening: Option<Vec<u8>>,
    terminator: Option<FlowTerminator>,
    has_finished: bool,
    due: Option<Timestamp>,
}

/// One machine.
pub(super) struct Host {
    backend: usize,
    seed: u64,
    is_up: bool,
    life: u32,
    flows: BTreeMap<u64, HostFlow>,
    by_key: HashMap<FlowKey, u64>,
    opened: u64,
}

type HostEffects = Effects<BaselineEvent>;

impl Host {
    pub(super) fn new(backend: usize, seed: u64) -> Self {
        Host {
            backend,
            seed,
            is_up: true,
            life: 0,
            flows: BTreeMap::new(),
            by_key: HashMap::new(),
            opened: 0,
        }
    }

    pub(super) fn die(&mut self) {
        self.is_up = false;
        self.life += 1;
        self.flows.clear();
        self.by_key.clear();
    }

    pub(super) fn start(&mut self) {
        self.is_up = true;
    }

    /// Takes a packet. Returns it if it has to be passed to the previous back
    /// end.
    pub(super) fn handle_packet(
        &mut self,
        now: Timestamp,
        packet: Vec<u8>,
        previous: Option<usize>,
        effects: &mut HostEffects,
    ) -> Option<Vec<u8>> {
        if !self.is_up {
            return None;
        }
        let view = PacketView::parse(&packet).ok()?;
        if let Some(flow) = self.by_key.get(&view.key).copied() {
            self.deliver(now, flow, &packet, effects);
            return None;
        }
        if view.opens {
            self.open(view.key, packet, effects);
            return None;
        }
        if previous.is_some_and(|previous| previous != self.backend) {
            return Some(packet);
        }
        self.reset(&packet, effects);
        None
    }

    pub(super) fn handle_backend(
        &mut self,
        now: Timestamp,
        connection: Connection,
        event: BackendEvent,
        effects: &mut HostEffects,
    ) {
        if connection.life != self.life {
            return;
        }
        let id = connection.flow;
        let seed = self.seed.wrapping_add(id);
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        match event {
            BackendEvent::Connected => {
                let buffers = FlowBuffers::default();
                let mut terminator = FlowTerminator::new(now, &flow.key, buffers, seed);
                if let Some(opening) = flow.opening.take() {
                    terminator.handle_packet(now, &opening);
                }
                flow.terminator = Some(terminator);
            }
            BackendEvent::ConnectFailed => {
                let opening = flow.opening.take();
                self.remove(id);
                if let Some(opening) = opening {
                    self.reset(&opening, effects);
                }
                return;
            }
            BackendEvent::Data(bytes) => {
                if let Some(terminator) = &mut flow.terminator {
                    terminator.write(&bytes);
                }
            }
            BackendEvent::Finished => {
                if let Some(terminator) = &mut flow.terminator {
                    terminator.finish();
                }
            }
            BackendEvent::Reset => {
                if let Some(terminator) = &mut flow.terminator {
                    terminator.abort();
                }
            }
            BackendEvent::Writable => {}
        }
        self.settle(now, id, effects);
    }

    /// Does what is due for one flow.
    pub(super) fn handle_due(&mut self, now: Timestamp, id: u64, effects: &mut HostEffects) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        if flow.due.is_none_or(|due| due > now) {
            return;
        }
        flow.due = None;
        if let Some(terminator) = &mut flow.terminator {
            terminator.handle_timeout(now);
        }
        self.settle(now, id, effects);
    }

    fn open(&mut self, key: FlowKey, packet: Vec<u8>, effects: &mut HostEffects) {
        self.opened += 1;
        let flow = HostFlow {
            key,
            opening: Some(packet),
            terminator: None,
            has_finished: false,
            due: None,
        };
        self.flows.insert(self.opened, flow);
        self.by_key.insert(key, self.opened);
        effects.push(Effect::Connect(self.connection(self.opened)));
    }

    fn deliver(&mut self, now: Timestamp, id: u64, packet: &[u8], effects: &mut HostEffects) {
        if let Some(flow) = self.flows.get_mut(&id)
            && let Some(terminator) = &mut flow.terminator
        {
            terminator.handle_packet(now, packet);
            self.settle(now, id, effects);
        }
    }

    /// Moves a flow's bytes and packets.
    fn settle(&mut self, now: Timestamp, id: u64, effects: &mut HostEffects) {
        let backend = self.backend;
        let connection = self.connection(id);
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let Some(terminator) = &mut flow.terminator else {
            return;
        };
        let bytes = terminator.read(READ_LIMIT);
        if !bytes.is_empty() {
            effects.push(Effect::Write(connection, bytes));
        } else if terminator.is_read_finished() && !flow.has_finished {
            flow.has_finished = true;
            effects.push(Effect::Finish(connection));
        }
        terminator.handle_timeout(now);
        while let Some(packet) = terminator.poll_packet() {
            effects.push(Effect::ToCaller { backend, packet });
        }
        if terminator.is_closed() {
            self.remove(id);
            effects.push(Effect::Abort(connection));
            return;
        }
        let due = terminator.poll_timeout(now).map(|due| due.max(now));
        if due.is_some() && due != flow.due {
            let delay = due.map_or_else(Default::default, |due| due.saturating_since(now));
            let event = BaselineEvent::FlowDue { backend, flow: id };
            effects.push(Effect::Schedule(delay, event));
        }
        flow.due = due;
    }

    fn remove(&mut self, id: u64) {
        if let Some(flow) = self.flows.remove(&id) {
            self.by_key.remove(&flow.key);
        }
    }

    fn reset(&self, packet: &[u8], effects: &mut HostEffects) {
        if let Some(packet) = reset_for(packet) {
            let backend = self.backend;
            effects.push(Effect::ToCaller { backend, packet });
        }
    }

    fn connection(&self, flow: u64) -> Connection {
        Connection {
            backend: self.backend,
            life: self.life,
            flow,
        }
    }
}
