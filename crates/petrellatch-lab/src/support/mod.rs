//! Small parts that several stand-ins use.

pub mod content;
pub mod http;
pub mod http_server;
pub mod logging;
pub mod process;
