//! Selection of an agent for a new flow: the known agents, their load and
//! reachability, and load shedding while a service is overloaded.

pub(crate) mod agent_directory;
pub(crate) mod expected_completion;
pub(crate) mod known_agent;
pub(crate) mod reply_timeout;
pub(crate) mod retry_budget;
pub(crate) mod service_load;
pub(crate) mod service_overload;
pub(crate) mod weight_groups;
