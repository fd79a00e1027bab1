//! Opens the data folder of a control replica.

use petrellatch_core::consensus::{Membership, PersistentState, ReplicaId};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::seal::ClusterKey;
use petrellatch_storage::{FolderIdentity, LogStore};

use crate::error::ProgramError;
use crate::settings::Settings;

/// An open data folder with what was read back from it.
#[derive(Debug)]
pub struct ReplicaFolder {
    /// For writing.
    pub store: LogStore,
    /// The life of the folder.
    pub incarnation: Incarnation,
    /// What was read back.
    pub state: PersistentState,
    /// Bytes of a torn tail that were cut off the log.
    pub torn_bytes: u64,
    /// The voters that found the control group.
    pub first_membership: Membership,
}

/// Opens the data folder, and formats it if it is empty.
///
/// Only `--bootstrap` gives a folder the incarnation that is listed among the
/// first voters. A folder that was formatted without it, because the former
/// one was lost, gets a random one and so can never vote twice.
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

/// Returns the incarnation of a replica that founds the group.
fn first_incarnation(name: &str) -> Incarnation {
    Incarnation(NodeId::from_name(&format!("first life of {name}")).0)
}

/// Returns the number of the cluster, which the key decides, so that a folder
/// is not used with the key of another cluster.
fn cluster_number(key: &ClusterKey) -> u64 {
    let mut sealed = Vec::new();
    key.seal(&Envelope::default(), &mut sealed);
    let digest = sealed.first_chunk().expect("a tag stands in front");
    u64::from_be_bytes(*digest)
}
