//! The replicated log of the control group, and the validation of proposed catalogue changes.
//!
//! The algorithm follows Raft: each term has at most one leader, which appends to the log. An entry
//! is committed, and thereby immutable, once a majority of voters has synced it to disk and it (or
//! an entry after it) was written in the current leader's own term. No change is acknowledged and
//! no catalogue version is sent to the nodes before that: every effect that depends on a write is
//! held back until the store reports the write as synced.

mod acceptance;
mod confirmation;
mod election;
mod follower;
mod group;
mod healing;
mod leader;
mod persist;
mod repair;
mod rollout_orders;
mod state_machine;
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
use snafu::ResultExt;

use crate::{event, failed_store, membership, reducer, settings};

pub use persist::{PersistBatch, RecoveredLog};
pub use view::{GroupView, LEADER_ROLE, VoterView};

/// Number that identifies a proposal or a read within this process; its answer carries the same
/// number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProposalNumber(pub u64);

/// Who requests a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAuthor {
    /// The administrator, who may change every entry.
    Administrator,
    /// The holder of the token with this hash. The catalogue lists the owners whose entries it may
    /// change.
    Holder(ids::StateDigest),
}

/// A request to change the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeProposal {
    /// Number of the proposal.
    pub number: ProposalNumber,
    /// Who requests the change.
    pub author: ChangeAuthor,
    /// The operator's request.
    pub request: change::ChangeRequest,
    /// Digest of the request's content, which tells a resend from a reuse of the change id.
    pub content: ids::StateDigest,
    /// Wall-clock time of arrival, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The promotion or removal of one voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupChange {
    /// Promotes a learner that has caught up to voter.
    Add(ids::InstanceName),
    /// Removes a voter.
    Remove(ids::InstanceName),
}

/// The next phase of a rollout, as decided by the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutTransition {
    /// The rollout entry in its new phase.
    pub entry: rollout::RolloutEntry,
    /// Time since the rollout was ordered.
    pub elapsed: std::time::Duration,
}

/// Input events of the replicated log.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicationEvent {
    /// An operator proposes a change of the catalogue.
    Propose(Box<ChangeProposal>),
    /// An operator reads the current revision.
    ReadRevision(ProposalNumber),
    /// The leader moves a rollout to its next phase.
    AdvanceRollout(Box<RolloutTransition>),
    /// The administrator adds or removes a voter.
    ChangeGroup {
        /// Number of the request.
        number: ProposalNumber,
        /// The voter to add or remove.
        change: GroupChange,
    },
    /// The store has synced a batch and all earlier ones.
    Persisted {
        /// Number of the last synced batch.
        batch: u64,
    },
    /// A write or sync failed. The store accepts nothing until it is given a full rewrite.
    StoreFailed,
}

/// The outcome of a proposal or a read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProposalAnswer {
    /// The change is committed.
    Accepted(change::ChangeReceipt),
    /// The new set of voters is committed.
    GroupChanged(wire::ControlGroup),
    /// The current revision, confirmed by a majority after the read arrived.
    Current {
        /// Catalogue version at the time of the read.
        version: ids::CatalogueVersion,
        /// The current revision.
        revision: change::CatalogueRevision,
    },
    /// The proposal was rejected and will not be applied later.
    Refused {
        /// Reason for the rejection.
        code: code::ResultCode,
        /// Current catalogue version.
        version: ids::CatalogueVersion,
        /// The faults found by validation; empty when the reason is not the content.
        faults: Vec<change::CatalogueFault>,
    },
    /// This replica does not lead. Carries the peer address of the leader.
    Elsewhere(SocketAddr),
    /// The outcome is not known: the change may still be committed later.
    Unknown,
}

/// Output effects of the replicated log.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicationEffect {
    /// Writes and syncs a batch, then reports [`ReplicationEvent::Persisted`].
    Persist(Box<PersistBatch>),
    /// Answers a proposal or a read.
    Answer {
        /// Number of the proposal.
        number: ProposalNumber,
        /// Its outcome.
        answer: ProposalAnswer,
    },
    /// Reports a condition of the control group to the operator.
    Report {
        /// Result code that the operator can look up.
        code: code::ResultCode,
        /// Text of the log line.
        message: String,
    },
}

/// Raft role of a replica.
#[derive(Debug, Clone)]
enum ReplicaRole {
    /// Accepts entries from the leader, if one is known.
    Follower,
    /// Collects pre-votes; holds the replicas that granted one.
    PreCandidate(IndexSet<ids::ReplicaId>),
    /// Collects votes; holds the replicas that granted one.
    Candidate(IndexSet<ids::ReplicaId>),
    /// Appends to the log and replicates it.
    Leader(Box<leader::LeaderState>),
}

