//! Small HTTP servers with request limits: [`HttpServer`] on top of `tiny_http`,
//! with worker threads, and [`EventServer`], which runs inside an event loop, for
//! processes with little memory.

mod event_server;
mod message;
mod poll;
mod server;

pub use event_server::{ConnectionId, EventServer, ReceivedRequest};
pub use message::{HttpRequest, HttpResponse};
pub use poll::DocumentReader;
pub use server::{HttpHandler, HttpLimits, HttpServer, local_address, open_listener};
