//! Power losses that leave any of the sectors of a write that was never synced.

use std::{fs, path::Path};

use hazeltiller_catalogue::change;
use hazeltiller_engine::replication;
use hazeltiller_store::{
    LogStore,
    claims::{ClaimFile, ClaimStore},
    file,
};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{ledger, replication as wire};

const SECTOR_BYTES: usize = 512;
/// Length of an operator's name, of which long entries hold many.
const NAME_BYTES: usize = 90;

fn open(folder: &Path) -> Result<(file::FileStore, Vec<u64>), code::ResultCode> {
    let initial_state = || wire::HardState {
        replica: ids::ReplicaId(7),
        ..wire::HardState::default()
    };
    let opened = file::FileStore::open(folder, initial_state);
    let (store, recovered, _) = opened.map_err(|error| error.code())?;
    let positions = recovered.entries.iter().map(|entry| entry.position.0);
    Ok((store, positions.collect()))
}

/// Returns an entry whose record has about this many bytes more than its fixed part.
fn entry(position: u64, bytes: usize) -> wire::LogEntry {
    let operators: Vec<String> = (0..bytes / NAME_BYTES)
        .map(|number| format!("{number:0>NAME_BYTES$}"))
        .collect();
    let put = serde_json::json!([{"kind": "owner", "name": "registru", "owner": "registru",
        "class": "counter", "operators": operators}]);
    let put = serde_json::from_value(put).expect("the entry is valid");
    wire::LogEntry {
        position: ids::LogPosition(position),
        term: ids::LeaderTerm(1),
        payload: wire::LogPayload::Change(wire::LoggedChange {
            change_id: format!("change-{position}").parse().expect("valid name"),
            content: ids::StateDigest([9; 32]),
            accepted_at_ms: position,
            operator: None,
            set: change::ChangeSet {
                put,
                ..change::ChangeSet::default()
            },
            revision: None,
        }),
    }
}

fn write(store: &mut file::FileStore, entries: Vec<wire::LogEntry>) {
    let batch = replication::PersistBatch {
        entries,
        ..replication::PersistBatch::default()
    };
    store.write(vec![batch]).expect("the write succeeds");
}

/// A folder with a file, before and after a write to it that was not synced.
struct UnsyncedWrite {
    folder: tempfile::TempDir,
    file: &'static str,
    before: Vec<u8>,
    after: Vec<u8>,
}

impl UnsyncedWrite {
    /// A log with a synced write of entry 1, and an unsynced one of these entries.
    fn of_entries(entries: Vec<wire::LogEntry>) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let path = folder.path().join("log");
        let (mut store, _) = open(folder.path()).expect("the folder opens");
        write(&mut store, vec![entry(1, 300)]);
        let before = fs::read(&path).expect("the file exists");
        write(&mut store, entries);
        let after = fs::read(&path).expect("the file exists");
        assert!(after.starts_with(&before), "the log is only appended to");
        Self {
            folder,
            file: "log",
            before,
            after,
        }
    }

    /// A file of claims with a synced claim 0, and an unsynced write of further ones.
    fn of_claims(count: u64) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let path = folder.path().join("claims");
        let (mut file, _) = ClaimFile::open(folder.path(), true).expect("the folder is empty");
        let standing = ledger::ClaimRecord::Standing(ledger::ClaimsCompleteness::Whole);
        let first = [standing, claim_record(0)];
        file.append(&first).expect("the write succeeds");
        let before = fs::read(&path).expect("the file exists");
        let records: Vec<_> = (1..=count).map(claim_record).collect();
        file.append(&records).expect("the write succeeds");
        let after = fs::read(&path).expect("the file exists");
        Self {
            folder,
            file: "claims",
            before,
            after,
        }
    }

    /// Number of sectors that the write touches.
    fn sectors(&self) -> usize {
        self.after.len().div_ceil(SECTOR_BYTES) - self.before.len() / SECTOR_BYTES
    }

    /// Puts the log in place with the sectors of a mask, the first one in the lowest bit. The file
    /// has its new length, and missing sectors read as zeros.
    fn tear(&self, mask: usize) {
        let mut bytes = self.before.clone();
        bytes.resize(self.after.len(), 0);
        let first = self.before.len() / SECTOR_BYTES;
        for sector in (0..self.sectors()).filter(|sector| mask & (1 << sector) != 0) {
            let start = ((first + sector) * SECTOR_BYTES).max(self.before.len());
            let end = ((first + sector + 1) * SECTOR_BYTES).min(self.after.len());
            bytes[start..end].copy_from_slice(&self.after[start..end]);
        }
        fs::write(self.folder.path().join(self.file), bytes).expect("the folder is writable");
    }
}

