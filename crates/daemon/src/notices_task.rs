//! The thread that writes the file of withdrawal notices.

use std::sync::mpsc;

use hazeltiller_engine::membership::{self, withdrawals};
use hazeltiller_store::notices;

use crate::disk_writer;

impl disk_writer::DiskBatch for withdrawals::NoticeBatch {
    fn number(&self) -> u64 {
        self.batch
    }

    fn replaces_all(&self) -> bool {
        true
    }
}

/// Writes batches until the sender is dropped.
pub fn run(
    mut store: Box<dyn notices::NoticeStore>,
    batches: &mpsc::Receiver<withdrawals::NoticeBatch>,
    report: impl Fn(membership::MembershipEvent),
) {
    let write = |group: Vec<withdrawals::NoticeBatch>| match group.last() {
        Some(last) => store.replace(&last.notices),
        None => Ok(()),
    };
    let report = |result| {
        report(match result {
            disk_writer::WriteResult::Persisted(batch) => {
                membership::MembershipEvent::NoticesPersisted { batch }
            }
            disk_writer::WriteResult::Failed => membership::MembershipEvent::NoticesFailed,
        });
    };
    disk_writer::run("notices", batches, write, report);
}
