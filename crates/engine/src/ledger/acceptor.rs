//! The claims stored by a control. A claim is never overwritten, and is granted only once it is
//! synced to disk.

use std::{collections::VecDeque, net::SocketAddr};

use hazeltiller_units::time;
use hazeltiller_wire::ledger as wire;
use indexmap::IndexMap;

use crate::{event, failed_store, ledger, reducer, replication, settings};

/// Number of superfluous records, in addition to twice the number of claims, above which the claims
/// file is rewritten.
const REWRITE_SLACK_RECORDS: usize = 4096;

/// A claim that this control stores.
#[derive(Debug, Clone, Copy)]
struct AcceptedClaim {
    stored: wire::StoredClaim,
    /// Batch that contains the claim's record.
    batch: u64,
}

/// A grant to be sent once its batch is synced.
#[derive(Debug, Clone, Copy)]
struct PendingGrant {
    batch: u64,
    to: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
}

/// The claims stored by a control.
#[derive(Debug, Clone)]
pub struct AcceptorState {
    claims: IndexMap<wire::RequestDigest, AcceptedClaim>,
    /// Claims in the order of their expiry, with the time at which each was stored or recovered. A
    /// released claim remains until it would have expired.
    expiry_order: VecDeque<(time::MonotonicTime, wire::RequestDigest, wire::ClaimId)>,
    /// Whether the claims file may lack claims that were granted earlier.
    completeness: wire::ClaimsCompleteness,
    pending_grants: VecDeque<PendingGrant>,
    /// Records to be written with the next tick or claim; nothing waits for their sync.
    pending_records: Vec<wire::ClaimRecord>,
    last_batch: u64,
    synced_batch: u64,
    /// Number of records in the claims file.
    record_count: usize,
    /// Set from a failed write until the full rewrite is synced. No claim is granted meanwhile.
    store_failure: Option<failed_store::FailedStore>,
}

impl AcceptorState {
    /// Restores a control's claims from its disk. If the disk may have lost claims, none is granted
    /// until the lost ones have expired. If the data folder is new, none is granted until the log
    /// of the control group proves that no earlier folder of this control can have granted any.
    pub fn recover(
        stored: IndexMap<wire::RequestDigest, wire::StoredClaim>,
        completeness: wire::ClaimsCompleteness,
    ) -> Self {
        let start = time::MonotonicTime::default();
        let expiry_order = stored
            .iter()
            .map(|(request, stored)| (start, *request, stored.claim))
            .collect();
        let record_count = stored.len();
        let claims = stored
            .into_iter()
            .map(|(request, stored)| (request, AcceptedClaim { stored, batch: 0 }))
            .collect();
        Self {
            claims,
            expiry_order,
            completeness,
            pending_grants: VecDeque::new(),
            pending_records: Vec::new(),
            last_batch: 0,
            synced_batch: 0,
            record_count,
            store_failure: None,
        }
    }

    /// Number of stored claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether a new claim can be stored and granted, given the largest number of claims.
    fn can_accept(&self, max_claims: usize) -> bool {
        self.completeness == wire::ClaimsCompleteness::Whole
            && self.store_failure.is_none()
            && self.claims.len() < max_claims
    }

    fn is_stored(&self, request: &wire::RequestDigest, claim: wire::ClaimId) -> bool {
        let accepted = self.claims.get(request);
        accepted.is_some_and(|accepted| accepted.stored.claim == claim)
    }

    fn write_pending(&mut self, output: &mut event::ReducerOutput) {
        let records = std::mem::take(&mut self.pending_records);
        self.record_count += records.len();
        if self.record_count > 2 * self.claims.len() + REWRITE_SLACK_RECORDS {
            return self.rewrite(output);
        }
        self.persist(records, false, output);
    }

    fn rewrite(&mut self, output: &mut event::ReducerOutput) {
        let records = self.all_records();
        self.record_count = records.len();
        self.persist(records, true, output);
    }

    fn persist(
        &mut self,
        records: Vec<wire::ClaimRecord>,
        is_full_rewrite: bool,
        output: &mut event::ReducerOutput,
    ) {
        self.last_batch += 1;
        let batch = ledger::ClaimBatch {
            batch: self.last_batch,
            records,
            is_full_rewrite,
        };
        let effect = ledger::LedgerEffect::Persist(batch);
        output.effects.push(event::Effect::Ledger(effect));
    }

    fn all_records(&self) -> Vec<wire::ClaimRecord> {
        let mut records = vec![wire::ClaimRecord::Standing(self.completeness)];
        for (request, accepted) in &self.claims {
            let claim = accepted.stored.claim;
            records.push(wire::ClaimRecord::Kept(*request, claim));
            if accepted.stored.is_done {
                records.push(wire::ClaimRecord::Done(*request, claim));
            }
        }
        records
    }

    fn expire(&mut self, now: time::MonotonicTime, retention: std::time::Duration) {
        while let Some((stored_at, request, claim)) = self.expiry_order.front().copied() {
            if now.since(stored_at) < retention {
                return;
            }
            self.expiry_order.pop_front();
            if self.is_stored(&request, claim) {
                self.claims.swap_remove(&request);
            }
        }
    }
}

