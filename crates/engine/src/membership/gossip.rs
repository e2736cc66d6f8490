//! Rounds of gossip: probes at a steady pace, rumours as soon as there is news.
//!
//! A rumour goes to every partner once, from each member that it is news to; what is lost on the
//! way is found by the tables' digests, which every message carries. The digests do not cover who
//! is suspected, so probes repeat some of the suspicions that are held.

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

/// Records in one rumour, and news so few that they are passed on as rumours.
const LARGEST_RUMOUR: usize = 10;
/// Members that a process begins with.
const INTRODUCED: usize = 3;
/// Of these, how many it asks: one of them may have stopped meanwhile, or know nobody itself.
const ASKED: usize = 2;
/// First pause between two requests to be introduced; it doubles up to a quarter of `heal_ms`. A control
/// that is cut off costs a process that starts beside it one such pause, not a second.
const FIRST_JOIN_PAUSE: Duration = Duration::from_millis(100);
/// Processes that are remembered for having asked for members.
const JOINED: usize = 64;
/// Records of a synchronization that still count as news for others.
const FEW_RECORDS: usize = 4;
/// Suspicions that a probe repeats.
const REPEATED_SUSPICIONS: usize = 3;
/// For so many periods after its start a process probes faster: what it was introduced to may be
/// a part of the fleet only, and the controls that hold the parts together may go.
const YOUNG_PERIODS: u32 = 5;
/// How many times faster.
const YOUNG_SPEED: u32 = 5;

/// Time between two looks through the whole table.
const JUDGEMENT_PERIOD: Duration = Duration::from_millis(200);

/// When the next message of each kind is due.
#[derive(Debug, Clone, Default)]
pub struct GossipTimers {
    next_probe: time::MonotonicTime,
    next_heal: time::MonotonicTime,
    next_join: time::MonotonicTime,
    /// Pause after the latest request to be introduced; zero before the first.
    join_pause: Duration,
    /// Control that was asked last.
    last_joined: Option<SocketAddr>,
    next_judgement: time::MonotonicTime,
    /// Processes that asked for members lately.
    joined: VecDeque<wire::MemberRecord>,
    /// Partners that have not answered, since when.
    pub probed: IndexMap<ids::InstanceName, time::MonotonicTime>,
}

impl GossipTimers {
    /// Whether the whole table is to be looked through again.
    pub fn is_due(&mut self, now: time::MonotonicTime) -> bool {
        let is_due = now >= self.next_judgement;
        if is_due {
            self.next_judgement = now + JUDGEMENT_PERIOD;
        }
        is_due
    }
}

/// Takes the passing of time.
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

/// What this process says in any gossip.
fn outline(state: &reducer::EngineState) -> wire::GossipMessage {
    wire::GossipMessage {
        table: state.membership.table_digest(),
        held: dissemination::version_summary(state),
        ages: reach::ages(state),
        ..wire::GossipMessage::default()
    }
}

fn send(output: &mut event::ReducerOutput, to: SocketAddr, message: wire::MembershipMessage) {
    output.send(to, message::PeerMessage::Membership(message));
}

/// A period as a process keeps it that has started lately: shorter.
pub fn paced(state: &reducer::EngineState, period: Duration) -> Duration {
    let gossip = settings::millis(state.settings.tunables.membership.gossip_ms);
    let is_young = state.now.since(time::MonotonicTime::default()) < gossip * YOUNG_PERIODS;
    if is_young {
        period / YOUNG_SPEED
    } else {
        period
    }
}

/// A span between half and one and a half of a period, so that processes do not keep step.
fn jittered(state: &mut reducer::EngineState, period: Duration) -> Duration {
    period.mul_f64(state.random.random_range(0.5..1.5))
}

