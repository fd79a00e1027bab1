//! Queues of many flows that take turns: deficit round robin.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Bytes that a flow may send in each of its turns: one datagram of full size.
const QUANTUM_BYTES: usize = 1_400;

/// Something that takes so many bytes of the link.
#[derive(Debug)]
pub(crate) struct Queued<T> {
    pub(crate) item: T,
    pub(crate) bytes: usize,
}

#[derive(Debug)]
struct FlowQueue<T> {
    items: VecDeque<Queued<T>>,
    bytes: usize,
    /// What it may still send in this turn.
    deficit: usize,
}

/// The queues. `K` names a flow.
#[derive(Debug)]
pub(crate) struct FairQueue<K, T> {
    flows: HashMap<K, FlowQueue<T>>,
    turns: VecDeque<K>,
    bytes: usize,
}

impl<K: Copy + Eq + Hash, T: PartialEq> FairQueue<K, T> {
    pub(crate) fn new() -> Self {
        FairQueue {
            flows: HashMap::new(),
            turns: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Bytes of all that waits.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Whether something of a flow waits.
    pub(crate) fn holds(&self, key: K) -> bool {
        self.flows.contains_key(&key)
    }

    /// Whether the same waits already.
    pub(crate) fn contains(&self, key: K, item: &T) -> bool {
        let flow = self.flows.get(&key);
        flow.is_some_and(|flow| flow.items.iter().any(|it| it.item == *item))
    }

    pub(crate) fn push(&mut self, key: K, sized: Queued<T>) {
        self.bytes += sized.bytes;
        let turns = &mut self.turns;
        let flow = self.flows.entry(key).or_insert_with(|| {
            turns.push_back(key);
            FlowQueue {
                items: VecDeque::new(),
                bytes: 0,
                deficit: QUANTUM_BYTES,
            }
        });
        flow.bytes += sized.bytes;
        flow.items.push_back(sized);
    }

    /// The next one in turn.
    pub(crate) fn pop(&mut self) -> Option<Queued<T>> {
        loop {
            let key = *self.turns.front()?;
            let Some(flow) = self.flows.get_mut(&key) else {
                self.turns.pop_front();
                continue;
            };
            let next_bytes = flow.items.front().map(|next| next.bytes);
            if next_bytes.is_some_and(|bytes| bytes > flow.deficit) {
                flow.deficit += QUANTUM_BYTES;
                self.turns.rotate_left(1);
                continue;
            }
            let Some(next) = flow.items.pop_front() else {
                self.flows.remove(&key);
                self.turns.pop_front();
                continue;
            };
            flow.deficit -= next.bytes;
            flow.bytes -= next.bytes;
            self.bytes -= next.bytes;
            if flow.items.is_empty() {
                self.flows.remove(&key);
                self.turns.pop_front();
            }
            return Some(next);
        }
    }

    /// Drops the latest item of the flow that has most to send.
    pub(crate) fn drop_from_longest(&mut self) -> Option<Queued<T>> {
        let (key, longest) = self.flows.iter_mut().max_by_key(|(_, flow)| flow.bytes)?;
        let key = *key;
        let dropped = longest.items.pop_back()?;
        longest.bytes -= dropped.bytes;
        self.bytes -= dropped.bytes;
        if longest.items.is_empty() {
            self.flows.remove(&key);
            self.turns.retain(|other| *other != key);
        }
        Some(dropped)
    }
}
