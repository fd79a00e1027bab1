//! Tests of the replicated log on a virtual clock.

mod candidate;
mod checker;
mod cluster;
mod mutations;
mod node;
mod random_faults;
mod recovery_time;
mod return_of_power;
mod scenarios;
mod transfer;
