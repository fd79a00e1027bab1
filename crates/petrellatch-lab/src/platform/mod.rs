//! The platform stand-in: serves the list of live and leaving machines, which
//! lags behind the truth.

pub mod lagging_list;
pub mod options;
pub mod server;

pub use lagging_list::{LaggingList, Machine};
pub use options::PlatformOptions;
pub use server::{PlatformServer, run};
