//! Run counts of own targets, and their delivery to the leader.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_catalogue::rollout;
use hazeltiller_units::{ids, time};
use hazeltiller_wire::rollout as wire;
use indexmap::IndexMap;

use crate::{calls, event, health, reducer};

/// Interval between reports of a target of the new version, and of every target once no calls go to
/// the old version.
const NEW_VERSION_REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Interval between reports of a target of the old version; these are far more numerous.
const OLD_VERSION_REPORT_PERIOD: Duration = Duration::from_millis(1000);
/// HTTP status with which an overloaded target sheds a call.
const SHED_STATUS: u16 = 503;
/// Lowest HTTP status of a response that counts as failed.
const MIN_FAILED_STATUS: u16 = 500;

/// Run counts of one own target since its node learnt of the rollout.
#[derive(Debug, Clone)]
pub struct OwnTargetTally {
    service: ids::EntryName,
    order: ids::CatalogueVersion,
    version: Option<ids::SoftwareVersion>,
    is_new: bool,
    routes: IndexMap<ids::EntryName, wire::RouteTally>,
    sent_at: Option<time::MonotonicTime>,
}

/// Run counts of the own targets whose services have a running rollout.
#[derive(Debug, Clone, Default)]
pub struct RunTallyTable {
    targets: IndexMap<ids::TargetName, OwnTargetTally>,
    /// Number of the latest report message.
    sequence: u64,
}

impl RunTallyTable {
    /// Returns the counts of a target, which restart from zero for another order or version.
    pub fn target_tally(
        &mut self,
        target: &ids::TargetName,
        entry: &rollout::RolloutEntry,
        version: Option<&ids::SoftwareVersion>,
    ) -> &mut OwnTargetTally {
        let start_tally = || OwnTargetTally {
            service: entry.name.clone(),
            order: entry.order,
            version: version.cloned(),
            is_new: version == Some(&entry.to),
            routes: IndexMap::new(),
            sent_at: None,
        };
        let tally = self
            .targets
            .entry(target.clone())
            .or_insert_with(start_tally);
        if tally.order != entry.order || tally.version.as_ref() != version {
            *tally = start_tally();
        }
        tally
    }

    /// Drops the counts of targets whose rollout has ended.
    pub fn retain_running<'a>(
        &mut self,
        running: impl Fn(&ids::EntryName) -> Option<&'a rollout::RolloutEntry>,
    ) {
        self.targets.retain(|_, tally| {
            running(&tally.service).is_some_and(|entry| entry.order == tally.order)
        });
    }

    /// Returns the run counts of each own target with its service and version, by route.
    pub fn iter(
        &self,
    ) -> impl Iterator<
        Item = (
            &ids::EntryName,
            Option<&ids::SoftwareVersion>,
            &wire::RouteTally,
        ),
    > {
        self.targets.values().flat_map(|tally| {
            let routes = tally.routes.values();
            routes.map(|route| (&tally.service, tally.version.as_ref(), route))
        })
    }
}

impl OwnTargetTally {
    /// Counts a completed run. Results that say nothing about the version are left out: shed calls,
    /// truncated or invalid responses, and connections that failed or broke.
    pub fn record(&mut self, route: &ids::EntryName, duration: Duration, result: calls::RunResult) {
        let tally = self.routes.entry(route.clone());
        let tally = tally.or_insert_with(|| wire::RouteTally::new(route.clone()));
        let bucket = wire::latency_bucket(duration);
        match result {
            calls::RunResult::Done { status } if status != SHED_STATUS => {
                tally.answered += 1;
                tally.failed += u32::from(status >= MIN_FAILED_STATUS);
                tally.times[bucket] += 1;
            }
            calls::RunResult::TimedOut | calls::RunResult::CallerGone => {
                tally.given_up.resize(wire::LATENCY_BUCKETS, 0);
                tally.given_up[bucket] += 1;
            }
            _ => {}
        }
    }
}

/// Sends the reports that are due to a control.
pub(super) fn report(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    start_tallies(state);
    let now = state.now;
    let incarnation = state.settings.identity.incarnation;
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    // After the switch, the leader waits until no calls are left at the old targets, so they report
    // as often as the new ones.
    let is_draining = |tally: &OwnTargetTally| {
        let entry = in_force.rollout(&tally.service);
        entry.is_some_and(|entry| entry.phase == rollout::RolloutPhase::Switched)
    };
    let is_due = |tally: &OwnTargetTally| {
        let period = if tally.is_new || is_draining(tally) {
            NEW_VERSION_REPORT_PERIOD
        } else {
            OLD_VERSION_REPORT_PERIOD
        };
        tally.sent_at.is_none_or(|last| now.since(last) >= period)
    };
    let due_targets: Vec<ids::TargetName> = state
        .rollout
        .tallies
        .targets
        .iter()
        .filter(|(_, tally)| is_due(tally))
        .map(|(target, _)| target.clone())
        .collect();
    if due_targets.is_empty() {
        return;
    }
    state.rollout.tallies.sequence += 1;
    let stamp = (incarnation, state.rollout.tallies.sequence);
    let mut tallies = Vec::new();
    for target in due_targets {
        let in_flight = super::in_flight(state, &target);
        let is_failing = health::is_failing(state, &target);
        let tally = &mut state.rollout.tallies.targets[&target];
        tally.sent_at = Some(now);
        tallies.push(wire::TargetTally {
            service: tally.service.clone(),
            order: tally.order,
            target,
            version: tally.version.clone(),
            stamp,
            in_flight,
            is_failing,
            routes: tally.routes.values().cloned().collect(),
        });
    }
    let message = wire::RolloutMessage {
        tallies,
        is_passed_on: false,
    };
    if state.settings.identity.is_control {
        super::receive(state, message, output);
    } else if let Some(control) = nearest_control(state) {
        output.send(control, super::peer_message(message));
    }
}

/// Creates the counts of each own target whose service has a running rollout, so that it reports
/// even before its first run.
fn start_tallies(state: &mut reducer::EngineState) {
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    for (name, own_target) in &state.membership.targets {
        let entry = in_force.rollout(&own_target.record.service);
        if let Some(entry) = entry.filter(|entry| entry.phase.is_running()) {
            let tallies = &mut state.rollout.tallies;
            tallies.target_tally(name, entry, own_target.record.version.as_ref());
        }
    }
    let own_targets = &state.membership.targets;
    let tallies = &mut state.rollout.tallies;
    tallies
        .targets
        .retain(|target, _| own_targets.contains_key(target));
}

/// Returns the address of a reachable control, preferably in the own data centre.
fn nearest_control(state: &reducer::EngineState) -> Option<SocketAddr> {
    let data_centre = &state.settings.identity.data_centre;
    let controls = state
        .membership
        .others()
        .map(|member| &member.record.identity)
        .filter(|identity| identity.is_control)
        .filter(|identity| state.membership.is_reachable(&identity.instance));
    let nearest =
        controls.min_by_key(|identity| (identity.data_centre != *data_centre, identity.address));
    nearest.map(|identity| identity.address)
}
