//! File of the withdrawal notices that a control holds for other nodes.
//!
//! Each write replaces the whole file, which is small: notices end a minute after their target has
//! left.

use std::path::{Path, PathBuf};

use hazeltiller_wire::membership as wire;

use crate::{error, file, record};

const NOTICES_FILE: &str = "notices";

/// Storage of notices. A trait, so that tests can substitute a failing disk.
pub trait NoticeStore: Send {
    /// Replaces the stored notices; the new ones are durable once this returns.
    fn replace(&mut self, notices: &[wire::StoredNotice]) -> Result<(), error::StoreError>;
}

/// Notice storage in a data folder.
#[derive(Debug)]
pub struct NoticeFile {
    folder: PathBuf,
}

impl NoticeFile {
    /// Opens the file in a folder and reads its notices. A missing file holds none. A file that cannot
    /// be read is reported and counts as missing, since other controls hold the same notices.
    pub fn open(folder: &Path) -> (Self, Vec<wire::StoredNotice>) {
        let folder = folder.to_owned();
        let path = folder.join(NOTICES_FILE);
        let notices = if path.exists() {
            read(&path).unwrap_or_else(|error| {
                log::warn!("{}: {error}; no notice is taken from it", error.code());
                Vec::new()
            })
        } else {
            Vec::new()
        };
        (Self { folder }, notices)
    }
}

impl NoticeStore for NoticeFile {
    fn replace(&mut self, notices: &[wire::StoredNotice]) -> Result<(), error::StoreError> {
        let mut bytes = record::file_header(record::NOTICES_MAGIC);
        record::push_record(&mut bytes, &notices);
        file::replace_file(&self.folder, NOTICES_FILE, &bytes)
    }
}

fn read(path: &Path) -> Result<Vec<wire::StoredNotice>, error::StoreError> {
    let bytes = file::read_file(path)?;
    record::check_header(path, &bytes, record::NOTICES_MAGIC)?;
    match record::read_record(path, &bytes, record::FILE_HEADER_BYTES)? {
        record::RecordRead::Complete { value, .. } => Ok(value),
        _ => {
            let message = "the record is incomplete".into();
            Err(record::damaged(path, record::FILE_HEADER_BYTES, message))
        }
    }
}