/// Expires claims, resumes granting when it is safe, and writes pending records.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let (now, tunables) = (state.now, &state.settings.tunables.ledger);
    let retention = settings::millis(tunables.retention_ms);
    let replication = state.replication.as_ref();
    let is_founding_replica =
        replication.is_some_and(replication::ReplicationState::is_founding_replica);
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    acceptor.expire(now, retention);
    let is_retention_over = now.since(time::MonotonicTime::default()) >= retention;
    let is_proven_complete =
        acceptor.completeness == wire::ClaimsCompleteness::Unproven && is_founding_replica;
    if acceptor.completeness != wire::ClaimsCompleteness::Whole
        && (is_retention_over || is_proven_complete)
    {
        acceptor.completeness = wire::ClaimsCompleteness::Whole;
        let record = wire::ClaimRecord::Standing(acceptor.completeness);
        acceptor.pending_records.push(record);
    }
    match &mut acceptor.store_failure {
        Some(failure) if failure.is_due(now) => {
            failure.record_rewrite(acceptor.last_batch + 1);
            acceptor.pending_records.clear();
            acceptor.rewrite(output);
        }
        None if !acceptor.pending_records.is_empty() => acceptor.write_pending(output),
        _ => {}
    }
}

/// Handles a failed write: grants no claim until all claims have been written again.
pub fn handle_store_failure(state: &mut reducer::EngineState) {
    let period = settings::millis(state.settings.tunables.replication.rewrite_ms);
    let now = state.now;
    if let Some(acceptor) = &mut state.ledger.acceptor {
        acceptor.store_failure = Some(failed_store::FailedStore::new(now, period));
    }
}

/// Handles a claim: stores it unless another claim on the request is stored.
pub fn handle_claim(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
    voters: u64,
    output: &mut event::ReducerOutput,
) {
    let is_same_group = voters == ledger::voters_digest(state);
    let max_claims = state.settings.tunables.ledger.claims as usize;
    let now = state.now;
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return ledger::send(state, from, declined(request, claim), output);
    };
    let answer = match acceptor.claims.get(&request).copied() {
        Some(accepted) if accepted.stored.claim != claim => wire::LedgerMessage::Held {
            request,
            claim,
            holder: accepted.stored.claim,
            is_done: accepted.stored.is_done,
        },
        Some(accepted) if accepted.batch <= acceptor.synced_batch => {
            wire::LedgerMessage::Granted { request, claim }
        }
        Some(accepted) => {
            let batch = accepted.batch;
            let grant = PendingGrant {
                batch,
                to: from,
                request,
                claim,
            };
            return acceptor.pending_grants.push_back(grant);
        }
        None if !is_same_group || !acceptor.can_accept(max_claims) => declined(request, claim),
        None => {
            acceptor.store_claim(request, claim, now);
            acceptor.write_pending(output);
            let batch = acceptor.last_batch;
            let grant = PendingGrant {
                batch,
                to: from,
                request,
                claim,
            };
            return acceptor.pending_grants.push_back(grant);
        }
    };
    ledger::send(state, from, answer, output);
}

impl AcceptorState {
    fn store_claim(
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
        self.claims.insert(request, AcceptedClaim { stored, batch });
        self.expiry_order.push_back((now, request, claim));
        let record = wire::ClaimRecord::Kept(request, claim);
        self.pending_records.push(record);
    }
}

fn declined(request: wire::RequestDigest, claim: wire::ClaimId) -> wire::LedgerMessage {
    wire::LedgerMessage::Declined { request, claim }
}

/// Handles the report that a batch is synced, and sends the grants that waited for it.
pub fn handle_persisted(
    state: &mut reducer::EngineState,
    batch: u64,
    output: &mut event::ReducerOutput,
) {
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    if let Some(failure) = &acceptor.store_failure {
        if !failure.is_recovered(batch) {
            return;
        }
        acceptor.store_failure = None;
    }
    acceptor.synced_batch = acceptor.synced_batch.max(batch);
    let mut granted = Vec::new();
    while let Some(grant) = acceptor.pending_grants.front().copied() {
        if grant.batch > acceptor.synced_batch {
            break;
        }
        acceptor.pending_grants.pop_front();
        // The claim may have been released before it was synced.
        if acceptor.is_stored(&grant.request, grant.claim) {
            granted.push(grant);
        }
    }
    for grant in granted {
        let (request, claim) = (grant.request, grant.claim);
        let message = wire::LedgerMessage::Granted { request, claim };
        ledger::send(state, grant.to, message, output);
    }
}

/// Removes a claim under which nothing ran.
pub fn handle_release(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
) {
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    if acceptor.is_stored(&request, claim) {
        acceptor.claims.swap_remove(&request);
        let record = wire::ClaimRecord::Released(request, claim);
        acceptor.pending_records.push(record);
    }
}

/// Records that the request of a claim ran.
pub fn mark_done(
    state: &mut reducer::EngineState,
    request: wire::RequestDigest,
    claim: wire::ClaimId,
) {
    let Some(acceptor) = &mut state.ledger.acceptor else {
        return;
    };
    if let Some(accepted) = acceptor.claims.get_mut(&request)
        && accepted.stored.claim == claim
        && !accepted.stored.is_done
    {
        accepted.stored.is_done = true;
        let record = wire::ClaimRecord::Done(request, claim);
        acceptor.pending_records.push(record);
    }
}
