//! Tests of the pass-through tier: groups of configuration replicas on a
//! virtual clock, and balancers and agents packet by packet.

mod changes;
mod codec;
mod cold_backends;
mod daemons;
mod edge;
mod evacuated_flows;
mod evacuation_orders;
mod failing_backends;
mod fleet;
mod formation;
mod goodbyes;
mod group;
mod late_callers;
mod late_calls;
mod long_flows;
mod lost_flows;
mod lost_flows_at_size;
mod moved_routes;
mod narrow_links;
mod news;
mod placement_policies;
mod policy_changes;
mod pressure;
mod queueing;
mod remembered_daemons;
mod replica;
mod restarted_agents;
mod returned_openings;
mod scale;
mod uneven_backends;
mod urgent_flows;
mod waiting_callers;
mod world;
mod zone_losses;
