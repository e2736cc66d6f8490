//! The file of claims: read back, cut, damaged, rewritten.

use std::path::Path;

use hazeltiller_store::claims::{self, ClaimStore};
use hazeltiller_units::ids;
use hazeltiller_wire::ledger::{ClaimId, ClaimRecord, ClaimsStanding, RequestDigest};

fn claim(number: u64) -> ClaimId {
    ClaimId {
        incarnation: ids::IncarnationNumber(1),
        number,
        node: "127.0.0.1:7000".parse().expect("it is an address"),
    }
}

fn kept(number: u8) -> ClaimRecord {
    ClaimRecord::Kept(RequestDigest([number; 16]), claim(u64::from(number)))
}

fn filled(folder: &Path) {
    let (mut file, recovered) = claims::ClaimFile::open(folder, true).expect("a fresh folder");
    assert_eq!(recovered.standing, ClaimsStanding::Unproven);
    assert!(recovered.claims.is_empty());
    file.append(&[ClaimRecord::Standing(ClaimsStanding::Whole)])
        .expect("a sound disk");
    file.append(&[kept(1), kept(2)]).expect("a sound disk");
    file.append(&[kept(3)]).expect("a sound disk");
    let done = ClaimRecord::Done(RequestDigest([2; 16]), claim(2));
    let released = ClaimRecord::Released(RequestDigest([1; 16]), claim(1));
    file.append(&[done, released]).expect("a sound disk");
}

fn reopened(folder: &Path) -> (Vec<u8>, bool) {
    let (_file, recovered) = claims::ClaimFile::open(folder, false).expect("a sound disk");
    let numbers = recovered.claims.keys().map(|request| request.0[0]);
    (
        numbers.collect(),
        recovered.standing == ClaimsStanding::Whole,
    )
}

#[test]
fn read_back() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    filled(folder.path());
    let (_file, recovered) = claims::ClaimFile::open(folder.path(), false).expect("sound");
    assert!(recovered.claims[&RequestDigest([2; 16])].is_done);
    assert!(!recovered.claims[&RequestDigest([3; 16])].is_done);
    assert_eq!(reopened(folder.path()), (vec![2, 3], true));
}

#[test]
fn torn_tail() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    filled(folder.path());
    let path = folder.path().join("claims");
    let whole = std::fs::read(&path).expect("it was written");
    for (cut, zeros) in (1..20).flat_map(|cut| [(cut, 0), (cut, 4096)]) {
        let mut bytes = whole[..whole.len() - cut].to_vec();
        bytes.resize(bytes.len() + zeros, 0);
        std::fs::write(&path, bytes).expect("it can be written");
        let (numbers, is_whole) = reopened(folder.path());
        assert!(
            numbers.ends_with(&[2, 3]) && is_whole,
            "{cut} bytes are gone: {numbers:?}"
        );
    }
}

#[test]
fn damage_is_no_memory() {
    for place in [0, 12, 30, 60] {
        let folder = tempfile::tempdir().expect("a temporary folder");
        filled(folder.path());
        let path = folder.path().join("claims");
        let mut bytes = std::fs::read(&path).expect("it was written");
        bytes[place] ^= 0x55;
        std::fs::write(&path, bytes).expect("it can be written");
        assert_eq!(reopened(folder.path()), (vec![], false), "byte {place}");
        assert_eq!(reopened(folder.path()), (vec![], false), "it stays so");
    }
}

/// Wherever a byte before the last record is damaged, the claims do not pass for whole.
#[test]
fn any_byte_damaged() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    filled(folder.path());
    let path = folder.path().join("claims");
    let whole = std::fs::read(&path).expect("it was written");
    let last = ClaimRecord::Released(RequestDigest([1; 16]), claim(1));
    let last = postcard::to_stdvec(&last).expect("records hold no maps");
    let header_bytes = 8;
    for place in 0..whole.len() - last.len() - header_bytes {
        for flip in [0x01, 0x55, 0xff] {
            let mut bytes = whole.clone();
            bytes[place] ^= flip;
            std::fs::write(&path, bytes).expect("it can be written");
            assert_eq!(reopened(folder.path()), (vec![], false), "byte {place}");
        }
    }
}

#[test]
fn rewritten() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    filled(folder.path());
    let (mut file, _recovered) = claims::ClaimFile::open(folder.path(), false).expect("sound");
    let whole = [ClaimRecord::Standing(ClaimsStanding::Whole), kept(3)];
    file.rewrite(&whole).expect("a sound disk");
    file.append(&[kept(4)]).expect("a sound disk");
    assert_eq!(reopened(folder.path()), (vec![3, 4], true));
}

#[test]
fn lost_folder() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    assert_eq!(reopened(folder.path()), (vec![], false));
}
