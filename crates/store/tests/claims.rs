//! Tests the claims file: reading it back, truncated tails, damage and rewriting.

use std::path::Path;

use hazeltiller_store::claims::{self, ClaimStore};
use hazeltiller_units::ids;
use hazeltiller_wire::ledger::{ClaimId, ClaimRecord, ClaimsCompleteness, RequestDigest};

fn claim(number: u64) -> ClaimId {
    ClaimId {
        incarnation: ids::IncarnationNumber(1),
        number,
        node: "127.0.0.1:7000".parse().expect("valid address"),
    }
}

fn stored_record(number: u8) -> ClaimRecord {
    ClaimRecord::Kept(RequestDigest([number; 16]), claim(u64::from(number)))
}

fn write_claims(folder: &Path) {
    let (mut file, recovered) = claims::ClaimFile::open(folder, true).expect("the folder is empty");
    assert_eq!(recovered.completeness, ClaimsCompleteness::Unproven);
    assert!(recovered.claims.is_empty());
    file.append(&[ClaimRecord::Standing(ClaimsCompleteness::Whole)])
        .expect("the write succeeds");
    file.append(&[stored_record(1), stored_record(2)])
        .expect("the write succeeds");
    file.append(&[stored_record(3)])
        .expect("the write succeeds");
    let done = ClaimRecord::Done(RequestDigest([2; 16]), claim(2));
    let released = ClaimRecord::Released(RequestDigest([1; 16]), claim(1));
    file.append(&[done, released]).expect("the write succeeds");
}

fn reopen(folder: &Path) -> (Vec<u8>, bool) {
    let (_file, recovered) = claims::ClaimFile::open(folder, false).expect("the file opens");
    let numbers = recovered.claims.keys().map(|request| request.0[0]);
    (
        numbers.collect(),
        recovered.completeness == ClaimsCompleteness::Whole,
    )
}

#[test]
fn claims_restored() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    write_claims(folder.path());
    let (_file, recovered) = claims::ClaimFile::open(folder.path(), false).expect("the file opens");
    assert!(recovered.claims[&RequestDigest([2; 16])].is_done);
    assert!(!recovered.claims[&RequestDigest([3; 16])].is_done);
    assert_eq!(reopen(folder.path()), (vec![2, 3], true));
}

#[test]
fn torn_tail() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    write_claims(folder.path());
    let path = folder.path().join("claims");
    let whole = std::fs::read(&path).expect("the file exists");
    for (cut, zeros) in (1..20).flat_map(|cut| [(cut, 0), (cut, 4096)]) {
        let mut bytes = whole[..whole.len() - cut].to_vec();
        bytes.resize(bytes.len() + zeros, 0);
        std::fs::write(&path, bytes).expect("the folder is writable");
        let (numbers, is_complete) = reopen(folder.path());
        assert!(
            numbers.ends_with(&[2, 3]) && is_complete,
            "{cut} bytes truncated: {numbers:?}"
        );
    }
}

#[test]
fn damage_reported_lost() {
    for offset in [0, 12, 30, 60] {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        write_claims(folder.path());
        let path = folder.path().join("claims");
        let mut bytes = std::fs::read(&path).expect("the file exists");
        bytes[offset] ^= 0x55;
        std::fs::write(&path, bytes).expect("the folder is writable");
        assert_eq!(reopen(folder.path()), (vec![], false), "byte {offset}");
        assert_eq!(
            reopen(folder.path()),
            (vec![], false),
            "the loss is permanent"
        );
    }
}

/// If any byte before the last record is damaged, the claims are not reported as complete.
#[test]
fn any_byte_damaged() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    write_claims(folder.path());
    let path = folder.path().join("claims");
    let whole = std::fs::read(&path).expect("the file exists");
    let last = ClaimRecord::Released(RequestDigest([1; 16]), claim(1));
    let last = postcard::to_stdvec(&last).expect("claim records hold no maps");
    let header_bytes = 8;
    for offset in 0..whole.len() - last.len() - header_bytes {
        for flip in [0x01, 0x55, 0xff] {
            let mut bytes = whole.clone();
            bytes[offset] ^= flip;
            std::fs::write(&path, bytes).expect("the folder is writable");
            assert_eq!(reopen(folder.path()), (vec![], false), "byte {offset}");
        }
    }
}

#[test]
fn rewrite_replaces() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    write_claims(folder.path());
    let (mut file, _recovered) =
        claims::ClaimFile::open(folder.path(), false).expect("the file opens");
    let whole = [
        ClaimRecord::Standing(ClaimsCompleteness::Whole),
        stored_record(3),
    ];
    file.rewrite(&whole).expect("the write succeeds");
    file.append(&[stored_record(4)])
        .expect("the write succeeds");
    assert_eq!(reopen(folder.path()), (vec![3, 4], true));
}

#[test]
fn lost_folder() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    assert_eq!(reopen(folder.path()), (vec![], false));
}

/// A file without fragments, as earlier versions wrote it, is read and replaced.
#[test]
fn undivided_claims_converted() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let path = folder.path().join("claims");
    let mut bytes = b"hzclaim1".to_vec();
    let done = ClaimRecord::Done(RequestDigest([2; 16]), claim(2));
    let whole = ClaimRecord::Standing(ClaimsCompleteness::Whole);
    for record in [whole, stored_record(1), stored_record(2), done] {
        let body = postcard::to_stdvec(&record).expect("claim records hold no maps");
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
    }
    std::fs::write(&path, &bytes).expect("the folder is writable");
    for _ in 0..2 {
        let opened = claims::ClaimFile::open(folder.path(), false);
        let (_file, recovered) = opened.expect("the file opens");
        assert_eq!(recovered.completeness, ClaimsCompleteness::Whole);
        assert!(!recovered.claims[&RequestDigest([1; 16])].is_done);
        assert!(recovered.claims[&RequestDigest([2; 16])].is_done);
    }
    let converted = std::fs::read(&path).expect("the file exists");
    assert!(converted.starts_with(b"hzclaim2"));
}
