//! Helpers that several integration tests use. Each test binary uses a part.
#![allow(dead_code)]

pub mod echo_agent;
pub mod server_flow;
