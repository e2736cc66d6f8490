//! Gossip: periodic probes, and rumours as soon as a record changes.
//!
//! Each member to which a record is new sends it to all of its partners once, in a rumour. Lost
//! rumours are detected by the digest of the member table, which every message carries. That digest
//! does not cover suspicions, so probes repeat a random sample of them.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use hazeltiller_units::{ids, time};
use hazeltiller_wire::{membership as wire, message};
use indexmap::IndexMap;
use rand::{RngExt, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    dissemination, event,
    membership::{partners, reach, sync, table},
    reducer, settings,
};

/// Number of pending records, and of suspicions, that one rumour carries at least.
const MIN_RUMOUR_ITEMS: usize = 10;
/// Part of the pending records, and of the suspicions, that one rumour carries at least. A queue of any
/// length is thus sent within some tens of ticks: after a loss of all power every record of the
/// fleet is pending on every node.
const RUMOUR_DIVISOR: usize = 8;
/// Number of members named to a process that joins.
const INTRODUCED_MEMBERS: usize = 3;
/// Number of introduced members that the joining process synchronizes with. One alone may have
/// stopped in the meantime, or know nobody itself.
const INITIAL_SYNC_PEERS: usize = 2;
/// First pause between two requests to join; it doubles up to a quarter of `heal_ms`. A process
/// that starts next to an unreachable control loses only one such pause, not a second.
const INITIAL_JOIN_PAUSE: Duration = Duration::from_millis(100);
/// Number of recently joined processes that are remembered.
const MAX_RECENT_JOINS: usize = 64;
/// Maximum number of records received by synchronization at once that are still spread as rumours.
const MAX_SYNC_RUMOURS: usize = 4;
/// Maximum number of suspicions that a probe repeats.
const MAX_PROBE_SUSPICIONS: usize = 3;
/// Number of gossip periods after the start for which a process sends more often. The members it
/// was introduced to may be only one part of the fleet, and the controls that connect the parts may
/// fail.
const STARTUP_PERIODS: u32 = 5;
/// Factor by which the periods are shorter during that time.
const STARTUP_SPEEDUP: u32 = 5;

/// Time between two scans of the whole member table.
const TABLE_SCAN_PERIOD: Duration = Duration::from_millis(200);

/// Timers of gossip, and the state of joining and probing.
#[derive(Debug, Clone, Default)]
pub struct GossipTimers {
    next_probe: time::MonotonicTime,
    next_heal: time::MonotonicTime,
    next_join: time::MonotonicTime,
    /// Pause after the latest request to join; zero before the first one.
    join_pause: Duration,
    /// The control that was last asked for members.
    last_asked_control: Option<SocketAddr>,
    next_table_scan: time::MonotonicTime,
    /// Processes that recently asked this one for members.
    recent_joins: VecDeque<wire::MemberRecord>,
    /// Partners with an unanswered probe, and when the first such probe was sent.
    pub unanswered_probes: IndexMap<ids::InstanceName, time::MonotonicTime>,
}

impl GossipTimers {
    /// Returns whether the whole table is to be scanned, and schedules the next scan if so.
    pub fn is_table_scan_due(&mut self, now: time::MonotonicTime) -> bool {
        let is_table_scan_due = now >= self.next_table_scan;
        if is_table_scan_due {
            self.next_table_scan = now + TABLE_SCAN_PERIOD;
        }
        is_table_scan_due
    }
}

/// Sends the messages that are due, unless this process has left.
pub fn tick(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.membership.own.has_left {
        return;
    }
    partners::refresh(state);
    join(state, output);
    send_rumours(state, output);
    probe(state, output);
    heal(state, output);
}

/// Returns a message with the fields that all gossip carries.
fn gossip_header(state: &reducer::EngineState) -> wire::GossipMessage {
    wire::GossipMessage {
        table: state.membership.table_digest(),
        held: dissemination::version_summary(state),
        ages: reach::centre_ages(state),
        ..wire::GossipMessage::default()
    }
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::MembershipMessage) {
    output.send(to, message::PeerMessage::Membership(message));
}

/// Returns a period shortened by `STARTUP_SPEEDUP` if this process started recently.
pub fn startup_paced(state: &reducer::EngineState, period: Duration) -> Duration {
    let gossip = settings::millis(state.settings.tunables.membership.gossip_ms);
    let is_starting = state.now.since(time::MonotonicTime::default()) < gossip * STARTUP_PERIODS;
    if is_starting {
        period / STARTUP_SPEEDUP
    } else {
        period
    }
}

/// Returns a random time between half and one and a half times a period, so that processes do not
/// synchronize.
fn jittered(state: &mut reducer::EngineState, period: Duration) -> Duration {
    period.mul_f64(state.random.random_range(0.5..1.5))
}

