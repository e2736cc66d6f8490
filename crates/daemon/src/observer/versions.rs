//! When versions of the catalogue came into force on this process, and whence they came.
//!
//! All of them are recorded in the timeline. The log gets one line per interval at most: the first
//! one at once, and of those that follow within the interval the last one.

use std::time::Duration;

use hazeltiller_catalogue::state as catalogue_state;
use hazeltiller_engine::{
    dissemination,
    timeline::{TimelineEvent, VersionSource},
};
use hazeltiller_units::time;

use crate::timeline;

/// Shortest time between two log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the log lines about versions in force.
#[derive(Debug, Default)]
pub(super) struct VersionMonitor {
    /// When the message that is being processed was sent, by the clock of its sender.
    pub(super) frame_sent_at: Option<time::WallTime>,
    logged_at: Option<time::MonotonicTime>,
    /// The latest version without a line.
    held_record: Option<timeline::TimelineRecord>,
    /// Number of earlier versions without a line.
    passed_over: u64,
}

impl VersionMonitor {
    /// Returns the event of a version that came into force now.
    pub(super) fn describe(
        &self,
        catalogue: &catalogue_state::CatalogueState,
        origin: &dissemination::VersionOrigin,
        behind: Option<Duration>,
    ) -> TimelineEvent {
        let now = time::WallTime::now();
        let (source, from, change, accepted_at_ms) = match origin {
            dissemination::VersionOrigin::Log {
                change,
                accepted_at_ms,
            } => (
                VersionSource::Log,
                None,
                Some(change.clone()),
                Some(*accepted_at_ms),
            ),
            dissemination::VersionOrigin::LogSnapshot => {
                (VersionSource::LogSnapshot, None, None, None)
            }
            dissemination::VersionOrigin::Peer { from, is_parent } => {
                let source = if *is_parent {
                    VersionSource::Parent
                } else {
                    VersionSource::Pull
                };
                (source, Some(from.clone()), None, None)
            }
        };
        let frame_sent_at = self.frame_sent_at.filter(|_| from.is_some());
        TimelineEvent::VersionInForce {
            version: catalogue.version,
            digest: catalogue.digest,
            source: Some(source),
            from,
            change,
            after_ms: accepted_at_ms.map(|accepted| now.0.saturating_sub(accepted)),
            frame_ms: frame_sent_at.map(|sent| now.0.saturating_sub(sent.0)),
            behind_ms: behind.map(|behind| behind.as_millis() as u64),
            passed_over: 0,
        }
    }

    /// Logs a recorded version, at once or later.
    pub(super) fn add(
        &mut self,
        record: timeline::TimelineRecord,
        now: time::MonotonicTime,
        timeline: &timeline::Timeline,
    ) {
        if self.held_record.replace(record).is_some() {
            self.passed_over += 1;
        }
        self.report(now, timeline);
    }

    /// Logs the held version once the interval is over.
    pub(super) fn report(&mut self, now: time::MonotonicTime, timeline: &timeline::Timeline) {
        let is_due = |logged: time::MonotonicTime| now.since(logged) >= LINE_INTERVAL;
        if !self.logged_at.is_none_or(is_due) {
            return;
        }
        let Some(mut record) = self.held_record.take() else {
            return;
        };
        if let TimelineEvent::VersionInForce { passed_over, .. } = &mut record.event {
            *passed_over = std::mem::take(&mut self.passed_over);
        }
        self.logged_at = Some(now);
        timeline.log(&record);
    }
}
