//! File of claims on keyed requests.
//!
//! Records are appended and synced in groups, divided by sectors ([`crate::sector`]), so that a group
//! which was never synced, and hence never reported as durable, is told from damage. The file is
//! rewritten when most of its records concern claims that no longer exist.
//!
//! A missing file is distinguished from one without claims, since its folder may have held claims
//! that are lost. If the whole folder is new as well, that is recorded as a third case.

use std::{
    fs,
    io::{ErrorKind, Write},
    path::{Path, PathBuf},
};

use hazeltiller_wire::ledger;
use indexmap::IndexMap;
use snafu::ResultExt;

use crate::{error, record, sector};

const CLAIMS_FILE: &str = "claims";
const TEMPORARY_FILE: &str = "claims.new";
const DAMAGED_FILE: &str = "claims.damaged";
/// First bytes of the file: its type and format version.
const FILE_MAGIC: &[u8; 8] = b"hzclaim2";
/// First bytes of a file whose records are not divided by sectors.
const UNDIVIDED_MAGIC: &[u8; 8] = b"hzclaim1";
/// Size of a record header in such a file: the length of the record and its checksum, four bytes each.
const RECORD_HEADER_BYTES: usize = 8;

/// Contents of the file when it was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredClaims {
    /// Claims by request, in the order in which they were stored.
    pub claims: IndexMap<ledger::RequestDigest, ledger::StoredClaim>,
    /// Whether claims that were reported as durable can be missing.
    pub completeness: ledger::ClaimsCompleteness,
}

/// Storage of claims. A trait, so that tests can substitute a failing disk.
pub trait ClaimStore: Send {
    /// Appends records and syncs them; they are durable once this returns.
    fn append(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError>;

    /// Replaces the whole file by these records.
    fn rewrite(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError>;
}

/// Claim storage in a data folder.
#[derive(Debug)]
pub struct ClaimFile {
    folder: PathBuf,
    file: fs::File,
    /// Length of the file.
    bytes: usize,
}

impl ClaimFile {
    /// Opens or creates the file in a folder and reads its claims. `is_folder_new` states that the
    /// folder was just created and held no other state. A damaged file is moved aside, and its
    /// claims count as lost.
    pub fn open(
        folder: &Path,
        is_folder_new: bool,
    ) -> Result<(Self, RecoveredClaims), error::StoreError> {
        let path = folder.join(CLAIMS_FILE);
        let disk_context = |action| error::DiskSnafu {
            action,
            path: path.clone(),
        };
        fs::create_dir_all(folder).context(disk_context("creating the folder of"))?;
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) if source.kind() == ErrorKind::NotFound => Vec::new(),
            Err(source) => return Err(source).context(disk_context("reading")),
        };
        if bytes.is_empty() {
            let completeness = if is_folder_new {
                ledger::ClaimsCompleteness::Unproven
            } else {
                ledger::ClaimsCompleteness::Lost
            };
            return Self::create(folder, completeness);
        }
        if bytes.starts_with(UNDIVIDED_MAGIC)
            && let Ok(recovered) = read_undivided_claims(&path, &bytes)
        {
            let file = Self::replace(folder, &stored_records(&recovered))?;
            return Ok((file, recovered));
        }
        match read_claims(&path, &bytes) {
            Ok((recovered, valid_bytes)) => {
                if valid_bytes < bytes.len() {
                    log::warn!(
                        "truncated {} bytes of claims that were never synced",
                        bytes.len() - valid_bytes
                    );
                }
                let file = fs::OpenOptions::new().append(true).open(&path);
                let file = file.context(disk_context("opening"))?;
                file.set_len(valid_bytes as u64)
                    .context(disk_context("truncating"))?;
                file.sync_all().context(disk_context("syncing"))?;
                sync_folder(folder)?;
                let file = Self {
                    folder: folder.into(),
                    file,
                    bytes: valid_bytes,
                };
                Ok((file, recovered))
            }
            Err(error) => {
                log::error!("{}: {error}; the file is moved aside", error.code());
                let damaged_path = folder.join(DAMAGED_FILE);
                fs::rename(&path, damaged_path).context(disk_context("moving aside"))?;
                Self::create(folder, ledger::ClaimsCompleteness::Lost)
            }
        }
    }

    fn create(
        folder: &Path,
        completeness: ledger::ClaimsCompleteness,
    ) -> Result<(Self, RecoveredClaims), error::StoreError> {
        let store = Self::replace(folder, &[ledger::ClaimRecord::Standing(completeness)])?;
        let claims = IndexMap::new();
        Ok((
            store,
            RecoveredClaims {
                claims,
                completeness,
            },
        ))
    }

    /// Replaces the file in a folder, or creates it.
    fn replace(folder: &Path, records: &[ledger::ClaimRecord]) -> Result<Self, error::StoreError> {
        let path = folder.join(TEMPORARY_FILE);
        let disk_context = |action| error::DiskSnafu {
            action,
            path: path.clone(),
        };
        let mut bytes = FILE_MAGIC.to_vec();
        let records: Vec<Vec<u8>> = records.iter().map(record::encode).collect();
        let write = sector::SectorWrite::initial(bytes.len(), &records);
        bytes.extend(write.into_bytes());
        let mut file = fs::File::create(&path).context(disk_context("creating"))?;
        file.write_all(&bytes).context(disk_context("writing"))?;
        file.sync_all().context(disk_context("syncing"))?;
        fs::rename(&path, folder.join(CLAIMS_FILE)).context(disk_context("renaming"))?;
        sync_folder(folder)?;
        Ok(Self {
            folder: folder.into(),
            file,
            bytes: bytes.len(),
        })
    }
}