/// Tells the partners the news, as much as one message holds; the rest goes with the next tick.
pub fn send_rumours(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let own = &state.settings.identity;
    let membership = &mut state.membership;
    if own.is_control && !own.is_node {
        // A control's bytes must not grow with the fleet: nodes pass on what nodes say.
        membership.rumours.retain(|name| *name == own.instance);
    }
    if membership.partners.partners.is_empty()
        || membership.rumours.is_empty() && membership.suspicions.is_empty()
    {
        return;
    }
    let count = membership.rumours.len().min(LARGEST_RUMOUR);
    let names: Vec<ids::InstanceName> = membership.rumours.drain(..count).collect();
    let count = membership.suspicions.len().min(LARGEST_RUMOUR);
    let suspicions: Vec<wire::MemberSuspicion> = membership
        .suspicions
        .drain(..count)
        .map(|(_, suspicion)| suspicion)
        .collect();
    let mut rumour = outline(state);
    rumour.suspicions = suspicions;
    rumour.records = names
        .iter()
        .filter_map(|name| state.membership.record(name).cloned())
        .collect();
    for to in state.membership.partners.partners.values() {
        send(output, *to, wire::MembershipMessage::Rumour(rumour.clone()));
    }
}

fn probe(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.now < state.membership.timers.next_probe {
        return;
    }
    let period = settings::millis(state.settings.tunables.membership.gossip_ms);
    let period = paced(state, period);
    let pause = period.mul_f64(state.random.random_range(0.9..1.1));
    state.membership.timers.next_probe = state.now + pause;
    let mut gossip = outline(state);
    gossip.suspicions = reach::held_suspicions(state, REPEATED_SUSPICIONS);
    let membership = &mut state.membership;
    let partners = &membership.partners.partners;
    let probed = &mut membership.timers.probed;
    probed.retain(|name, _| partners.contains_key(name));
    for (name, to) in partners {
        probed.entry(name.clone()).or_insert(state.now);
        send(output, *to, wire::MembershipMessage::Probe(gossip.clone()));
    }
}

/// Answers a probe.
pub fn answer(state: &reducer::EngineState, to: SocketAddr, output: &mut event::ReducerOutput) {
    let gossip = outline(state);
    send(output, to, wire::MembershipMessage::Alive(gossip));
}

/// A process that knows no control asks one for members, first at once and then with jitter. One that
/// knows only others that have just started as well goes on: alone they would be an island.
fn join(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    let timers = &state.membership.timers;
    let knows_control = state.membership.controls().next().is_some();
    if state.now < timers.next_join || knows_control {
        return;
    }
    let own = state.settings.identity.address;
    let control = state.settings.control.iter().copied();
    let mut asked: Vec<SocketAddr> = control.filter(|address| *address != own).collect();
    if asked.len() > 1 {
        asked.retain(|address| Some(*address) != timers.last_joined);
    }
    let longest = settings::millis(state.settings.tunables.membership.heal_ms) / 4;
    let pause = (timers.join_pause * 2).clamp(FIRST_JOIN_PAUSE.min(longest), longest);
    let next_join = state.now + jittered(state, pause);
    let chosen = asked.into_iter().choose(&mut state.random);
    let timers = &mut state.membership.timers;
    timers.join_pause = pause;
    timers.next_join = next_join;
    timers.last_joined = chosen;
    if let Some(to) = chosen {
        let record = state.membership.own.clone();
        send(output, to, wire::MembershipMessage::Join(record));
    }
}

/// Tries one process that does not answer, or one control that is not known, so that parts of the
/// fleet that lost each other meet again.
fn heal(state: &mut reducer::EngineState, output: &mut event::ReducerOutput) {
    if state.now < state.membership.timers.next_heal {
        return;
    }
    let is_first = state.membership.timers.next_heal == time::MonotonicTime::default();
    let mut period = settings::millis(state.settings.tunables.membership.heal_ms);
    if state.settings.identity.is_control {
        // Whoever met at one control is apart from the others until the controls have met.
        period = paced(state, period);
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
        let mut gossip = outline(state);
        gossip
            .suspicions
            .extend(reach::suspicion_of(state, &identity.instance));
        let probe = wire::MembershipMessage::Probe(gossip);
        return send(output, identity.address, probe);
    }
    let own = state.settings.identity.address;
    let is_strange = |address: &SocketAddr| {
        let mut members = state.membership.others();
        *address != own && !members.any(|member| member.record.identity.address == *address)
    };
    let control = state.settings.control.iter().copied();
    if let Some(to) = control.filter(is_strange).choose(&mut state.random) {
        let record = state.membership.own.clone();
        send(output, to, wire::MembershipMessage::Join(record));
    }
}

