//! The actor that owns the state of the reducer.
//!
//! The reducer is the pure function of `hazeltiller-engine` that maps a state and an event to the
//! next state and a list of effects. All events pass through the actor's mailbox, so that they are
//! reduced one at a time without locks. The actor forwards effects to the tasks that carry them
//! out, and never blocks.

use std::{sync::Arc, time::Instant};

use hazeltiller_catalogue::state as catalogue_state;
use hazeltiller_engine::{
    calls, dissemination, event, health, ledger, membership, reducer, replication,
};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{membership as wire_membership, message};
use indexmap::IndexMap;
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{critical_tasks, links, observer, store_task, timeline};

/// Receives the effects of a call, for the task that carries it out.
pub type CallEffects = mpsc::UnboundedReceiver<calls::CallEffect>;

/// A closure that reads the state of the reducer.
type StateInspection = Box<dyn FnOnce(&reducer::EngineState) + Send>;

/// A message to the actor.
pub enum EngineInput {
    /// Reduces an event.
    Event(event::Event),
    /// Registers a new call and reduces its first event.
    Call {
        /// Process-local id of the call.
        call: ids::CallId,
        /// Id of its request.
        request: ids::RequestId,
        /// Its first event.
        event: calls::CallEvent,
        /// Receives the effects of the call.
        effects: mpsc::UnboundedSender<calls::CallEffect>,
    },
    /// A message from another process.
    Frame {
        /// Sender of the message.
        from: wire_membership::PeerIdentity,
        /// The message, with the time at which it was queued for sending.
        frame: message::PeerFrame,
    },
    /// Proposes a catalogue change and replies with its result.
    Propose {
        /// The proposal, to which the actor assigns its number.
        proposal: replication::ChangeProposal,
        /// Receives the result.
        reply: oneshot::Sender<replication::ProposalAnswer>,
    },
    /// Reads the current revision and replies with it.
    ReadRevision {
        /// Receives the revision.
        reply: oneshot::Sender<replication::ProposalAnswer>,
    },
    /// Proposes a change of the control group and replies with its result.
    ChangeGroup {
        /// The change.
        change: replication::GroupChange,
        /// Receives the result.
        reply: oneshot::Sender<replication::ProposalAnswer>,
    },
    /// Replies once the departure of a target may be acknowledged to it.
    AwaitWithdrawal {
        /// The target.
        target: ids::TargetName,
        /// Is told.
        reply: oneshot::Sender<()>,
    },
    /// Runs a closure on the state.
    Inspect(StateInspection),
}

impl std::fmt::Debug for EngineInput {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Event(event) => f.debug_tuple("Event").field(event).finish(),
            Self::Call { event, .. } => f.debug_tuple("Call").field(event).finish(),
            Self::Frame { frame, .. } => f.debug_tuple("Frame").field(frame).finish(),
            Self::Propose { proposal, .. } => f.debug_tuple("Propose").field(proposal).finish(),
            Self::ReadRevision { .. } => f.write_str("ReadRevision"),
            Self::ChangeGroup { change, .. } => f.debug_tuple("ChangeGroup").field(change).finish(),
            Self::AwaitWithdrawal { target, .. } => {
                f.debug_tuple("AwaitWithdrawal").field(target).finish()
            }
            Self::Inspect(_) => f.write_str("Inspect"),
        }
    }
}

/// The destinations of effects.
#[derive(Debug)]
pub struct EffectSinks {
    /// Sends messages to other processes.
    pub links: links::LinkTable,
    /// Writes the replicated log; absent without the control role.
    pub store: Option<store_task::StoreHandle>,
    /// Writes the claims file; absent without the control role.
    pub claims: Option<std::sync::mpsc::Sender<ledger::ClaimBatch>>,
    /// Writes the file of withdrawal notices; absent without the control role.
    pub notices: Option<std::sync::mpsc::Sender<membership::withdrawals::NoticeBatch>>,
    /// Schedules health probes of this node's targets.
    pub probes: mpsc::UnboundedSender<health::ProbePlan>,
    /// Publishes the catalogue in force.
    pub in_force: watch::Sender<Arc<catalogue_state::CatalogueState>>,
    /// Timestamps outgoing messages.
    pub clock: timeline::HybridClock,
    /// Derives the timeline and metrics from events and effects.
    pub observer: observer::EngineObserver,
}

