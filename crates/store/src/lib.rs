//! On-disk storage of the control group's log and of claims on keyed requests.
//!
//! Data is synced before this crate reports it as stored. The crate knows nothing of leaders or
//! catalogues: it appends records in order and reads them back.

pub mod claims;
pub mod error;
pub mod file;
pub mod notices;
pub mod record;
pub mod sector;

use hazeltiller_engine::replication;

/// Storage of log batches. A trait, so that tests can substitute a failing disk.
pub trait LogStore: Send {
    /// Writes batches in order and syncs them; they are durable once this returns. After an error
    /// the state of the disk is unknown, since a failed sync may have lost any of the data, so
    /// every batch is rejected until one that rewrites everything.
    fn write(&mut self, batches: Vec<replication::PersistBatch>) -> Result<(), error::StoreError>;
}
