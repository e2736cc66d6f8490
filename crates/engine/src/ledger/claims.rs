//! The claims of this node and the calls that wait for one.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::ledger as wire;
use indexmap::{IndexMap, IndexSet};

use crate::settings;

/// Claims that were given up and are remembered as such, so that others learn it when they ask.
const MOST_ABANDONED: usize = 4096;

/// Who is told when a claim's request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClaimWaiter {
    /// Peers address of its node; this process's own for a call here.
    pub(super) node: SocketAddr,
    /// The call there.
    pub(super) call: ids::CallId,
}

/// The votes on a claim so far.
#[derive(Debug, Clone, Default)]
pub(super) struct ClaimRace {
    pub(super) began: time::MonotonicTime,
    pub(super) sent: time::MonotonicTime,
    pub(super) granted: IndexSet<SocketAddr>,
    pub(super) denied: IndexSet<SocketAddr>,
    /// Another claim that a control keeps.
    pub(super) rival: Option<wire::StoredClaim>,
}

/// How far a claim has come.
#[derive(Debug, Clone)]
pub(super) enum ClaimPhase {
    /// Votes are asked for; nothing was sent.
    Racing(ClaimRace),
    /// It has a majority; its call may be sent.
    Running,
    /// Its call was answered.
    Finished(Option<wire::StoredAnswer>),
    /// Its call may have run.
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

/// A call that waits for what the holder of a claim says.
#[derive(Debug, Clone)]
pub(super) struct WaitingCall {
    pub(super) request: wire::RequestDigest,
    pub(super) holder: wire::ClaimId,
    pub(super) is_done: bool,
    pub(super) asked: time::MonotonicTime,
    /// When the holder last answered; when it was first asked before that.
    pub(super) heard: time::MonotonicTime,
    pub(super) is_running: bool,
}

/// Claims of this node, and calls that wait for one.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    pub(super) last_number: u64,
    pub(super) claims: IndexMap<wire::RequestDigest, OwnClaim>,
    pub(super) by_call: IndexMap<ids::CallId, wire::RequestDigest>,
    pub(super) waiting: IndexMap<ids::CallId, WaitingCall>,
    /// Calls that claim again at a time.
    pub(super) again: IndexMap<ids::CallId, (time::MonotonicTime, wire::RequestDigest)>,
    abandoned: IndexSet<wire::ClaimId>,
    ended: VecDeque<(time::MonotonicTime, wire::RequestDigest, wire::ClaimId)>,
    kept_bytes: usize,
}

impl ClaimTable {
    /// The claim of this node on a request.
    pub(super) fn claim_of(&self, request: &wire::RequestDigest) -> Option<wire::ClaimId> {
        self.claims.get(request).map(|own| own.claim)
    }

    /// The request whose claim a call holds or tries to hold.
    pub(super) fn request_of(&self, call: ids::CallId) -> Option<wire::RequestDigest> {
        self.by_call.get(&call).copied()
    }

    /// Whether no call here holds a claim.
    pub(super) fn has_no_calls(&self) -> bool {
        self.by_call.is_empty()
    }

    /// Answers that are kept now, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    pub(super) fn forget_waiting(&mut self, call: ids::CallId) {
        self.waiting.swap_remove(&call);
        self.again.swap_remove(&call);
    }

    /// Takes a claim out as one that nothing ran under.
    pub(super) fn abandon(&mut self, request: &wire::RequestDigest) -> Option<OwnClaim> {
        let own = self.claims.swap_remove(request)?;
        self.by_call.swap_remove(&own.call);
        if self.abandoned.len() >= MOST_ABANDONED {
            self.abandoned.shift_remove_index(0);
        }
        self.abandoned.insert(own.claim);
        Some(own)
    }

    /// Ends a claim whose call was sent; returns who waits for it.
    pub(super) fn end(
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
        self.ended.push_back((now, *request, own.claim));
        std::mem::take(&mut own.waiters)
    }

    /// What became of a claim; who asks is told again when a running one has ended.
    pub(super) fn state_of(
        &mut self,
        request: &wire::RequestDigest,
        holder: wire::ClaimId,
        waiter: ClaimWaiter,
    ) -> wire::ClaimState {
        if self.abandoned.contains(&holder) {
            return wire::ClaimState::NeverRan;
        }
        let own = self.claims.get_mut(request);
        let Some(own) = own.filter(|own| own.claim == holder) else {
            return wire::ClaimState::Unknown;
        };
        match &own.phase {
            ClaimPhase::Racing(_) | ClaimPhase::Running => {
                if !own.waiters.contains(&waiter) {
                    own.waiters.push(waiter);
                }
                wire::ClaimState::Running
            }
            ClaimPhase::Finished(answer) => wire::ClaimState::Finished(answer.clone()),
            ClaimPhase::Unknown => wire::ClaimState::Unknown,
        }
    }

    /// Forgets answers that are too old or too many.
    pub(super) fn expire(&mut self, now: time::MonotonicTime, tunables: &settings::LedgerTunables) {
        let longest = Duration::from_millis(tunables.kept_ms);
        while let Some((ended, request, claim)) = self.ended.front().copied() {
            let is_over = now.since(ended) >= longest
                || self.ended.len() > tunables.kept_answers as usize
                || self.kept_bytes > tunables.kept_bytes as usize;
            if !is_over {
                return;
            }
            self.ended.pop_front();
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
