//! File headers, and records that consist of one part.
//!
//! A snapshot, a file of notices, and a log of format version 2 hold records of one part: the length
//! of the body, the checksum of the body, the checksum of these two fields, and the body. The length
//! is covered by its own checksum so that a flipped bit in it is not mistaken for the end of a file
//! truncated during a write. Logs of later versions are divided as in [`crate::sector`].
//!
//! A tail of such a log is discarded only if its last sectors never reached the disk: the file ends
//! inside the record, or from some sector inside the record on it contains only zeros. Any other
//! mismatch is an error.

use std::path::Path;

use hazeltiller_units::ids;
use hazeltiller_wire::replication as wire;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error;

/// Format version of the files that are written.
pub const FORMAT_VERSION: u32 = 3;
/// Format version of logs whose records are not divided by sectors.
pub const UNDIVIDED_VERSION: u32 = 2;
/// Size of the file header, in bytes.
pub const FILE_HEADER_BYTES: usize = 16;
/// Size of a record header, in bytes.
pub const RECORD_HEADER_BYTES: usize = 12;
/// First bytes of a log file.
pub const LOG_MAGIC: [u8; 8] = *b"hztl-log";
/// First bytes of a snapshot file.
pub const SNAPSHOT_MAGIC: [u8; 8] = *b"hztl-snp";
/// First bytes of a file of withdrawal notices.
pub const NOTICES_MAGIC: [u8; 8] = *b"hztl-ntc";
/// Unit that a disk writes entirely or not at all.
const SECTOR_BYTES: usize = 512;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// Replica state that is not part of an entry, such as term and vote; the last such record
    /// applies.
    Hard(wire::HardState),
    /// Entries from this position on are discarded.
    Truncate(ids::LogPosition),
    /// A log entry.
    Entry(wire::LogEntry),
}

/// Result of reading a record.
#[derive(Debug, PartialEq)]
pub enum RecordRead<T> {
    /// A complete record.
    Complete {
        /// The decoded record.
        value: T,
        /// Offset of the next record.
        next: usize,
    },
    /// The file ends at this offset.
    End,
    /// An incomplete record that was never synced.
    Torn,
}

/// Returns the header of a file.
pub fn file_header(magic: [u8; 8]) -> Vec<u8> {
    versioned_header(magic, FORMAT_VERSION)
}

fn versioned_header(magic: [u8; 8], version: u32) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_BYTES);
    bytes.extend_from_slice(&magic);
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Encodes the body of a record.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("every map in a record knows its length")
}

/// Appends a record to `bytes`.
pub fn push_record<T: Serialize>(bytes: &mut Vec<u8>, value: &T) {
    let body = encode(value);
    let mut header = Vec::with_capacity(RECORD_HEADER_BYTES);
    header.extend_from_slice(&(body.len() as u32).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    bytes.extend_from_slice(&header);
    bytes.extend_from_slice(&body);
}

/// Checks the header of a file and returns its format version.
pub fn check_header(path: &Path, bytes: &[u8], magic: [u8; 8]) -> Result<u32, error::StoreError> {
    let header = bytes.get(..FILE_HEADER_BYTES);
    for version in [FORMAT_VERSION, UNDIVIDED_VERSION] {
        if header == Some(versioned_header(magic, version).as_slice()) {
            return Ok(version);
        }
    }
    let is_other_version = header.is_some_and(|header| {
        header[..8] == magic && read_u32(header, 12) == crc32fast::hash(&header[..12])
    });
    if is_other_version {
        return Err(error::StoreError::UnsupportedFormat { path: path.into() });
    }
    Err(damaged(path, 0, "the file header does not match".into()))
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
    if crc32fast::hash(&header[..8]) != read_u32(header, 8) {
        if is_tail_unwritten(bytes, start) {
            return Ok(RecordRead::Torn);
        }
        return Err(damaged(
            path,
            offset,
            "a record header checksum does not match".into(),
        ));
    }
    let next = start + read_u32(header, 0) as usize;
    let Some(body) = bytes.get(start..next) else {
        return Ok(RecordRead::Torn);
    };
    if crc32fast::hash(body) != read_u32(header, 4) {
        if is_tail_unwritten(bytes, next) {
            return Ok(RecordRead::Torn);
        }
        return Err(damaged(
            path,
            offset,
            "a record body checksum does not match".into(),
        ));
    }
    let value = postcard::from_bytes(body);
    let value = value.map_err(|error| damaged(path, offset, error.to_string()))?;
    Ok(RecordRead::Complete { value, next })
}

/// Returns whether the last sectors before `end` were never written.
fn is_tail_unwritten(bytes: &[u8], end: usize) -> bool {
    let written_bytes = bytes.iter().rposition(|byte| *byte != 0);
    let written_bytes = written_bytes.map_or(0, |last| last + 1);
    written_bytes.next_multiple_of(SECTOR_BYTES) < end
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let slice = bytes[offset..offset + 4].try_into();
    u32::from_le_bytes(slice.expect("the slice has four bytes"))
}

/// Returns the error for damage at an offset of a file.
pub(crate) fn damaged(path: &Path, offset: usize, message: String) -> error::StoreError {
    error::StoreError::Damaged {
        path: path.into(),
        offset: offset as u64,
        message,
    }
}
