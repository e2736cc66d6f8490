//! The timeline and the metrics of the process.

use std::sync::Arc;

use hyper::{Response, StatusCode, header};

use crate::{gauges, http, process};

const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Returns the events after the sequence number in the query parameter `since`, by default all.
pub(super) fn timeline(
    context: &process::ProcessContext,
    query: Option<&str>,
) -> Response<http::StreamBody> {
    let since = query
        .unwrap_or_default()
        .split('&')
        .find_map(|pair| pair.strip_prefix("since="))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    http::json_response(StatusCode::OK, &context.timeline.since(since))
}

/// Returns the metrics in the Prometheus text format.
pub(super) async fn metrics(context: &process::ProcessContext) -> Response<http::StreamBody> {
    let metrics = Arc::clone(&context.metrics);
    let update = move |state: &_| gauges::update(state, &metrics);
    // While the process shuts down the state can't be read, and the last values are returned.
    let _: Option<()> = context.engine.inspect(update).await;
    gauges::update_byte_counters(&context.bytes, &context.metrics);
    gauges::update_link_counters(&context.link, &context.metrics);
    context.connections.update_metrics(&context.metrics);
    let mut response = Response::new(http::full_body(context.metrics.render()));
    let content_type = header::HeaderValue::from_static(METRICS_CONTENT_TYPE);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