/// Sends the pending rumours to all partners, as many as fit into one message. The rest follow on
/// the next tick.
pub fn send_rumours(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let own = &state.settings.identity;
    let membership = &mut state.membership;
    if own.is_control && !own.is_node {
        // A control's traffic must not grow with the fleet, so nodes alone pass on the records of
        // other members.
        membership.rumours.retain(|name| *name == own.instance);
    }
    if membership.partners.partners.is_empty()
        || membership.rumours.is_empty() && membership.suspicions.is_empty()
    {
        return;
    }
    let count = rumour_items(membership.rumours.len());
    let names: Vec<ids::InstanceName> = membership.rumours.drain(..count).collect();
    let count = rumour_items(membership.suspicions.len());
    let suspicions: Vec<wire::MemberSuspicion> = membership
        .suspicions
        .drain(..count)
        .map(|(_, suspicion)| suspicion)
        .collect();
    let mut rumour = gossip_header(state);
    rumour.suspicions = suspicions;
    rumour.records = names
        .iter()
        .filter_map(|name| state.membership.record(name).cloned())
        .collect();
    for to in state.membership.partners.partners.values() {
        send(output, *to, wire::MembershipMessage::Rumour(rumour.clone()));
    }
}

/// Tells partners of the version that has just come into force here: those in other data centres,
/// and with `to_all` those in the own one as well.
pub fn announce_version(
    state: &reducer::EngineState,
    to_all: bool,
    output: &mut event::ReducerOutput,
) {
    let own = &state.settings.identity;
    let membership = &state.membership;
    if own.is_control || membership.own.has_left {
        return;
    }
    let is_told = |name: &ids::InstanceName| {
        let member = membership.members.get(name);
        let is_remote =
            |known: &table::KnownMember| known.record.identity.data_centre != own.data_centre;
        to_all || member.is_some_and(is_remote)
    };
    let partners = membership.partners.partners.iter();
    for (_, to) in partners.filter(|(name, _)| is_told(name)) {
        let rumour = wire::MembershipMessage::Rumour(gossip_header(state));
        send(output, *to, rumour);
    }
}

/// Returns how many of the pending items the next rumour carries.
fn rumour_items(pending: usize) -> usize {
    pending
        .div_ceil(RUMOUR_DIVISOR)
        .max(MIN_RUMOUR_ITEMS)
        .min(pending)
}

/// Probes all partners once per gossip period.
fn probe(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.now < state.membership.timers.next_probe {
        return;
    }
    let period = settings::millis(state.settings.tunables.membership.gossip_ms);
    let period = startup_paced(state, period);
    let pause = period.mul_f64(state.random.random_range(0.9..1.1));
    state.membership.timers.next_probe = state.now + pause;
    let mut gossip = gossip_header(state);
    gossip.suspicions = reach::sample_suspicions(state, MAX_PROBE_SUSPICIONS);
    let membership = &mut state.membership;
    let partners = &membership.partners.partners;
    let unanswered_probes = &mut membership.timers.unanswered_probes;
    unanswered_probes.retain(|name, _| partners.contains_key(name));
    for (name, to) in partners {
        unanswered_probes.entry(name.clone()).or_insert(state.now);
        send(output, *to, wire::MembershipMessage::Probe(gossip.clone()));
    }
}

/// Answers a probe.
pub fn answer_probe(
    state: &reducer::EngineState,
    to: SocketAddr,
    output: &mut event::ReducerOutput,
) {
    let gossip = gossip_header(state);
    send(output, to, wire::MembershipMessage::Alive(gossip));
}

/// Asks a control for members while no control is known: at once, then with jittered pauses.
/// Knowing other nodes does not end this, since processes that started together would otherwise
/// form an island.
fn join(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let timers = &state.membership.timers;
    let knows_control = state.membership.controls().next().is_some();
    if state.now < timers.next_join || knows_control {
        return;
    }
    let own = state.settings.identity.address;
    let control = state.settings.control.iter().copied();
    let mut candidates: Vec<SocketAddr> = control.filter(|address| *address != own).collect();
    if candidates.len() > 1 {
        candidates.retain(|address| Some(*address) != timers.last_asked_control);
    }
    let max_pause = settings::millis(state.settings.tunables.membership.heal_ms) / 4;
    let pause = (timers.join_pause * 2).clamp(INITIAL_JOIN_PAUSE.min(max_pause), max_pause);
    let next_join = state.now + jittered(state, pause);
    let chosen = candidates.into_iter().choose(&mut state.random);
    let timers = &mut state.membership.timers;
    timers.join_pause = pause;
    timers.next_join = next_join;
    timers.last_asked_control = chosen;
    if let Some(to) = chosen {
        let record = state.membership.own.clone();
        send(output, to, wire::MembershipMessage::Join(record));
    }
}

