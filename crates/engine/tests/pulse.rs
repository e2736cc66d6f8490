//! How long a link's sign of life is waited for.

use std::time::Duration;

use hazeltiller_engine::calls::pulse;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn quick_link() {
    let mut link = pulse::LinkPulse::default();
    assert!(link.patience() > millis(300), "nothing is known of it yet");
    (0..20).for_each(|_| link.note(millis(2)));
    assert_eq!(link.patience(), millis(200));
}

/// A link that is choked more and more is not in doubt for that: what it takes grows with what it took.
#[test]
fn choking_link() {
    let mut link = pulse::LinkPulse::default();
    (0..20).for_each(|_| link.note(millis(4)));
    for took in (10..900).step_by(20) {
        let took = millis(took);
        assert!(took < link.patience(), "{took:?} of {:?}", link.patience());
        link.note(took);
    }
}
