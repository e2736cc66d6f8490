//! Documents of operators, packed against the revision before.
//!
//! An operator sends its whole document with every change, mostly the same text as before. Packed
//! with the previous one as dictionary it goes through the log as little more than what differs.

use snafu::{OptionExt, ResultExt, Snafu};

/// Compression level: the fastest of those that find long matches in the dictionary.
const LEVEL: i32 = 3;
/// Largest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Why a packed document cannot be read.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// It is damaged, or was packed against another document.
    #[snafu(display("the document does not fit the one before it: {source}"))]
    Unpack {
        /// Why.
        source: std::io::Error,
    },
    /// It does not say its size, or says one above the bound.
    #[snafu(display("the document's size is missing or above {MAX_DOCUMENT_BYTES} bytes"))]
    Sizeless,
    /// It is no text.
    #[snafu(display("the document is no text"))]
    NoText,
}

/// Packs a document against the one before it.
pub fn pack(document: &str, previous: &str) -> Vec<u8> {
    let packed = zstd::bulk::Compressor::with_dictionary(LEVEL, previous.as_bytes())
        .and_then(|mut compressor| compressor.compress(document.as_bytes()));
    packed.expect("memory holds the document twice")
}

/// Unpacks what [`pack`] made against the same document.
pub fn unpack(packed: &[u8], previous: &str) -> Result<String, DocumentError> {
    let size = zstd::zstd_safe::get_frame_content_size(packed);
    let size = size.ok().flatten().context(SizelessSnafu)?;
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    snafu::ensure!(size <= MAX_DOCUMENT_BYTES, SizelessSnafu);
    let bytes = zstd::bulk::Decompressor::with_dictionary(previous.as_bytes())
        .and_then(|mut decompressor| decompressor.decompress(packed, size))
        .context(UnpackSnafu)?;
    String::from_utf8(bytes).ok().context(NoTextSnafu)
}
