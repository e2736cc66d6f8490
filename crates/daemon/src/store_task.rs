//! The thread that writes to the disk, so that a slow sync never holds the reducer up.

use std::{sync::mpsc, time::Duration};

use hazeltiller_engine::replication;
use hazeltiller_store::LogStore;

/// Time between two probes of a disk that has failed: often enough to tell a fault of seconds from
/// one that lasts, and one small file a second at most.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

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
        // The thread stops only when the disk failed; then nothing is acknowledged any more.
        drop(self.batches.send(batch));
    }
}

/// Writes batches until the handle is gone or the disk fails; batches that wait share one sync.
/// After a failure nothing is written or reported as kept: a sync that is tried again may succeed
/// although the first one has lost what it was for.
pub fn run(
    mut store: Box<dyn LogStore>,
    batches: mpsc::Receiver<replication::PersistBatch>,
    report: impl Fn(replication::ReplicationEvent),
) {
    while let Ok(first) = batches.recv() {
        let group: Vec<_> = std::iter::once(first).chain(batches.try_iter()).collect();
        let batch = group.last().expect("it holds the first one").batch;
        if let Err(error) = store.write(group) {
            log::error!(
                "{}: {error}; nothing is acknowledged from now on",
                error.code()
            );
            report(replication::ReplicationEvent::StoreFailed);
            return watch_disk(store.as_mut(), &batches);
        }
        report(replication::ReplicationEvent::Persisted { batch });
    }
}

/// Says in the log whether the disk takes bytes again, until the handle is gone; keeps nothing.
fn watch_disk(store: &mut dyn LogStore, batches: &mpsc::Receiver<replication::PersistBatch>) {
    let mut is_well = false;
    loop {
        match batches.recv_timeout(PROBE_PERIOD) {
            Ok(_) => continue,
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
            Err(mpsc::RecvTimeoutError::Timeout) => {}
        }
        let probed = store.probe();
        if probed.is_ok() != is_well {
            is_well = probed.is_ok();
            match probed {
                Ok(()) => log::warn!("the disk takes bytes again; the store stays failed"),
                Err(error) => log::error!("{}: {error}; the disk refuses again", error.code()),
            }
        }
    }
}
