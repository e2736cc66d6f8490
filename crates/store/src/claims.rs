//! The file of claims on keyed requests.
//!
//! Records are appended and synced in groups; each has its length and its checksum. A record cut
//! short at the end was never reported as kept. The file is rewritten when most of it is about
//! claims that are gone. A file that was just made is told apart from an empty one, since its
//! folder may have held claims that are lost, and so is one whose whole folder was just made.

use std::{
    fs,
    io::{ErrorKind, Write},
    path::{Path, PathBuf},
};

use hazeltiller_wire::ledger;
use indexmap::IndexMap;
use snafu::ResultExt;

use crate::error;

const CLAIMS_FILE: &str = "claims";
const NEW_FILE: &str = "claims.new";
const DAMAGED_FILE: &str = "claims.damaged";
/// First bytes of the file: what it is and the version of its format.
const FILE_MARK: &[u8; 8] = b"hzclaim1";
const HEADER_BYTES: usize = 8;

/// What a file held when it was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredClaims {
    /// Claims by request, in the order in which they were kept.
    pub claims: IndexMap<ledger::RequestDigest, ledger::StoredClaim>,
    /// Whether claims that were reported as kept can be missing.
    pub standing: ledger::ClaimsStanding,
}

/// Where claims are kept; a trait so that tests can put a failing disk behind it.
pub trait ClaimStore: Send {
    /// Appends records and syncs them: when this returns they are kept.
    fn append(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError>;

    /// Replaces the whole file by these records.
    fn rewrite(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError>;
}

/// Claims in a folder.
#[derive(Debug)]
pub struct ClaimFile {
    folder: PathBuf,
    file: fs::File,
}

impl ClaimFile {
    /// Opens or makes the file in a folder and reads what it holds; `is_folder_new` where the folder held
    /// nothing else either. A damaged file is put aside, and its claims count as lost.
    pub fn open(
        folder: &Path,
        is_folder_new: bool,
    ) -> Result<(Self, RecoveredClaims), error::StoreError> {
        let path = folder.join(CLAIMS_FILE);
        let disk = |action| error::DiskSnafu {
            action,
            path: path.clone(),
        };
        fs::create_dir_all(folder).context(disk("making the folder of"))?;
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) if source.kind() == ErrorKind::NotFound => Vec::new(),
            Err(source) => return Err(source).context(disk("reading")),
        };
        if bytes.is_empty() {
            let standing = if is_folder_new {
                ledger::ClaimsStanding::Unproven
            } else {
                ledger::ClaimsStanding::Lost
            };
            return Self::make(folder, standing);
        }
        match read_claims(&path, &bytes) {
            Ok((recovered, kept)) => {
                if kept < bytes.len() {
                    log::warn!("cut {} bytes of a claim never kept", bytes.len() - kept);
                }
                let file = fs::OpenOptions::new().append(true).open(&path);
                let file = file.context(disk("opening"))?;
                file.set_len(kept as u64).context(disk("cutting"))?;
                file.sync_all().context(disk("syncing"))?;
                sync_folder(folder)?;
                let folder = folder.into();
                Ok((Self { folder, file }, recovered))
            }
            Err(error) => {
                log::error!("{}: {error}; it is put aside", error.code());
                let aside = folder.join(DAMAGED_FILE);
                fs::rename(&path, aside).context(disk("putting aside"))?;
                Self::make(folder, ledger::ClaimsStanding::Lost)
            }
        }
    }

    fn make(
        folder: &Path,
        standing: ledger::ClaimsStanding,
    ) -> Result<(Self, RecoveredClaims), error::StoreError> {
        let path = folder.join(CLAIMS_FILE);
        let file = fs::File::create(&path).context(error::DiskSnafu {
            action: "making",
            path,
        })?;
        let mut made = Self {
            folder: folder.into(),
            file,
        };
        made.rewrite(&[ledger::ClaimRecord::Standing(standing)])?;
        let claims = IndexMap::new();
        Ok((made, RecoveredClaims { claims, standing }))
    }
}

