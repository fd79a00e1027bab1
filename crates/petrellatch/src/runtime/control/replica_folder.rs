//! Opens the data folder of a control replica.

use petrellatch_core::consensus::{Membership, PersistentState, ReplicaId};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::seal::ClusterKey;
use petrellatch_storage::{FolderIdentity, LogStore};

use crate::error::ProgramError;
use crate::settings::Settings;

/// An open data folder and the state that was read from it.
#[derive(Debug)]
pub struct ReplicaFolder {
    /// Writes to the folder.
    pub store: LogStore,
    /// The incarnation of the folder.
    pub incarnation: Incarnation,
    /// The state that was read from the folder.
    pub state: PersistentState,
    /// Bytes of an incomplete last record that were cut off the log.
    pub torn_bytes: u64,
    /// The first voters of the control group.
    pub first_membership: Membership,
}

/// Opens the data folder, and formats it if it is empty.
///
/// Only `--bootstrap` gives a folder the incarnation of one of the first
/// voters. A folder formatted without it, because the previous one was lost,
/// gets a random incarnation. It is thus a different voter, which can't repeat
/// a vote of the lost one.
pub fn open_replica_folder(
    settings: &Settings,
    key: &ClusterKey,
) -> Result<ReplicaFolder, ProgramError> {
    let own = first_incarnation(&settings.name);
    let identity = FolderIdentity {
        cluster: cluster_number(key),
        incarnation: match settings.bootstrap {
            true => own,
            false => Incarnation(rand::random()),
        },
    };
    let opened = LogStore::open(&settings.data_folder, identity)
        .map_err(|source| ProgramError::Storage { source })?;
    if settings.bootstrap && !opened.formatted {
        let folder = settings.data_folder.display();
        let message = format!(
            "{folder} already holds a replica; --bootstrap is only for the first start of a group"
        );
        return Err(ProgramError::Usage { message });
    }
    let voters = settings.replicas.iter().map(|replica| ReplicaId {
        node: NodeId::from_name(&replica.name),
        incarnation: first_incarnation(&replica.name),
    });
    Ok(ReplicaFolder {
        incarnation: opened.store.identity().incarnation,
        store: opened.store,
        state: opened.state,
        torn_bytes: opened.torn_bytes,
        first_membership: Membership::of_voters(voters),
    })
}

/// Returns the incarnation of one of the first replicas of the group. The hashed
/// text must not change, since its digest is stored in data folders.
fn first_incarnation(name: &str) -> Incarnation {
    Incarnation(NodeId::from_name(&format!("first life of {name}")).0)
}

/// Returns the number of the cluster, which is derived from the key, so that a
/// folder is not used with the key of another cluster.
fn cluster_number(key: &ClusterKey) -> u64 {
    let mut sealed = Vec::new();
    key.seal(&Envelope::default(), &mut sealed);
    let digest = sealed
        .first_chunk()
        .expect("a sealed message starts with its tag");
    u64::from_be_bytes(*digest)
}
