//! Identifiers shared by all state machines.

use std::fmt;

macro_rules! identifier {
    ($(#[$documentation:meta])* $name:ident($inner:ty)) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

identifier! {
    /// A process of the system (control replica, balancer or agent). It is
    /// derived from the node's configured name and stays the same across
    /// restarts; see [`NodeId::from_name`].
    NodeId(u64)
}

identifier! {
    /// One life of a node. Drawn afresh at every start, so that a reused
    /// address or name is never taken for its predecessor.
    Incarnation(u64)
}

identifier! {
    /// A service. Assigned by the control group and never used twice.
    ServiceId(u32)
}

identifier! {
    /// A back end. Assigned by the control group and never used twice: a back
    /// end that is removed and created again has another identifier.
    BackendId(u64)
}

identifier! {
    /// One part of a service's flow-key space.
    BucketIndex(u32)
}

impl NodeId {
    /// Derives the identifier of the node with this configured name.
    pub fn from_name(name: &str) -> NodeId {
        use std::hash::Hasher;
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(0, 0);
        hasher.write(name.as_bytes());
        NodeId(hasher.finish())
    }
}
