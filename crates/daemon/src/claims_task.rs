//! The thread that writes the claims file.

use std::sync::mpsc;

use hazeltiller_engine::ledger;
use hazeltiller_store::{claims, error};

use crate::disk_writer;

/// Writes batches until the sender is dropped. After a failure no claim is granted until the whole
/// file has been rewritten.
pub fn run(
    mut store: Box<dyn claims::ClaimStore>,
    batches: &mpsc::Receiver<ledger::ClaimBatch>,
    report: impl Fn(ledger::LedgerEvent),
) {
    let report = |result| {
        report(match result {
            disk_writer::WriteResult::Persisted(batch) => ledger::LedgerEvent::Persisted { batch },
            disk_writer::WriteResult::Failed => ledger::LedgerEvent::StoreFailed,
        });
    };
    disk_writer::run(
        "claims",
        batches,
        |group| write(store.as_mut(), group),
        report,
    );
}

fn write(
    store: &mut dyn claims::ClaimStore,
    group: Vec<ledger::ClaimBatch>,
) -> Result<(), error::StoreError> {
    let mut records = Vec::new();
    for mut batch in group {
        if batch.is_full_rewrite {
            // The batch includes the content of all earlier records.
            records.clear();
            store.rewrite(&batch.records)?;
        } else {
            records.append(&mut batch.records);
        }
    }
    if records.is_empty() {
        return Ok(());
    }
    store.append(&records)
}
