//! The replicated log of the control group and the acceptance of changes.
//!
//! One leader a term writes the log, a majority of voters keeps it, and what a majority has synced
//! in the leader's own term is committed and never changes. Nothing is answered, and nothing
//! reaches a node, before the disks of a majority have said that it is kept: an effect that rests
//! on a write waits in `pending` until the store reports that write.

mod acceptance;
mod election;
mod follower;
mod group;
mod healing;
mod leader;
mod machine;
mod orders;
mod persist;
mod proof;
mod store_failure;
mod view;
mod window;

use std::net::SocketAddr;

use hazeltiller_catalogue::{change, rollout, state as catalogue_state};
use hazeltiller_units::{code, ids, time};
use hazeltiller_wire::{membership as wire_membership, message, replication as wire};
use indexmap::{IndexMap, IndexSet};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{event, failed_store, membership, reducer, settings};

pub use persist::{PersistBatch, RecoveredLog};
pub use view::{GroupView, LEADER_ROLE, VoterView};

/// Number of a proposal in this process; its answer carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProposalNumber(pub u64);

/// Who asks for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAuthor {
    /// May change every entry.
    Administrator,
    /// Holds the token of this hash; the catalogue says what it may change.
    Holder(ids::StateDigest),
}

/// A change on its way to the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeProposal {
    /// Its number.
    pub number: ProposalNumber,
    /// Who asks for it.
    pub author: ChangeAuthor,
    /// The operator's request.
    pub request: change::ChangeRequest,
    /// Digest of the request's content.
    pub content: ids::StateDigest,
    /// Wall time at which it came, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A change of the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupChange {
    /// Make a learner that has caught up a voter.
    Add(ids::InstanceName),
    /// Take a voter's vote.
    Remove(ids::InstanceName),
}

/// A roll-out's next phase, as its leader decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutTransition {
    /// The entry in its next phase.
    pub entry: rollout::RolloutEntry,
    /// Time since the order.
    pub elapsed: std::time::Duration,
}

/// Events of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicationEvent {
    /// An operator wants a change.
    Propose(Box<ChangeProposal>),
    /// An operator wants the revision in place.
    ReadRevision(ProposalNumber),
    /// The leader moves a roll-out on.
    AdvanceRollout(Box<RolloutTransition>),
    /// The administrator wants other voters.
    ChangeGroup {
        /// Number of the proposal.
        number: ProposalNumber,
        /// Which change.
        change: GroupChange,
    },
    /// The store has synced a batch and all before it.
    Persisted {
        /// Number of the batch.
        batch: u64,
    },
    /// The store failed and keeps nothing until it is given a whole batch.
    StoreFailed,
}

/// The answer to a proposal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProposalAnswer {
    /// It is accepted and kept.
    Accepted(change::ChangeReceipt),
    /// The voters are changed.
    GroupChanged(wire::ControlGroup),
    /// The revision in place, proven to be so after the question came.
    Current {
        /// Version of the catalogue.
        version: ids::CatalogueVersion,
        /// The revision.
        revision: change::CatalogueRevision,
    },
    /// It was not accepted and never will be.
    Refused {
        /// Why.
        code: code::ResultCode,
        /// The current version.
        version: ids::CatalogueVersion,
        /// Its faults, where it has some.
        faults: Vec<change::CatalogueFault>,
    },
    /// It was not taken here; the leader at this peers address takes it.
    Elsewhere(SocketAddr),
    /// It may or may not be accepted later.
    Unknown,
}

/// Effects of the log.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicationEffect {
    /// Write and sync, then report [`ReplicationEvent::Persisted`].
    Persist(Box<PersistBatch>),
    /// Answer a proposal.
    Answer {
        /// Which.
        number: ProposalNumber,
        /// How.
        answer: ProposalAnswer,
    },
    /// Something that the operator must learn from the log.
    Report {
        /// Its code.
        code: code::ResultCode,
        /// What happened.
        message: String,
    },
}

/// What a replica is at the moment.
#[derive(Debug, Clone)]
enum ReplicaRole {
    /// Takes entries from a leader, if there is one.
    Follower,
    /// Asks whether it would be voted for; holds who said yes.
    PreCandidate(IndexSet<ids::ReplicaId>),
    /// Stands for election; holds who voted for it.
    Candidate(IndexSet<ids::ReplicaId>),
    /// Writes the log.
    Leader(Box<leader::LeaderState>),
}

