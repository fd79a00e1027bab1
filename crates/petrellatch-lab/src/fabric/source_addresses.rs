//! Source addresses for the flows of the edge.

use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FIRST_EPHEMERAL_PORT: u16 = 32_768;
const LAST_EPHEMERAL_PORT: u16 = 60_999;
/// The callers' network is 10.128.0.0/9.
const NETWORK: u32 = 0x0a80_0000;
const HOST_BITS: u32 = 23;

/// Hands out source addresses one after the other. One is handed out again
/// only after all hosts of the network have used all their ports.
#[derive(Debug)]
pub struct SourceAddresses {
    host: u32,
    port: u16,
}

impl SourceAddresses {
    /// Begins at a host that depends on the seed.
    pub fn new(seed: u64) -> SourceAddresses {
        SourceAddresses {
            host: ChaCha8Rng::seed_from_u64(seed).random_range(1..1 << HOST_BITS),
            port: FIRST_EPHEMERAL_PORT,
        }
    }

    /// Returns an address that was not used for a long time.
    pub fn allocate(&mut self) -> SocketAddrV4 {
        let address = Ipv4Addr::from(NETWORK | self.host);
        let source = SocketAddrV4::new(address, self.port);
        self.advance();
        source
    }

    fn advance(&mut self) {
        if self.port < LAST_EPHEMERAL_PORT {
            self.port += 1;
            return;
        }
        self.port = FIRST_EPHEMERAL_PORT;
        self.host = (self.host + 1) % (1 << HOST_BITS);
    }
}
