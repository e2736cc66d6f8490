//! The thread that writes the file of claims.

use std::sync::mpsc;

use hazeltiller_engine::ledger;
use hazeltiller_store::{claims, error};

use crate::disk_writer;

/// Writes batches until the sender is gone. After a failure no claim is granted until the whole
/// file is written anew.
pub fn run(
    mut store: Box<dyn claims::ClaimStore>,
    batches: &mpsc::Receiver<ledger::ClaimBatch>,
    report: impl Fn(ledger::LedgerEvent),
) {
    let report = |told| {
        report(match told {
            disk_writer::WriteReport::Kept(batch) => ledger::LedgerEvent::Persisted { batch },
            disk_writer::WriteReport::Failed => ledger::LedgerEvent::StoreFailed,
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
            // It says all that the records before it say.
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
