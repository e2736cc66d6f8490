//! Shares the link of this node among what it sends.
//!
//! Small responses and messages are handed to their sockets at once and charged to the link. The
//! bodies of large responses ask the link's schedule for turns, so that what waits in the buffers
//! of sockets is worth a few milliseconds, and small ones do not wait behind it. A body holds what
//! it has read from its source and asks for no more until that is sent; a caller that does not read
//! asks for no turns. A body that is dropped leaves the schedule.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::Bytes;
use hazeltiller_engine::{
    bandwidth::{self, shares},
    event, settings,
};
use hazeltiller_units::{ids, measure, time as unit_time};
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Frame, SizeHint},
};
use indexmap::IndexMap;
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{engine_actor, http};

/// Bytes of the head of a request or response.
pub const HEAD_BYTES: u64 = 300;
/// Interval at which the reducer is told what waits for the link.
const MEASURE_INTERVAL: Duration = Duration::from_millis(20);

/// Organisation to whose share a response belongs, as an extension of the response.
#[derive(Debug, Clone)]
pub struct ResponseOrganisation(pub ids::EntryName);

/// The link of a process. Clones share it. Does nothing unless its rate is known.
#[derive(Debug, Clone, Default)]
pub struct LinkShares(Option<Arc<SharedLink>>);

#[derive(Debug)]
struct SharedLink {
    rate: measure::LinkRate,
    /// Smallest response that is sent by turns.
    paced_bytes: u64,
    started_at: Instant,
    turns: Mutex<TurnTable>,
    /// A stream has asked for a turn.
    requested: Notify,
    last_stream: AtomicU64,
    small_bytes: AtomicU64,
    large_bytes: AtomicU64,
}

/// The schedule, and the tasks that wait for their turns.
#[derive(Debug)]
struct TurnTable {
    schedule: shares::LinkSchedule,
    wakers: IndexMap<shares::StreamId, Waker>,
}

impl LinkShares {
    /// Returns the link of a process with these tunables.
    pub fn new(tunables: &settings::BandwidthTunables) -> Self {
        let turn_time = settings::millis(tunables.turn_ms);
        let shared = |rate| SharedLink {
            rate,
            paced_bytes: tunables.paced_bytes,
            started_at: Instant::now(),
            turns: Mutex::new(TurnTable {
                schedule: shares::LinkSchedule::new(rate, turn_time),
                wakers: IndexMap::new(),
            }),
            requested: Notify::new(),
            last_stream: AtomicU64::new(0),
            small_bytes: AtomicU64::new(0),
            large_bytes: AtomicU64::new(0),
        };
        Self(bandwidth::payload_rate(tunables).map(|rate| Arc::new(shared(rate))))
    }

    /// Returns whether the rate of the link is known.
    pub fn is_known(&self) -> bool {
        self.0.is_some()
    }

    /// Charges bytes that are sent at once.
    pub fn charge(&self, bytes: u64) {
        if let Some(link) = &self.0 {
            link.small_bytes.fetch_add(bytes, Ordering::Relaxed);
            let now = link.now();
            link.turns().schedule.charge(bytes, now);
        }
    }

    /// Returns a response that is sent over the link: a small one is charged, the body of a large
    /// one or one of unknown length is sent by turns in the share of its organisation.
    pub fn send(
        &self,
        mut response: Response<http::StreamBody>,
        organisation: Option<ids::EntryName>,
    ) -> Response<http::StreamBody> {
        let Some(link) = &self.0 else {
            return response;
        };
        let marked = response.extensions_mut().remove::<ResponseOrganisation>();
        let size = response.body().size_hint().exact();
        if let Some(bytes) = size.filter(|bytes| *bytes < link.paced_bytes) {
            self.charge(HEAD_BYTES + bytes);
            return response;
        }
        self.charge(HEAD_BYTES);
        let stream = link.last_stream.fetch_add(1, Ordering::Relaxed) + 1;
        let stream = shares::StreamId(stream);
        let organisation = organisation.or(marked.map(|marked| marked.0));
        let share = organisation.map_or(
            shares::ShareKey::Stream(stream),
            shares::ShareKey::Organisation,
        );
        let link = Arc::clone(link);
        response.map(|body| {
            let body = PacedBody {
                body: Some(body),
                ready: Bytes::new(),
                stream,
                share,
                link,
            };
            body.boxed_unsync()
        })
    }

    /// Returns the time in which the link sends what waits for it.
    pub fn backlog(&self) -> Duration {
        self.0.as_ref().map_or(Duration::ZERO, |link| {
            link.rate.transfer_time(link.backlog_bytes() as f64)
        })
    }

    /// Returns the bytes handed to the link at once and by turns since the process started.
    pub fn sent_bytes(&self) -> Option<(u64, u64)> {
        let link = self.0.as_ref()?;
        let (small, large) = (&link.small_bytes, &link.large_bytes);
        Some((small.load(Ordering::Relaxed), large.load(Ordering::Relaxed)))
    }