/// Takes gossip.
pub fn take(
    state: &mut reducer::EngineState,
    from: &wire::PeerIdentity,
    gossip: wire::GossipMessage,
    output: &mut event::ReducerOutput,
) {
    reach::take_ages(state, &gossip.ages);
    take_news(state, from.address, gossip.records, output);
    for suspicion in gossip.suspicions {
        reach::take_suspicion(state, suspicion);
    }
    dissemination::observe_version(state, from, gossip.held);
    if gossip.table != state.membership.table_digest() {
        sync::begin(state, &[from.address], output);
    }
}

/// Takes records, and sends back what is newer here.
pub fn take_news(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    records: Vec<wire::MemberRecord>,
    output: &mut event::ReducerOutput,
) {
    let mut newer = Vec::new();
    for record in records {
        let name = record.identity.instance.clone();
        if table::take(state, record) == table::RecordNews::Older {
            newer.extend(state.membership.record(&name).cloned());
        }
    }
    if !newer.is_empty() {
        send(output, from, wire::MembershipMessage::Records(newer));
    }
}

/// Takes records that came by synchronization: many are not news for others, who synchronize too.
pub fn take_quietly(
    state: &mut reducer::EngineState,
    from: SocketAddr,
    records: Vec<wire::MemberRecord>,
    output: &mut event::ReducerOutput,
) {
    let is_news = records.len() <= FEW_RECORDS;
    let before = state.membership.rumours.clone();
    take_news(state, from, records, output);
    if !is_news {
        state.membership.rumours = before;
    }
}

/// Answers a process that knows nobody: members of its own data centre before this process, so
/// that a herd that comes back does not learn everything from a control. Processes that asked lately
/// stand in where too few members are known; they may have stopped or know nobody, so that this
/// process names itself beside them. The process's record is not taken here: it spreads it itself once
/// it has partners.
pub fn introduce(
    state: &mut reducer::EngineState,
    record: wire::MemberRecord,
    output: &mut event::ReducerOutput,
) {
    let joining = record.identity.clone();
    let known = state.membership.others();
    let known = known.filter(|member| !member.is_unreachable());
    let known = known.map(|member| &member.record);
    let mut addresses = neighbours_of(&joining, known, INTRODUCED, &mut state.random);
    if addresses.len() < INTRODUCED {
        let missing = INTRODUCED - addresses.len();
        let joined = state.membership.timers.joined.iter();
        let joined = neighbours_of(&joining, joined, missing, &mut state.random);
        addresses.extend(joined);
        addresses.push(state.settings.identity.address);
        addresses.sort_unstable();
        addresses.dedup();
    }
    let joined = &mut state.membership.timers.joined;
    joined.retain(|earlier| earlier.identity.instance != joining.instance);
    joined.push_back(record);
    if joined.len() > JOINED {
        joined.pop_front();
    }
    let message = wire::MembershipMessage::Introduction(addresses);
    send(output, joining.address, message);
}

/// Addresses of some of these processes that are in the same data centre as one that starts.
fn neighbours_of<'a>(
    joining: &wire::PeerIdentity,
    records: impl Iterator<Item = &'a wire::MemberRecord>,
    count: usize,
    random: &mut ChaCha8Rng,
) -> Vec<SocketAddr> {
    let identities = records.map(|record| &record.identity);
    let near = identities.filter(|near| {
        near.data_centre == joining.data_centre && near.instance != joining.instance
    });
    let chosen = near.sample(random, count);
    chosen.iter().map(|near| near.address).collect()
}

/// Asks some of the members that it was told of for all that they know.
pub fn take_introduction(
    state: &mut reducer::EngineState,
    addresses: Vec<SocketAddr>,
    output: &mut event::ReducerOutput,
) {
    let chosen = addresses.into_iter().sample(&mut state.random, ASKED);
    sync::begin(state, &chosen, output);
}
