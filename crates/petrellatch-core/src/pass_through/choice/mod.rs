//! The choice of an agent for a new flow: which agents there are, how busy they
//! are, and which of them answer; and when none is asked.

pub(crate) mod agent_directory;
pub(crate) mod expected_completion;
pub(crate) mod known_agent;
pub(crate) mod reply_timeout;
pub(crate) mod retry_budget;
pub(crate) mod service_load;
pub(crate) mod service_overload;
pub(crate) mod weight_groups;
