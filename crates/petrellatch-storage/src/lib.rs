//! Durable storage of the replicated log and of other state of a process.
//!
//! [`LogStore`] stores the state of a `petrellatch_core::consensus::Replica` in
//! one data folder. It starts no thread and reads no clock; every call blocks
//! until its work is done. [`RecordFile`] stores records whose loss is tolerated,
//! [`AtomicFile`] a single value.
//!
//! # Guarantees
//!
//! - [`LogStore::write`] returns a ticket only after everything in the request
//!   is synced. After an error the store refuses further writes until it is
//!   opened again, so that a partial write is never acknowledged.
//! - Every record and file has checksums. A *torn tail*, left behind by a crash
//!   during an append, is cut off when the folder is opened. Any other damage is
//!   an error that gives the file and the offset.
//! - Hard state and snapshot are replaced atomically: after a crash the folder
//!   holds either the old or the new one.
//! - A folder belongs to one cluster and one replica incarnation, both written
//!   when it is formatted. Only one process can use it at a time.
//!
//! # Example
//!
//! ```
//! use petrellatch_core::consensus::{HardState, PersistRequest, PersistTicket};
//! use petrellatch_core::identity::Incarnation;
//! use petrellatch_storage::{FolderIdentity, LogStore};
//!
//! # let scratch = tempfile::tempdir().expect("temporary folder");
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

mod atomic_file;
mod data_folder;
mod error;
mod frame;
mod log_replay;
mod log_store;
mod record_file;
mod record_log;

pub use atomic_file::AtomicFile;
pub use data_folder::FolderIdentity;
pub use error::StorageError;
pub use log_store::{LogStore, OpenedStore};
pub use record_file::{OpenedRecords, RecordFile};
