//! The control group with its daemons under faults.

mod changes;
mod cluster;
mod drafts;
mod fencing;
mod operators;
mod placements;
mod scale;
