//! Errors of the store, and the result code of each.

use std::{io, path::PathBuf};

use hazeltiller_units::code;
use snafu::Snafu;

/// An error of the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("{action} {} failed: {source}", path.display()))]
    Disk {
        /// The operation.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A record that may have been acknowledged is damaged.
    #[snafu(display(
        "{} is damaged at byte {offset}: {message}; move the folder away, start the instance \
         with an empty one, then remove it from the control group and add it again \
         (docs/operators/control.md)",
        path.display()
    ))]
    Damaged {
        /// The damaged file.
        path: PathBuf,
        /// Offset of the damaged record, in bytes.
        offset: u64,
        /// What does not match.
        message: String,
    },
    /// Another process holds the lock of the data folder.
    #[snafu(display("{} is locked by another process", path.display()))]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The file has a format version that this build does not support.
    #[snafu(display(
        "{} is not in format version {}",
        path.display(),
        crate::record::FORMAT_VERSION
    ))]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
    },
    /// An earlier write failed, and only a full rewrite is accepted.
    #[snafu(display(
        "an earlier write to {} failed; nothing is stored until a full rewrite",
        path.display()
    ))]
    Stopped {
        /// The data folder.
        path: PathBuf,
    },
}

impl StoreError {
    /// Returns the result code of the error.
    pub fn code(&self) -> code::ResultCode {
        match self {
            Self::Disk { .. } | Self::Stopped { .. } => code::ResultCode::StoreFailed,
            Self::Damaged { .. } => code::ResultCode::StoreDamaged,
            Self::Locked { .. } => code::ResultCode::StoreLocked,
            Self::UnsupportedFormat { .. } => code::ResultCode::StoreFormat,
        }
    }
}
