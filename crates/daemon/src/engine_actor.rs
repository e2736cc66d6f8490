//! The one actor that owns the reducer's state.
//!
//! All events pass through its mailbox, so decisions are made one after another and need no locks.
//! It runs effects by handing them on; it never waits.

use std::{sync::Arc, time::Instant};

use hazeltiller_catalogue::state as catalogue_state;
use hazeltiller_engine::{
    calls, dissemination, event, health, ledger, membership, reducer, replication,
};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::message;
use indexmap::IndexMap;
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{links, observer, parts, store_task, timeline};

/// Orders for the task that carries a call.
pub type CallOrders = mpsc::UnboundedReceiver<calls::CallEffect>;

type Inspection = Box<dyn FnOnce(&reducer::EngineState) + Send>;

/// What the actor is told.
pub enum EngineInput {
    /// Reduce an event.
    Event(event::Event),
    /// Reduce an event of a new call whose orders go to `orders`.
    Call {
        /// Number of the call.
        call: ids::CallId,
        /// Id of its request.
        request: ids::RequestId,
        /// Its first event.
        event: calls::CallEvent,
        /// Where its orders go.
        orders: mpsc::UnboundedSender<calls::CallEffect>,
    },
    /// Reduce a proposal and answer it.
    Propose {
        /// The proposal; its number is given by the actor.
        proposal: replication::ChangeProposal,
        /// Where its answer goes.
        answer: oneshot::Sender<replication::ProposalAnswer>,
    },
    /// Read the revision in place and answer with it.
    ReadRevision {
        /// Where the answer goes.
        answer: oneshot::Sender<replication::ProposalAnswer>,
    },
    /// Reduce a change of the control group and answer it.
    ChangeGroup {
        /// The change.
        change: replication::GroupChange,
        /// Where its answer goes.
        answer: oneshot::Sender<replication::ProposalAnswer>,
    },
    /// Look at the state.
    Inspect(Inspection),
}

impl std::fmt::Debug for EngineInput {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Event(event) => f.debug_tuple("Event").field(event).finish(),
            Self::Call { event, .. } => f.debug_tuple("Call").field(event).finish(),
            Self::Propose { proposal, .. } => f.debug_tuple("Propose").field(proposal).finish(),
            Self::ReadRevision { .. } => f.write_str("ReadRevision"),
            Self::ChangeGroup { change, .. } => f.debug_tuple("ChangeGroup").field(change).finish(),
            Self::Inspect(_) => f.write_str("Inspect"),
        }
    }
}

/// Where effects go.
#[derive(Debug)]
pub struct EffectOutlets {
    /// Links to other processes.
    pub links: links::LinkTable,
    /// The disk; absent without the control role.
    pub store: Option<store_task::StoreHandle>,
    /// The file of claims; absent without the control role.
    pub claims: Option<std::sync::mpsc::Sender<ledger::ClaimBatch>>,
    /// Probes of own targets.
    pub probes: mpsc::UnboundedSender<health::ProbePlan>,
    /// The catalogue in force.
    pub in_force: watch::Sender<Arc<catalogue_state::CatalogueState>>,
    /// The clock that stamps messages.
    pub clock: timeline::HybridClock,
    /// What watches events and effects.
    pub observer: observer::EngineObserver,
}

/// The actor.
#[derive(Actor)]
pub struct EngineActor {
    state: reducer::EngineState,
    started: Instant,
    outlets: EffectOutlets,
    calls: IndexMap<ids::CallId, mpsc::UnboundedSender<calls::CallEffect>>,
    proposals: IndexMap<u64, oneshot::Sender<replication::ProposalAnswer>>,
    last_proposal: u64,
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
                orders,
            } => {
                self.calls.insert(call, orders);
                self.outlets.observer.open(call, request, &event);
                self.reduce(event::Event::Calls(event));
            }
            EngineInput::Propose {
                mut proposal,
                answer,
            } => {
                proposal.number = self.number_proposal(answer);
                let event = replication::ReplicationEvent::Propose(Box::new(proposal));
                self.reduce(event::Event::Replication(event));
            }
            EngineInput::ReadRevision { answer } => {
                let number = self.number_proposal(answer);
                let event = replication::ReplicationEvent::ReadRevision(number);
                self.reduce(event::Event::Replication(event));
            }
            EngineInput::ChangeGroup { change, answer } => {
                let number = self.number_proposal(answer);
                let event = replication::ReplicationEvent::ChangeGroup { number, change };
                self.reduce(event::Event::Replication(event));
            }
            EngineInput::Inspect(inspection) => inspection(&self.state),
        }
    }
}

impl EngineActor {
    fn number_proposal(
        &mut self,
        answer: oneshot::Sender<replication::ProposalAnswer>,
    ) -> replication::ProposalNumber {
        self.last_proposal += 1;
        self.proposals.insert(self.last_proposal, answer);
        replication::ProposalNumber(self.last_proposal)
    }

    fn reduce(&mut self, event: event::Event) {
        let ended = ended_call(&event);
        self.outlets.observer.event(&self.state, &event);
        let began = self.started.elapsed();
        let now = time::MonotonicTime(began.as_micros() as u64);
        for effect in reducer::reduce(&mut self.state, now, event) {
            self.run(effect);
        }
        if let Some(call) = ended {
            self.calls.swap_remove(&call);
        }
        let took = self.started.elapsed().saturating_sub(began);
        self.outlets.observer.reduced(took);
    }

