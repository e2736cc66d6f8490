//! Homes of organisations: which node keeps an organisation's bucket, and what it grants.
//!
//! A few nodes, selected by hash, are the candidates, so that a node has links to few homes
//! whatever the number of organisations. Rendezvous hashing selects one of them for each
//! organisation: when a candidate leaves, only its organisations move.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{allowance as wire, membership as wire_membership};

use super::AllowanceLimit;
use crate::{
    membership::{reach, table},
    reducer,
};

/// Number of nodes among which the homes are selected.
const HOME_CANDIDATES: usize = 8;
/// Seed of the hash that selects the candidates.
const CANDIDATE_SEED: u64 = 0x616c_6c6f;
/// Age of a process below which it grants nothing. It does not yet know the members, and would be
/// the home of every organisation.
const MIN_HOME_AGE: Duration = Duration::from_millis(1500);
/// Time between two selections of the candidates.
const REFRESH_PERIOD: Duration = Duration::from_millis(200);
/// Part of its even share that a node may let pass while its home does not answer. Until a home
/// notices that it is cut off from some nodes it grants their share too.
pub const OWN_SHARE: f64 = 0.5;

/// Where a home is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HomePlace {
    /// On this node.
    Here,
    /// On the node with this peer address.
    At(SocketAddr),
}

/// The candidates, and the share of the fleet that can be reached from here.
#[derive(Debug, Clone, Default)]
pub struct HomeTable {
    candidates: Vec<(wire_membership::ShortDigest, HomePlace)>,
    /// Share of the known nodes that can be reached, this one included.
    reachable_share: f64,
    /// Membership revision and catalogue digest that the table was built from.
    built_from: Option<(u64, ids::StateDigest)>,
    next_refresh: time::MonotonicTime,
}

impl HomeTable {
    /// Returns the home of an organisation; `None` if no candidate is known.
    pub fn home_of(&self, organisation: &ids::EntryName) -> Option<HomePlace> {
        let name = table::name_digest(organisation.as_str());
        let weight = |candidate: &&(wire_membership::ShortDigest, HomePlace)| {
            table::mix(name.0 ^ candidate.0.0)
        };
        let home = self.candidates.iter().max_by_key(weight);
        home.map(|(_, place)| *place)
    }
}

/// Token bucket of one organisation at its home.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeBucket {
    /// Requests that may be granted.
    tokens: f64,
    refilled_at: time::MonotonicTime,
}

impl HomeBucket {
    /// Returns a bucket that may grant `tokens` requests at once.
    pub fn new(tokens: f64, now: time::MonotonicTime) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Takes up to `requests` out of the bucket.
    pub fn grant(
        &mut self,
        limit: AllowanceLimit,
        requests: u32,
        now: time::MonotonicTime,
    ) -> wire::AllowanceGrant {
        let earned = now.since(self.refilled_at).as_secs_f64() * limit.per_second;
        self.tokens = (self.tokens + earned).min(limit.burst.max(1.0));
        self.refilled_at = now;
        let granted = (self.tokens as u32).min(requests);
        self.tokens -= f64::from(granted);
        if granted > 0 {
            return wire::AllowanceGrant::Granted { requests: granted };
        }
        let wait_s = (1.0 - self.tokens) / limit.per_second.max(f64::EPSILON);
        let wait = Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX);
        wire::AllowanceGrant::Exhausted {
            retry_after_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Answers a node that asks for requests.
pub fn grant(
    state: &mut reducer::EngineState,
    organisation: &ids::EntryName,
    requests: u32,
) -> wire::AllowanceGrant {
    let now = state.now;
    let is_home = state.allowance.homes.home_of(organisation) == Some(HomePlace::Here);
    let is_mature = now.since(time::MonotonicTime::default()) >= MIN_HOME_AGE;
    let limit = AllowanceLimit::of(&state.dissemination.in_force, organisation);
    let (Some(limit), true, true) = (limit, is_home, is_mature) else {
        return wire::AllowanceGrant::NotHome;
    };
    let spare = state.settings.tunables.allowance.spare as f64;
    let mut limit = limit.part(state.allowance.homes.reachable_share);
    limit.burst += spare;
    let bucket = state.allowance.buckets.entry(organisation.clone());
    let bucket = bucket.or_insert_with(|| HomeBucket::new(spare, now));
    bucket.grant(limit, requests, now)
}

/// Selects the candidates again if the members changed, opens the buckets of the organisations whose
/// home is here now, and drops those of others, so that a home that returns brings no old burst.
pub fn refresh(state: &mut reducer::EngineState) {
    let now = state.now;
    let catalogue = std::sync::Arc::clone(&state.dissemination.in_force);
    let built_from = Some((state.membership.revision, catalogue.digest));
    let homes = &state.allowance.homes;
    if homes.built_from == built_from || now < homes.next_refresh {
        return;
    }
    let mut homes = select(state);
    homes.built_from = built_from;
    homes.next_refresh = now + REFRESH_PERIOD;
    let buckets = &mut state.allowance.buckets;
    let is_limited_here = |name: &ids::EntryName| {
        homes.home_of(name) == Some(HomePlace::Here)
            && AllowanceLimit::of(&catalogue, name).is_some()
    };
    buckets.retain(|name, _| is_limited_here(name));
    let is_mature = now.since(time::MonotonicTime::default()) >= MIN_HOME_AGE;
    let spare = state.settings.tunables.allowance.spare;
    let tokens = if is_mature { spare as f64 } else { 0.0 };
    for organisation in catalogue.organisations() {
        if is_limited_here(&organisation.name) && !buckets.contains_key(&organisation.name) {
            let bucket = HomeBucket::new(tokens, now);
            buckets.insert(organisation.name.clone(), bucket);
        }
    }
    state.allowance.homes = homes;
    let accounts = &mut state.allowance.accounts;
    accounts.retain(|name, account| {
        !account.waiting.is_empty() || catalogue.organisation(name).is_some()
    });
}

/// Selects the candidates among the nodes that can be reached.
fn select(state: &reducer::EngineState) -> HomeTable {
    let own = &state.settings.identity;
    let nodes = state.membership.present();
    let nodes = nodes.filter(|record| record.identity.is_node);
    let (mut known, mut candidates) = (0_usize, Vec::new());
    for record in nodes {
        known += 1;
        let identity = &record.identity;
        let place = if identity.instance == own.instance {
            HomePlace::Here
        } else if state.membership.reachability(&identity.instance)
            == reach::Reachability::Unreachable
        {
            continue;
        } else {
            HomePlace::At(identity.address)
        };
        candidates.push((table::name_digest(identity.instance.as_str()), place));
    }
    let reachable_share = candidates.len() as f64 / known.max(1) as f64;
    candidates.sort_by_key(|(name, _)| table::mix(name.0 ^ CANDIDATE_SEED));
    candidates.truncate(HOME_CANDIDATES);
    HomeTable {
        candidates,
        reachable_share,
        ..HomeTable::default()
    }
}
