//! Digests of names, addresses and flows. All processes compute the same values.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::packet::FlowId;

const SERVICE_SALT: u64 = 0;
const BACKEND_SALT: u64 = 1;
const ZONE_SALT: u64 = 2;

/// Digest that identifies a service in messages between processes.
pub fn service_digest(name: &str) -> u64 {
    name_digest(name, SERVICE_SALT)
}

/// Digest that identifies one incarnation of a back end in messages between processes.
/// `started_at_millis` distinguishes incarnations of the same name, if the back end reports it.
pub fn backend_digest(id: &str, started_at_millis: Option<u64>) -> u64 {
    let name = name_digest(id, BACKEND_SALT);
    started_at_millis.map_or(name, |started_at_millis| {
        address_digest(started_at_millis, name)
    })
}

/// Digest that identifies a zone within a process.
pub(super) fn zone_digest(name: &str) -> u64 {
    name_digest(name, ZONE_SALT)
}

fn name_digest(name: &str, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 1);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Uniformly distributed hash of a packed address and `salt`.
pub(super) fn address_digest(address: u64, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 3);
    hasher.write_u64(address);
    hasher.finish()
}

/// Uniformly distributed hash of a flow and `salt`.
pub fn flow_digest(flow: FlowId, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 2);
    hasher.write_u32(u32::from(*flow.caller.ip()));
    hasher.write_u16(flow.caller.port());
    hasher.write_u32(u32::from(*flow.route.ip()));
    hasher.write_u16(flow.route.port());
    hasher.finish()
}

/// The ordinary steps of one in this many flows are logged.
const SAMPLE_ONE_OF: u64 = 64;
const SAMPLE_SALT: u64 = 0x4c4f_4721;

/// Whether the ordinary steps of a flow are logged. All processes sample the same flows.
pub fn is_sampled(flow: FlowId) -> bool {
    flow_digest(flow, SAMPLE_SALT).is_multiple_of(SAMPLE_ONE_OF)
}
