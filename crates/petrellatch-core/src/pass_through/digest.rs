//! Digests that all processes compute alike.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::packet::FlowId;

const SERVICE_SALT: u64 = 0;
const BACKEND_SALT: u64 = 1;
const ZONE_SALT: u64 = 2;

/// The number that stands for a service in packets between processes.
pub fn service_digest(name: &str) -> u64 {
    name_digest(name, SERVICE_SALT)
}

/// The number that stands for one life of a back end between processes. `born` tells lives
/// of the same name apart, as far as the back end says it.
pub fn backend_digest(id: &str, born: Option<u64>) -> u64 {
    let name = name_digest(id, BACKEND_SALT);
    born.map_or(name, |born| address_digest(born, name))
}

/// The number that stands for a zone within a process.
pub(super) fn zone_digest(name: &str) -> u64 {
    name_digest(name, ZONE_SALT)
}

fn name_digest(name: &str, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 1);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// A number that depends on a packed address and on `salt`, evenly spread.
pub(super) fn address_digest(address: u64, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 3);
    hasher.write_u64(address);
    hasher.finish()
}

/// A number that depends on a flow and on `salt`, evenly spread.
pub fn flow_digest(flow: FlowId, salt: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(salt, 2);
    hasher.write_u32(u32::from(*flow.caller.ip()));
    hasher.write_u16(flow.caller.port());
    hasher.write_u32(u32::from(*flow.route.ip()));
    hasher.write_u16(flow.route.port());
    hasher.finish()
}

/// Of how many ordinary flows one is logged.
const SAMPLE_ONE_OF: u64 = 64;
const SAMPLE_SALT: u64 = 0x4c4f_4721;

/// Whether the ordinary steps of a flow are logged. All processes choose the
/// same flows.
pub fn is_sampled(flow: FlowId) -> bool {
    flow_digest(flow, SAMPLE_SALT).is_multiple_of(SAMPLE_ONE_OF)
}
