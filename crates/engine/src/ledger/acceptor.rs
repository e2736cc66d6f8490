//! The claims that a control keeps: create-only, synced before they are granted.

use std::{collections::VecDeque, net::SocketAddr};

use hazeltiller_units::time;
use hazeltiller_wire::ledger as wire;
use indexmap::IndexMap;

use crate::{event, failed_store, ledger, reducer, replication, settings};

/// Records beyond twice the claims after which the file is rewritten.
const REWRITE_SLACK: usize = 4096;

#[derive(Debug, Clone, Copy)]
struct KeptClaim {
    stored: wire::StoredClaim,
    /// Batch that it is synced with.
    batch: u64,
}

#[derive(Debug, Clone, Copy)]
struct WaitingGrant {
    batch: u64,
    to: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
}

/// Claims that this control keeps.
#[derive(Debug, Clone)]
pub struct AcceptorState {
    claims: IndexMap<wire::RequestDigest, KeptClaim>,
    order: VecDeque<(time::MonotonicTime, wire::RequestDigest, wire::ClaimId)>,
    /// Whether claims that were granted here can be missing.
    standing: wire::ClaimsCompleteness,
    grants: VecDeque<WaitingGrant>,
    /// Records that need no sync of their own.
    unwritten: Vec<wire::ClaimRecord>,
    last_batch: u64,
    synced: u64,
    records: usize,
    /// Present while the store keeps nothing; no claim is granted meanwhile.
    failure: Option<failed_store::FailedStore>,
}

impl AcceptorState {
    /// The state of a control that found these claims on its disk. One whose disk may have lost
    /// claims grants none until those have expired everywhere; one whose folder is new grants none
    /// until the group proves that no claim can have been granted from an earlier one.
    pub fn recover(
        stored: IndexMap<wire::RequestDigest, wire::StoredClaim>,
        standing: wire::ClaimsCompleteness,
    ) -> Self {
        let start = time::MonotonicTime::default();
        let order = stored
            .iter()
            .map(|(request, stored)| (start, *request, stored.claim))
            .collect();
        let records = stored.len();
        let claims = stored
            .into_iter()
            .map(|(request, stored)| (request, KeptClaim { stored, batch: 0 }))
            .collect();
        Self {
            claims,
            order,
            standing,
            grants: VecDeque::new(),
            unwritten: Vec::new(),
            last_batch: 0,
            synced: 0,
            records,
            failure: None,
        }
    }

    /// Claims that are kept now.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether one more claim can be kept and granted now.
    fn can_keep(&self, most: usize) -> bool {
        self.standing == wire::ClaimsCompleteness::Whole
            && self.failure.is_none()
            && self.claims.len() < most
    }

    fn matches(&self, request: &wire::RequestDigest, claim: wire::ClaimId) -> bool {
        let kept = self.claims.get(request);
        kept.is_some_and(|kept| kept.stored.claim == claim)
    }

    fn write(&mut self, output: &mut event::ReducerOutput) {
        let records = std::mem::take(&mut self.unwritten);
        self.records += records.len();
        if self.records > 2 * self.claims.len() + REWRITE_SLACK {
            return self.write_whole(output);
        }
        self.persist(records, false, output);
    }

    fn write_whole(&mut self, output: &mut event::ReducerOutput) {
        let records = self.whole_file();
        self.records = records.len();
        self.persist(records, true, output);
    }

    fn persist(
        &mut self,
        records: Vec<wire::ClaimRecord>,
        is_whole_file: bool,
        output: &mut event::ReducerOutput,
    ) {
        self.last_batch += 1;
        let batch = ledger::ClaimBatch {
            batch: self.last_batch,
            records,
            is_whole_file,
        };
        let effect = ledger::LedgerEffect::Persist(batch);
        output.effects.push(event::Effect::Ledger(effect));
    }

    fn whole_file(&self) -> Vec<wire::ClaimRecord> {
        let mut records = vec![wire::ClaimRecord::Standing(self.standing)];
        for (request, kept) in &self.claims {
            let claim = kept.stored.claim;
            records.push(wire::ClaimRecord::Kept(*request, claim));
            if kept.stored.is_done {
                records.push(wire::ClaimRecord::Done(*request, claim));
            }
        }
        records
    }

    fn expire(&mut self, now: time::MonotonicTime, longest: std::time::Duration) {
        while let Some((kept_at, request, claim)) = self.order.front().copied() {
            if now.since(kept_at) < longest {
                return;
            }
            self.order.pop_front();
            if self.matches(&request, claim) {
                self.claims.swap_remove(&request);
            }
        }
    }
}