/// Owns the reducer's state and runs its effects.
#[derive(Actor)]
pub struct EngineActor {
    state: reducer::EngineState,
    started_at: Instant,
    sinks: EffectSinks,
    calls: IndexMap<ids::CallId, mpsc::UnboundedSender<calls::CallEffect>>,
    pending_proposals: IndexMap<u64, oneshot::Sender<replication::ProposalAnswer>>,
    last_proposal_number: u64,
    /// Requests of targets that leave, whose acknowledgement waits.
    pending_withdrawals: Vec<(ids::TargetName, oneshot::Sender<()>)>,
}

impl std::fmt::Debug for EngineActor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineActor").finish_non_exhaustive()
    }
}

impl Message<EngineInput> for EngineActor {
    type Reply = ();

    async fn handle(&mut self, msg: EngineInput, _ctx: &mut Context<Self, ()>) {
        match msg {
            EngineInput::Event(event) => self.reduce(event),
            EngineInput::Call {
                call,
                request,
                event,
                effects,
            } => {
                self.calls.insert(call, effects);
                self.sinks.observer.call_opened(call, request, &event);
                self.reduce(event::Event::Calls(event));
            }
            EngineInput::Frame { from, frame } => {
                self.sinks.observer.frame_opened(frame.clock);
                let message = frame.message;
                self.reduce(event::Event::Received { from, message });
            }
            EngineInput::Propose {
                mut proposal,
                reply,
            } => {
                proposal.number = self.register_proposal(reply);
                let event = replication::ReplicationEvent::Propose(Box::new(proposal));
                self.reduce(event::Event::Replication(event));
            }
            EngineInput::ReadRevision { reply } => {
                let number = self.register_proposal(reply);
                let event = replication::ReplicationEvent::ReadRevision(number);
                self.reduce(event::Event::Replication(event));
            }
            EngineInput::ChangeGroup { change, reply } => {
                let number = self.register_proposal(reply);
                let event = replication::ReplicationEvent::ChangeGroup { number, change };
                self.reduce(event::Event::Replication(event));
            }
            EngineInput::AwaitWithdrawal { target, reply } => {
                self.await_withdrawal(target, reply);
            }
            EngineInput::Inspect(inspection) => inspection(&self.state),
        }
    }
}

impl EngineActor {
    /// Assigns a number to a proposal, under which its result is returned.
    fn register_proposal(
        &mut self,
        reply: oneshot::Sender<replication::ProposalAnswer>,
    ) -> replication::ProposalNumber {
        self.last_proposal_number += 1;
        self.pending_proposals
            .insert(self.last_proposal_number, reply);
        replication::ProposalNumber(self.last_proposal_number)
    }

    /// Replies at once if nothing is to be waited for. Drops the requests that have timed out.
    fn await_withdrawal(&mut self, target: ids::TargetName, reply: oneshot::Sender<()>) {
        self.pending_withdrawals
            .retain(|(_, reply)| !reply.is_closed());
        self.pending_withdrawals.push((target.clone(), reply));
        if self.state.membership.withdrawals.is_settled(&target) {
            self.acknowledge_withdrawal(&target);
        }
    }

    fn acknowledge_withdrawal(&mut self, target: &ids::TargetName) {
        let settled = self
            .pending_withdrawals
            .extract_if(.., |(waiting, _)| waiting == target);
        for (_, reply) in settled {
            // Fails if the request has timed out; the target sends it again.
            let _sent = reply.send(());
        }
    }

