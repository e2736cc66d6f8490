//! Messages as bytes: postcard in a length-prefixed frame, compressed where that pays.
//!
//! The length is checked before anything is allocated, and what a compressed frame may grow to is
//! bounded too, so that a broken peer costs its own link and nothing else.

use base64::{Engine, engine};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Largest frame, in bytes, compressed or not.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Bytes before a frame: its length, as a little-endian 32-bit number.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// From this size on a frame is compressed.
const COMPRESS_FROM: usize = 512;
const COMPRESSION_LEVEL: i32 = 1;
/// How bytes become a header's text: a third longer, where hexadecimal would double them.
const HEADER_TEXT: engine::GeneralPurpose = engine::general_purpose::URL_SAFE_NO_PAD;
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Why bytes are not a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// The frame is larger than allowed.
    #[snafu(display("a frame of {size} bytes is over the limit of {MAX_FRAME_BYTES}"))]
    TooLarge {
        /// Its size.
        size: usize,
    },
    /// The bytes are no message of this version.
    #[snafu(display("the frame cannot be read: {message}"))]
    Malformed {
        /// What was wrong.
        message: String,
    },
}

/// Bytes of a value in a frame before it is compressed.
pub fn encoded_size<T: Serialize>(value: &T) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(value, size).expect("messages hold no maps of unknown length")
}

/// A frame without its length prefix.
pub fn encode_body<T: Serialize>(value: &T) -> Vec<u8> {
    let plain = postcard::to_stdvec(value).expect("messages hold no maps of unknown length");
    if plain.len() >= COMPRESS_FROM {
        let compressed = zstd::bulk::compress(&plain, COMPRESSION_LEVEL);
        if let Ok(mut compressed) = compressed {
            compressed.insert(0, COMPRESSED);
            return compressed;
        }
    }
    let mut body = Vec::with_capacity(plain.len() + 1);
    body.push(PLAIN);
    body.extend_from_slice(&plain);
    body
}

/// A frame with its length prefix, ready to be written.
pub fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let body = encode_body(value);
    let mut frame = Vec::with_capacity(body.len() + LENGTH_PREFIX_BYTES);
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Length of the body behind a prefix, if it is within the limit.
pub fn frame_length(prefix: [u8; LENGTH_PREFIX_BYTES]) -> Result<usize, CodecError> {
    let size = u32::from_le_bytes(prefix) as usize;
    if size > MAX_FRAME_BYTES {
        Err(CodecError::TooLarge { size })
    } else {
        Ok(size)
    }
}

/// Reads a frame's body.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    let Some((form, rest)) = body.split_first() else {
        return Err(CodecError::Malformed {
            message: "it is empty".into(),
        });
    };
    match *form {
        PLAIN => decode_plain(rest),
        COMPRESSED => {
            let size = plain_size(rest)?;
            let plain =
                zstd::bulk::decompress(rest, size).map_err(|error| CodecError::Malformed {
                    message: error.to_string(),
                })?;
            decode_plain(&plain)
        }
        other => Err(CodecError::Malformed {
            message: format!("form {other} is unknown"),
        }),
    }
}

/// Size that a compressed frame grows to, as its own head says.
///
/// A frame that grows further than it says fails to decompress, so what is taken for it is bounded
/// by its own claim and by the limit.
fn plain_size(compressed: &[u8]) -> Result<usize, CodecError> {
    match zstd::zstd_safe::get_frame_content_size(compressed) {
        Ok(Some(size)) if size <= MAX_FRAME_BYTES as u64 => Ok(size as usize),
        Ok(Some(size)) => Err(CodecError::TooLarge {
            size: size as usize,
        }),
        _ => Err(CodecError::Malformed {
            message: "a compressed frame does not say its size".into(),
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

/// A value as text for a header.
pub fn encode_header<T: Serialize>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("headers hold no maps of unknown length");
    HEADER_TEXT.encode(bytes)
}

/// Reads a header's text.
pub fn decode_header<T: DeserializeOwned>(text: &str) -> Result<T, CodecError> {
    let bytes = HEADER_TEXT
        .decode(text)
        .map_err(|error| CodecError::Malformed {
            message: error.to_string(),
        })?;
    decode_plain(&bytes)
}
