//! Settings of the daemons: a TOML file that command-line flags override.
//!
//! [`SettingsFile`] is the file as written; [`load`] reads it and collects all problems;
//! [`Settings`] are the effective values after flags and defaults, complete for the role
//! of the process.

mod cluster_key;
mod flags;
mod keys;
mod load;
mod problem;
mod resolve;
mod settings_file;

pub use cluster_key::read_cluster_key;
pub use keys::{KEYS, KeyDescription};
pub use load::load;
pub use problem::SettingsProblem;
pub use resolve::{Role, Settings, Timing, resolve};
pub use settings_file::{ReplicaSettings, SettingsFile};
