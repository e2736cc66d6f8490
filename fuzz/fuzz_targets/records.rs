//! Records of the log on disk.

#![no_main]

use std::path::Path;

use hazeltiller_store::record;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let path = Path::new("log");
    let mut offset = 0;
    while let Ok(record::RecordRead::Complete { next, .. }) =
        record::read_record::<record::LogRecord>(path, bytes, offset)
    {
        assert!(next > offset);
        offset = next;
    }
    drop(record::check_header(path, bytes, record::LOG_MAGIC));
});