    fn run(&mut self, effect: event::Effect) {
        self.outlets.observer.effect(&self.state, &effect);
        match effect {
            event::Effect::Send { to, message } => {
                let clock = self.outlets.clock.tick();
                let frame = message::PeerFrame { clock, message };
                self.outlets.links.send(to, &frame);
            }
            event::Effect::Replication(effect) => self.run_replication(effect),
            event::Effect::Dissemination(effect) => self.run_dissemination(effect),
            // What is open to the target is closed by whoever holds it.
            event::Effect::Membership(membership::MembershipEffect::Withdraw(_))
            | event::Effect::RecordEvent(_) => {}
            event::Effect::Calls(effect) => self.run_call(effect),
            event::Effect::Ledger(ledger::LedgerEffect::Persist(batch)) => {
                if let Some(claims) = &self.outlets.claims {
                    // The thread ends only when it panics, and the process with it.
                    drop(claims.send(batch));
                }
            }
            event::Effect::Health(health::HealthEffect::Probe(plan)) => {
                // The prober lives as long as the process.
                drop(self.outlets.probes.send(plan));
            }
        }
    }

    fn run_dissemination(&self, effect: dissemination::DisseminationEffect) {
        match effect {
            dissemination::DisseminationEffect::InForce { state } => {
                self.outlets.in_force.send_replace(state);
            }
            dissemination::DisseminationEffect::InvalidUpdate { .. }
            | dissemination::DisseminationEffect::ParentLost { .. } => {}
        }
    }

    fn run_replication(&mut self, effect: replication::ReplicationEffect) {
        match effect {
            replication::ReplicationEffect::Persist(batch) => {
                let store = self.outlets.store.as_ref();
                store
                    .expect("only a control has batches to persist")
                    .persist(*batch);
            }
            replication::ReplicationEffect::Report { code, message } => {
                // What the group mends by itself needs nobody to act.
                let level = match code {
                    code::ResultCode::StoreReturned | code::ResultCode::VoterReplaced => {
                        log::Level::Warn
                    }
                    _ => log::Level::Error,
                };
                let (meaning, advice) = (code.meaning(), code.advice());
                log::log!(level, "{code}: {meaning}: {message}; {advice}");
            }
            replication::ReplicationEffect::Answer { number, answer } => {
                if let Some(waiting) = self.proposals.swap_remove(&number.0) {
                    // The operator may have gone; the change stands all the same.
                    drop(waiting.send(answer));
                }
            }
        }
    }

    fn run_call(&mut self, effect: calls::CallEffect) {
        let call = match &effect {
            calls::CallEffect::Attempt(call, _)
            | calls::CallEffect::ForwardAnswer(call)
            | calls::CallEffect::Replay(call, _)
            | calls::CallEffect::Refuse(call, _)
            | calls::CallEffect::Run(call, _) => *call,
        };
        if let Some(orders) = self.calls.get(&call) {
            // A task that is gone reports so itself when it drops its guard.
            drop(orders.send(effect));
        }
    }
}

/// The call that is over with an event, if one is.
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
    pub fn start(state: reducer::EngineState, outlets: EffectOutlets) -> Self {
        let actor = EngineActor {
            state,
            started: Instant::now(),
            outlets,
            calls: IndexMap::new(),
            proposals: IndexMap::new(),
            last_proposal: 0,
        };
        Self {
            actor: EngineActor::spawn_with_mailbox(actor, mailbox::unbounded()),
        }
    }

    /// Holds a guard until the actor has ended, which it does by itself only when it panics.
    pub async fn guarded(self, guard: parts::PartGuard) {
        self.actor.wait_for_shutdown().await;
        drop(guard);
    }

    /// Has an event reduced.
    pub fn tell(&self, event: event::Event) {
        self.input(EngineInput::Event(event));
    }

    /// Opens a call; its orders come out of what is returned.
    pub fn open_call(
        &self,
        call: ids::CallId,
        request: ids::RequestId,
        event: calls::CallEvent,
    ) -> CallOrders {
        let (orders, receiver) = mpsc::unbounded_channel();
        self.input(EngineInput::Call {
            call,
            request,
            event,
            orders,
        });
        receiver
    }

    /// Proposes a change; `Unknown` when the process stops meanwhile.
    pub async fn propose(
        &self,
        proposal: replication::ChangeProposal,
    ) -> replication::ProposalAnswer {
        let (answer, receiver) = oneshot::channel();
        self.input(EngineInput::Propose { proposal, answer });
        receiver
            .await
            .unwrap_or(replication::ProposalAnswer::Unknown)
    }

    /// Reads the revision in place; `Unknown` when the process stops meanwhile.
    pub async fn read_revision(&self) -> replication::ProposalAnswer {
        let (answer, receiver) = oneshot::channel();
        self.input(EngineInput::ReadRevision { answer });
        receiver
            .await
            .unwrap_or(replication::ProposalAnswer::Unknown)
    }

    /// Changes the voters; `Unknown` when the process stops meanwhile.
    pub async fn change_group(
        &self,
        change: replication::GroupChange,
    ) -> replication::ProposalAnswer {
        let (answer, receiver) = oneshot::channel();
        self.input(EngineInput::ChangeGroup { change, answer });
        receiver
            .await
            .unwrap_or(replication::ProposalAnswer::Unknown)
    }

    /// Reads something off the state; `None` when the process stops meanwhile.
    pub async fn inspect<T: Send + 'static>(
        &self,
        look: impl FnOnce(&reducer::EngineState) -> T + Send + 'static,
    ) -> Option<T> {
        let (answer, receiver) = oneshot::channel();
        let inspection = move |state: &reducer::EngineState| drop(answer.send(look(state)));
        self.input(EngineInput::Inspect(Box::new(inspection)));
        receiver.await.ok()
    }

    fn input(&self, input: EngineInput) {
        // The mailbox is unbounded, so this fails only when the process stops.
        drop(self.actor.tell(input).try_send());
    }
}
