//! Tests of the parts of admission.

mod exclusive;
mod limits;
mod reports;
