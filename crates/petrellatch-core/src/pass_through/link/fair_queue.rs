//! A fair queue of many flows: deficit round robin.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Bytes that a flow may send in each of its rounds: one full-size datagram.
const QUANTUM_BYTES: usize = 1_400;

/// An item and the number of bytes that it takes on the link.
#[derive(Debug)]
pub(crate) struct Queued<T> {
    pub(crate) item: T,
    pub(crate) bytes: usize,
}

#[derive(Debug)]
struct FlowQueue<T> {
    items: VecDeque<Queued<T>>,
    bytes: usize,
    /// Bytes that the flow may still send in this round.
    deficit: usize,
}

/// Deficit round robin over the queues of flows, which are identified by `K`.
#[derive(Debug)]
pub(crate) struct FairQueue<K, T> {
    flows: HashMap<K, FlowQueue<T>>,
    /// Flows with queued items, in round-robin order.
    active: VecDeque<K>,
    bytes: usize,
}

impl<K: Copy + Eq + Hash, T: PartialEq> FairQueue<K, T> {
    pub(crate) fn new() -> Self {
        FairQueue {
            flows: HashMap::new(),
            active: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Total bytes of the queued items.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Whether items of a flow are queued.
    pub(crate) fn has_flow(&self, key: K) -> bool {
        self.flows.contains_key(&key)
    }

    /// Whether an equal item of the flow is queued.
    pub(crate) fn contains(&self, key: K, item: &T) -> bool {
        let flow = self.flows.get(&key);
        flow.is_some_and(|flow| flow.items.iter().any(|it| it.item == *item))
    }

    pub(crate) fn push(&mut self, key: K, sized: Queued<T>) {
        self.bytes += sized.bytes;
        let active = &mut self.active;
        let flow = self.flows.entry(key).or_insert_with(|| {
            active.push_back(key);
            FlowQueue {
                items: VecDeque::new(),
                bytes: 0,
                deficit: QUANTUM_BYTES,
            }
        });
        flow.bytes += sized.bytes;
        flow.items.push_back(sized);
    }

    /// Removes the next item in round-robin order.
    pub(crate) fn pop(&mut self) -> Option<Queued<T>> {
        loop {
            let key = *self.active.front()?;
            let Some(flow) = self.flows.get_mut(&key) else {
                self.active.pop_front();
                continue;
            };
            let next_bytes = flow.items.front().map(|next| next.bytes);
            if next_bytes.is_some_and(|bytes| bytes > flow.deficit) {
                flow.deficit += QUANTUM_BYTES;
                self.active.rotate_left(1);
                continue;
            }
            let Some(next) = flow.items.pop_front() else {
                self.flows.remove(&key);
                self.active.pop_front();
                continue;
            };
            flow.deficit -= next.bytes;
            flow.bytes -= next.bytes;
            self.bytes -= next.bytes;
            if flow.items.is_empty() {
                self.flows.remove(&key);
                self.active.pop_front();
            }
            return Some(next);
        }
    }

    /// Removes the newest item of the flow with the most queued bytes.
    pub(crate) fn drop_from_longest(&mut self) -> Option<Queued<T>> {
        let (key, longest) = self.flows.iter_mut().max_by_key(|(_, flow)| flow.bytes)?;
        let key = *key;
        let dropped = longest.items.pop_back()?;
        longest.bytes -= dropped.bytes;
        self.bytes -= dropped.bytes;
        if longest.items.is_empty() {
            self.flows.remove(&key);
            self.active.retain(|other| *other != key);
        }
        Some(dropped)
    }
}
