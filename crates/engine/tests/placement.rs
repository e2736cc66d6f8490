//! Calls that ask for a place at their target first, and the time for the answer.

use std::time::Duration;

use hazeltiller_engine::{
    routing::{placement, table},
    settings,
};

const MAX_ANSWER_TIME: Duration = Duration::from_millis(150);

#[test]
fn asks_by_size() {
    let mut tunables = settings::PlacementTunables::default();
    let known = placement::AnswerTimes::default();
    let mut silent = known;
    silent.record_silence();
    for distance in table::TargetDistance::ALL {
        assert!(
            !placement::asks_first(&tunables, distance, u64::MAX, silent),
            "off by default"
        );
    }
    tunables.far_body_bytes = 1024;
    let rows = [
        (table::TargetDistance::SameDataCentre, 4096, false),
        (table::TargetDistance::SameRegion, 1023, false),
        (table::TargetDistance::SameRegion, 1024, true),
        (table::TargetDistance::Remote, 4096, true),
    ];
    for (distance, body_bytes, expected) in rows {
        let asks_first = placement::asks_first(&tunables, distance, body_bytes, known);
        assert_eq!(asks_first, expected, "{distance:?} {body_bytes}");
    }
    let [near, far, _] = table::TargetDistance::ALL;
    assert!(
        placement::asks_first(&tunables, far, 0, silent),
        "every call asks a node that has not answered"
    );
    assert!(!placement::asks_first(&tunables, near, 0, silent));
    tunables.near_body_bytes = 4096;
    assert!(placement::asks_first(&tunables, near, 4096, known));
}

/// A question on a link that has become congested is given up long before the call's deadline.
#[test]
fn answer_time_measured() {
    let mut times = placement::AnswerTimes::default();
    assert_eq!(times.answer_time(MAX_ANSWER_TIME), MAX_ANSWER_TIME);
    for _ in 0..50 {
        times.record_answer(Duration::from_millis(10));
    }
    let usual = times.answer_time(MAX_ANSWER_TIME);
    assert!(usual < Duration::from_millis(40), "{usual:?}");
    for _ in 0..50 {
        times.record_answer(Duration::from_millis(60));
    }
    let slower = times.answer_time(MAX_ANSWER_TIME);
    assert!(slower >= Duration::from_millis(60), "{slower:?}");
}

/// A node that stays silent gets more time, up to the limit, and then counts as unreachable until
/// it answers.
#[test]
fn silence_counted() {
    let mut times = placement::AnswerTimes::default();
    times.record_answer(Duration::from_millis(10));
    let mut waited = Duration::ZERO;
    for _ in 0..3 {
        assert!(!times.is_unreachable());
        assert!(times.answer_time(MAX_ANSWER_TIME) > waited);
        waited = times.answer_time(MAX_ANSWER_TIME);
        times.record_silence();
    }
    assert!(times.is_unreachable());
    assert_eq!(times.answer_time(MAX_ANSWER_TIME), MAX_ANSWER_TIME);
    times.record_answer(Duration::from_millis(10));
    assert!(!times.is_unreachable());
}
