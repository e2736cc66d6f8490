//! The thread that writes the log of the control group.

use std::sync::mpsc;

use hazeltiller_engine::replication;
use hazeltiller_store::LogStore;

use crate::disk_writer;

/// A handle to the thread.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    batches: mpsc::Sender<replication::PersistBatch>,
}

impl StoreHandle {
    /// A handle and the end that [`run`] takes.
    pub fn new() -> (Self, mpsc::Receiver<replication::PersistBatch>) {
        let (batches, receiver) = mpsc::channel();
        (Self { batches }, receiver)
    }

    /// Hands a batch over; the sync is reported as an event.
    pub fn persist(&self, batch: replication::PersistBatch) {
        // The thread ends with its last handle only.
        drop(self.batches.send(batch));
    }
}

/// Writes batches until the handle is gone. After a failure nothing is acknowledged until everything
/// is written anew.
pub fn run(
    mut store: Box<dyn LogStore>,
    batches: &mpsc::Receiver<replication::PersistBatch>,
    report: impl Fn(replication::ReplicationEvent),
) {
    let report = |told| {
        report(match told {
            disk_writer::WriteReport::Kept(batch) => {
                replication::ReplicationEvent::Persisted { batch }
            }
            disk_writer::WriteReport::Failed => replication::ReplicationEvent::StoreFailed,
        });
    };
    disk_writer::run("log", batches, |group| store.write(group), report);
}
