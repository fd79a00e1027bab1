//! A small HTTP server with bounds, on top of `tiny_http`.

mod message;
mod poll;
mod server;

pub use message::{HttpRequest, HttpResponse};
pub use poll::DocumentReader;
pub use server::{HttpHandler, HttpLimits, HttpServer, local_address, open_listener};
