//! Reading of records and the file header of the log on disk.

#![no_main]

use std::path::Path;

use hazeltiller_store::{record, sector};
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
    if let Ok(content) = sector::read_records(path, bytes, 0) {
        assert!(content.valid_bytes <= bytes.len());
    }
    drop(record::check_header(path, bytes, record::LOG_MAGIC));
});