/// State of the log.
#[derive(Debug, Clone)]
pub struct ReplicationState {
    hard: wire::HardState,
    log: window::LogWindow,
    machine: machine::LogMachine,
    commit: ids::LogPosition,
    role: ReplicaRole,
    leader: Option<SocketAddr>,
    leader_heard: Option<time::MonotonicTime>,
    proven: Option<time::MonotonicTime>,
    election_at: Option<time::MonotonicTime>,
    writes: persist::WriteQueue,
    introductions: IndexMap<SocketAddr, group::KnownReplica>,
    introduced: Option<time::MonotonicTime>,
    /// Present while the store keeps nothing; the replica then says and answers nothing.
    failure: Option<failed_store::FailedStore>,
    /// Orders of roll-outs that were in the log when the process started.
    recovered_orders: IndexSet<ids::CatalogueVersion>,
}

/// What a step of the log works with beside its own state.
struct ReplicaContext<'a> {
    now: time::MonotonicTime,
    settings: &'a settings::EngineSettings,
    membership: &'a membership::MembershipState,
    random: &'a mut ChaCha8Rng,
    output: &'a mut event::ReducerOutput,
}

impl ReplicaContext<'_> {
    fn tunables(&self) -> &settings::ReplicationTunables {
        &self.settings.tunables.replication
    }

    fn election_time(&self) -> std::time::Duration {
        settings::millis(self.tunables().election_ms)
    }

    /// Whether something that happened then is younger than an election timeout.
    fn is_fresh(&self, then: time::MonotonicTime) -> bool {
        then <= self.now && self.now.since(then) < self.election_time()
    }

    fn answer(&mut self, number: ProposalNumber, answer: ProposalAnswer) {
        let effect = ReplicationEffect::Answer { number, answer };
        self.output.effects.push(event::Effect::Replication(effect));
    }

    fn report(&mut self, code: code::ResultCode, message: String) {
        let effect = ReplicationEffect::Report { code, message };
        self.output.effects.push(event::Effect::Replication(effect));
    }
}

impl ReplicationState {
    /// The state of a replica whose store holds this. Entries after the last position that is
    /// known to be committed wait for a leader's word.
    pub fn recover(recovered: RecoveredLog, tunables: &settings::ReplicationTunables) -> Self {
        let snapshot = recovered.snapshot.unwrap_or_default();
        let mut recovered_orders = orders::orders_in(&recovered.entries);
        recovered_orders.extend(snapshot.catalogue.rollouts().map(|rollout| rollout.order));
        let mut log = window::LogWindow::after(snapshot.mark, snapshot.group.clone());
        for entry in recovered.entries {
            log.append(entry);
        }
        let last = log.last().position;
        let mut state = Self {
            hard: recovered.hard,
            log,
            machine: machine::LogMachine::restore(&snapshot),
            commit: snapshot.mark.position,
            role: ReplicaRole::Follower,
            leader: None,
            leader_heard: None,
            proven: None,
            election_at: None,
            writes: persist::WriteQueue::after(last, snapshot.mark.position),
            introductions: IndexMap::new(),
            introduced: None,
            failure: None,
            recovered_orders,
        };
        let known = recovered.hard.commit.min(last);
        while state.commit < known {
            state.apply_next(tunables.changes_kept as usize);
        }
        let trailing = tunables.trailing_entries;
        state
            .log
            .compact(ids::LogPosition(known.0.saturating_sub(trailing)));
        state
    }

    /// Whether an order of a roll-out was in the log when the process started, so that nothing here
    /// knows how long ago it came.
    pub fn is_recovered(&self, order: ids::CatalogueVersion) -> bool {
        self.recovered_orders.contains(&order)
    }

    /// The catalogue that the committed changes make.
    pub fn committed(&self) -> &catalogue_state::CatalogueState {
        &self.machine.catalogue
    }

    /// Applies the entry after the last committed one; returns it.
    fn apply_next(&mut self, kept: usize) -> wire::LogEntry {
        let position = self.commit.next();
        let entry = self.log.get(position).cloned();
        let entry = entry.expect("what is committed is in the log until it is applied");
        if let wire::LogPayload::Change(change) = &entry.payload {
            self.machine.apply(entry.term, change, kept);
        }
        self.commit = position;
        entry
    }

    fn is_voter(&self) -> bool {
        self.log.group().has(self.hard.replica)
    }

    fn message(
        &self,
        to: Option<ids::ReplicaId>,
        body: wire::ReplicationBody,
    ) -> message::PeerMessage {
        self.message_in(self.hard.term, to, body)
    }

    fn message_in(
        &self,
        term: ids::LeaderTerm,
        to: Option<ids::ReplicaId>,
        body: wire::ReplicationBody,
    ) -> message::PeerMessage {
        message::PeerMessage::Replication(wire::ReplicationMessage {
            group: self.log.group().id,
            from: self.hard.replica,
            to,
            term,
            body,
        })
    }

