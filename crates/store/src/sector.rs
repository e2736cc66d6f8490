//! Division of appended writes into fragments that each lie within one sector.
//!
//! A disk writes a sector entirely or not at all, and of a write that was not synced when power was
//! lost any of the sectors may be on the disk. Such a write was never acknowledged and is cut off when
//! the file is opened. A sector that is lost after a sync is damage, since others rely on its content.
//!
//! The two are told apart by what each fragment says: the offset up to which the file was synced when
//! the fragment was written. A missing fragment was never synced unless some fragment names an offset
//! behind it. This requires that nothing is written before the previous write is synced, and that a
//! file is synced before it replaces another one.
//!
//! A fragment consists of a header, a part of a record, and an end byte that is not zero:
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | length of the part |
//! | 1 | bit 0: first part of its record; bit 1: last part |
//! | 8 | offset up to which the file was synced |
//! | 4 | checksum of the part |
//! | 4 | checksum of the header up to here |
//! | n | the part |
//! | 1 | end byte |
//!
//! Numbers are little-endian. The end of a sector that is too short for a fragment is filled with
//! zeros. Because of the end byte a fragment that was cut at any byte ends in zeros or beyond the
//! file, unlike one that was altered.

use std::path::Path;

use crate::{error, record};

/// Unit that a disk writes entirely or not at all.
const SECTOR_BYTES: usize = 512;
const HEADER_BYTES: usize = 19;
const END_BYTE: u8 = 0xff;
/// Header, one byte of a record, and the end byte.
const MIN_FRAGMENT_BYTES: usize = HEADER_BYTES + 2;
const FIRST_PART: u8 = 1;
const LAST_PART: u8 = 2;

/// Records that are appended to a file by one write.
#[derive(Debug)]
pub struct SectorWrite {
    /// Offset in the file at which the write starts.
    start: usize,
    /// Offset up to which the file is synced.
    synced: u64,
    bytes: Vec<u8>,
}

impl SectorWrite {
    /// Returns an empty write at the end of a file that is synced as a whole.
    pub fn at(end: usize) -> Self {
        Self {
            start: end,
            synced: end as u64,
            bytes: Vec::new(),
        }
    }

    /// Returns the write that fills a new file from an offset on with these records. The file must be
    /// synced before it gets its name, so all of its content counts as synced.
    pub fn initial(start: usize, records: &[Vec<u8>]) -> Self {
        let fill = |synced| {
            let mut write = Self {
                start,
                synced,
                bytes: Vec::new(),
            };
            for body in records {
                write.push(body);
            }
            write
        };
        let length = fill(0).bytes.len();
        fill((start + length) as u64)
    }

    /// Appends a record, which must not be empty.
    pub fn push(&mut self, body: &[u8]) {
        let mut rest = body;
        while !rest.is_empty() {
            let space = self.sector_space();
            if space < MIN_FRAGMENT_BYTES {
                self.bytes.resize(self.bytes.len() + space, 0);
                continue;
            }
            let length = rest.len().min(space - HEADER_BYTES - 1);
            let (part, remaining) = rest.split_at(length);
            let first = if rest.len() == body.len() {
                FIRST_PART
            } else {
                0
            };
            let last = if remaining.is_empty() { LAST_PART } else { 0 };
            self.push_fragment(part, first | last);
            rest = remaining;
        }
    }

    /// Returns the bytes to write.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Returns whether nothing is to be written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    fn sector_space(&self) -> usize {
        SECTOR_BYTES - (self.start + self.bytes.len()) % SECTOR_BYTES
    }

    fn push_fragment(&mut self, part: &[u8], flags: u8) {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        header.extend_from_slice(&(part.len() as u16).to_le_bytes());
        header.push(flags);
        header.extend_from_slice(&self.synced.to_le_bytes());
        header.extend_from_slice(&crc32fast::hash(part).to_le_bytes());
        header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
        self.bytes.extend_from_slice(&header);
        self.bytes.extend_from_slice(part);
        self.bytes.push(END_BYTE);
    }
}

/// A record that was read, with the offset of its first fragment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Offset in the file, in bytes.
    pub offset: usize,
    /// The record.
    pub body: Vec<u8>,
}

/// Contents of a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SectorContent {
    /// The complete records before the first missing fragment.
    pub records: Vec<StoredRecord>,
    /// Offset of the end of the last of them. What follows was never synced.
    pub valid_bytes: usize,
}

