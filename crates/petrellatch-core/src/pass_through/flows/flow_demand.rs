//! Mean number of slots that the open flows of a back end keep busy.

use std::time::Duration;

use crate::time::Timestamp;

/// Time after which a change of the load counts for 63 % in the mean: longer than callers
/// pause between two requests, and short compared with the lifetime of flows.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Exponentially weighted mean of the number of busy slots.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlowDemand {
    mean: f64,
    slots: u32,
    noted_at: Option<Timestamp>,
}

impl FlowDemand {
    /// Sets the number of slots that are busy from now on.
    pub(crate) fn note_busy(&mut self, now: Timestamp, slots: u32) {
        self.mean = self.mean_at(now);
        self.slots = slots;
        self.noted_at = Some(now);
    }

    /// The mean, in thousandths of a slot.
    pub(crate) fn millislots(&self, now: Timestamp) -> u32 {
        (self.mean_at(now) * 1_000.0).round() as u32
    }

    fn mean_at(&self, now: Timestamp) -> f64 {
        let Some(noted_at) = self.noted_at else {
            return 0.0;
        };
        let elapsed = now.saturating_since(noted_at).as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        let slots = f64::from(self.slots);
        slots + (self.mean - slots) * decay
    }
}
