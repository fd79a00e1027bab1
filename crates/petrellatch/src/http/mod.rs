//! Small HTTP servers with bounds: [`HttpServer`] on top of `tiny_http`, with
//! threads that answer, and [`EventServer`] inside an event loop, for processes
//! with little memory.

mod event_server;
mod message;
mod poll;
mod server;

pub use event_server::{ConnectionId, EventServer, ReceivedRequest};
pub use message::{HttpRequest, HttpResponse};
pub use poll::DocumentReader;
pub use server::{HttpHandler, HttpLimits, HttpServer, local_address, open_listener};
