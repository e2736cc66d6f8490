//! Places that this node keeps for admitted calls whose requests are still at their ingress nodes.
//!
//! A call with a place waits in its target's queue or holds a slot. The request that brings the
//! ticket takes the place, once; a place that no request takes in time, or that the ingress node gives
//! up, is free again, and its call never runs.

use std::{
    fmt,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hazeltiller_engine::calls;
use hazeltiller_units::{code, ids};
use hazeltiller_wire::calls as wire;
use http_body_util::BodyExt;
use hyper::{
    Request, Response,
    body::{Body, Frame},
};
use indexmap::IndexMap;
use tokio::{sync::mpsc, time};

use super::OfferedCall;
use crate::{http, process};

/// The places kept, by call.
#[derive(Default)]
pub struct PlaceTable(Mutex<IndexMap<ids::CallId, OfferedCall>>);

impl fmt::Debug for PlaceTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlaceTable").finish_non_exhaustive()
    }
}

impl PlaceTable {
    fn insert(&self, call: OfferedCall) {
        let mut calls = self.0.lock().expect("no holder of the lock panics");
        calls.insert(call.guard.call, call);
    }

    fn take(&self, call: ids::CallId) -> Option<OfferedCall> {
        let mut calls = self.0.lock().expect("no holder of the lock panics");
        calls.swap_remove(&call)
    }
}

/// Answers an offer that came without its request: with the engine's refusal, or with a ticket for
/// the place of the admitted call.
pub(super) async fn keep(
    context: &Arc<process::ProcessContext>,
    mut call: OfferedCall,
) -> Response<http::StreamBody> {
    // The engine handles one message after the other, so that it has decided on the offer by now.
    context.engine.inspect(|_| ()).await;
    match call.effects.try_recv() {
        Ok(calls::CallEffect::Refuse(_, refusal)) => return super::offer_refusal(&refusal),
        Ok(run) => call.decision = Some(run),
        // The call waits for a slot.
        Err(mpsc::error::TryRecvError::Empty) => {}
        Err(mpsc::error::TryRecvError::Disconnected) => {
            return super::offer_refusal(&super::not_run(code::ResultCode::NodeStopping));
        }
    }
    let ticket = wire::PlaceTicket {
        incarnation: context.credentials.identity.incarnation,
        call: call.guard.call,
    };
    context.places.insert(call);
    tokio::spawn(expire(Arc::clone(context), ticket.call));
    let body = PlaceBody {
        context: Arc::clone(context),
        call: ticket.call,
    };
    let mut response = Response::new(body.boxed_unsync());
    let value = http::unindexed_value(&ticket);
    let headers = response.headers_mut();
    headers.insert(wire::PLACE_TICKET_HEADER, value);
    response
}

/// Body of the response with a ticket. It has no end: the ingress node drops the response when it
/// needs the place no more, and a connection that breaks drops it as well.
struct PlaceBody {
    context: Arc<process::ProcessContext>,
    call: ids::CallId,
}

impl Body for PlaceBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Pending
    }
}

impl Drop for PlaceBody {
    fn drop(&mut self) {
        give_up(&self.context, self.call, "released");
    }
}

/// Gives up the place of a call if no request has taken it in time.
async fn expire(context: Arc<process::ProcessContext>, call: ids::CallId) {
    time::sleep(Duration::from_millis(context.placement_tunables.hold_ms)).await;
    give_up(&context, call, "unused");
}

/// Frees the place of a call if it is still kept.
fn give_up(context: &process::ProcessContext, call: ids::CallId, result: &str) {
    if context.places.take(call).is_some() {
        let kept_places = &context.metrics.kept_places;
        kept_places.with_label_values(&[result]).inc();
    }
}

/// Serves the request that brings a ticket. If its place has been taken or given up, the request
/// does not run.
pub(super) async fn serve(
    context: &Arc<process::ProcessContext>,
    ticket: wire::PlaceTicket,
    request: Request<http::StreamBody>,
) -> Response<http::StreamBody> {
    let is_current = ticket.incarnation == context.credentials.identity.incarnation;
    let place = is_current
        .then(|| context.places.take(ticket.call))
        .flatten();
    let Some(call) = place else {
        return super::offer_refusal(&wire::CallRefusal {
            retry_after_ms: context.placement_tunables.hold_ms as u32,
            ..super::not_run(code::ResultCode::LatencyUnreachable)
        });
    };
    let kept_places = &context.metrics.kept_places;
    kept_places.with_label_values(&["taken"]).inc();
    call.serve(request).await
}
