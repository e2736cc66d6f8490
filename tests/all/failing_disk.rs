//! Disks that refuse a write: what a control does meanwhile, and once they take writes again.

use std::sync::mpsc;

use hazeltiller_daemon::store_task;
use hazeltiller_engine::replication;
use hazeltiller_store::{LogStore, error};
use hazeltiller_testkit::fleet;
use serde_json::json;

use crate::{
    control_group::{self, CONTROLS},
    support,
};

/// Operators could not read the configuration back, for good, although it had been acknowledged and
/// two of three controls had their disks.
///
/// The leader's disk was full for some seconds: its control refused all it was asked from then on,
/// and the two others went on. The disk took writes again, the control did not use it. Then one of
/// the two came back with an empty folder, and the last one was alone among three votes. That the
/// disk was well was told by asking it again each second, that nobody else was at fault by the same
/// loss half a minute before, which the whole group had healed in a third of a second.
///
/// A folder in the way of the file that is written aside stands for the full disk.
#[tokio::test(flavor = "multi_thread")]
async fn full_disk_returns() {
    let mut fleet = control_group::started_group(|settings| {
        let replication = &mut settings["tunables"]["replication"];
        replication["voters"] = json!(3);
        replication["snapshot_entries"] = json!(16);
    })
    .await;
    control_group::accepted(&fleet, "control-1", &support::first_change()).await;
    let full = control_group::leader(&fleet).await;
    let others: Vec<_> = CONTROLS.into_iter().filter(|name| *name != full).collect();
    let (emptied, last) = (others[0], others[1]);
    let obstacle = fleet.folder().join(full).join("snapshot.new");
    std::fs::create_dir(&obstacle).expect("the folder is writable");
    let mut version = 1;
    while !fleet.log(full).contains("HZ5004") {
        version = change_accepted(&fleet, last, version).await;
    }
    version = change_accepted(&fleet, last, version).await;
    std::fs::remove_dir(&obstacle).expect("it is empty");
    fleet.kill(&[emptied]).await;
    fleet.delete_data(emptied);
    fleet.start(&[emptied], &[]).await;
    version = change_accepted(&fleet, last, version).await;
    fleet.wait_version(&CONTROLS, version).await;
}

/// Has the change after a version accepted; returns the next version.
async fn change_accepted(fleet: &fleet::Fleet, at: &str, version: u64) -> u64 {
    let change = control_group::class_change(&format!("change-{version}"), version);
    let answer = control_group::accepted(fleet, at, &change).await;
    assert_eq!(
        answer["version"],
        version + 1,
        "a lone operator never clashes"
    );
    version + 1
}

/// A disk whose sync fails after some batches, and then seems well again.
struct FailingStore {
    left: usize,
}

impl LogStore for FailingStore {
    fn write(&mut self, _: Vec<replication::PersistBatch>) -> Result<(), error::StoreError> {
        self.left = self.left.wrapping_sub(1);
        if self.left != usize::MAX {
            return Ok(());
        }
        Err(error::StoreError::Disk {
            action: "syncing",
            path: "log".into(),
            source: std::io::ErrorKind::StorageFull.into(),
        })
    }
}

#[test]
fn sync_fails() {
    let (handle, batches) = store_task::StoreHandle::new();
    let (events, reported) = mpsc::channel();
    let report = move |event| events.send(event).expect("the test listens");
    let store = Box::new(FailingStore { left: 1 });
    let thread = std::thread::spawn(move || store_task::run(store, &batches, report));
    let persist = |batch| {
        handle.persist(replication::PersistBatch {
            batch,
            ..replication::PersistBatch::default()
        });
    };
    persist(1);
    let kept = replication::ReplicationEvent::Persisted { batch: 1 };
    assert_eq!(reported.recv(), Ok(kept));
    persist(2);
    assert_eq!(
        reported.recv(),
        Ok(replication::ReplicationEvent::StoreFailed)
    );
    persist(3);
    drop(handle);
    thread.join().expect("it ends well");
    assert!(
        reported.recv().is_err(),
        "nothing is reported as kept after a failed sync"
    );
}

/// What a failed sync has left cannot be known, so only a batch that holds everything may follow it.
#[test]
fn whole_batch_kept() {
    let (handle, batches) = store_task::StoreHandle::new();
    let (events, reported) = mpsc::channel();
    let report = move |event| events.send(event).expect("the test listens");
    let store = Box::new(FailingStore { left: 0 });
    let thread = std::thread::spawn(move || store_task::run(store, &batches, report));
    let persist = |batch, is_full_rewrite| {
        handle.persist(replication::PersistBatch {
            batch,
            is_full_rewrite,
            ..replication::PersistBatch::default()
        });
    };
    persist(1, false);
    assert_eq!(
        reported.recv(),
        Ok(replication::ReplicationEvent::StoreFailed)
    );
    persist(2, false);
    persist(3, true);
    let kept = replication::ReplicationEvent::Persisted { batch: 3 };
    assert_eq!(reported.recv(), Ok(kept), "the second one is not reported");
    drop(handle);
    thread.join().expect("it ends well");
    reported.recv().expect_err("nothing else is reported");
}
