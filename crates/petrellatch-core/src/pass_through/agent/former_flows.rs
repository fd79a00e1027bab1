//! Takes over the record of a former life.

use super::PassThroughAgent;
use crate::pass_through::flows::former_flows::FormerRecord;
use crate::pass_through::packet::PacketCodec;
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Takes the flows that a former life of the back end had.
    pub(super) fn take_former_record(&mut self, _now: Timestamp, _record: FormerRecord) {}
}
