//! The listener for other processes: performs the handshake, then receives messages or serves calls
//! or RPC requests, according to the purpose of the connection.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::connections;
use hazeltiller_wire::{codec, handshake as wire, membership, message};
use http_body_util::BodyExt;
use hyper::{server::conn::http2, service};
use hyper_util::rt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{counted_stream, drain, handshake, links, listener, owner, pool, process, questions};

/// Time without progress after which a stopping node closes a connection whose last response has been
/// handed over. What is buffered of it goes out as the peer reads, which is slow on a narrow link.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(1000);

/// Most calls on a connection.
const MAX_CALLS: u32 = 4096;

/// Allowance for the headers that a node adds to those of a caller, in bytes.
const ADDED_HEADER_BYTES: u32 = 8192;

/// Serves the listener until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let kind = connections::ListenerKind::Peers;
        let accepted = listener::accept(&context.connections, &listener, kind).await;
        tokio::spawn(serve_connection(Arc::clone(&context), accepted));
    }
}

async fn serve_connection(
    context: Arc<process::ProcessContext>,
    accepted: listener::AcceptedClient,
) {
    let listener::AcceptedClient {
        mut stream, guard, ..
    } = accepted;
    let handshake = tokio::select! {
        handshake = context.credentials.accept(&mut stream) => handshake,
        () = guard.closed() => return,
    };
    // Only peers that have not authenticated themselves are limited.
    drop(guard);
    let (identity, purpose) = match handshake {
        Ok(accepted) => accepted,
        Err(error) => {
            count_refusal(&context, &error);
            // A peer that made parallel connection attempts abandons all but one, so that broken
            // connections are expected here.
            let level = if error.code().is_some() {
                log::Level::Warn
            } else {
                log::Level::Debug
            };
            return log::log!(level, "handshake with a peer failed: {error}");
        }
    };
    match purpose {
        wire::LinkPurpose::Messages => {
            if let Err(error) = read_messages(&context, &identity, stream).await {
                count_refusal(&context, &error);
                log::debug!(
                    "message connection from {} ended: {error}",
                    identity.instance
                );
            }
        }
        wire::LinkPurpose::Calls => serve_calls(context, &identity, stream).await,
        wire::LinkPurpose::Questions => questions::serve(context, stream).await,
    }
}

fn count_refusal(context: &process::ProcessContext, error: &handshake::HandshakeError) {
    if let Some(code) = error.code() {
        let refused = &context.metrics.refused_peers;
        refused.with_label_values(&[&code.to_string()]).inc();
    }
}

async fn read_messages(
    context: &process::ProcessContext,
    from: &membership::PeerIdentity,
    stream: TcpStream,
) -> Result<(), handshake::HandshakeError> {
    let io_error = |source| handshake::HandshakeError::Io { source };
    let decode_error = |source| handshake::HandshakeError::Decode { source };
    let (reader, mut writer) = stream.into_split();
    let mut reader = tokio::io::BufReader::new(reader);
    loop {
        let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
        reader.read_exact(&mut prefix).await.map_err(io_error)?;
        let size = codec::frame_length(prefix).map_err(decode_error)?;
        let mut body = vec![0; size];
        reader.read_exact(&mut body).await.map_err(io_error)?;
        let frame: message::PeerFrame = codec::decode_body(&body).map_err(decode_error)?;
        let bytes = size + codec::LENGTH_PREFIX_BYTES;
        context
            .bytes
            .count_received(frame.message.category(), bytes);
        context.clock.merge(frame.clock);
        context.engine.tell_frame(from.clone(), frame);
        if reader.buffer().is_empty() {
            writer
                .write_all(&[links::ACK_BYTE])
                .await
                .map_err(io_error)?;
        }
    }
}

async fn serve_calls(
    context: Arc<process::ProcessContext>,
    from: &membership::PeerIdentity,
    stream: TcpStream,
) {
    let shared = Arc::clone(&context);
    let transit = context.transit.of_peer(&from.instance, from.incarnation);
    // Each call holds a receiver until its response has been handed over, so that the channel
    // closes when all calls have ended.
    let open_calls = watch::Sender::new(());
    let call_counter = open_calls.clone();
    let service = service::service_fn(move |request| {
        let (context, transit) = (Arc::clone(&shared), Arc::clone(&transit));
        let call_guard = call_counter.subscribe();
        async move {
            let response = owner::serve_offer(context, &transit, request).await;
            let keep_guard = move |frame| {
                let _guard = &call_guard;
                frame
            };
            let response = response.map(|body| body.map_frame(keep_guard).boxed_unsync());
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut server = http2::Builder::new(rt::TokioExecutor::new());
    server
        .timer(rt::TokioTimer::new())
        .max_header_list_size(context.request_tunables.head_bytes as u32 + ADDED_HEADER_BYTES)
        .initial_stream_window_size(pool::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(pool::CONNECTION_WINDOW_BYTES)
        // What is buffered here counts as sent: its target's slot is free for the next response,
        // and a stopping node waits for no more than the final flush.
        .max_send_buf_size(pool::STREAM_WINDOW_BYTES as usize)
        .max_concurrent_streams(MAX_CALLS)
        // Callers that disconnect have their calls cancelled, as many at once as there are. The
        // library takes more than a few for an attack and ends the connection with all its calls.
        .max_pending_accept_reset_streams(MAX_CALLS as usize);
    let in_flight = context.drain.in_flight();
    let written = counted_stream::WrittenBytes::default();
    let stream = counted_stream::CountedStream::new(stream, written.clone());
    let connection = server.serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = context.drain.wait_for_phase(drain::DrainPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            // A peer that is cut off never acknowledges the shutdown of the connection, which must
            // not delay the exit of the process.
            let flushed = async {
                loop {
                    open_calls.closed().await;
                    let written_bytes = written.get();
                    time::sleep(FINAL_FLUSH_TIME).await;
                    if open_calls.receiver_count() == 0 && written.get() == written_bytes {
                        return;
                    }
                }
            };
            tokio::select! {
                served = connection => served,
                () = flushed => Ok(()),
            }
        }
    };
    drop(in_flight);
    if let Err(error) = served {
        log::debug!("call connection ended: {error}");
    }
}
