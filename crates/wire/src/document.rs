//! Compression of operators' documents against the previous revision.
//!
//! An operator sends its whole document with every change, and most of the text is unchanged.
//! Compressed with the previous document as dictionary, it takes little more space in the
//! replicated log than the difference between the two.

use snafu::{OptionExt, ResultExt, Snafu};

/// Zstandard level: the fastest one that finds long matches in the dictionary.
const COMPRESSION_LEVEL: i32 = 3;
/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Reason why a packed document cannot be read.
#[derive(Debug, Snafu)]
pub enum DocumentError {
    /// The data is corrupt, or was compressed with another dictionary.
    #[snafu(display("cannot decompress the document against the previous revision: {source}"))]
    Unpack {
        /// The decompression error.
        source: std::io::Error,
    },
    /// The frame header has no content size, or one above the limit.
    #[snafu(display("the document's size is missing or above {MAX_DOCUMENT_BYTES} bytes"))]
    InvalidSize,
    /// The decompressed bytes are not UTF-8.
    #[snafu(display("the document is not valid UTF-8"))]
    NotUtf8,
}

/// Compresses a document with the previous one as dictionary.
pub fn pack(document: &str, previous: &str) -> Vec<u8> {
    let packed = zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, previous.as_bytes())
        .and_then(|mut compressor| compressor.compress(document.as_bytes()));
    packed.expect("compression into memory succeeds")
}

/// Reverses [`pack`], given the same previous document.
pub fn unpack(packed: &[u8], previous: &str) -> Result<String, DocumentError> {
    let size = zstd::zstd_safe::get_frame_content_size(packed);
    let size = size.ok().flatten().context(InvalidSizeSnafu)?;
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    snafu::ensure!(size <= MAX_DOCUMENT_BYTES, InvalidSizeSnafu);
    let bytes = zstd::bulk::Decompressor::with_dictionary(previous.as_bytes())
        .and_then(|mut decompressor| decompressor.decompress(packed, size))
        .context(UnpackSnafu)?;
    String::from_utf8(bytes).ok().context(NotUtf8Snafu)
}