/// What is found at an offset of a file.
enum FragmentRead<'a> {
    Whole(Fragment<'a>),
    /// Zeros that fill the end of a sector.
    Padding,
    /// Nothing, or only the beginning of a fragment.
    Missing,
    /// Something that no cut of a write explains.
    Damaged(&'static str),
}

struct Fragment<'a> {
    flags: u8,
    synced: u64,
    part: &'a [u8],
    end: usize,
}

/// Reads the records of a file from an offset on. Fails if something is missing or altered that may
/// have been synced.
pub fn read_records(
    path: &Path,
    bytes: &[u8],
    start: usize,
) -> Result<SectorContent, error::StoreError> {
    let mut content = SectorContent {
        records: Vec::new(),
        valid_bytes: start,
    };
    let mut partial: Option<StoredRecord> = None;
    let mut synced = 0;
    let mut offset = start;
    while offset < bytes.len() {
        match read_fragment(bytes, offset) {
            FragmentRead::Whole(fragment) => {
                synced = synced.max(fragment.synced);
                let is_first = fragment.flags & FIRST_PART != 0;
                if is_first != partial.is_none() {
                    let message = "a part of a record is out of order".into();
                    return Err(record::damaged(path, offset, message));
                }
                let stored = partial.get_or_insert_with(|| StoredRecord {
                    offset,
                    body: Vec::new(),
                });
                stored.body.extend_from_slice(fragment.part);
                offset = fragment.end;
                if fragment.flags & LAST_PART != 0 {
                    content.records.extend(partial.take());
                    content.valid_bytes = offset;
                }
            }
            FragmentRead::Padding => offset = sector_end(offset),
            FragmentRead::Missing => {
                synced = synced.max(synced_after(path, bytes, sector_end(offset))?);
                break;
            }
            FragmentRead::Damaged(message) => {
                return Err(record::damaged(path, offset, message.into()));
            }
        }
    }
    if synced > content.valid_bytes as u64 {
        let message = format!("the file was synced up to byte {synced}");
        return Err(record::damaged(path, content.valid_bytes, message));
    }
    Ok(content)
}

/// Returns the largest synced offset that the fragments from a sector on name. They belong to a write
/// of which an earlier sector is missing.
fn synced_after(path: &Path, bytes: &[u8], first: usize) -> Result<u64, error::StoreError> {
    let mut synced = 0;
    let mut offset = first;
    while offset < bytes.len() {
        match read_fragment(bytes, offset) {
            FragmentRead::Whole(fragment) => {
                synced = synced.max(fragment.synced);
                offset = fragment.end;
            }
            FragmentRead::Padding | FragmentRead::Missing => offset = sector_end(offset),
            FragmentRead::Damaged(message) => {
                return Err(record::damaged(path, offset, message.into()));
            }
        }
    }
    Ok(synced)
}

/// Returns the offset of the sector that follows the one with this offset.
fn sector_end(offset: usize) -> usize {
    (offset + 1).next_multiple_of(SECTOR_BYTES)
}

fn read_fragment(bytes: &[u8], offset: usize) -> FragmentRead<'_> {
    let sector_end = sector_end(offset);
    let sector = &bytes[offset..sector_end.min(bytes.len())];
    let written = sector.iter().rposition(|byte| *byte != 0);
    let written_bytes = written.map_or(0, |last| last + 1);
    if sector_end - offset < MIN_FRAGMENT_BYTES {
        return match written_bytes {
            0 => FragmentRead::Padding,
            _ => FragmentRead::Damaged("the end of a sector is not empty"),
        };
    }
    if written_bytes < HEADER_BYTES {
        return FragmentRead::Missing;
    }
    let (header, body) = sector.split_at(HEADER_BYTES);
    let read_u32 = |at: usize| {
        let field = header[at..at + 4].try_into();
        u32::from_le_bytes(field.expect("the slice has four bytes"))
    };
    if crc32fast::hash(&header[..15]) != read_u32(15) {
        return FragmentRead::Damaged("a fragment header does not match its checksum");
    }
    let length = usize::from(u16::from_le_bytes([header[0], header[1]]));
    let end = offset + HEADER_BYTES + length + 1;
    if end > sector_end {
        return FragmentRead::Damaged("a fragment crosses a sector");
    }
    if offset + written_bytes < end {
        return FragmentRead::Missing;
    }
    let part = &body[..length];
    if body[length] != END_BYTE || crc32fast::hash(part) != read_u32(11) {
        return FragmentRead::Damaged("a fragment does not match its checksum");
    }
    let synced = header[3..11].try_into();
    FragmentRead::Whole(Fragment {
        flags: header[2],
        synced: u64::from_le_bytes(synced.expect("the slice has eight bytes")),
        part,
        end,
    })
}