    /// Grants turns as they are due, until the process ends.
    pub async fn grant_turns(self) {
        let Some(link) = &self.0 else {
            return;
        };
        loop {
            let next = link.turns().grant(link.now());
            match next {
                Some(due) => time::sleep_until(link.instant(due)).await,
                None => link.requested.notified().await,
            }
        }
    }

    /// Tells the reducer what waits for the link, until the process ends.
    pub async fn report_backlog(self, engine: engine_actor::EngineHandle) {
        let Some(link) = &self.0 else {
            return;
        };
        let mut timer = time::interval(MEASURE_INTERVAL);
        timer.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        let mut last_bytes = 0;
        loop {
            timer.tick().await;
            let bytes = link.backlog_bytes();
            if bytes > 0 || last_bytes > 0 {
                let measured = bandwidth::BandwidthEvent::Measured { bytes };
                engine.tell(event::Event::Bandwidth(measured));
            }
            last_bytes = bytes;
        }
    }
}

impl SharedLink {
    fn now(&self) -> unit_time::MonotonicTime {
        unit_time::MonotonicTime(self.started_at.elapsed().as_micros() as u64)
    }

    fn instant(&self, at: unit_time::MonotonicTime) -> Instant {
        self.started_at + Duration::from_micros(at.0)
    }

    fn turns(&self) -> MutexGuard<'_, TurnTable> {
        self.turns.lock().expect("no holder of the lock panics")
    }

    fn backlog_bytes(&self) -> u64 {
        self.turns().schedule.backlog_bytes(self.now())
    }
}

impl TurnTable {
    /// Grants the turns that are due, wakes their streams, and returns when the next one is due.
    fn grant(&mut self, now: unit_time::MonotonicTime) -> Option<unit_time::MonotonicTime> {
        for stream in self.schedule.grant(now) {
            if let Some(waker) = self.wakers.swap_remove(&stream) {
                waker.wake();
            }
        }
        self.schedule.next_grant_at()
    }
}

/// Body of a response that is sent by turns.
struct PacedBody {
    /// The source; absent once it has ended.
    body: Option<http::StreamBody>,
    /// Bytes that were read and not sent yet.
    ready: Bytes,
    stream: shares::StreamId,
    share: shares::ShareKey,
    link: Arc<SharedLink>,
}

impl PacedBody {
    /// Returns the bytes of the next turn once it has come.
    fn poll_turn(&self, cx: &Context<'_>) -> Poll<usize> {
        let link = &self.link;
        let (ready_bytes, now) = (self.ready.len(), link.now());
        let left_bytes = self.size_hint().lower();
        let mut turns = link.turns();
        let schedule = &mut turns.schedule;
        schedule.request(self.stream, &self.share, ready_bytes, left_bytes, now);
        turns.grant(now);
        if let Some(bytes) = turns.schedule.take(self.stream) {
            turns.wakers.swap_remove(&self.stream);
            return Poll::Ready(bytes);
        }
        turns.wakers.insert(self.stream, cx.waker().clone());
        drop(turns);
        link.requested.notify_one();
        Poll::Pending
    }

    /// Takes the next bytes from the source. Returns a frame that is passed on as it is: trailers,
    /// an error or the end.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<PolledFrame>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(Some(None));
        };
        match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => self.ready = data,
                Err(trailers) => return Poll::Ready(Some(Some(Ok(trailers)))),
            },
            ended => return Poll::Ready(Some(ended)),
        }
        if body.is_end_stream() {
            // Its target is done and its slot free, whatever the link has yet to send.
            self.body = None;
        }
        Poll::Ready(None)
    }
}

type PolledFrame = Option<Result<Frame<Bytes>, http::BodyError>>;

impl Body for PacedBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<PolledFrame> {
        while self.ready.is_empty() {
            if let Some(passed_on) = ready!(self.poll_source(cx)) {
                return Poll::Ready(passed_on);
            }
        }
        let bytes = ready!(self.poll_turn(cx));
        let large_bytes = &self.link.large_bytes;
        large_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let data = self.ready.split_to(bytes);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.ready.is_empty() && self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let ready_bytes = self.ready.len() as u64;
        let rest = self.body.as_ref().map(Body::size_hint);
        let mut hint = rest.unwrap_or_else(|| SizeHint::with_exact(0));
        let upper = hint.upper().map(|upper| upper + ready_bytes);
        // The upper bound must never be below the lower one.
        if let Some(upper) = upper {
            hint.set_upper(upper);
        }
        hint.set_lower(hint.lower() + ready_bytes);
        hint
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        let mut turns = self.link.turns();
        turns.wakers.swap_remove(&self.stream);
        turns.schedule.leave(self.stream);
        turns.grant(self.link.now());
    }
}