impl ClaimStore for ClaimFile {
    fn append(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError> {
        let path = self.folder.join(CLAIMS_FILE);
        let disk = |action| error::DiskSnafu {
            action,
            path: path.clone(),
        };
        self.file
            .write_all(&encode(records))
            .context(disk("writing"))?;
        self.file.sync_data().context(disk("syncing"))
    }

    fn rewrite(&mut self, records: &[ledger::ClaimRecord]) -> Result<(), error::StoreError> {
        let path = self.folder.join(NEW_FILE);
        let disk = |action| error::DiskSnafu {
            action,
            path: path.clone(),
        };
        let mut file = fs::File::create(&path).context(disk("making"))?;
        file.write_all(FILE_MARK).context(disk("writing"))?;
        file.write_all(&encode(records)).context(disk("writing"))?;
        file.sync_all().context(disk("syncing"))?;
        fs::rename(&path, self.folder.join(CLAIMS_FILE)).context(disk("renaming"))?;
        sync_folder(&self.folder)?;
        self.file = file;
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

fn encode(records: &[ledger::ClaimRecord]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let record = postcard::to_stdvec(record).expect("records hold no maps");
        bytes.extend_from_slice(&(record.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&record).to_le_bytes());
        bytes.extend_from_slice(&record);
    }
    bytes
}

fn read_claims(path: &Path, bytes: &[u8]) -> Result<(RecoveredClaims, usize), error::StoreError> {
    let damaged = |offset: usize, message: &str| error::StoreError::Damaged {
        path: path.into(),
        offset: offset as u64,
        message: message.into(),
    };
    if !bytes.starts_with(FILE_MARK) {
        return Err(damaged(0, "it is no file of claims"));
    }
    let mut recovered = RecoveredClaims::default();
    let mut offset = FILE_MARK.len();
    while let Some(header) = bytes.get(offset..offset + HEADER_BYTES) {
        let number = |at: usize| {
            let bytes = header[at..at + 4].try_into();
            u32::from_le_bytes(bytes.expect("four bytes were taken"))
        };
        let (start, length) = (offset + HEADER_BYTES, number(0) as usize);
        let Some(record) = bytes.get(start..start + length) else {
            // A length that was damaged reaches beyond the end too, but then whole records follow.
            if has_record_behind(bytes, offset) {
                return Err(damaged(offset, "the length does not match"));
            }
            break;
        };
        let is_last = bytes[start + length..].iter().all(|byte| *byte == 0);
        if length == 0 || crc32fast::hash(record) != number(4) {
            // Only the last record can be torn: a file system may have grown the file and lost
            // what was written there, so that nothing or zeros are behind it.
            if is_last {
                break;
            }
            return Err(damaged(offset, "the checksum does not match"));
        }
        let record = postcard::from_bytes(record);
        let record = record.map_err(|error| damaged(offset, &error.to_string()))?;
        apply(&mut recovered, record);
        offset = start + length;
    }
    Ok((recovered, offset))
}

/// Whether a whole record begins anywhere behind an offset.
fn has_record_behind(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|at| whole_record(bytes, at).is_some())
}

/// The record that begins at an offset, if one does.
fn whole_record(bytes: &[u8], offset: usize) -> Option<ledger::ClaimRecord> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let (length, sum) = header.split_at(HEADER_BYTES / 2);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(sum.try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let record = bytes.get(start..start.checked_add(length)?)?;
    let is_sound = length > 0 && crc32fast::hash(record) == sum;
    is_sound
        .then(|| postcard::from_bytes(record).ok())
        .flatten()
}

fn apply(recovered: &mut RecoveredClaims, record: ledger::ClaimRecord) {
    let claims = &mut recovered.claims;
    match record {
        ledger::ClaimRecord::Standing(standing) => recovered.standing = standing,
        ledger::ClaimRecord::Kept(request, claim) => {
            let is_done = false;
            claims.insert(request, ledger::StoredClaim { claim, is_done });
        }
        ledger::ClaimRecord::Done(request, claim) => {
            if let Some(kept) = claims.get_mut(&request).filter(|kept| kept.claim == claim) {
                kept.is_done = true;
            }
        }
        ledger::ClaimRecord::Released(request, claim) => {
            if claims.get(&request).is_some_and(|kept| kept.claim == claim) {
                claims.shift_remove(&request);
            }
        }
    }
}
