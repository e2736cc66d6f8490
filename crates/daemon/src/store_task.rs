//! The thread that writes the replicated log of the control group.

use std::sync::mpsc;

use hazeltiller_engine::replication;
use hazeltiller_store::LogStore;

use crate::disk_writer;

/// Handle to the writer thread.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    batches: mpsc::Sender<replication::PersistBatch>,
}

impl StoreHandle {
    /// Returns a handle, and the receiver for [`run`].
    pub fn new() -> (Self, mpsc::Receiver<replication::PersistBatch>) {
        let (batches, receiver) = mpsc::channel();
        (Self { batches }, receiver)
    }

    /// Queues a batch. The thread reports an event once the batch is synced to disk.
    pub fn persist(&self, batch: replication::PersistBatch) {
        // The thread runs for as long as a handle exists, so that sending can't fail.
        drop(self.batches.send(batch));
    }
}

/// Writes batches until all handles are dropped. After a failure nothing is acknowledged until the
/// whole log has been rewritten.
pub fn run(
    mut store: Box<dyn LogStore>,
    batches: &mpsc::Receiver<replication::PersistBatch>,
    report: impl Fn(replication::ReplicationEvent),
) {
    let report = |result| {
        report(match result {
            disk_writer::WriteResult::Persisted(batch) => {
                replication::ReplicationEvent::Persisted { batch }
            }
            disk_writer::WriteResult::Failed => replication::ReplicationEvent::StoreFailed,
        });
    };
    disk_writer::run("log", batches, |group| store.write(group), report);
}
