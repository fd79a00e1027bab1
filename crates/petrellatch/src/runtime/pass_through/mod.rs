//! The processes of the pass-through tier: balancer, agent and configuration
//! replica. Each runs its event loop on one thread; a replica has two more threads,
//! which write its log and the flow records.
//!
//! Packets are parsed by a [`PacketCodec`], the HTTP requests of operators and back
//! ends by an [`ApiTranslator`]. A program with other formats implements these two
//! traits.

mod agent_loop;
mod api_translator;
mod balancer_loop;
mod event_loop;
mod message_socket;
mod metrics;
mod policy_api;
mod rate_limited_log;
mod record_file_writer;
mod replica_loop;
mod retrying_log_writer;
mod settings;
mod settings_watcher;
mod signals;

use petrellatch_core::pass_through::PacketCodec;

use crate::error::ProgramError;

pub use self::api_translator::{ApiRequest, ApiResponse, ApiTranslator};
pub use self::metrics::METRIC_NAMES;
pub use self::settings::{
    AgentRoleSettings, BalancerRoleSettings, PassThroughRole, PassThroughSettings,
    ReplicaRoleSettings, flow_record_bounds,
};
pub use self::settings_watcher::{SettingsReader, SettingsWatcher};

/// Runs the process that `settings` describe until a signal asks it to stop.
///
/// # Errors
///
/// An address can't be bound, or a system call of the event loop fails.
pub fn run<C: PacketCodec, T: ApiTranslator>(
    watcher: SettingsWatcher,
    settings: PassThroughSettings,
    codec: C,
    translator: T,
) -> Result<(), ProgramError> {
    match settings.role.clone() {
        PassThroughRole::Balancer(role) => {
            balancer_loop::run(watcher, settings, &role, codec, translator)
        }
        PassThroughRole::Agent(role) => {
            agent_loop::run(watcher, settings, &role, codec, translator)
        }
        PassThroughRole::Replica(role) => replica_loop::run(watcher, settings, &role, translator),
    }
}
