//! A control group of reducers with simulated disks and network. Invariants are checked after every
//! step.

mod disk;
mod files;
mod messages;

use std::{net::SocketAddr, time::Duration};

use hazeltiller_catalogue::{change, state as catalogue_state};
use hazeltiller_engine::{event, reducer, replication, settings};
use hazeltiller_units::{ids, time};
use hazeltiller_wire::{codec, dissemination, membership, message, replication as wire};
use indexmap::{IndexMap, IndexSet};
use serde_json::json;

/// A control with its disk.
pub(crate) struct FakeControl {
    pub(crate) state: reducer::EngineState,
    pub(crate) is_running: bool,
    pub(crate) disk: disk::FakeDisk,
    /// Version after the latest step, to check that it never decreases.
    version: ids::CatalogueVersion,
}

/// A message in transit.
pub(crate) struct FakeMessage {
    from: membership::PeerIdentity,
    to: usize,
    message: message::PeerMessage,
}

/// The group, and the record of everything that was answered and committed.
pub(crate) struct FakeNetwork {
    pub(crate) controls: Vec<FakeControl>,
    pub(crate) messages: Vec<FakeMessage>,
    pub(crate) blocked_links: IndexSet<(usize, usize)>,
    pub(crate) answers: IndexMap<u64, replication::ProposalAnswer>,
    pub(crate) acknowledged: IndexMap<ids::ChangeId, change::ChangeReceipt>,
    pub(crate) now: time::MonotonicTime,
    /// Answers to nodes that asked for the floor.
    pub(crate) floor_answers: Vec<dissemination::FloorAnswer>,
    plan: GroupPlan,
    proposals: u64,
    replicas: u64,
    /// The leader of each term, to check that there is only one.
    leaders: IndexMap<ids::LeaderTerm, ids::ReplicaId>,
    /// All committed entries, to check that none changes.
    committed: IndexMap<ids::LogPosition, wire::LogEntry>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16))
}

pub(crate) fn instance(index: usize) -> ids::InstanceName {
    format!("control-{index}")
        .parse()
        .expect("the name is valid")
}

/// Number of instances that bootstrap the group, and the number of voters that it maintains
/// automatically; 0 disables automatic replacement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupPlan {
    initial_voters: usize,
    voters: u64,
    /// Largest number of entries in a message.
    append_entries: u64,
    /// Whether the disks are data folders of the real store.
    has_files: bool,
}

impl Default for GroupPlan {
    fn default() -> Self {
        Self {
            initial_voters: 0,
            voters: 0,
            append_entries: settings::ReplicationTunables::default().append_entries,
            has_files: false,
        }
    }
}

fn engine_state(
    index: usize,
    plan: GroupPlan,
    log: replication::RecoveredLog,
) -> reducer::EngineState {
    let identity = membership::PeerIdentity {
        instance: instance(index),
        data_centre: "brasov-a".parse().expect("the name is valid"),
        region: "ro-centru".parse().expect("the name is valid"),
        address: address(index),
        operators: None,
        is_control: true,
        is_node: false,
        incarnation: ids::IncarnationNumber(1),
    };
    let mut tunables = settings::EngineTunables::default();
    tunables.replication.snapshot_entries = 16;
    tunables.replication.trailing_entries = 4;
    tunables.replication.changes_kept = 10_000;
    tunables.replication.voters = plan.voters;
    tunables.replication.append_entries = plan.append_entries;
    let state = replication::ReplicationState::recover(log, &tunables.replication);
    let settings = settings::EngineSettings {
        identity,
        control: (0..plan.initial_voters).map(address).collect(),
        seed: index as u64 + 1,
        tunables,
    };
    // A process starts with the committed catalogue of its disk in force.
    let in_force = std::sync::Arc::new(state.committed().clone());
    let mut engine = reducer::EngineState::new(settings, Some(state));
    engine.dissemination.in_force = in_force;
    engine
}

impl FakeNetwork {
    /// A group of new replicas that are about to bootstrap.
    pub(crate) fn new(count: usize) -> Self {
        let plan = GroupPlan {
            initial_voters: count,
            ..GroupPlan::default()
        };
        Self::with_plan(count, plan)
    }

    /// A group whose messages carry one entry each.
    pub(crate) fn with_short_messages(count: usize) -> Self {
        let plan = GroupPlan {
            initial_voters: count,
            append_entries: 1,
            ..GroupPlan::default()
        };
        Self::with_plan(count, plan)
    }

    /// A self-healing group of three voters, bootstrapped by the first three instances.
    pub(crate) fn self_healing(count: usize) -> Self {
        let plan = GroupPlan {
            initial_voters: count.min(3),
            voters: 3,
            ..GroupPlan::default()
        };
        Self::with_plan(count, plan)
    }

