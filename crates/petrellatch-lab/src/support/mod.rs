//! Small parts that several stand-ins use.

pub mod content;
pub mod http;
pub mod logging;
pub mod process;
