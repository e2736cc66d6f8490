//! The link as a resource: turns of large responses, admission by bytes, and the choice of targets
//! whose link is free.

use std::time::Duration;

use hazeltiller_engine::{
    bandwidth::{self, shares},
    calls, event, settings,
};
use hazeltiller_testkit::node;
use hazeltiller_units::{code, ids, measure, time};
use hazeltiller_wire::calls as wire;
use serde_json::json;

const LINK_KBITS: u64 = 11_000;
const DOWNLOAD_BYTES: u64 = 90_000;
const ANSWER_BYTES: u64 = 500;
const MILLISECOND: Duration = Duration::from_millis(1);
/// Downloads arrive in this share of the time in which the link sends one, 110% of its rate.
const DOWNLOAD_INTERVAL_SHARE: f64 = 1.0 / 1.1;
const ANSWER_INTERVAL_MS: u64 = 7;
const SIMULATED_MS: u64 = 10_000;

fn tunables() -> settings::BandwidthTunables {
    settings::BandwidthTunables {
        link_kbits: LINK_KBITS,
        ..settings::BandwidthTunables::default()
    }
}

fn schedule() -> shares::LinkSchedule {
    let tunables = tunables();
    let rate = bandwidth::payload_rate(&tunables).expect("the rate is given");
    shares::LinkSchedule::new(rate, settings::millis(tunables.turn_ms))
}

fn at(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime(millis * 1000)
}

/// A link that sends what it is handed in order, at its full rate.
struct FifoLink {
    rate: measure::LinkRate,
    free_at: time::MonotonicTime,
}

impl FifoLink {
    fn new() -> Self {
        let rate = measure::LinkRate::from_kbits(LINK_KBITS).expect("it is positive");
        let free_at = time::MonotonicTime::default();
        Self { rate, free_at }
    }

    /// Sends bytes, and returns how long they wait behind others.
    fn send(&mut self, bytes: u64, now: time::MonotonicTime) -> Duration {
        let wait = self.free_at.since(now);
        self.free_at = self.free_at.max(now) + self.rate.transfer_time(bytes as f64);
        wait
    }
}

/// Downloads that are sent by turns.
struct Downloads {
    schedule: shares::LinkSchedule,
    open: Vec<(shares::StreamId, shares::ShareKey, u64)>,
    sent: Vec<(shares::StreamId, u64)>,
}

