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
    /// Identifies a node (control replica, balancer or agent). It is derived from
    /// the node's configured name and stays the same across restarts; see
    /// [`NodeId::from_name`].
    NodeId(u64)
}

identifier! {
    /// Identifies one run of a node's process. It is drawn at random at every
    /// start, so that a process that reuses an address or a name is not mistaken
    /// for its predecessor.
    Incarnation(u64)
}

identifier! {
    /// Identifies a service. The replica group assigns it and never reuses it.
    ServiceId(u32)
}

identifier! {
    /// Identifies a back end. The replica group assigns it and never reuses it: a
    /// back end that is removed and created again has another identifier.
    BackendId(u64)
}

identifier! {
    /// The index of a bucket. The buckets partition a service's flows by the
    /// hash of the flow key.
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
