//! Messages that the processes of petrellatch exchange.
//!
//! All messages are `prost` structures written by hand with derive macros, so
//! the build needs no protocol compiler.
