//! Encoding of messages: postcard in length-prefixed frames, with larger bodies compressed.
//!
//! The length is checked before anything is allocated, and the decompressed size is limited as
//! well, so that a faulty peer can break its own link but not exhaust this process's memory.

use base64::{Engine, engine};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Maximum size of a frame in bytes, both compressed and decompressed.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Size of the length prefix of a frame: a little-endian 32-bit number.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// Minimum size of an encoded message, in bytes, for it to be compressed.
const MIN_COMPRESSED_BYTES: usize = 512;
const COMPRESSION_LEVEL: i32 = 1;
/// Encoding of header values. Base64 adds a third to the size; hexadecimal would double it.
const HEADER_ENCODING: engine::GeneralPurpose = engine::general_purpose::URL_SAFE_NO_PAD;
/// First byte of a body that is not compressed.
const UNCOMPRESSED_TAG: u8 = 0;
/// First byte of a body that is compressed with Zstandard.
const COMPRESSED_TAG: u8 = 1;

/// Reason why bytes cannot be decoded as a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[snafu(display("a frame of {size} bytes is over the limit of {MAX_FRAME_BYTES}"))]
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
    },
    /// The bytes are not a valid message of this protocol version.
    #[snafu(display("the frame cannot be read: {message}"))]
    Malformed {
        /// Description of the error.
        message: String,
    },
}

/// Returns the encoded size of a value in bytes, before compression and without the frame's
/// overhead.
pub fn encoded_size<T: Serialize>(value: &T) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(value, size)
        .expect("messages contain no sequences of unknown length")
}

/// Encodes a value as the body of a frame, without the length prefix.
pub fn encode_body<T: Serialize>(value: &T) -> Vec<u8> {
    let plain =
        postcard::to_stdvec(value).expect("messages contain no sequences of unknown length");
    if plain.len() >= MIN_COMPRESSED_BYTES {
        let compressed = zstd::bulk::compress(&plain, COMPRESSION_LEVEL);
        if let Ok(mut compressed) = compressed {
            compressed.insert(0, COMPRESSED_TAG);
            return compressed;
        }
    }
    let mut body = Vec::with_capacity(plain.len() + 1);
    body.push(UNCOMPRESSED_TAG);
    body.extend_from_slice(&plain);
    body
}

/// Encodes a value as a complete frame, including the length prefix.
pub fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let body = encode_body(value);
    let mut frame = Vec::with_capacity(body.len() + LENGTH_PREFIX_BYTES);
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Decodes a length prefix. Rejects lengths above [`MAX_FRAME_BYTES`].
pub fn frame_length(prefix: [u8; LENGTH_PREFIX_BYTES]) -> Result<usize, CodecError> {
    let size = u32::from_le_bytes(prefix) as usize;
    if size > MAX_FRAME_BYTES {
        Err(CodecError::TooLarge { size })
    } else {
        Ok(size)
    }
}

/// Decodes the body of a frame.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    let Some((tag, payload)) = body.split_first() else {
        return Err(CodecError::Malformed {
            message: "the body is empty".into(),
        });
    };
    match *tag {
        UNCOMPRESSED_TAG => decode_plain(payload),
        COMPRESSED_TAG => {
            let size = decompressed_size(payload)?;
            let plain =
                zstd::bulk::decompress(payload, size).map_err(|error| CodecError::Malformed {
                    message: error.to_string(),
                })?;
            decode_plain(&plain)
        }
        other => Err(CodecError::Malformed {
            message: format!("unknown compression tag {other}"),
        }),
    }
}

/// Returns the decompressed size that a compressed body declares in its Zstandard header.
///
/// Decompression fails if the data turns out larger than declared, so the memory that is allocated
/// is bounded by the declared size and by [`MAX_FRAME_BYTES`].
fn decompressed_size(compressed: &[u8]) -> Result<usize, CodecError> {
    match zstd::zstd_safe::get_frame_content_size(compressed) {
        Ok(Some(size)) if size <= MAX_FRAME_BYTES as u64 => Ok(size as usize),
        Ok(Some(size)) => Err(CodecError::TooLarge {
            size: size as usize,
        }),
        _ => Err(CodecError::Malformed {
            message: "a compressed frame does not declare its size".into(),
        }),
    }
}

fn decode_plain<T: DeserializeOwned>(plain: &[u8]) -> Result<T, CodecError> {
    let malformed = |message: String| CodecError::Malformed { message };
    let (value, rest) =
        postcard::take_from_bytes(plain).map_err(|error| malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        let message = format!("{} bytes follow the message", rest.len());
        Err(malformed(message))
    }
}

/// Encodes a value as the text of an HTTP header.
pub fn encode_header<T: Serialize>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("headers contain no sequences of unknown length");
    HEADER_ENCODING.encode(bytes)
}

/// Decodes the text of an HTTP header.
pub fn decode_header<T: DeserializeOwned>(text: &str) -> Result<T, CodecError> {
    let bytes = HEADER_ENCODING
        .decode(text)
        .map_err(|error| CodecError::Malformed {
            message: error.to_string(),
        })?;
    decode_plain(&bytes)
}