    fn reduce(&mut self, event: event::Event) {
        let finished_call = ended_call(&event);
        self.sinks.observer.before_event(&self.state, &event);
        let event_time = self.started_at.elapsed();
        let now = time::MonotonicTime(event_time.as_micros() as u64);
        for effect in reducer::reduce(&mut self.state, now, event) {
            self.run_effect(effect);
        }
        if let Some(call) = finished_call {
            self.calls.swap_remove(&call);
        }
        let duration = self.started_at.elapsed().saturating_sub(event_time);
        self.sinks.observer.after_event(duration);
    }

    fn run_effect(&mut self, effect: event::Effect) {
        self.sinks.observer.before_effect(&self.state, &effect);
        match effect {
            event::Effect::Send { to, message } => {
                let clock = self.sinks.clock.tick();
                let frame = message::PeerFrame { clock, message };
                self.sinks.links.send(to, &frame);
            }
            event::Effect::Replication(effect) => self.run_replication(effect),
            event::Effect::Dissemination(effect) => self.run_dissemination(effect),
            // Connections to a withdrawn target are closed by the tasks that use them.
            event::Effect::Membership(membership::MembershipEffect::Withdraw(_))
            | event::Effect::RecordEvent(_) => {}
            event::Effect::Membership(membership::MembershipEffect::PersistNotices(batch)) => {
                if let Some(notices) = &self.sinks.notices {
                    // Fails only if the writer thread has panicked, which ends the process.
                    drop(notices.send(batch));
                }
            }
            event::Effect::Membership(membership::MembershipEffect::WithdrawalSettled(target)) => {
                self.acknowledge_withdrawal(&target);
            }
            event::Effect::Calls(effect) => self.run_call(effect),
            event::Effect::Ledger(ledger::LedgerEffect::Persist(batch)) => {
                if let Some(claims) = &self.sinks.claims {
                    // Fails only if the writer thread has panicked, which ends the process.
                    drop(claims.send(batch));
                }
            }
            event::Effect::Health(health::HealthEffect::Probe(plan)) => {
                // Fails only while the process stops.
                drop(self.sinks.probes.send(plan));
            }
        }
    }

    fn run_dissemination(&self, effect: dissemination::DisseminationEffect) {
        match effect {
            dissemination::DisseminationEffect::InForce { state, .. } => {
                self.sinks.in_force.send_replace(state);
            }
            dissemination::DisseminationEffect::InvalidUpdate { .. }
            | dissemination::DisseminationEffect::ParentLost { .. } => {}
        }
    }

    fn run_replication(&mut self, effect: replication::ReplicationEffect) {
        match effect {
            replication::ReplicationEffect::Persist(batch) => {
                let store = self.sinks.store.as_ref();
                store
                    .expect("only a control persists log batches")
                    .persist(*batch);
            }
            replication::ReplicationEffect::Report { code, message } => {
                // Conditions that the group recovers from by itself are warnings.
                let level = match code {
                    code::ResultCode::StoreRecovered | code::ResultCode::VoterReplaced => {
                        log::Level::Warn
                    }
                    _ => log::Level::Error,
                };
                let (meaning, advice) = (code.meaning(), code.advice());
                log::log!(level, "{code}: {meaning}: {message}; {advice}");
            }
            replication::ReplicationEffect::Answer { number, answer } => {
                if let Some(reply) = self.pending_proposals.swap_remove(&number.0) {
                    // Fails if the operator has disconnected, which does not affect the change.
                    drop(reply.send(answer));
                }
            }
        }
    }

    fn run_call(&mut self, effect: calls::CallEffect) {
        let call = match &effect {
            calls::CallEffect::Attempt(call, _)
            | calls::CallEffect::ForwardResponse(call)
            | calls::CallEffect::Replay(call, _)
            | calls::CallEffect::Refuse(call, _)
            | calls::CallEffect::Run(call, _)
            | calls::CallEffect::ReportSignals(call, _) => *call,
        };
        if let Some(effects) = self.calls.get(&call) {
            // Fails if the task has ended, which its guard reports.
            drop(effects.send(effect));
        }
    }
}