/// State of one replica of the log.
#[derive(Debug, Clone)]
pub struct ReplicationState {
    hard_state: wire::HardState,
    log: window::LogWindow,
    state_machine: state_machine::StateMachine,
    /// Position of the last committed entry, which is also the last one applied.
    commit: ids::LogPosition,
    role: ReplicaRole,
    /// Peer address of the leader, if another replica is known to lead.
    leader: Option<SocketAddr>,
    /// When a message last came from the leader.
    leader_heard_at: Option<time::MonotonicTime>,
    /// Latest time at which a majority is known to have confirmed that this replica was up to date.
    proven_at: Option<time::MonotonicTime>,
    /// When this replica next stands for election, unless it hears from a leader before.
    election_at: Option<time::MonotonicTime>,
    /// When a message last came from each other voter.
    voters_heard_at: IndexMap<ids::ReplicaId, time::MonotonicTime>,
    write_queue: persist::WriteQueue,
    /// Latest introductions received while the group is bootstrapped, by peer address.
    introductions: IndexMap<SocketAddr, group::IntroducedReplica>,
    /// When this replica last introduced itself to the other controls.
    introduced_at: Option<time::MonotonicTime>,
    /// Set from a failed write until the full rewrite is synced. Meanwhile the replica sends no
    /// message and takes no proposal.
    store_failure: Option<failed_store::FailedStore>,
    /// Rollout orders that were in the log when the process started, by the catalogue version that
    /// each produced.
    recovered_orders: IndexSet<ids::CatalogueVersion>,
    /// Why recovered entries have no effect, until it is reported.
    recovery_faults: Vec<String>,
}

/// Inputs and output of a step, besides the replica's own state.
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

    fn election_timeout(&self) -> std::time::Duration {
        settings::millis(self.tunables().election_ms)
    }

    /// Returns whether a time lies less than one election timeout in the past.
    fn is_recent(&self, then: time::MonotonicTime) -> bool {
        then <= self.now && self.now.since(then) < self.election_timeout()
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
    /// Restores a replica from its store. Entries beyond the last position known to be committed
    /// stay uncommitted until a leader commits them.
    pub fn recover(recovered: RecoveredLog, tunables: &settings::ReplicationTunables) -> Self {
        let snapshot = recovered.snapshot.unwrap_or_default();
        let mut recovered_orders = rollout_orders::rollout_orders_in(&recovered.entries);
        recovered_orders.extend(snapshot.catalogue.rollouts().map(|rollout| rollout.order));
        let mut log = window::LogWindow::after(snapshot.mark, snapshot.group.clone());
        for entry in recovered.entries {
            log.append(entry);
        }
        let last = log.last().position;
        let mut state = Self {
            hard_state: recovered.hard,
            log,
            state_machine: state_machine::StateMachine::restore(&snapshot),
            commit: snapshot.mark.position,
            role: ReplicaRole::Follower,
            leader: None,
            leader_heard_at: None,
            proven_at: None,
            election_at: None,
            voters_heard_at: IndexMap::new(),
            write_queue: persist::WriteQueue::after(last, snapshot.mark.position),
            introductions: IndexMap::new(),
            introduced_at: None,
            store_failure: None,
            recovered_orders,
            recovery_faults: Vec::new(),
        };
        let known_commit = recovered.hard.commit.min(last);
        while state.commit < known_commit {
            let (_entry, applied) = state.apply_next(tunables.changes_kept as usize);
            if let Err(error) = applied {
                state.recovery_faults.push(error.to_string());
            }
        }
        let trailing = tunables.trailing_entries;
        state
            .log
            .compact(ids::LogPosition(known_commit.0.saturating_sub(trailing)));
        state
    }

    /// Whether a rollout order was in the log when the process started. Its age is then unknown,
    /// since monotonic time does not survive a restart.
    pub fn is_recovered(&self, order: ids::CatalogueVersion) -> bool {
        self.recovered_orders.contains(&order)
    }

    /// Returns the catalogue as of the last committed change.
    pub fn committed(&self) -> &catalogue_state::CatalogueState {
        &self.state_machine.catalogue
    }

    /// Applies the first uncommitted entry. Returns it, and why it has no effect if it has none.
    fn apply_next(
        &mut self,
        max_accepted: usize,
    ) -> (wire::LogEntry, Result<(), state_machine::InapplicableEntry>) {
        let position = self.commit.next();
        let entry = self.log.get(position).cloned();
        let entry = entry.expect("committed entries stay in the log until they are applied");
        let applied = match &entry.payload {
            wire::LogPayload::Change(change) => {
                let applied = self.state_machine.apply(entry.term, change, max_accepted);
                applied.map(drop)
            }
            wire::LogPayload::Empty | wire::LogPayload::Group(_) => Ok(()),
        };
        self.commit = position;
        let applied = applied.context(state_machine::InapplicableEntrySnafu { position });
        (entry, applied)
    }

    fn is_voter(&self) -> bool {
        self.log.group().has_voter(self.hard_state.replica)
    }

    fn message(
        &self,
        to: Option<ids::ReplicaId>,
        body: wire::ReplicationBody,
    ) -> message::PeerMessage {
        self.message_in_term(self.hard_state.term, to, body)
    }

    fn message_in_term(
        &self,
        term: ids::LeaderTerm,
        to: Option<ids::ReplicaId>,
        body: wire::ReplicationBody,
    ) -> message::PeerMessage {
        message::PeerMessage::Replication(wire::ReplicationMessage {
            group: self.log.group().id,
            from: self.hard_state.replica,
            to,
            term,
            body,
        })
    }

    /// Becomes a follower in the given term, which is the current one or a later one.
    fn become_follower(&mut self, context: &mut ReplicaContext, term: ids::LeaderTerm) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.write_queue.queue_hard_state();
            self.leader = None;
            self.leader_heard_at = None;
            self.proven_at = None;
        }
        let role = std::mem::replace(&mut self.role, ReplicaRole::Follower);
        if let ReplicaRole::Leader(leader) = role {
            self.leader = None;
            leader.fail_pending(self.state_machine.catalogue.version, context);
            self.schedule_election(context);
        }
    }
}

