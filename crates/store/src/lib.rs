//! The control group's log on disk.
//!
//! What this crate reports as kept has been synced. It knows nothing of leaders or catalogues: it
//! keeps records in order and gives them back.

pub mod claims;
pub mod error;
pub mod file;
pub mod record;

use hazeltiller_engine::replication;

/// Where batches are kept; a trait so that tests can put a failing disk behind it.
pub trait LogStore: Send {
    /// Writes batches in order and syncs them: when this returns they are kept. After an error the
    /// store keeps nothing more, since what a failed sync has left on the disk cannot be known, until
    /// it is given a batch that is whole.
    fn write(&mut self, batches: Vec<replication::PersistBatch>) -> Result<(), error::StoreError>;
}