/// Returns the call that an event ends, if any.
fn ended_call(event: &event::Event) -> Option<ids::CallId> {
    match event {
        event::Event::Calls(
            calls::CallEvent::Finished(call) | calls::CallEvent::RunEnded { call, .. },
        ) => Some(*call),
        _ => None,
    }
}

/// A handle to the actor.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    actor: ActorRef<EngineActor>,
}

impl EngineHandle {
    /// Starts the actor.
    pub fn start(state: reducer::EngineState, sinks: EffectSinks) -> Self {
        let actor = EngineActor {
            state,
            started_at: Instant::now(),
            sinks,
            calls: IndexMap::new(),
            pending_proposals: IndexMap::new(),
            last_proposal_number: 0,
            pending_withdrawals: Vec::new(),
        };
        Self {
            actor: EngineActor::spawn_with_mailbox(actor, mailbox::unbounded()),
        }
    }

    /// Holds a guard until the actor has stopped, which happens only if it panics.
    pub async fn hold_until_shutdown(self, guard: critical_tasks::TaskGuard) {
        self.actor.wait_for_shutdown().await;
        drop(guard);
    }

    /// Sends an event to the reducer.
    pub fn tell(&self, event: event::Event) {
        self.enqueue(EngineInput::Event(event));
    }

    /// Sends a message from another process to the reducer.
    pub fn tell_frame(&self, from: wire_membership::PeerIdentity, frame: message::PeerFrame) {
        self.enqueue(EngineInput::Frame { from, frame });
    }

    /// Registers a call and sends its first event. Returns the receiver of its effects.
    pub fn open_call(
        &self,
        call: ids::CallId,
        request: ids::RequestId,
        event: calls::CallEvent,
    ) -> CallEffects {
        let (effects, receiver) = mpsc::unbounded_channel();
        self.enqueue(EngineInput::Call {
            call,
            request,
            event,
            effects,
        });
        receiver
    }

    /// Proposes a catalogue change. Returns `Unknown` if the process stops meanwhile.
    pub async fn propose(
        &self,
        proposal: replication::ChangeProposal,
    ) -> replication::ProposalAnswer {
        let (reply, receiver) = oneshot::channel();
        self.enqueue(EngineInput::Propose { proposal, reply });
        receiver
            .await
            .unwrap_or(replication::ProposalAnswer::Unknown)
    }

    /// Reads the current revision. Returns `Unknown` if the process stops meanwhile.
    pub async fn read_revision(&self) -> replication::ProposalAnswer {
        let (reply, receiver) = oneshot::channel();
        self.enqueue(EngineInput::ReadRevision { reply });
        receiver
            .await
            .unwrap_or(replication::ProposalAnswer::Unknown)
    }

    /// Proposes a change of the voters. Returns `Unknown` if the process stops meanwhile.
    pub async fn change_group(
        &self,
        change: replication::GroupChange,
    ) -> replication::ProposalAnswer {
        let (reply, receiver) = oneshot::channel();
        self.enqueue(EngineInput::ChangeGroup { change, reply });
        receiver
            .await
            .unwrap_or(replication::ProposalAnswer::Unknown)
    }

    /// Waits until the departure of a target, of which the engine was told before, may be
    /// acknowledged. Returns `false` if the process stops meanwhile.
    pub async fn withdrawal_settled(&self, target: ids::TargetName) -> bool {
        let (reply, receiver) = oneshot::channel();
        self.enqueue(EngineInput::AwaitWithdrawal { target, reply });
        receiver.await.is_ok()
    }

    /// Runs a closure on the state and returns its result; `None` if the process stops meanwhile.
    pub async fn inspect<T: Send + 'static>(
        &self,
        read: impl FnOnce(&reducer::EngineState) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, receiver) = oneshot::channel();
        let inspection = move |state: &reducer::EngineState| drop(reply.send(read(state)));
        self.enqueue(EngineInput::Inspect(Box::new(inspection)));
        receiver.await.ok()
    }

    fn enqueue(&self, input: EngineInput) {
        // The mailbox is unbounded, so this fails only while the process stops.
        drop(self.actor.tell(input).try_send());
    }
}
