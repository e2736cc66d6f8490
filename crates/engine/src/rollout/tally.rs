//! Counts of the runs of own targets, and how they get to the leader.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_catalogue::rollout;
use hazeltiller_units::{ids, time};
use hazeltiller_wire::rollout as wire;
use indexmap::IndexMap;

use crate::{calls, event, health, reducer};

/// Time between two reports of a target of the new version, and of all once calls have left the old one.
const COMING_PERIOD: Duration = Duration::from_millis(250);
/// Time between two reports of another target: there are many more of them.
const PRESENT_PERIOD: Duration = Duration::from_millis(1000);
/// Status of an answer that says that the target has too much to do.
const SHED_STATUS: u16 = 503;
const FAILED_STATUS: u16 = 500;

/// Runs of one own target since its node learnt of the roll-out.
#[derive(Debug, Clone)]
pub struct OwnTally {
    service: ids::EntryName,
    order: ids::CatalogueVersion,
    version: Option<ids::SoftwareVersion>,
    is_new: bool,
    routes: IndexMap<ids::EntryName, wire::RouteTally>,
    sent: Option<time::MonotonicTime>,
}

/// Runs of own targets whose services have a roll-out under way.
#[derive(Debug, Clone, Default)]
pub struct TallyTable {
    targets: IndexMap<ids::TargetName, OwnTally>,
    sequence: u64,
}

impl TallyTable {
    /// The tally of a target; begun anew for another order or version.
    pub fn of_target(
        &mut self,
        target: &ids::TargetName,
        entry: &rollout::RolloutEntry,
        version: Option<&ids::SoftwareVersion>,
    ) -> &mut OwnTally {
        let begin = || OwnTally {
            service: entry.name.clone(),
            order: entry.order,
            version: version.cloned(),
            is_new: version == Some(&entry.to),
            routes: IndexMap::new(),
            sent: None,
        };
        let tally = self.targets.entry(target.clone()).or_insert_with(begin);
        if tally.order != entry.order || tally.version.as_ref() != version {
            *tally = begin();
        }
        tally
    }

    /// Forgets the targets whose roll-out is over.
    pub fn keep_running<'a>(
        &mut self,
        running: impl Fn(&ids::EntryName) -> Option<&'a rollout::RolloutEntry>,
    ) {
        self.targets.retain(|_, tally| {
            running(&tally.service).is_some_and(|entry| entry.order == tally.order)
        });
    }

    /// Runs of each own target: its service, its version and its routes.
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

impl OwnTally {
    /// Notes how a run ended. What tells nothing of the version is left out: a target that sheds, an
    /// answer that was lost or spoilt on its way, a connection that broke.
    pub fn note(&mut self, route: &ids::EntryName, took: Duration, result: calls::RunResult) {
        let tally = self.routes.entry(route.clone());
        let tally = tally.or_insert_with(|| wire::RouteTally::new(route.clone()));
        let class = wire::time_class(took);
        match result {
            calls::RunResult::Done { status } if status != SHED_STATUS => {
                tally.answered += 1;
                tally.failed += u32::from(status >= FAILED_STATUS);
                tally.times[class] += 1;
            }
            calls::RunResult::TimedOut | calls::RunResult::CallerGone => {
                tally.given_up.resize(wire::TIME_CLASSES, 0);
                tally.given_up[class] += 1;
            }
            _ => {}
        }
    }
}

/// Sends the tallies that are due to a control.
pub(super) fn report(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    begin_tallies(state);
    let now = state.now;
    let incarnation = state.settings.identity.incarnation;
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    // Once all calls have moved, the leader waits for old targets to have none left.
    let is_leaving = |tally: &OwnTally| {
        let entry = in_force.rollout(&tally.service);
        entry.is_some_and(|entry| entry.phase == rollout::RolloutPhase::Switched)
    };
    let is_due = |tally: &OwnTally| {
        let period = if tally.is_new || is_leaving(tally) {
            COMING_PERIOD
        } else {
            PRESENT_PERIOD
        };
        tally.sent.is_none_or(|sent| now.since(sent) >= period)
    };
    let due: Vec<ids::TargetName> = state
        .rollout
        .tallies
        .targets
        .iter()
        .filter(|(_, tally)| is_due(tally))
        .map(|(target, _)| target.clone())
        .collect();
    if due.is_empty() {
        return;
    }
    state.rollout.tallies.sequence += 1;
    let stamp = (incarnation, state.rollout.tallies.sequence);
    let mut tallies = Vec::new();
    for target in due {
        let in_flight = super::in_flight(state, &target);
        let is_failing = health::is_failing(state, &target);
        let tally = &mut state.rollout.tallies.targets[&target];
        tally.sent = Some(now);
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
        output.send(control, super::message_of(message));
    }
}

/// Has a tally for each own target whose service has a roll-out under way, also before its first run.
fn begin_tallies(state: &mut reducer::EngineState) {
    let in_force = std::sync::Arc::clone(&state.dissemination.in_force);
    for (name, own) in &state.membership.targets {
        let entry = in_force.rollout(&own.record.service);
        if let Some(entry) = entry.filter(|entry| entry.phase.is_running()) {
            let tallies = &mut state.rollout.tallies;
            tallies.of_target(name, entry, own.record.version.as_ref());
        }
    }
    let own = &state.membership.targets;
    let tallies = &mut state.rollout.tallies;
    tallies.targets.retain(|target, _| own.contains_key(target));
}

/// A control that can be reached, at best of the own data centre.
fn nearest_control(state: &reducer::EngineState) -> Option<SocketAddr> {
    let own = &state.settings.identity.data_centre;
    let controls = state
        .membership
        .others()
        .map(|member| &member.record.identity)
        .filter(|identity| identity.is_control)
        .filter(|identity| state.membership.is_reachable(&identity.instance));
    let nearest = controls.min_by_key(|identity| (identity.data_centre != *own, identity.address));
    nearest.map(|identity| identity.address)
}
