//! The replicated log on disk.
//!
//! [`LogStore`] keeps what a `petrellatch_core::consensus::Replica` asks to be
//! written, in one data folder. It starts no thread and reads no clock; every
//! call returns when the work is done.
//!
//! # Guarantees
//!
//! - [`LogStore::write`] returns a ticket only after everything in the request
//!   is synced. After an error the store refuses further writes until it is
//!   opened again, so that nothing is counted by half.
//! - Every record and file carries checksums. A *torn tail*, which a crash
//!   during an append leaves behind, is cut off when the folder is opened. Any
//!   other damage is an error that names the file and the offset.
//! - Hard state and snapshot are replaced as a whole: after a crash the folder
//!   holds the old or the new one.
//! - A folder belongs to one cluster and one replica incarnation, both written
//!   when it is formatted, and to one process at a time.
//!
//! # Example
//!
//! ```
//! use petrellatch_core::consensus::{HardState, PersistRequest, PersistTicket};
//! use petrellatch_core::identity::Incarnation;
//! use petrellatch_storage::{FolderIdentity, LogStore};
//!
//! # let scratch = tempfile::tempdir().expect("a scratch folder");
//! # let folder = scratch.path().join("data");
//! let identity = FolderIdentity { cluster: 9, incarnation: Incarnation(77) };
//! let mut opened = LogStore::open(&folder, identity)?;
//! assert!(opened.formatted);
//!
//! let request = PersistRequest {
//!     ticket: PersistTicket(1),
//!     hard_state: Some(HardState { term: 3, voted_for: None }),
//!     ..PersistRequest::default()
//! };
//! assert_eq!(opened.store.write(&request)?, PersistTicket(1));
//! drop(opened);
//!
//! let opened = LogStore::open(&folder, identity)?;
//! assert_eq!(opened.state.hard_state.term, 3);
//! # Ok::<(), petrellatch_storage::StorageError>(())
//! ```

mod data_folder;
mod error;
mod frame;
mod log_replay;
mod log_store;
mod record_file;
mod record_log;
mod snapshot_file;

pub use data_folder::FolderIdentity;
pub use error::StorageError;
pub use log_store::{LogStore, OpenedStore};
pub use record_file::{OpenedRecords, RecordFile};
pub use snapshot_file::SnapshotFile;
