//! The truth about flows: what agents and balancers remember of them, and how a
//! balancer finds the back end of one that it does not know, or learns that none has it.

pub(crate) mod agent_flows;
pub(crate) mod agent_set;
pub(crate) mod ended_columns;
pub(crate) mod flow_demand;
pub(crate) mod flow_hints;
pub(crate) mod flow_recorder;
pub(crate) mod flow_search;
pub(crate) mod flow_searches;
pub(crate) mod former_flows;
pub(crate) mod former_recall;
pub(crate) mod gathered_questions;
pub(crate) mod gone_flows;
pub(crate) mod life_proof;
pub(crate) mod seek_budget;
pub(crate) mod tried_flows;