/// Takes the passing of time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let (now, tunables) = (state.now, &state.settings.tunables.ledger);
    let longest = settings::millis(tunables.retention_ms);
    let replication = state.replication.as_ref();
    let is_founding_replica =
        replication.is_some_and(replication::ReplicationState::is_founding_replica);
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    acceptor.expire(now, longest);
    let has_expired = now.since(time::MonotonicTime::default()) >= longest;
    let is_proven = acceptor.standing == wire::ClaimsCompleteness::Unproven && is_founding_replica;
    if acceptor.standing != wire::ClaimsCompleteness::Whole && (has_expired || is_proven) {
        acceptor.standing = wire::ClaimsCompleteness::Whole;
        let record = wire::ClaimRecord::Standing(acceptor.standing);
        acceptor.unwritten.push(record);
    }
    match &mut acceptor.failure {
        Some(failure) if failure.is_due(now) => {
            failure.record_rewrite(acceptor.last_batch + 1);
            acceptor.unwritten.clear();
            acceptor.write_whole(output);
        }
        None if !acceptor.unwritten.is_empty() => acceptor.write(output),
        _ => {}
    }
}

/// The disk has refused: no claim is granted until it has taken all of them anew.
pub fn fail(state: &mut reducer::EngineState) {
    let period = settings::millis(state.settings.tunables.replication.rewrite_ms);
    let now = state.now;
    if let Some(acceptor) = &mut state.ledger.acceptor {
        acceptor.failure = Some(failed_store::FailedStore::new(now, period));
    }
}

/// Takes a claim: keeps it if no other one is kept.
pub fn take_claim(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    voters: u64,
    output: &mut event::ReducerOutput,
) {
    let is_same_group = voters == ledger::voters_digest(state);
    let most = state.settings.tunables.ledger.claims as usize;
    let now = state.now;
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return ledger::send(state, from, declined(request, claim), output);
    };
    let answer = match acceptor.claims.get(&request).copied() {
        Some(kept) if kept.stored.claim != claim => wire::LedgerMessage::Held {
            request,
            claim,
            holder: kept.stored.claim,
            is_done: kept.stored.is_done,
        },
        Some(kept) if kept.batch <= acceptor.synced => {
            wire::LedgerMessage::Granted { request, claim }
        }
        Some(kept) => {
            let batch = kept.batch;
            let grant = WaitingGrant {
                batch,
                to: from,
                request,
                claim,
            };
            return acceptor.grants.push_back(grant);
        }
        None if !is_same_group || !acceptor.can_keep(most) => declined(request, claim),
        None => {
            acceptor.keep(request, claim, now);
            acceptor.write(output);
            let batch = acceptor.last_batch;
            let grant = WaitingGrant {
                batch,
                to: from,
                request,
                claim,
            };
            return acceptor.grants.push_back(grant);
        }
    };
    ledger::send(state, from, answer, output);
}

impl AcceptorState {
    fn keep(
        &mut self,
        request: wire::RequestDigest,
        claim: wire::ClaimId,
        now: time::MonotonicTime,
    ) {
        let stored = wire::StoredClaim {
            claim,
            is_done: false,
        };
        let batch = self.last_batch + 1;
        self.claims.insert(request, KeptClaim { stored, batch });
        self.order.push_back((now, request, claim));
        let record = wire::ClaimRecord::Kept(request, claim);
        self.unwritten.push(record);
    }
}

fn declined(request: wire::RequestDigest, claim: wire::ClaimId) -> wire::LedgerMessage {
    wire::LedgerMessage::Declined { request, claim }
}

/// Takes the store's word that a batch is synced: what waits for it is granted.
pub fn persisted(state: &mut reducer::EngineState, batch: u64, output: &mut event::ReducerOutput) {
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    if let Some(failure) = &acceptor.failure {
        if !failure.is_recovered(batch) {
            return;
        }
        acceptor.failure = None;
    }
    acceptor.synced = acceptor.synced.max(batch);
    let mut granted = Vec::new();
    while let Some(grant) = acceptor.grants.front().copied() {
        if grant.batch > acceptor.synced {
            break;
        }
        acceptor.grants.pop_front();
        // It may have been released while it was written.
        if acceptor.matches(&grant.request, grant.claim) {
            granted.push(grant);
        }
    }
    for grant in granted {
        let (request, claim) = (grant.request, grant.claim);
        let message = wire::LedgerMessage::Granted { request, claim };
        ledger::send(state, grant.to, message, output);
    }
}

/// Forgets a claim that nothing ran under.
pub fn release(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
) {
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    if acceptor.matches(&request, claim) {
        acceptor.claims.swap_remove(&request);
        let record = wire::ClaimRecord::Released(request, claim);
        acceptor.unwritten.push(record);
    }
}

/// Notes that the request of a claim ran.
pub fn mark_done(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
) {
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    if let Some(kept) = acceptor.claims.get_mut(&request)
        && kept.stored.claim == claim
        && !kept.stored.is_done
    {
        kept.stored.is_done = true;
        let record = wire::ClaimRecord::Done(request, claim);
        acceptor.unwritten.push(record);
    }
}