impl Downloads {
    fn new() -> Self {
        let schedule = schedule();
        Self {
            schedule,
            open: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn start(&mut self, stream: u64, organisation: Option<&str>, bytes: u64) {
        let stream = shares::StreamId(stream);
        let share = organisation.map_or(shares::ShareKey::Stream(stream), |name| {
            shares::ShareKey::Organisation(name.parse().expect("a valid name"))
        });
        self.open.push((stream, share, bytes));
    }

    /// Hands the turns that are due to the link.
    fn send_turns(&mut self, link: &mut FifoLink, now: time::MonotonicTime) {
        loop {
            for (stream, share, left) in &self.open {
                let ready_bytes = *left as usize;
                self.schedule
                    .request(*stream, share, ready_bytes, *left, now);
            }
            let granted = self.schedule.grant(now);
            if granted.is_empty() {
                return;
            }
            for stream in granted {
                let bytes = self.schedule.take(stream).expect("it was granted") as u64;
                link.send(bytes, now);
                self.sent.push((stream, bytes));
                let open = self.open.iter_mut().find(|(open, ..)| *open == stream);
                open.expect("it is open").2 -= bytes;
            }
            let schedule = &mut self.schedule;
            self.open.retain(|(stream, _, left)| {
                if *left == 0 {
                    schedule.leave(*stream);
                }
                *left > 0
            });
        }
    }

    fn sent_bytes(&self, is_counted: impl Fn(u64) -> bool) -> u64 {
        let counted = self.sent.iter().filter(|(stream, _)| is_counted(stream.0));
        counted.map(|(_, bytes)| bytes).sum()
    }
}

/// Plays small answers beside downloads at 110% of the link, of which as many are begun as can be
/// sent within half a second. Returns the median wait of the answers, and the share of the link's
/// rate that the downloads got.
fn play_mixed_load(has_turns: bool) -> (Duration, f64) {
    let (mut link, mut downloads) = (FifoLink::new(), Downloads::new());
    let interval = link.rate.transfer_time(DOWNLOAD_BYTES as f64);
    let interval = interval.mul_f64(DOWNLOAD_INTERVAL_SHARE);
    let mut next_download = time::MonotonicTime::default();
    let (mut waits, mut sent_at_once, mut last_stream) = (Vec::new(), 0, 0);
    for now in (0..SIMULATED_MS).map(at) {
        while next_download <= now {
            next_download = next_download + interval;
            last_stream += 1;
            let waiting = downloads.schedule.backlog_bytes(now) as f64;
            let backlog = link
                .rate
                .transfer_time(waiting)
                .max(link.free_at.since(now));
            if backlog > Duration::from_millis(500) {
                continue;
            }
            if has_turns {
                downloads.start(last_stream, None, DOWNLOAD_BYTES);
            } else {
                link.send(DOWNLOAD_BYTES, now);
                sent_at_once += DOWNLOAD_BYTES;
            }
        }
        downloads.send_turns(&mut link, now);
        if (now.0 / 1000).is_multiple_of(ANSWER_INTERVAL_MS) {
            waits.push(link.send(ANSWER_BYTES, now));
            downloads.schedule.charge(ANSWER_BYTES, now);
        }
    }
    waits.sort();
    let sent = sent_at_once + downloads.sent_bytes(|_| true);
    let possible = link.rate.bytes_in(Duration::from_millis(SIMULATED_MS));
    let answers = waits.len() as u64 * ANSWER_BYTES;
    (
        waits[waits.len() / 2],
        sent as f64 / (possible - answers as f64),
    )
}

/// Answers of 500 bytes waited a tenth of a second behind responses of 90 KB that filled the
/// buffers of the link.
#[test]
fn small_answers_pass() {
    let (wait, share) = play_mixed_load(true);
    assert!(wait < Duration::from_millis(10), "median wait {wait:?}");
    assert!(share >= 0.9, "downloads got {share} of the link");
    let (wait, _) = play_mixed_load(false);
    assert!(wait > Duration::from_millis(100), "without turns {wait:?}");
}

/// An organisation that downloads six files at once must not get six times as much as one that
/// downloads one.
#[test]
fn organisations_share() {
    let (mut link, mut downloads) = (FifoLink::new(), Downloads::new());
    for stream in 1..=6 {
        downloads.start(stream, Some("many"), 10_000_000);
    }
    downloads.start(7, Some("one"), 10_000_000);
    for now in (0..SIMULATED_MS).map(at) {
        downloads.send_turns(&mut link, now);
    }
    let [many, one] = [false, true].map(|is_one| downloads.sent_bytes(|s| (s == 7) == is_one));
    let ratio = many as f64 / one as f64;
    assert!((0.95..1.05).contains(&ratio), "{many} and {one} bytes");
}

/// Of responses that wait together, one ends after the other, as admission expects; in a circle all
/// would end last.
#[test]
fn responses_end_in_order() {
    let (mut link, mut downloads) = (FifoLink::new(), Downloads::new());
    for stream in 1..=8 {
        downloads.start(stream, None, DOWNLOAD_BYTES);
    }
    let half = link.rate.transfer_time(4.0 * DOWNLOAD_BYTES as f64);
    for now in (0..half.as_millis() as u64).map(at) {
        downloads.send_turns(&mut link, now);
    }
    let open: Vec<u64> = downloads.open.iter().map(|(stream, ..)| stream.0).collect();
    assert_eq!(open, [4, 5, 6, 7, 8]);
}

/// A caller that does not read asks for no turns: the others get the whole link, in its organisation
/// too.
#[test]
fn slow_caller_alone() {
    let (mut link, mut downloads) = (FifoLink::new(), Downloads::new());
    let share = shares::ShareKey::Organisation("shared".parse().expect("a valid name"));
    let slow = shares::StreamId(1);
    downloads
        .schedule
        .request(slow, &share, 4096, 1_000_000, at(0));
    assert_eq!(downloads.schedule.grant(at(0)), [slow]);
    // It neither takes the turn nor asks for another one.
    downloads.start(2, Some("shared"), 10_000_000);
    downloads.start(3, Some("other"), 10_000_000);
    for now in (0..SIMULATED_MS).map(at) {
        downloads.send_turns(&mut link, now);
    }
    let possible = link.rate.bytes_in(Duration::from_millis(SIMULATED_MS));
    let sent = downloads.sent_bytes(|_| true) as f64;
    assert!(sent >= 0.9 * possible, "{sent} of {possible} bytes");
    let [shared, other] = [2, 3].map(|id| downloads.sent_bytes(|stream| stream == id));
    assert!(shared.abs_diff(other) < 200_000, "{shared}, {other}");
}

/// The peers of streams go away, one that waits and one whose turn was just granted. The turn goes
/// to the others and nothing of the streams stays.
#[test]
fn lost_peer_leaves() {
    let mut schedule = schedule();
    let [granted, other, waiting] = [1, 2, 3].map(shares::StreamId);
    for stream in [granted, other, waiting] {
        let share = shares::ShareKey::Stream(stream);
        schedule.request(stream, &share, 5000, 500_000, at(0));
    }
    assert_eq!(schedule.grant(at(0)), [granted, other]);
    let handed_over = schedule.backlog_bytes(at(0));
    schedule.leave(granted);
    schedule.leave(waiting);
    assert_eq!(
        schedule.backlog_bytes(at(0)) / 1000,
        (handed_over - 1_000_000) / 1000
    );
    for now in 0..100 {
        assert_eq!(schedule.grant(at(now)), []);
    }
    assert_eq!(schedule.take(other), Some(5000));
    schedule.leave(other);
    assert!(schedule.is_idle());
    assert_eq!(schedule.backlog_bytes(at(100)), 0);
    assert_eq!(schedule.next_grant_at(), None);
}

const TARGET: &str = "registru-1";

fn entries() -> serde_json::Value {
    json!([
        {"kind": "class", "name": "counter", "owner": "registru", "class": "counter"},
        {"kind": "owner", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "service", "name": "registru", "owner": "registru", "class": "counter"},
        {"kind": "route", "name": "lookup", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/"}},
        {"kind": "route", "name": "download", "owner": "registru", "class": "counter",
         "service": "registru", "match": {"path_prefix": "/files"}},
    ])
}

/// An owner node on a link of `link_kbits` that has learnt the size of the responses of both routes.
fn owner_node(link_kbits: u64) -> node::NodeReducer {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
    node.state.settings.tunables.bandwidth.link_kbits = link_kbits;
    node.announce(node::target(TARGET, "registru", 100));
    for (call, route, bytes) in [(1, "lookup", ANSWER_BYTES), (2, "download", DOWNLOAD_BYTES)] {
        offer(&mut node, call, route, 1000);
        let call = ids::CallId(call);
        link_event(
            &mut node,
            bandwidth::BandwidthEvent::Responded { call, bytes },
        );
        let result = calls::RunResult::Done { status: 200 };
        node.call(calls::CallEvent::RunEnded { call, result });
    }
    node.advance(Duration::from_secs(1));
    node
}

/// Ends a run with a response of this size.
fn end_run(node: &mut node::NodeReducer, call: u64, bytes: u64) {
    let call = ids::CallId(call);
    link_event(node, bandwidth::BandwidthEvent::Responded { call, bytes });
    let result = calls::RunResult::Done { status: 200 };
    node.call(calls::CallEvent::RunEnded { call, result });
}

fn link_event(node: &mut node::NodeReducer, event: bandwidth::BandwidthEvent) {
    node.reduce(event::Event::Bandwidth(event));
}

/// Offers a call, and returns its refusal if there is one.
fn offer(
    node: &mut node::NodeReducer,
    call: u64,
    route: &str,
    latency_left_ms: u32,
) -> Option<wire::CallRefusal> {
    let offer = wire::CallOffer {
        route: route.parse().expect("a valid name"),
        latency_left_ms,
        ..node::offer(TARGET, "registru", "counter")
    };
    let call = ids::CallId(call);
    let effects = node.call(calls::CallEvent::Offered { call, offer });
    effects.into_iter().find_map(|effect| match effect {
        calls::CallEffect::Refuse(_, refusal) => Some(refusal),
        _ => None,
    })
}

/// Downloads were run although the link could not deliver them in time, and delayed all others.
#[test]
fn late_download_refused() {
    let mut node = owner_node(LINK_KBITS);
    let begun = (10..30).filter(|call| offer(&mut node, *call, "download", 500).is_none());
    // The link sends 90 KB in 67 ms, and thus seven within the target latency.
    assert_eq!(begun.count(), 7);
    let refusal = offer(&mut node, 30, "download", 500).expect("the link is full");
    assert_eq!(refusal.code, code::ResultCode::LatencyUnreachable);
    assert_eq!(refusal.outcome, wire::CallOutcome::NotRun);
    assert!((20..80).contains(&refusal.retry_after_ms), "{refusal:?}");
    assert!(offer(&mut node, 31, "lookup", 500).is_none());
    let mut unknown_link = owner_node(0);
    assert!((10..30).all(|call| offer(&mut unknown_link, call, "download", 500).is_none()));
}

/// Downloads at 150% of the link: those that are run are delivered within their target latency, and
/// together they use the link.
#[test]
fn admitted_in_time() {
    const LATENCY_MS: u32 = 500;
    const RUN_TIME: Duration = Duration::from_millis(100);
    const INTERVAL_MS: u64 = 44;
    let mut node = owner_node(LINK_KBITS);
    let (mut link, mut downloads) = (FifoLink::new(), Downloads::new());
    let start = node.now;
    let (mut running, mut sending, mut times) = (Vec::new(), Vec::new(), Vec::new());
    for step in 0..SIMULATED_MS {
        node.now = start + MILLISECOND * step as u32;
        let now = node.now;
        let call = 10 + step;
        if step.is_multiple_of(INTERVAL_MS)
            && offer(&mut node, call, "download", LATENCY_MS).is_none()
        {
            running.push((call, now));
        }
        for (call, begun_at) in
            running.extract_if(.., |(_, begun_at)| now.since(*begun_at) >= RUN_TIME)
        {
            end_run(&mut node, call, DOWNLOAD_BYTES);
            downloads.start(call, None, DOWNLOAD_BYTES);
            sending.push((call, begun_at));
        }
        downloads.send_turns(&mut link, now);
        let is_sent = |call: u64| downloads.open.iter().all(|(stream, ..)| stream.0 != call);
        let sent = sending.extract_if(.., |(call, _)| is_sent(*call));
        times.extend(sent.map(|(_, begun_at)| link.free_at.since(begun_at)));
        if step.is_multiple_of(20) {
            let bytes = downloads.schedule.backlog_bytes(now);
            link_event(&mut node, bandwidth::BandwidthEvent::Measured { bytes });
        }
    }
    let limit = MILLISECOND * LATENCY_MS;
    let late = times.iter().filter(|time| **time > limit).count();
    assert!(late * 20 <= times.len(), "{late} of {} late", times.len());
    let possible = link.rate.bytes_in(MILLISECOND * SIMULATED_MS as u32);
    let sent = downloads.sent_bytes(|_| true) as f64;
    assert!(sent >= 0.9 * possible, "{sent} of {possible} bytes");
}

/// The backlog that the process measured counts until the link has sent it, and a download passes
/// over an idle link even if its target latency is out of reach.
#[test]
fn backlog_drains() {
    let mut node = owner_node(LINK_KBITS);
    assert!(offer(&mut node, 10, "download", 20).is_none());
    let call = ids::CallId(10);
    let result = calls::RunResult::CallerGone;
    node.call(calls::CallEvent::RunEnded { call, result });
    let bytes = 10 * DOWNLOAD_BYTES;
    link_event(&mut node, bandwidth::BandwidthEvent::Measured { bytes });
    let refusal = offer(&mut node, 11, "download", 500).expect("the link is full");
    node.now = node.now + MILLISECOND * refusal.retry_after_ms;
    node.now = node.now + MILLISECOND;
    assert!(offer(&mut node, 12, "download", 500).is_none());
}

/// A route with large responses goes to the target whose link is free, one with small ones does not
/// care.
#[test]
fn free_link_preferred() {
    let mut node = node::NodeReducer::new("node-1", "brasov-a", &entries());
    let tunables = &mut node.state.settings.tunables;
    tunables.bandwidth.link_kbits = LINK_KBITS;
    tunables.routing.compared = 16;
    for name in ["busy", "free"] {
        let identity = node::identity(&format!("node-{name}"), "brasov-a", "ro-centru");
        node.receive_record(&identity, 1, vec![node::target(name, "registru", 100)]);
    }
    let download = "download".parse().expect("a valid name");
    node.state.routing.sizes.record(&download, DOWNLOAD_BYTES);
    link_event(
        &mut node,
        bandwidth::BandwidthEvent::Reported {
            target: "busy".parse().expect("a valid name"),
            backlog: Duration::from_millis(300),
        },
    );
    let mut choose = |call, path| {
        let arrival = node::arrival(call, path);
        let effects = node.call(calls::CallEvent::Arrived(arrival));
        let chosen = effects.into_iter().find_map(|effect| match effect {
            calls::CallEffect::Attempt(_, plan) => Some(plan.candidate.target.to_string()),
            _ => None,
        });
        chosen.expect("a target is chosen")
    };
    assert!((1..=5).all(|call| choose(call, "/files") == "free"));
    assert!((6..=10).any(|call| choose(call, "/vehicles") == "busy"));
}