/// Returns whether this process is a control that has heard from a majority of its group within an
/// election timeout, and holds all that was committed at that time.
pub fn is_proven_current(state: &reducer::EngineState) -> bool {
    let Some(replication) = &state.replication else {
        return false;
    };
    let period = settings::millis(state.settings.tunables.replication.election_ms);
    replication.is_proven(state.now, period)
}

/// Advances timers: store retries, group membership, heartbeats and elections.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    run_step(state, output, |replication, context| {
        for message in std::mem::take(&mut replication.recovery_faults) {
            context.report(code::ResultCode::EntryInapplicable, message);
        }
        replication.tick_store_recovery(context);
        replication.tick_group(context);
        replication.tick_leader(context);
        replication.tick_healing(context);
        replication.tick_election(context);
    });
}

/// Handles a message from another control.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    message: wire::ReplicationMessage,
    output: &mut event::ReducerOutput,
) {
    run_step(state, output, |replication, context| {
        replication.handle_message(context, from, message);
    });
}

/// Handles an event of the replicated log.
pub fn handle_event(
    state: &mut reducer::EngineState,
    event: ReplicationEvent,
    output: &mut event::ReducerOutput,
) {
    run_step(state, output, |replication, context| match event {
        ReplicationEvent::Propose(proposal) => replication.propose(context, *proposal),
        ReplicationEvent::ReadRevision(number) => replication.read_revision(context, number),
        ReplicationEvent::AdvanceRollout(next) => replication.advance_rollout(context, *next),
        ReplicationEvent::ChangeGroup { number, change } => {
            replication.change_group(context, number, &change);
        }
        ReplicationEvent::Persisted { batch } => replication.handle_persisted(context, batch),
        ReplicationEvent::StoreFailed => replication.handle_store_failure(context),
    });
}

/// Runs a step, then hands the writes that it queued to the store.
fn run_step(
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
    fn handle_message(
        &mut self,
        context: &mut ReplicaContext,
        from: &wire_membership::PeerIdentity,
        message: wire::ReplicationMessage,
    ) {
        let own = self.hard_state.replica;
        let is_for_other = message.to.is_some_and(|to| to != own);
        if self.has_failed() || is_for_other || message.from == own {
            return;
        }
        let group = self.log.group().id;
        let no_group = ids::GroupId::default();
        if message.group != group && message.group != no_group && group != no_group {
            return;
        }
        let replica = message.from;
        if self.log.group().has_voter(replica) {
            self.voters_heard_at.insert(replica, context.now);
        }
        let term = message.term;
        match message.body {
            wire::ReplicationBody::Introduce(introduction) => {
                return self.handle_introduction(context, from, replica, introduction);
            }
            wire::ReplicationBody::PreVote(last) => {
                return self.handle_pre_vote(context, from.address, replica, term, last);
            }
            wire::ReplicationBody::PreVoted { is_granted: true } => {
                return self.record_pre_vote(context, replica, term);
            }
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(context, term);
        }
        let is_current = term == self.hard_state.term;
        match message.body {
            wire::ReplicationBody::Vote(last) => {
                self.handle_vote_request(context, from.address, replica, term, last);
            }
            wire::ReplicationBody::Voted { is_granted } => {
                if is_current && is_granted {
                    self.record_vote(context, replica);
                }
            }
            wire::ReplicationBody::Append(request) => {
                self.handle_append(context, from.address, replica, is_current, request);
            }
            wire::ReplicationBody::Install { snapshot, sent } => {
                self.handle_snapshot(context, from.address, replica, is_current, *snapshot, sent);
            }
            wire::ReplicationBody::Appended(answer) => {
                if is_current {
                    self.handle_append_answer(context, replica, answer);
                }
            }
            wire::ReplicationBody::Introduce(_)
            | wire::ReplicationBody::PreVote(_)
            | wire::ReplicationBody::PreVoted { .. } => {}
        }
    }
}
