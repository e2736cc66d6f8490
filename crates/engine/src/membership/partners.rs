//! Selection of gossip partners.
//!
//! Within a data centre the members are arranged on several rings, each ordered by a different hash
//! of their names, and a member's partners are its successors on the rings. Processes that agree on
//! the members therefore agree on the rings; each member has as many partners as there are rings;
//! and together the rings reach all members in a number of steps logarithmic in their number.
//! Between two data centres, `BRIDGES_PER_CENTRE` members on each side, selected by hash, are
//! paired one to one.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::membership as wire;
use indexmap::{IndexMap, IndexSet};

use crate::{
    membership::{self, table},
    reducer,
};

/// Minimum time between two selections. Each looks at every member, and while a fleet starts the
/// members change with every message.
const SELECTION_PERIOD: Duration = Duration::from_millis(100);
/// Number of members of a data centre that gossip with each other data centre.
const BRIDGES_PER_CENTRE: usize = 2;

/// The gossip partners of a process.
#[derive(Debug, Clone)]
pub struct PartnerSet {
    /// Peer addresses of the partners, by name.
    pub partners: IndexMap<ids::InstanceName, SocketAddr>,
    /// Whether the members changed since the partners were selected.
    pub is_stale: bool,
    /// Earliest time of the next selection.
    next_selection: time::MonotonicTime,
}

impl Default for PartnerSet {
    fn default() -> Self {
        Self {
            partners: IndexMap::new(),
            is_stale: true,
            next_selection: time::MonotonicTime::default(),
        }
    }
}

/// Selects the partners again if the members changed.
pub fn refresh(state: &mut reducer::EngineState) {
    let current = &state.membership.partners;
    let is_early = state.now < current.next_selection && !current.partners.is_empty();
    if !current.is_stale || is_early {
        return;
    }
    let ring_count = state.settings.tunables.membership.gossip_fan_out;
    let partners = choose(&state.membership, ring_count);
    state.membership.partners = PartnerSet {
        partners,
        is_stale: false,
        next_selection: state.now + SELECTION_PERIOD,
    };
}

/// Selects the partners: one successor for each ring, and the bridges to other data centres.
fn choose(
    membership: &membership::MembershipState,
    ring_count: u64,
) -> IndexMap<ids::InstanceName, SocketAddr> {
    let own = &membership.own.identity;
    let own_digest = table::name_digest(own.instance.as_str());
    let reachable_members = || {
        membership
            .others()
            .filter(|member| !member.is_unreachable())
    };
    let local_members: Vec<&table::KnownMember> = reachable_members()
        .filter(|member| member.record.identity.data_centre == own.data_centre)
        .collect();
    let mut chosen: Vec<&wire::PeerIdentity> = Vec::new();
    for ring in 0..ring_count {
        let ring_position = |digest: wire::ShortDigest| table::mix(digest.0 ^ table::mix(ring));
        let start = ring_position(own_digest);
        let successor = local_members
            .iter()
            .min_by_key(|member| ring_position(member.digest).wrapping_sub(start));
        chosen.extend(successor.map(|member| &member.record.identity));
    }
    let remote_centres: IndexSet<&ids::DataCentreName> = reachable_members()
        .map(|member| &member.record.identity.data_centre)
        .filter(|data_centre| **data_centre != own.data_centre)
        .collect();
    for data_centre in remote_centres {
        let remote_seed = u64::from(table::centre_digest(data_centre));
        let own_rank = table::mix(own_digest.0 ^ remote_seed);
        let own_rank = (!own.is_node, own_rank);
        let rank = |member: &&&table::KnownMember| {
            let is_control_only = !member.record.identity.is_node;
            (is_control_only, table::mix(member.digest.0 ^ remote_seed))
        };
        let higher_ranked = local_members
            .iter()
            .filter(|member| rank(member) < own_rank);
        let own_place = higher_ranked.count();
        if own_place >= BRIDGES_PER_CENTRE {
            continue;
        }
        let local_seed = u64::from(table::centre_digest(&own.data_centre));
        let mut remote_members: Vec<&table::KnownMember> = reachable_members()
            .filter(|member| member.record.identity.data_centre == *data_centre)
            .collect();
        remote_members.sort_by_key(|member| {
            let is_control_only = !member.record.identity.is_node;
            (is_control_only, table::mix(member.digest.0 ^ local_seed))
        });
        // If the other side has fewer bridges than this one, each of them has several partners
        // here.
        let bridge_count = remote_members.len().min(BRIDGES_PER_CENTRE);
        let bridge = remote_members.get(own_place.checked_rem(bridge_count).unwrap_or_default());
        chosen.extend(bridge.map(|member| &member.record.identity));
    }
    chosen
        .into_iter()
        .map(|identity| (identity.instance.clone(), identity.address))
        .collect()
}