/// Probes one unreachable member, or asks one control that is not a known member to let this
/// process join, so that separated parts of the fleet find each other again.
fn heal(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.now < state.membership.timers.next_heal {
        return;
    }
    let is_first = state.membership.timers.next_heal == time::MonotonicTime::default();
    let mut period = settings::millis(state.settings.tunables.membership.heal_ms);
    if state.settings.identity.is_control {
        // Processes that joined through one control are separated from the rest until the controls
        // have found each other.
        period = startup_paced(state, period);
    }
    state.membership.timers.next_heal = state.now + jittered(state, period);
    if is_first {
        return;
    }
    let unreachable = state
        .membership
        .others()
        .filter(|member| member.is_unreachable());
    if let Some(member) = unreachable.choose(&mut state.random) {
        let identity = member.record.identity.clone();
        let mut gossip = gossip_header(state);
        gossip
            .suspicions
            .extend(reach::suspicion_of(state, &identity.instance));
        let probe = wire::MembershipMessage::Probe(gossip);
        return send(output, identity.address, probe);
    }
    let own = state.settings.identity.address;
    let is_unknown = |address: &SocketAddr| {
        let mut members = state.membership.others();
        *address != own && !members.any(|member| member.record.identity.address == *address)
    };
    let control = state.settings.control.iter().copied();
    if let Some(to) = control.filter(is_unknown).choose(&mut state.random) {
        let record = state.membership.own.clone();
        send(output, to, wire::MembershipMessage::Join(record));
    }
}

/// Handles a gossip message.
pub fn handle_gossip(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    gossip: wire::GossipMessage,
    output: &mut event::ReducerOutput,
) {
    reach::merge_centre_ages(state, &gossip.ages);
    apply_records(state, from.address, gossip.records, output);
    for suspicion in gossip.suspicions {
        reach::apply_suspicion(state, suspicion);
    }
    dissemination::observe_version(state, from, gossip.held);
    if gossip.table != state.membership.table_digest() {
        sync::start(state, &[from.address], output);
    }
}

/// Applies records, and returns to the sender those that are newer here.
pub fn apply_records(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    records: Vec<wire::MemberRecord>,
    output: &mut event::ReducerOutput,
) {
    let mut newer_here = Vec::new();
    for record in records {
        let name = record.identity.instance.clone();
        if table::apply(state, record) == table::RecordOutcome::Older {
            newer_here.extend(state.membership.record(&name).cloned());
        }
    }
    if !newer_here.is_empty() {
        send(output, from, wire::MembershipMessage::Records(newer_here));
    }
}

/// Applies records received by synchronization. A large batch is not spread as rumours, since the
/// other members synchronize too.
pub fn apply_synced_records(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    records: Vec<wire::MemberRecord>,
    output: &mut event::ReducerOutput,
) {
    let is_small_batch = records.len() <= MAX_SYNC_RUMOURS;
    let rumours_before = state.membership.rumours.clone();
    apply_records(state, from, records, output);
    if !is_small_batch {
        state.membership.rumours = rumours_before;
    }
}

/// Answers a process that joins with members of its data centre, so that many processes returning
/// at once do not load everything from a control. If too few such members are known, processes that
/// joined recently are named as well. These may have stopped or know nobody, so this process adds
/// its own address. The joining process's record is not applied here: it spreads the record itself
/// once it has partners.
pub fn answer_join(
    state: &mut reducer::EngineState,
    record: wire::MemberRecord,
    output: &mut event::ReducerOutput,
) {
    let joining = record.identity.clone();
    let known = state.membership.others();
    let known = known.filter(|member| !member.is_unreachable());
    let known = known.map(|member| &member.record);
    let mut addresses = sample_same_centre(&joining, known, INTRODUCED_MEMBERS, &mut state.random);
    if addresses.len() < INTRODUCED_MEMBERS {
        let missing_count = INTRODUCED_MEMBERS - addresses.len();
        let recent_joins = state.membership.timers.recent_joins.iter();
        let recent_joins =
            sample_same_centre(&joining, recent_joins, missing_count, &mut state.random);
        addresses.extend(recent_joins);
        addresses.push(state.settings.identity.address);
        addresses.sort_unstable();
        addresses.dedup();
    }
    let recent_joins = &mut state.membership.timers.recent_joins;
    recent_joins.retain(|previous| previous.identity.instance != joining.instance);
    recent_joins.push_back(record);
    if recent_joins.len() > MAX_RECENT_JOINS {
        recent_joins.pop_front();
    }
    let message = wire::MembershipMessage::Introduction(addresses);
    send(output, joining.address, message);
}

/// Returns the addresses of a random sample of the processes in the same data centre as a joining
/// one.
fn sample_same_centre<'a>(
    joining: &wire::PeerIdentity,
    records: impl Iterator<Item = &'a wire::MemberRecord>,
    count: usize,
    random: &mut ChaCha8Rng,
) -> Vec<SocketAddr> {
    let identities = records.map(|record| &record.identity);
    let local = identities.filter(|identity| {
        identity.data_centre == joining.data_centre && identity.instance != joining.instance
    });
    let chosen = local.sample(random, count);
    chosen.iter().map(|identity| identity.address).collect()
}

/// Starts a synchronization with some of the members named in an introduction.
pub fn handle_introduction(
    state: &mut reducer::EngineState,
    addresses: Vec<SocketAddr>,
    output: &mut event::ReducerOutput,
) {
    let chosen = addresses
        .into_iter()
        .sample(&mut state.random, INITIAL_SYNC_PEERS);
    sync::start(state, &chosen, output);
}
