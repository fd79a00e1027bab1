//! What every daemon needs around its state machine: clock, data folder,
//! sockets, signals, health, metrics and the line that says it is ready.

mod admin;
mod clock;
mod data_folder;
mod datagram_socket;
mod ready_line;
mod stop_signal;

pub use admin::{AdminState, open_admin};
pub use clock::ProcessClock;
pub use data_folder::DataFolder;
pub use datagram_socket::{Batch, DatagramSocket};
pub use ready_line::ReadyLine;
pub use stop_signal::StopSignal;