impl ClaimStore for ClaimFile {
    fn append(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError> {
        let path = self.folder.join(CLAIMS_FILE);
        let disk_context = |action| error::DiskSnafu {
            action,
            path: path.clone(),
        };
        let mut write = sector::SectorWrite::at(self.bytes);
        for record in records {
            write.push(&record::encode(record));
        }
        let bytes = write.into_bytes();
        self.file
            .write_all(&bytes)
            .context(disk_context("writing"))?;
        self.file.sync_data().context(disk_context("syncing"))?;
        self.bytes += bytes.len();
        Ok(())
    }

    fn rewrite(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError> {
        *self = Self::replace(&self.folder, records)?;
        Ok(())
    }
}

fn sync_folder(folder: &Path) -> Result<(), error::StoreError> {
    let synced = fs::File::open(folder).and_then(|file| file.sync_all());
    synced.context(error::DiskSnafu {
        action: "syncing the folder",
        path: folder,
    })
}

/// Returns the records of a file that holds just these claims.
fn stored_records(recovered: &RecoveredClaims) -> Vec<ledger::ClaimRecord> {
    let mut records = vec![ledger::ClaimRecord::Standing(recovered.completeness)];
    for (request, stored) in &recovered.claims {
        let (request, claim) = (*request, stored.claim);
        records.push(ledger::ClaimRecord::Kept(request, claim));
        if stored.is_done {
            records.push(ledger::ClaimRecord::Done(request, claim));
        }
    }
    records
}

/// Applies the records of a file. Returns the claims, and the offset of the end of the last complete
/// record.
fn read_claims(path: &Path, bytes: &[u8]) -> Result<(RecoveredClaims, usize), error::StoreError> {
    if !bytes.starts_with(FILE_MAGIC) {
        return Err(record::damaged(
            path,
            0,
            "the file header does not match".into(),
        ));
    }
    let content = sector::read_records(path, bytes, FILE_MAGIC.len())?;
    let mut recovered = RecoveredClaims::default();
    for stored in content.records {
        let record = postcard::from_bytes(&stored.body);
        let record =
            record.map_err(|error| record::damaged(path, stored.offset, error.to_string()))?;
        apply(&mut recovered, record);
    }
    Ok((recovered, content.valid_bytes))
}

/// Applies the records of a file whose records are not divided by sectors. Returns the claims.
fn read_undivided_claims(path: &Path, bytes: &[u8]) -> Result<RecoveredClaims, error::StoreError> {
    let damaged = |offset: usize, message: &str| error::StoreError::Damaged {
        path: path.into(),
        offset: offset as u64,
        message: message.into(),
    };
    let mut recovered = RecoveredClaims::default();
    let mut offset = UNDIVIDED_MAGIC.len();
    while let Some(header) = bytes.get(offset..offset + RECORD_HEADER_BYTES) {
        let read_u32 = |at: usize| {
            let bytes = header[at..at + 4].try_into();
            u32::from_le_bytes(bytes.expect("the slice has four bytes"))
        };
        let (start, length) = (offset + RECORD_HEADER_BYTES, read_u32(0) as usize);
        let Some(record) = bytes.get(start..start + length) else {
            // A damaged length can reach beyond the end of the file too, but then intact records
            // follow it.
            if has_record_after(bytes, offset) {
                return Err(damaged(offset, "a record length is invalid"));
            }
            break;
        };
        let is_last = bytes[start + length..].iter().all(|byte| *byte == 0);
        if length == 0 || crc32fast::hash(record) != read_u32(4) {
            // Only the last record can be incomplete. The file system may have extended the file
            // and lost the data, so it is followed by nothing or by zeros.
            if is_last {
                break;
            }
            return Err(damaged(offset, "a record checksum does not match"));
        }
        let record = postcard::from_bytes(record);
        let record = record.map_err(|error| damaged(offset, &error.to_string()))?;
        apply(&mut recovered, record);
        offset = start + length;
    }
    Ok(recovered)
}

/// Returns whether an intact record starts at any offset after this one.
fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| decode_record(bytes, at).is_some())
}

/// Returns the record at an offset if it is intact.
fn decode_record(bytes: &[u8], offset: usize) -> Option<ledger::ClaimRecord> {
    let header = bytes.get(offset..offset + RECORD_HEADER_BYTES)?;
    let (length, checksum) = header.split_at(RECORD_HEADER_BYTES / 2);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
    let start = offset + RECORD_HEADER_BYTES;
    let record = bytes.get(start..start.checked_add(length)?)?;
    let is_intact = length > 0 && crc32fast::hash(record) == checksum;
    is_intact
        .then(|| postcard::from_bytes(record).ok())
        .flatten()
}

/// Applies a record to the claims before it.
fn apply(recovered: &mut RecoveredClaims, record: ledger::ClaimRecord) {
    let claims = &mut recovered.claims;
    match record {
        ledger::ClaimRecord::Standing(completeness) => recovered.completeness = completeness,
        ledger::ClaimRecord::Kept(request, claim) => {
            let is_done = false;
            claims.insert(request, ledger::StoredClaim { claim, is_done });
        }
        ledger::ClaimRecord::Done(request, claim) => {
            if let Some(stored) = claims
                .get_mut(&request)
                .filter(|stored| stored.claim == claim)
            {
                stored.is_done = true;
            }
        }
        ledger::ClaimRecord::Released(request, claim) => {
            if claims
                .get(&request)
                .is_some_and(|stored| stored.claim == claim)
            {
                claims.shift_remove(&request);
            }
        }
    }
}
