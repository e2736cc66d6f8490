//! Records as bytes, and what bytes that are no whole record mean.
//!
//! A record is its length, the checksum of its body, the checksum of these two, and its body. The
//! length has a checksum of its own so that a flipped bit in it does not pass for the end of a file
//! that was cut while it was being written.
//!
//! A tail is cut only when its last sectors never reached the disk: the file ends inside the
//! record, or from some sector inside the record on it holds only zeros. Such a record was never
//! synced, so it was never acknowledged. Every other mismatch stops the process.

use std::path::Path;

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error;

/// Version of the files' format.
pub const FORMAT_VERSION: u32 = 2;
/// Bytes before the first record of a file.
pub const FILE_HEADER_BYTES: usize = 16;
/// Bytes before a record's body.
pub const RECORD_HEADER_BYTES: usize = 12;
/// First bytes of a log.
pub const LOG_MAGIC: [u8; 8] = *b"hztl-log";
/// First bytes of a snapshot.
pub const SNAPSHOT_MAGIC: [u8; 8] = *b"hztl-snp";
/// What a disk writes whole or not at all.
const SECTOR_BYTES: usize = 512;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// State beside the log; the last one counts.
    Hard(wire::HardState),
    /// Entries from this position on are dropped.
    Truncate(ids::LogPosition),
    /// An entry.
    Entry(wire::LogEntry),
}

/// What stands at an offset.
#[derive(Debug, PartialEq)]
pub enum RecordRead<T> {
    /// A whole record.
    Complete {
        /// What it says.
        value: T,
        /// Where the next one begins.
        next: usize,
    },
    /// The file ends here.
    End,
    /// A record that was never synced.
    Torn,
}

/// The first bytes of a file.
pub fn file_header(magic: [u8; 8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_BYTES);
    bytes.extend_from_slice(&magic);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Puts a record at the end of `bytes`.
pub fn push_record<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    let body = postcard::to_stdvec(value).expect("records' maps know their length");
    let mut header = Vec::with_capacity(RECORD_HEADER_BYTES);
    header.extend_from_slice(&(body.len() as u32).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    bytes.extend_from_slice(&header);
    bytes.extend_from_slice(&body);
}

/// Checks the first bytes of a file.
pub fn check_header(path: &Path, bytes: &[u8], magic: [u8; 8]) -> Result<(), error::StoreError> {
    let header = bytes.get(..FILE_HEADER_BYTES);
    if header == Some(file_header(magic).as_slice()) {
        return Ok(());
    }
    let is_other_version = header.is_some_and(|header| {
        header[..8] == magic && number(header, 12) == crc32fast::hash(&header[..12])
    });
    if is_other_version {
        return Err(error::StoreError::OtherFormat { path: path.into() });
    }
    Err(damaged(path, 0, "the file's header does not match".into()))
}

/// Reads the record at an offset.
pub fn read_record<T: DeserializeOwned>(
    path: &Path,
    bytes: &[u8],
    offset: usize,
) -> Result<RecordRead<T>, error::StoreError> {
    if offset == bytes.len() {
        return Ok(RecordRead::End);
    }
    let start = offset + RECORD_HEADER_BYTES;
    let Some(header) = bytes.get(offset..start) else {
        return Ok(RecordRead::Torn);
    };
    if crc32fast::hash(&header[..8]) != number(header, 8) {
        if never_reached(bytes, start) {
            return Ok(RecordRead::Torn);
        }
        return Err(damaged(
            path,
            offset,
            "a record's header does not match".into(),
        ));
    }
    let next = start + number(header, 0) as usize;
    let Some(body) = bytes.get(start..next) else {
        return Ok(RecordRead::Torn);
    };
    if crc32fast::hash(body) != number(header, 4) {
        if never_reached(bytes, next) {
            return Ok(RecordRead::Torn);
        }
        return Err(damaged(
            path,
            offset,
            "a record's body does not match".into(),
        ));
    }
    let value = postcard::from_bytes(body);
    let value = value.map_err(|error| damaged(path, offset, error.to_string()))?;
    Ok(RecordRead::Complete { value, next })
}

/// Whether the last sectors before `end` never reached the disk.
fn never_reached(bytes: &[u8], end: usize) -> bool {
    let written = bytes.iter().rposition(|byte| *byte != 0);
    let written = written.map_or(0, |last| last + 1);
    written.next_multiple_of(SECTOR_BYTES) < end
}

fn number(bytes: &[u8], at: usize) -> u32 {
    let four = bytes[at..at + 4].try_into();
    u32::from_le_bytes(four.expect("four bytes were taken"))
}

/// Damage at a place of a file.
pub(crate) fn damaged(path: &Path, offset: usize, message: String) -> error::StoreError {
    error::StoreError::Damaged {
        path: path.into(),
        offset: offset as u64,
        message,
    }
}
