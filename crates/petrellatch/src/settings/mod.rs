//! Settings of the daemons: a TOML file with flags over it.
//!
//! [`SettingsFile`] is the file as written; [`load`] reads it and collects
//! everything that is wrong; [`Settings`] are the values that hold after the
//! flags and defaults, with nothing missing for the role.

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