    /// Adds a control that is not running yet, with an empty disk and an address that no settings list.
    pub(crate) fn add_spare(&mut self) {
        let stored = self.empty_disk(false);
        let disk = self.disk_with(stored.clone());
        let index = self.controls.len();
        self.controls.push(FakeControl {
            state: engine_state(index, self.plan, stored),
            is_running: false,
            disk,
            version: ids::CatalogueVersion::default(),
        });
    }

    /// A self-healing group of three voters whose disks are data folders of the real store.
    pub(crate) fn with_files(count: usize) -> Self {
        let plan = GroupPlan {
            initial_voters: count.min(3),
            voters: 3,
            has_files: true,
            ..GroupPlan::default()
        };
        Self::with_plan(count, plan)
    }

    fn with_plan(count: usize, plan: GroupPlan) -> Self {
        let mut network = Self {
            plan,
            controls: Vec::new(),
            messages: Vec::new(),
            blocked_links: IndexSet::new(),
            answers: IndexMap::new(),
            acknowledged: IndexMap::new(),
            now: time::MonotonicTime::default(),
            floor_answers: Vec::new(),
            proposals: 0,
            replicas: 0,
            leaders: IndexMap::new(),
            committed: IndexMap::new(),
        };
        for index in 0..count {
            let stored = network.empty_disk(true);
            let disk = network.disk_with(stored.clone());
            network.controls.push(FakeControl {
                state: engine_state(index, plan, stored),
                is_running: true,
                disk,
                version: ids::CatalogueVersion::default(),
            });
        }
        network
    }

    fn empty_disk(&mut self, is_forming: bool) -> replication::RecoveredLog {
        self.replicas += 1;
        let hard = wire::HardState {
            replica: ids::ReplicaId(self.replicas),
            is_forming,
            ..wire::HardState::default()
        };
        replication::RecoveredLog {
            hard,
            ..replication::RecoveredLog::default()
        }
    }

    fn disk_with(&self, stored: replication::RecoveredLog) -> disk::FakeDisk {
        let files = self
            .plan
            .has_files
            .then(|| files::FileDisk::new(stored.hard));
        disk::FakeDisk::new(stored, files)
    }

    fn log(&self, index: usize) -> &replication::ReplicationState {
        let replication = &self.controls[index].state.replication;
        replication
            .as_ref()
            .expect("every process has the control role")
    }

