//! The callers' side of TCP.
//!
//! An agent terminates the TCP connection of a caller and copies its bytes to
//! and from an ordinary connection to the back end. This module holds what it
//! needs for the callers' side, without input or output:
//!
//! - [`PacketView`] reads the addresses and flags of an IPv4 packet with TCP
//!   and says why a packet can't be used;
//! - [`FlowTerminator`] is the server's end of one connection;
//! - [`SegmentFilter`] prepares reordered segments for it;
//! - [`reset_for`] makes the reset that answers a packet of an unknown flow.
//!
//! Guarantees: bytes come out of a terminator in the order in which the caller
//! sent them, once each, whatever the network did to the packets; a terminator
//! never takes more bytes than its buffers hold, because the window that it
//! advertises to the caller shrinks.
//!
//! ```
//! use petrellatch_core::flow::{PacketError, PacketView};
//!
//! assert_eq!(PacketView::parse(&[0x45, 0]).err(), Some(PacketError::Truncated));
//! ```

mod flow_terminator;
mod packet_queue;
mod packet_view;
mod reset;
mod segment_filter;

#[cfg(test)]
mod tests;

pub use flow_terminator::{FlowBuffers, FlowTerminator};
pub use packet_view::{PacketError, PacketView};
pub use reset::reset_for;
pub use segment_filter::SegmentFilter;