fn claim_record(number: u64) -> ledger::ClaimRecord {
    let claim = ledger::ClaimId {
        incarnation: ids::IncarnationNumber(1),
        number,
        node: "127.0.0.1:7000".parse().expect("valid address"),
    };
    ledger::ClaimRecord::Kept(ledger::RequestDigest([number as u8; 16]), claim)
}

/// Guards against a control that counts its claims as lost after a write that a power loss left in
/// part, and grants none for as long as claims are kept.
#[test]
fn torn_claims_lost() {
    let count = 60;
    let torn = UnsyncedWrite::of_claims(count);
    let sectors = torn.sectors();
    assert!(sectors > 3, "the write touches several sectors");
    for mask in 0..1 << sectors {
        torn.tear(mask);
        let opened = ClaimFile::open(torn.folder.path(), false);
        let (mut file, recovered) = opened.expect("the file opens");
        let is_whole = recovered.completeness == ledger::ClaimsCompleteness::Whole;
        assert!(is_whole, "sectors {mask:b} of {sectors}");
        let numbers: Vec<u64> = recovered
            .claims
            .values()
            .map(|stored| stored.claim.number)
            .collect();
        let kept: Vec<u64> = (0..=count).take(numbers.len()).collect();
        assert!(!numbers.is_empty(), "the synced claim is kept");
        assert_eq!(numbers, kept, "sectors {mask:b} of {sectors}");
        file.append(&[claim_record(200)])
            .expect("the write succeeds");
        drop(file);
        let opened = ClaimFile::open(torn.folder.path(), false);
        let (_, recovered) = opened.expect("the file opens");
        assert_eq!(recovered.claims.len(), numbers.len() + 1);
    }
}

/// Guards against a control that takes a write which a power loss left in part for damage, and ends
/// at every start.
#[test]
fn torn_write_refused() {
    let contents: [Vec<wire::LogEntry>; 3] = [
        vec![entry(2, 2800)],
        vec![entry(2, 900), entry(3, 900), entry(4, 900)],
        (2..20).map(|position| entry(position, 10)).collect(),
    ];
    for entries in contents {
        let count = entries.len() as u64;
        let torn = UnsyncedWrite::of_entries(entries);
        let sectors = torn.sectors();
        assert!(sectors > 3, "the write touches several sectors");
        for mask in 0..1 << sectors {
            torn.tear(mask);
            let opened = open(torn.folder.path());
            let (mut store, positions) =
                opened.unwrap_or_else(|code| panic!("{code}, sectors {mask:b} of {sectors}"));
            let kept: Vec<u64> = (1..=count + 1).take(positions.len()).collect();
            assert!(!positions.is_empty(), "the synced write is kept");
            assert_eq!(positions, kept, "sectors {mask:b} of {sectors}");
            let is_whole = mask + 1 == 1 << sectors;
            assert_eq!(is_whole, positions.len() as u64 == count + 1);
            let next = positions.len() as u64 + 1;
            write(&mut store, vec![entry(next, 700)]);
            drop(store);
            let (_store, positions) = open(torn.folder.path()).expect("later writes are whole");
            assert_eq!(positions.last(), Some(&next));
        }
    }
}

/// A sector that is missing before a later write was synced is damage, wherever it lies.
#[test]
fn synced_sector_lost() {
    let torn = UnsyncedWrite::of_entries(vec![entry(2, 2800)]);
    torn.tear((1 << torn.sectors()) - 1);
    let path = torn.folder.path().join("log");
    let (mut store, _) = open(torn.folder.path()).expect("the folder opens");
    write(&mut store, vec![entry(3, 700)]);
    drop(store);
    let whole = fs::read(&path).expect("the file exists");
    let first = torn.before.len().div_ceil(SECTOR_BYTES);
    for sector in first..torn.after.len() / SECTOR_BYTES {
        let mut bytes = whole.clone();
        bytes[sector * SECTOR_BYTES..][..SECTOR_BYTES].fill(0);
        fs::write(&path, &bytes).expect("the folder is writable");
        let code = open(torn.folder.path()).err();
        assert_eq!(code, Some(code::ResultCode::StoreDamaged), "{sector}");
        let left = fs::read(&path).expect("the file exists");
        assert_eq!(left, bytes, "the damaged file is not modified");
    }
}
