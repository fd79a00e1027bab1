//! State of flows at agents and balancers, and the search for the back end that owns a flow
//! which the balancer doesn't know.

pub(crate) mod acknowledgements;
pub(crate) mod agent_flows;
pub(crate) mod agent_set;
pub(crate) mod closed_flow_columns;
pub(crate) mod flow_cache;
pub(crate) mod flow_demand;
pub(crate) mod flow_record_recovery;
pub(crate) mod flow_recorder;
pub(crate) mod flow_search;
pub(crate) mod flow_searches;
pub(crate) mod orphaned_flows;
pub(crate) mod query_budget;
pub(crate) mod recorded_flow;
pub(crate) mod relayed_queries;
pub(crate) mod restart_probe;
pub(crate) mod speculative_deliveries;
