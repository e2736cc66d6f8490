//! Allowances of organisations: requests per second over the whole fleet.
//!
//! Each organisation has a home among the nodes, which keeps its token bucket. The other nodes ask
//! the home for small grants with a short life, sized by their recent demand and asked for ahead of
//! need. An organisation whose requests are rare costs them one round trip each, and a busy one
//! costs none.
//!
//! What all nodes let pass together must stay under the allowance whatever they can reach. A home
//! therefore grants only the share of the nodes that it can reach, so that two homes on the sides
//! of a partition stay under the limit together, and a new home starts with a nearly empty bucket.
//! A node whose home does not answer lets pass at most a part of its own even share.

use std::time::Duration;

use hazeltiller_catalogue::{entry, state as catalogue_state};
use hazeltiller_units::{code, ids};
use hazeltiller_wire::{
    allowance as wire, calls as wire_calls, membership as wire_membership, message,
};
use indexmap::IndexMap;
use rand::RngExt;

use crate::{calls, event, reducer, returns, settings};

pub mod account;
pub mod home;

/// Bounds of the time for which a node refuses an organisation's requests after its home has
/// reported that the allowance is exhausted.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(20);
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Shortest delay after which a caller is told to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which a node uses its own share after its home did not answer; then it asks again.
const OWN_SHARE_TIME: Duration = Duration::from_millis(500);

/// Limit of an organisation over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may come at once in addition.
    pub burst: f64,
}

impl AllowanceLimit {
    /// Returns the limit of an organisation; `None` if it has none or is not in the catalogue.
    pub fn of(
        catalogue: &catalogue_state::CatalogueState,
        organisation: &ids::EntryName,
    ) -> Option<Self> {
        let limits = &catalogue.organisation(organisation)?.limits;
        Some(Self {
            per_second: limits.rate?.per_second(),
            burst: f64::from(limits.burst),
        })
    }

    /// Returns a part of the limit.
    #[must_use]
    pub fn part(self, share: f64) -> Self {
        Self {
            per_second: self.per_second * share,
            burst: self.burst * share,
        }
    }
}

/// Allowances on this process.
#[derive(Debug, Clone, Default)]
pub struct AllowanceState {
    /// Where the homes are.
    homes: home::HomeTable,
    /// Buckets of the organisations whose home is here.
    buckets: IndexMap<ids::EntryName, home::HomeBucket>,
    /// What this node may let pass, by organisation.
    accounts: IndexMap<ids::EntryName, account::NodeAccount>,
}

/// Requests the passage of a call. Returns true if it may pass now. Otherwise the call is refused,
/// or an event follows that lets it pass.
pub fn request(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    call: ids::CallId,
    output: &mut event::ReducerOutput,
) -> bool {
    let Some(limit) = AllowanceLimit::of(&state.dissemination.in_force, organisation) else {
        return true;
    };
    let now = state.now;
    let grant_time = settings::millis(state.settings.tunables.allowance.grant_ms);
    let accounts = &mut state.allowance.accounts;
    let account = accounts.entry(organisation.clone()).or_default();
    account.record_demand(now);
    if account.waiting.is_empty() && account.take(now) {
        if let Some(requests) = account.due_ask(grant_time, now) {
            ask(state, organisation, requests, output);
        }
        returns::record_passage(state, organisation);
        return true;
    }
    account.waiting.push_back(call);
    if account.asked_at.is_none() && !account.is_settled(now) {
        let requests = account.wanted(grant_time, now);
        ask(state, organisation, requests, output);
    }
    serve_waiting(state, organisation, limit, output);
    false
}

/// Returns a call that did not run to its organisation's allowance.
pub fn refund(state: &mut reducer::EngineState, organisation: &ids::EntryName) {
    let life = settings::millis(state.settings.tunables.allowance.grant_life_ms);
    if let Some(account) = state.allowance.accounts.get_mut(organisation) {
        account.add(1, state.now, life);
        returns::record_refund(state, organisation);
    }
}

/// Handles a message of another node.
pub fn receive(
    state: &mut reducer::EngineState,
    from: &wire_membership::PeerIdentity,
    message: wire::AllowanceMessage,
    output: &mut event::ReducerOutput,
) {
    match message {
        wire::AllowanceMessage::Ask {
            organisation,
            requests,
        } => {
            let grant = home::grant(state, &organisation, requests);
            let answer = wire::AllowanceMessage::Grant {
                organisation,
                grant,
            };
            output.send(from.address, message::PeerMessage::Allowance(answer));
        }
        wire::AllowanceMessage::Grant {
            organisation,
            grant,
        } => apply_grant(state, &organisation, grant, output),
    }
}

