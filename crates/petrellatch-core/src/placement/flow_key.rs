//! The key of a flow and its bucket.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher13;

use crate::identity::BucketIndex;

/// The hash key. It is constant, since all balancers must map a flow to the same
/// bucket. It is not secret, so a caller can choose ports whose flows all fall
/// into one bucket, as with any stateless balancer.
const HASH_KEY: (u64, u64) = (0x7065_7472_656c_6c61, 0x7463_685f_666c_6f77);

/// The addresses and ports of a flow, as in the caller's packets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The caller's address and port.
    pub source: SocketAddrV4,
    /// The service's address and port.
    pub destination: SocketAddrV4,
}

impl FlowKey {
    /// Returns the bucket of this flow in a service with `bucket_count`
    /// buckets. A count of zero is treated as one.
    pub fn bucket(&self, bucket_count: u32) -> BucketIndex {
        // The upper half of the product of hash and count is distributed evenly
        // over 0..count; this avoids a division.
        let count = u128::from(bucket_count.max(1));
        let scaled = (u128::from(self.hash64()) * count) >> 64;
        BucketIndex(scaled as u32)
    }

    /// Hashes both addresses and ports.
    fn hash64(&self) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(HASH_KEY.0, HASH_KEY.1);
        hasher.write(&self.to_bytes());
        hasher.finish()
    }

    /// Encodes the key in network byte order.
    fn to_bytes(self) -> [u8; 12] {
        let mut bytes = [0; 12];
        bytes[0..4].copy_from_slice(&self.source.ip().octets());
        bytes[4..6].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.destination.ip().octets());
        bytes[10..12].copy_from_slice(&self.destination.port().to_be_bytes());
        bytes
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}->{}", self.source, self.destination)
    }
}
