//! What every daemon needs around its state machine: clock, data folder,
//! sockets, stop signal, health, metrics and the ready line; and the event
//! loops that connect these to the state machines.

mod admin;
pub mod agent;
pub mod balancer;
mod clock;
pub mod control;
mod data_folder;
mod datagram_socket;
mod log_writer;
mod metrics;
pub mod pass_through;
mod process;
mod ready_line;
mod sealed_socket;
mod stop_signal;
mod view_writer;

pub use admin::{AdminState, serve_admin};
pub use clock::ProcessClock;
pub use data_folder::DataFolder;
pub use datagram_socket::{Batch, DatagramSender, DatagramSocket};
pub use log_writer::LogWriter;
pub use process::{DaemonSockets, Process, link_settings, node_identity};
pub use ready_line::ReadyLine;
pub use sealed_socket::{ControlTraffic, SealedSocket};
pub use stop_signal::{StopHandle, StopRequest, StopSignal};
pub use view_writer::ViewWriter;
