//! The hybrid logical clock stays consistent with causality even if the wall clocks disagree.

use hazeltiller_units::time;
use hazeltiller_wire::message;

fn at(wall: u64, count: u32) -> message::HybridTime {
    message::HybridTime {
        wall: time::WallTime(wall),
        count,
    }
}

#[test]
fn merge_table() {
    let table = [
        // own time, received time, wall clock, expected
        (at(5, 3), at(4, 9), 5, at(5, 4)),
        (at(5, 3), at(7, 9), 6, at(7, 10)),
        (at(5, 3), at(7, 9), 8, at(8, 0)),
        // A received time that is more than a minute ahead is ignored.
        (at(5, 3), at(60_007, 0), 6, at(6, 0)),
        (at(5, 3), at(u64::MAX, u32::MAX), 5, at(5, 4)),
        // A counter at its maximum carries over into the wall time instead of overflowing.
        (at(5, 3), at(7, u32::MAX), 6, at(8, 0)),
    ];
    for (own, sent, wall, expected) in table {
        let merged = own.merge(sent, time::WallTime(wall));
        assert_eq!(merged, expected, "{own:?} {sent:?} {wall}");
        assert!(merged > own);
    }
}
