//! The claims of this node, and the calls that wait for another claim.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::ledger as wire;
use indexmap::{IndexMap, IndexSet};

use crate::settings;

/// Number of released claims that a node remembers, so that it can tell others that nothing ran
/// under them.
const MAX_RELEASED_CLAIMS: usize = 4096;

/// A call that waits for the outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClaimWaiter {
    /// Peer address of the call's node, which may be this process.
    pub(super) node: SocketAddr,
    /// The call at that node.
    pub(super) call: ids::CallId,
}

/// Progress of a claim that has no majority yet.
#[derive(Debug, Clone, Default)]
pub(super) struct GrantTally {
    pub(super) began_at: time::MonotonicTime,
    pub(super) sent_at: time::MonotonicTime,
    pub(super) granted: IndexSet<SocketAddr>,
    pub(super) denied: IndexSet<SocketAddr>,
    /// A competing claim that a control has stored.
    pub(super) competing: Option<wire::StoredClaim>,
}

/// State of a claim.
#[derive(Debug, Clone)]
pub(super) enum ClaimPhase {
    /// Grants are being collected; nothing has been sent to a target.
    Collecting(GrantTally),
    /// The claim has a majority, so its call may be sent.
    Running,
    /// The call was answered. Holds the answer if it was small enough to be stored.
    Finished(Option<wire::StoredAnswer>),
    /// The call may or may not have run.
    Unknown,
}

/// A claim of this node.
#[derive(Debug, Clone)]
pub(super) struct OwnClaim {
    pub(super) claim: wire::ClaimId,
    pub(super) call: ids::CallId,
    pub(super) phase: ClaimPhase,
    pub(super) waiters: Vec<ClaimWaiter>,
}

/// A call that waits for the holder of a claim.
#[derive(Debug, Clone)]
pub(super) struct WaitingCall {
    pub(super) request: wire::RequestDigest,
    pub(super) holder: wire::ClaimId,
    /// Whether a control has recorded that the claimed request ran.
    pub(super) is_done: bool,
    pub(super) queried_at: time::MonotonicTime,
    /// Time of the holder's latest answer, or of the first query before any answer.
    pub(super) heard_at: time::MonotonicTime,
    /// Whether the holder has answered that the claim is undecided or running.
    pub(super) is_running: bool,
}

/// The claims of this node, and the calls that wait for another claim.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    /// Number of this node's latest claim.
    pub(super) last_number: u64,
    pub(super) claims: IndexMap<wire::RequestDigest, OwnClaim>,
    /// Requests whose claims have not ended, by call.
    pub(super) by_call: IndexMap<ids::CallId, wire::RequestDigest>,
    pub(super) waiting_calls: IndexMap<ids::CallId, WaitingCall>,
    /// Calls whose request is to be claimed again, with the time for it.
    pub(super) backoffs: IndexMap<ids::CallId, (time::MonotonicTime, wire::RequestDigest)>,
    /// The latest released claims, oldest first.
    released: IndexSet<wire::ClaimId>,
    /// Ended claims with the time of their end, oldest first.
    ended_claims: VecDeque<(time::MonotonicTime, wire::RequestDigest, wire::ClaimId)>,
    /// Size of the stored answers.
    kept_bytes: usize,
}

impl ClaimTable {
    /// The claim of this node on a request.
    pub(super) fn claim_of(&self, request: &wire::RequestDigest) -> Option<wire::ClaimId> {
        self.claims.get(request).map(|own| own.claim)
    }

    /// The request that a call has claimed or is claiming.
    pub(super) fn request_of(&self, call: ids::CallId) -> Option<wire::RequestDigest> {
        self.by_call.get(&call).copied()
    }

    /// Whether no call of this node holds or requests a claim.
    pub(super) fn has_no_calls(&self) -> bool {
        self.by_call.is_empty()
    }

    /// Size of the stored answers in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Removes a call that waits for another claim or for its next attempt to claim.
    pub(super) fn remove_waiting(&mut self, call: ids::CallId) {
        self.waiting_calls.swap_remove(&call);
        self.backoffs.swap_remove(&call);
    }

    /// Removes a claim under which nothing ran, and remembers its id.
    pub(super) fn release(&mut self, request: &wire::RequestDigest) -> Option<OwnClaim> {
        let own = self.claims.swap_remove(request)?;
        self.by_call.swap_remove(&own.call);
        if self.released.len() >= MAX_RELEASED_CLAIMS {
            self.released.shift_remove_index(0);
        }
        self.released.insert(own.claim);
        Some(own)
    }

    /// Ends a claim whose call was sent. Returns the calls that wait for its outcome.
    pub(super) fn end_claim(
        &mut self,
        request: &wire::RequestDigest,
        phase: ClaimPhase,
        now: time::MonotonicTime,
    ) -> Vec<ClaimWaiter> {
        let Some(own) = self.claims.get_mut(request) else {
            return Vec::new();
        };
        if let ClaimPhase::Finished(Some(answer)) = &phase {
            self.kept_bytes += answer.size();
        }
        own.phase = phase;
        self.by_call.swap_remove(&own.call);
        self.ended_claims.push_back((now, *request, own.claim));
        std::mem::take(&mut own.waiters)
    }

    /// Returns the state of a claim. If it is still running, the waiter is registered and gets the
    /// outcome later.
    pub(super) fn state_of(
        &mut self,
        request: &wire::RequestDigest,
        holder: wire::ClaimId,
        waiter: ClaimWaiter,
    ) -> wire::ClaimState {
        if self.released.contains(&holder) {
            return wire::ClaimState::NeverRan;
        }
        let own = self.claims.get_mut(request);
        let Some(own) = own.filter(|own| own.claim == holder) else {
            return wire::ClaimState::Unknown;
        };
        match &own.phase {
            ClaimPhase::Collecting(_) | ClaimPhase::Running => {
                if !own.waiters.contains(&waiter) {
                    own.waiters.push(waiter);
                }
                wire::ClaimState::Running
            }
            ClaimPhase::Finished(answer) => wire::ClaimState::Finished(answer.clone()),
            ClaimPhase::Unknown => wire::ClaimState::Unknown,
        }
    }

    /// Removes ended claims that are too old, and the oldest ones while their number or the size of
    /// their stored answers exceeds its limit.
    pub(super) fn expire(&mut self, now: time::MonotonicTime, tunables: &settings::LedgerTunables) {
        let max_age = Duration::from_millis(tunables.kept_ms);
        while let Some((ended_at, request, claim)) = self.ended_claims.front().copied() {
            let is_expired = now.since(ended_at) >= max_age
                || self.ended_claims.len() > tunables.kept_answers as usize
                || self.kept_bytes > tunables.kept_bytes as usize;
            if !is_expired {
                return;
            }
            self.ended_claims.pop_front();
            if self.claim_of(&request) != Some(claim) {
                continue;
            }
            let own = self.claims.swap_remove(&request);
            if let Some(ClaimPhase::Finished(Some(answer))) = own.map(|own| own.phase) {
                self.kept_bytes -= answer.size();
            }
        }
    }
}