    /// The running control that leads in the latest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let running = (0..self.controls.len()).filter(|index| self.controls[*index].is_running);
        running
            .filter(|index| self.log(*index).leading_term().is_some())
            .max_by_key(|index| self.log(*index).leading_term())
    }

    /// The committed catalogue of a control.
    pub(crate) fn committed(&self, index: usize) -> &catalogue_state::CatalogueState {
        self.log(index).committed()
    }

    pub(crate) fn version(&self, index: usize) -> ids::CatalogueVersion {
        self.log(index).committed().version
    }

    pub(crate) fn reduce(&mut self, index: usize, event: event::Event) {
        if !self.controls[index].is_running {
            return;
        }
        let effects = reducer::reduce(&mut self.controls[index].state, self.now, event);
        for effect in effects {
            self.apply_effect(index, effect);
        }
        self.check_invariants(index);
    }

    fn apply_effect(&mut self, index: usize, effect: event::Effect) {
        match effect {
            event::Effect::Send {
                message:
                    message::PeerMessage::Dissemination(
                        dissemination::DisseminationMessage::FloorAnswer(answer),
                    ),
                ..
            } => self.floor_answers.push(answer),
            event::Effect::Send { to, message } => {
                let receiver = (0..self.controls.len()).find(|other| address(*other) == to);
                let is_replication = matches!(message, message::PeerMessage::Replication(_));
                if let Some(to) = receiver.filter(|_| is_replication) {
                    let bytes = codec::encoded_size(&message);
                    assert!(
                        bytes < codec::MAX_FRAME_BYTES,
                        "{bytes} bytes exceed the largest frame"
                    );
                    let from = self.controls[index].state.settings.identity.clone();
                    self.messages.push(FakeMessage { from, to, message });
                }
            }
            event::Effect::Replication(replication::ReplicationEffect::Persist(batch)) => {
                self.controls[index].disk.enqueue(*batch);
            }
            event::Effect::Replication(replication::ReplicationEffect::Answer {
                number,
                answer,
            }) => {
                if let replication::ProposalAnswer::Accepted(receipt) = &answer {
                    let id = receipt.change_id.clone();
                    let first = self
                        .acknowledged
                        .entry(id)
                        .or_insert_with(|| receipt.clone());
                    assert_eq!(first, receipt, "one change id got two receipts");
                }
                let before = self.answers.insert(number.0, answer);
                assert_eq!(before, None, "a proposal is answered once");
            }
            _ => {}
        }
    }

    /// Checks the invariants after a step of a control.
    fn check_invariants(&mut self, index: usize) {
        let log = self.controls[index].state.replication.as_ref();
        let log = log.expect("every process has the control role");
        if let Some(term) = log.leading_term() {
            let leader = *self.leaders.entry(term).or_insert_with(|| log.replica());
            assert_eq!(leader, log.replica(), "two leaders in term {term}");
        }
        for entry in log.committed_entries() {
            let first = self.committed.entry(entry.position);
            let first = first.or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "a committed entry changed");
        }
        let version = log.committed().version;
        assert!(
            version >= self.controls[index].version,
            "the catalogue version decreased"
        );
        assert!(
            log.committed().has_valid_digest(),
            "the digest matches the content"
        );
        for (id, receipt) in &self.acknowledged {
            if receipt.version <= version {
                let stored = log.accepted(id).map(|accepted| &accepted.receipt);
                assert_eq!(stored, Some(receipt), "an acknowledged change is lost");
            }
        }
        self.controls[index].version = version;
    }

    pub(crate) fn tick(&mut self, period: Duration) {
        self.now = self.now + period;
        for index in 0..self.controls.len() {
            self.reduce(index, event::Event::Tick);
        }
    }

    /// Syncs a control's disk, which succeeds or fails.
    pub(crate) fn sync(&mut self, index: usize) {
        if let Some(event) = self.controls[index].disk.sync() {
            self.reduce(index, event::Event::Replication(event));
        }
    }

    /// Delivers a message in transit, unless its link is blocked. Without `is_removed` it stays in
    /// transit and may be delivered again.
    pub(crate) fn deliver(&mut self, position: usize, is_removed: bool) {
        let Some(message) = self.messages.get(position) else {
            return;
        };
        let to = message.to;
        let from = message.from.clone();
        let event = event::Event::Received {
            from: from.clone(),
            message: message.message.clone(),
        };
        if is_removed {
            self.messages.remove(position);
        }
        let sender = (0..self.controls.len()).find(|index| address(*index) == from.address);
        if !self
            .blocked_links
            .contains(&(sender.expect("only controls send"), to))
        {
            self.reduce(to, event);
        }
    }

    /// Proposes a new class entry and returns the number of the proposal. With `expects` 0 the
    /// entries that it refers to are added as well; with an id that starts with `large` the change
    /// also carries an owner with 9000 operators.
    pub(crate) fn propose(&mut self, index: usize, id: &str, expects: u64) -> u64 {
        let class = json!({"kind": "class", "name": id, "owner": "registru", "class": "counter"});
        let mut put = vec![class];
        if expects == 0 {
            put.push(
                json!({"kind": "owner", "name": "registru", "owner": "registru",
                            "class": "counter"}),
            );
            put.push(
                json!({"kind": "class", "name": "counter", "owner": "registru",
                            "class": "counter"}),
            );
        }
        if id.starts_with("large") {
            let operators: Vec<String> = (0..9000).map(|it| format!("{id}-{it:0>80}")).collect();
            put.push(
                json!({"kind": "owner", "name": "registru", "owner": "registru",
                            "class": "counter", "operators": operators}),
            );
        }
        let request = json!({"change_id": id, "expects": expects, "put": put});
        let request: change::ChangeRequest =
            serde_json::from_value(request).expect("the request is valid");
        self.submit(index, request)
    }

    /// Proposes a document that replaces the whole catalogue.
    pub(crate) fn replace(&mut self, index: usize, label: u64, base: u64, document: &str) -> u64 {
        let put = json!([
            {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
            {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
            {"kind": "class", "name": document, "owner": "registru", "class": "counter"},
        ]);
        let mark = change::CatalogueReplacement {
            label: ids::RevisionLabel(label),
            base: ids::RevisionLabel(base),
            document: document.into(),
        };
        let put = serde_json::from_value(put).expect("the entries are valid");
        let request = change::ChangeRequest::replacement(mark, put);
        self.submit(index, request)
    }

    pub(crate) fn submit(&mut self, index: usize, request: change::ChangeRequest) -> u64 {
        self.submit_as(index, request, replication::ChangeAuthor::Administrator)
    }

    /// Submits a request in the name of an author.
    pub(crate) fn submit_as(
        &mut self,
        index: usize,
        request: change::ChangeRequest,
        author: replication::ChangeAuthor,
    ) -> u64 {
        self.proposals += 1;
        let proposal = replication::ChangeProposal {
            number: replication::ProposalNumber(self.proposals),
            author,
            content: change::content_digest(&request),
            request,
            at_ms: self.proposals,
        };
        let event = replication::ReplicationEvent::Propose(Box::new(proposal));
        self.reduce(index, event::Event::Replication(event));
        self.proposals
    }

    /// Reads the current revision.
    pub(crate) fn read(&mut self, index: usize) -> u64 {
        self.proposals += 1;
        let number = replication::ProposalNumber(self.proposals);
        let event = replication::ReplicationEvent::ReadRevision(number);
        self.reduce(index, event::Event::Replication(event));
        self.proposals
    }

    /// Suspends a control, which keeps its memory; its clock stands still.
    pub(crate) fn suspend(&mut self, index: usize) {
        self.controls[index].is_running = false;
    }

    /// Resumes a suspended control at the time of its own clock, with a read that arrived
    /// meanwhile.
    pub(crate) fn wake_with_read(&mut self, index: usize) -> u64 {
        self.controls[index].is_running = true;
        let now = std::mem::replace(&mut self.now, self.controls[index].state.now);
        let number = self.read(index);
        self.now = now;
        number
    }

    /// The voters that a control knows.
    pub(crate) fn voters(&self, index: usize) -> IndexSet<ids::ReplicaId> {
        let view = replication::GroupView::of(&self.controls[index].state);
        let members = view.expect("the process has the control role").members;
        let voters = members.into_iter().filter(|member| member.is_voter);
        voters.map(|member| member.replica).collect()
    }

    /// A control's replica id.
    pub(crate) fn replica(&self, index: usize) -> ids::ReplicaId {
        self.log(index).replica()
    }

    /// The current revision, if a control can confirm it.
    pub(crate) fn revision(&mut self, index: usize) -> Option<change::CatalogueRevision> {
        let number = self.read(index);
        self.settle(10);
        match self.answers.get(&number) {
            Some(replication::ProposalAnswer::Current { revision, .. }) => Some(revision.clone()),
            _ => None,
        }
    }

    pub(crate) fn change_group(&mut self, index: usize, change: replication::GroupChange) -> u64 {
        self.proposals += 1;
        let number = replication::ProposalNumber(self.proposals);
        let event = replication::ReplicationEvent::ChangeGroup { number, change };
        self.reduce(index, event::Event::Replication(event));
        self.proposals
    }

    /// Crashes a control, which loses its memory. Of the unsynced batches the first `kept` stay on
    /// disk.
    pub(crate) fn crash(&mut self, index: usize, kept: usize) {
        let control = &mut self.controls[index];
        control.disk.crash(kept);
        control.is_running = false;
    }

    /// Cuts the power of a control. Of its unsynced write any of the sectors stay, drawn by `luck`.
    pub(crate) fn cut_power(&mut self, index: usize, luck: u64) {
        let control = &mut self.controls[index];
        control.disk.cut_power(luck);
        control.is_running = false;
    }

    /// Starts a control that is not running. It stays down if it refuses its data folder.
    pub(crate) fn restart(&mut self, index: usize) {
        let plan = self.plan;
        let control = &mut self.controls[index];
        if !control.is_running && control.disk.open() {
            control.state = engine_state(index, plan, control.disk.stored.clone());
            control.is_running = true;
            control.version = ids::CatalogueVersion::default();
        }
    }

    /// Restarts a control with an empty data folder.
    pub(crate) fn wipe(&mut self, index: usize, is_bootstrap: bool) {
        self.crash(index, 0);
        let stored = self.empty_disk(is_bootstrap);
        self.controls[index].disk = self.disk_with(stored);
        self.restart(index);
    }

    pub(crate) fn isolate(&mut self, index: usize) {
        for other in 0..self.controls.len() {
            self.blocked_links.insert((index, other));
            self.blocked_links.insert((other, index));
        }
    }

    /// Advances time in rounds of 20 ms; in each round all messages are delivered and all disks
    /// synced.
    pub(crate) fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.tick(Duration::from_millis(20));
            for _ in 0..4 {
                for _ in 0..self.messages.len() {
                    self.deliver(0, true);
                }
                for index in 0..self.controls.len() {
                    self.sync(index);
                }
            }
        }
    }

    /// Proposes a change to the leader until it is accepted and returns its receipt.
    pub(crate) fn commit_change(&mut self, id: &str) -> change::ChangeReceipt {
        for _ in 0..50 {
            self.settle(10);
            let Some(leader) = self.leader() else {
                continue;
            };
            let version = self.version(leader).0;
            let number = self.propose(leader, id, version);
            self.settle(10);
            if let Some(replication::ProposalAnswer::Accepted(receipt)) = self.answers.get(&number)
            {
                return receipt.clone();
            }
        }
        panic!("no change was accepted");
    }
}
