//! Decoding of frames between processes and of the handshake messages before them.

#![no_main]

use hazeltiller_wire::{codec, handshake, message};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    if let Ok(frame) = codec::decode_body::<message::PeerFrame>(bytes) {
        let encoded = codec::encode_body(&frame);
        assert!(codec::decode_body::<message::PeerFrame>(&encoded).is_ok());
    }
    drop(codec::decode_body::<handshake::LinkHello>(bytes));
    drop(codec::decode_body::<handshake::LinkChallenge>(bytes));
    drop(codec::decode_body::<handshake::LinkProof>(bytes));
});
