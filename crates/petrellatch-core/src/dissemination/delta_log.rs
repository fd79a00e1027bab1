//! The newest deltas, for children that are a little behind.

use std::collections::VecDeque;

use petrellatch_proto::dissemination::Delta;
use prost::Message;

/// A bounded ring of consecutive deltas. The oldest are dropped first.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    base: u64,
    deltas: VecDeque<SizedDelta>,
    bytes: usize,
    delta_limit: usize,
    bytes_limit: usize,
}

#[derive(Clone, Debug)]
struct SizedDelta {
    delta: Delta,
    bytes: usize,
}

impl DeltaLog {
    /// Makes an empty log that starts after version `base`, and that keeps at
    /// most `delta_limit` deltas of `bytes_limit` encoded bytes together.
    pub fn new(base: u64, delta_limit: usize, bytes_limit: usize) -> Self {
        DeltaLog {
            base,
            deltas: VecDeque::new(),
            bytes: 0,
            delta_limit,
            bytes_limit,
        }
    }

    /// Keeps at most so many deltas and bytes from the next push on.
    pub fn set_limits(&mut self, delta_limit: usize, bytes_limit: usize) {
        self.delta_limit = delta_limit;
        self.bytes_limit = bytes_limit;
    }

    /// The version that the first kept delta builds on.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// The version of the newest delta.
    pub fn newest(&self) -> u64 {
        self.base + self.deltas.len() as u64
    }

    /// Forgets all deltas and starts after version `base`.
    pub fn restart(&mut self, base: u64) {
        self.deltas.clear();
        self.bytes = 0;
        self.base = base;
    }

    /// Adds a delta. One that doesn't follow the newest starts the log anew.
    pub fn push(&mut self, delta: Delta) {
        if delta.version != self.newest() + 1 {
            self.restart(delta.version.saturating_sub(1));
        }
        let bytes = delta.encoded_len();
        self.bytes += bytes;
        self.deltas.push_back(SizedDelta { delta, bytes });
        while self.is_over_limit() {
            self.drop_oldest();
        }
    }

    /// Whether all changes after `version` are kept.
    pub fn covers(&self, version: u64) -> bool {
        (self.base..=self.newest()).contains(&version)
    }

    /// Returns deltas that follow `version`: at least one if there is any,
    /// and further ones while all together encode to at most `bytes_limit`.
    pub fn after(&self, version: u64, bytes_limit: usize) -> Vec<Delta> {
        let first = usize::try_from(version.saturating_sub(self.base)).unwrap_or(usize::MAX);
        let mut total = 0;
        let mut deltas = Vec::new();
        for sized in self.deltas.iter().skip(first) {
            total += sized.bytes;
            if total > bytes_limit && !deltas.is_empty() {
                break;
            }
            deltas.push(sized.delta.clone());
        }
        deltas
    }

    fn is_over_limit(&self) -> bool {
        self.deltas.len() > self.delta_limit || self.bytes > self.bytes_limit
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.deltas.pop_front() {
            self.bytes -= oldest.bytes;
            self.base += 1;
        }
    }
}