    /// Follows a term, a later one or the present one, and gives up what it was.
    fn follow(&mut self, context: &mut ReplicaContext, term: ids::LeaderTerm) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.writes.keep_hard();
            self.leader = None;
            self.leader_heard = None;
            self.proven = None;
        }
        let role = std::mem::replace(&mut self.role, ReplicaRole::Follower);
        if let ReplicaRole::Leader(leader) = role {
            self.leader = None;
            leader.abandon(self.machine.catalogue.version, context);
            self.reset_election(context);
        }
    }
}

/// Whether this process is a control that has just heard a majority of its group, and holds all
/// that was committed then.
pub fn is_proven_current(state: &reducer::EngineState) -> bool {
    let Some(replication) = &state.replication else {
        return false;
    };
    let period = settings::millis(state.settings.tunables.replication.election_ms);
    replication.is_proven(state.now, period)
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    run(state, output, |replication, context| {
        replication.tick_store(context);
        replication.tick_group(context);
        replication.tick_leader(context);
        replication.tick_healing(context);
        replication.tick_election(context);
    });
}

/// Takes a message of another control.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    message: wire::ReplicationMessage,
    output: &mut event::ReducerOutput,
) {
    run(state, output, |replication, context| {
        replication.hear(context, from, message);
    });
}

/// Takes an event of the log.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: ReplicationEvent,
    output: &mut event::ReducerOutput,
) {
    run(state, output, |replication, context| match event {
        ReplicationEvent::Propose(proposal) => replication.propose(context, *proposal),
        ReplicationEvent::ReadRevision(number) => replication.read(context, number),
        ReplicationEvent::AdvanceRollout(step) => replication.steer(context, *step),
        ReplicationEvent::ChangeGroup { number, change } => {
            replication.change_group(context, number, &change);
        }
        ReplicationEvent::Persisted { batch } => replication.persisted(context, batch),
        ReplicationEvent::StoreFailed => replication.fail(context),
    });
}

/// Runs a step and then hands the store what the step has to keep.
fn run(
    state: &mut reducer::EngineState,
    output: &mut event::ReducerOutput,
    step: impl FnOnce(&mut ReplicationState, &mut ReplicaContext),
) {
    let Some(replication) = state.replication.as_mut() else {
        return;
    };
    let mut context = ReplicaContext {
        now: state.now,
        settings: &state.settings,
        membership: &state.membership,
        random: &mut state.random,
        output,
    };
    step(replication, &mut context);
    replication.flush(&mut context);
}

impl ReplicationState {
    fn hear(
        &mut self,
        context: &mut ReplicaContext,
        from: &wire_membership::PeerIdentity,
        message: wire::ReplicationMessage,
    ) {
        let own = self.hard.replica;
        let is_for_other = message.to.is_some_and(|to| to != own);
        if self.has_failed() || is_for_other || message.from == own {
            return;
        }
        let group = self.log.group().id;
        let none = ids::GroupId::default();
        if message.group != group && message.group != none && group != none {
            return;
        }
        let replica = message.from;
        let term = message.term;
        match message.body {
            wire::ReplicationBody::Introduce(introduction) => {
                return self.introduced(context, from, replica, introduction);
            }
            wire::ReplicationBody::PreVote(last) => {
                return self.pre_vote(context, from.address, replica, term, last);
            }
            wire::ReplicationBody::PreVoted { is_granted: true } => {
                return self.pre_voted(context, replica, term);
            }
            _ => {}
        }
        if term > self.hard.term {
            self.follow(context, term);
        }
        let is_current = term == self.hard.term;
        match message.body {
            wire::ReplicationBody::Vote(last) => {
                self.vote(context, from.address, replica, term, last);
            }
            wire::ReplicationBody::Voted { is_granted } => {
                if is_current && is_granted {
                    self.voted(context, replica);
                }
            }
            wire::ReplicationBody::Append(request) => {
                self.append(context, from.address, replica, is_current, request);
            }
            wire::ReplicationBody::Install { snapshot, sent } => {
                self.install(context, from.address, replica, is_current, *snapshot, sent);
            }
            wire::ReplicationBody::Appended(answer) => {
                if is_current {
                    self.appended(context, replica, answer);
                }
            }
            wire::ReplicationBody::Introduce(_)
            | wire::ReplicationBody::PreVote(_)
            | wire::ReplicationBody::PreVoted { .. } => {}
        }
    }
}