/// Updates the homes, and serves the requests whose home did not answer in time.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if !state.dissemination.in_force.requires_keys() {
        return;
    }
    home::refresh(state);
    let now = state.now;
    let answer_time = settings::millis(state.settings.tunables.allowance.answer_ms);
    let mut unanswered = Vec::new();
    for (organisation, account) in &mut state.allowance.accounts {
        let is_late = |asked_at| now.since(asked_at) >= answer_time;
        if account.asked_at.is_some_and(is_late) {
            account.asked_at = None;
            account.use_own_share(now + OWN_SHARE_TIME);
            unanswered.push(organisation.clone());
        }
    }
    for organisation in unanswered {
        let catalogue = &state.dissemination.in_force;
        match AllowanceLimit::of(catalogue, &organisation) {
            Some(limit) => serve_waiting(state, &organisation, limit, output),
            None => pass_waiting(state, &organisation, output),
        }
    }
}

/// Asks the home of an organisation for requests.
fn ask(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    requests: u32,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    if let Some(account) = state.allowance.accounts.get_mut(organisation) {
        account.asked_at = Some(now);
    }
    match state.allowance.homes.home_of(organisation) {
        Some(home::HomePlace::Here) => {
            let grant = home::grant(state, organisation, requests);
            apply_grant(state, organisation, grant, output);
        }
        Some(home::HomePlace::At(address)) => {
            let ask = wire::AllowanceMessage::Ask {
                organisation: organisation.clone(),
                requests,
            };
            output.send(address, message::PeerMessage::Allowance(ask));
        }
        None => apply_grant(state, organisation, wire::AllowanceGrant::NotHome, output),
    }
}

/// Applies a home's answer and serves the waiting calls.
fn apply_grant(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    grant: wire::AllowanceGrant,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let life = settings::millis(state.settings.tunables.allowance.grant_life_ms);
    let Some(account) = state.allowance.accounts.get_mut(organisation) else {
        return;
    };
    account.asked_at = None;
    match grant {
        wire::AllowanceGrant::Granted { requests } => {
            account.resume();
            account.add(requests, now, life);
        }
        wire::AllowanceGrant::Exhausted { retry_after_ms } => {
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            let refusal_time = retry_after.clamp(MIN_REFUSAL_TIME, MAX_REFUSAL_TIME);
            account.refuse(now + refusal_time, retry_after);
        }
        wire::AllowanceGrant::NotHome => account.use_own_share(now + OWN_SHARE_TIME),
    }
    match AllowanceLimit::of(&state.dissemination.in_force, organisation) {
        Some(limit) => serve_waiting(state, organisation, limit, output),
        None => pass_waiting(state, organisation, output),
    }
}

/// Lets the waiting calls pass or refuses them, as far as that is decided.
fn serve_waiting(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    limit: AllowanceLimit,
    output: &mut event::ReducerOutput,
) {
    let now = state.now;
    let own_share = home::OWN_SHARE / state.membership.node_count.max(1) as f64;
    let own_limit = limit.part(own_share);
    loop {
        let draw: f64 = state.random.random();
        let Some(account) = state.allowance.accounts.get_mut(organisation) else {
            return;
        };
        match account.decide(own_limit, now, draw) {
            account::WaitingDecision::Pass(call) => {
                returns::record_passage(state, organisation);
                let passed = calls::CallEvent::Allowed(call);
                output.enqueue(event::Event::Calls(passed));
            }
            account::WaitingDecision::Refuse(call, retry_after) => {
                let refusal = refusal(state, organisation, call, retry_after);
                output.refuse(call, refusal);
            }
            account::WaitingDecision::Ask => {
                let grant_time = settings::millis(state.settings.tunables.allowance.grant_ms);
                let requests = account.wanted(grant_time, now);
                return ask(state, organisation, requests, output);
            }
            account::WaitingDecision::Wait => return,
        }
    }
}

/// Lets all waiting calls of an organisation without a limit pass.
fn pass_waiting(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    output: &mut event::ReducerOutput,
) {
    let account = state.allowance.accounts.swap_remove(organisation);
    for call in account.into_iter().flat_map(|account| account.waiting) {
        output.enqueue(event::Event::Calls(calls::CallEvent::Allowed(call)));
    }
}

/// Returns the refusal of a call beyond the allowance of its organisation. The caller is told when
/// its turn is expected, or a delay with random jitter, so that callers refused together do not
/// return together.
fn refusal(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    call: ids::CallId,
    retry_after: Duration,
) -> wire_calls::CallRefusal {
    let turn_ms = returns::appoint_passage(state, organisation, call);
    let retry_after_ms = turn_ms.unwrap_or_else(|| {
        let factor = state.random.random_range(1.0..2.0);
        let retry_after = retry_after.max(MIN_RETRY_DELAY).mul_f64(factor);
        retry_after.as_millis() as u32
    });
    let limit = wire_calls::CallLimit {
        entry: entry::EntryKey {
            kind: entry::EntryKind::Organisation,
            name: organisation.clone(),
        },
        field: wire_calls::LimitField::Rate,
    };
    wire_calls::CallRefusal::not_run(code::ResultCode::AllowanceExceeded)
        .with_limit(limit, retry_after_ms)
}
