//! Derives the timeline and metrics from the events and effects of the reducer.
//!
//! The actor that runs the reducer passes each event to the observer before it is reduced, and each
//! effect before it is carried out. The observer modifies neither.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::{
    dissemination, event, membership, reducer, replication, timeline as engine_timeline,
};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::message;
use indexmap::IndexMap;

use crate::{metrics, timeline};

pub use control_group::folder_event;
use engine_timeline::TimelineEvent;

mod control_group;
mod fleet;
mod open_calls;
mod usage;
mod versions;

/// Derives the timeline and metrics.
#[derive(Debug)]
pub struct EngineObserver {
    timeline: timeline::Timeline,
    metrics: Arc<metrics::ProcessMetrics>,
    calls: IndexMap<ids::CallId, open_calls::OpenCall>,
    /// Ids and labels of the proposed changes by proposal number.
    changes: IndexMap<u64, (ids::ChangeId, Option<ids::RevisionLabel>)>,
    fleet: fleet::FleetMonitor,
    usage: usage::UsageTable,
    versions: versions::VersionMonitor,
}

impl EngineObserver {
    /// Returns an observer without any calls or changes.
    pub fn new(timeline: timeline::Timeline, metrics: Arc<metrics::ProcessMetrics>) -> Self {
        Self {
            timeline,
            metrics,
            calls: IndexMap::new(),
            changes: IndexMap::new(),
            fleet: fleet::FleetMonitor::default(),
            usage: usage::UsageTable::default(),
            versions: versions::VersionMonitor::default(),
        }
    }

    /// Notes when the next event, a message, was sent by the clock of its sender.
    pub fn frame_opened(&mut self, sent: message::HybridTime) {
        self.versions.frame_sent_at = Some(sent.wall);
    }

    /// Counts an event after it has been reduced and its effects have been carried out.
    pub fn after_event(&mut self, duration: Duration) {
        self.versions.frame_sent_at = None;
        self.metrics.record_event(duration);
    }

    /// Observes an event before it is reduced.
    pub fn before_event(&mut self, state: &reducer::EngineState, event: &event::Event) {
        match event {
            event::Event::Tick => {
                self.fleet.check(state, &self.timeline);
                self.usage.report(state.now, &self.timeline);
                self.versions.report(state.now, &self.timeline);
            }
            event::Event::Received { from, .. } => {
                self.fleet.message_received(from.address, &self.timeline);
            }
            event::Event::LinkLost { address } => self.fleet.link_lost(*address, &self.timeline),
            event::Event::Replication(replication::ReplicationEvent::Propose(proposal)) => {
                self.change_proposed(proposal);
            }
            event::Event::Calls(event) => {
                let version = state.dissemination.in_force.version;
                self.call_event(event, version);
            }
            _ => {}
        }
    }

    /// Observes an effect before it is carried out.
    pub fn before_effect(&mut self, state: &reducer::EngineState, effect: &event::Effect) {
        match effect {
            event::Effect::Replication(replication::ReplicationEffect::Answer {
                number,
                answer,
            }) => self.change_answered(number.0, answer),
            event::Effect::Replication(replication::ReplicationEffect::Report {
                code,
                message,
            }) => self.timeline.record(TimelineEvent::LogReported {
                code: *code,
                message: message.clone(),
            }),
            event::Effect::Dissemination(dissemination::DisseminationEffect::InForce {
                state: catalogue,
                origin,
                behind,
            }) => {
                let in_force = self.versions.describe(catalogue, origin, *behind);
                let record = self.timeline.record_unlogged(in_force);
                let at = self.metrics.in_force_at.with_label_values::<&str>(&[]);
                at.set(record.at.wall.0 as i64);
                self.versions.add(record, state.now, &self.timeline);
            }
            event::Effect::Dissemination(dissemination::DisseminationEffect::InvalidUpdate {
                from,
                held,
            }) => self.timeline.record(TimelineEvent::VersionRefused {
                from: from.clone(),
                held: *held,
                code: code::ResultCode::DigestMismatch,
            }),
            event::Effect::Dissemination(dissemination::DisseminationEffect::ParentLost {
                address,
                reason,
            }) => self.timeline.record(TimelineEvent::ParentLost {
                parent: *address,
                reason: reason.as_str().into(),
            }),
            event::Effect::Membership(membership::MembershipEffect::Withdraw(target)) => {
                let target = target.clone();
                self.timeline
                    .record(TimelineEvent::TargetWithdrawn { target });
            }
            event::Effect::Calls(effect) => self.call_effect(state, effect),
            event::Effect::RecordEvent(event) => self.timeline.record(event.clone()),
            _ => {}
        }
    }

    fn change_proposed(&mut self, proposal: &replication::ChangeProposal) {
        let change = proposal.request.change_id.clone();
        let label = proposal.request.replace.as_ref().map(|it| it.label);
        self.changes
            .insert(proposal.number.0, (change.clone(), label));
        self.timeline.record(TimelineEvent::ChangeProposed {
            change,
            expects: proposal.request.expects,
        });
    }

    fn change_answered(&mut self, number: u64, answer: &replication::ProposalAnswer) {
        let Some((change, label)) = self.changes.swap_remove(&number) else {
            return;
        };
        let event = match answer {
            replication::ProposalAnswer::Accepted(receipt) => TimelineEvent::ChangeAccepted {
                change,
                version: receipt.version,
                label,
            },
            replication::ProposalAnswer::Refused { code, .. } => TimelineEvent::ChangeRefused {
                change,
                code: *code,
            },
            replication::ProposalAnswer::Unknown => TimelineEvent::ChangeUnknown { change },
            replication::ProposalAnswer::Elsewhere(leader) => TimelineEvent::ChangeForwarded {
                change,
                leader: *leader,
            },
            // These answer changes of the voters and reads, not changes of the catalogue.
            replication::ProposalAnswer::GroupChanged(_)
            | replication::ProposalAnswer::Current { .. } => return,
        };
        self.timeline.record(event);
    }
}
