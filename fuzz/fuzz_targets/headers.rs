//! Decoding of the HTTP headers that nodes exchange.

#![no_main]

use hazeltiller_wire::{calls, codec, message, signals};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    if let Ok(offer) = codec::decode_header::<calls::CallOffer>(text) {
        let encoded = codec::encode_header(&offer);
        assert_eq!(codec::decode_header(&encoded), Ok(offer));
    }
    drop(codec::decode_header::<calls::CallRefusal>(text));
    drop(codec::decode_header::<calls::LoadReport>(text));
    drop(codec::decode_header::<calls::RoomReport>(text));
    drop(codec::decode_header::<message::HybridTime>(text));
    drop(codec::decode_header::<signals::SignalReport>(text));
});
