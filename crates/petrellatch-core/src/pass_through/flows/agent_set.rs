//! Set of agents, as a bitmap over the list of agents of a relayed query, which the balancer
//! and the relaying agent both have.

/// One bit per agent, the lowest bit of each byte first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AgentSet {
    bytes: Vec<u8>,
}

impl AgentSet {
    /// Reads the output of [`AgentSet::to_bytes`].
    pub(crate) fn from_bytes(bytes: &[u8]) -> AgentSet {
        AgentSet {
            bytes: bytes.to_vec(),
        }
    }

    /// Adds the agent with this index. Returns whether it wasn't in the set.
    pub(crate) fn insert(&mut self, agent: usize) -> bool {
        let (byte, bit) = (agent / 8, 1 << (agent % 8));
        if self.bytes.len() <= byte {
            self.bytes.resize(byte + 1, 0);
        }
        let is_new = self.bytes[byte] & bit == 0;
        self.bytes[byte] |= bit;
        is_new
    }

    /// Indexes of the agents in the set.
    pub(crate) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let bits = self.bytes.len() * 8;
        (0..bits).filter(|bit| self.bytes[bit / 8] & (1 << (bit % 8)) != 0)
    }

    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        self.bytes.clone()
    }
}
