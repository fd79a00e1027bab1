//! Tests of the replicated log on a virtual clock.

mod candidate;
mod checker;
mod cluster;
mod late_requests;
mod mutations;
mod node;
mod power_loss_restart;
mod random_faults;
mod recovery_time;
mod scenarios;
mod transfer;
