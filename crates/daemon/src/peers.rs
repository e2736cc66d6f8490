//! The peers listener: greets, then reads messages or serves calls.

use std::{sync::Arc, time::Duration};

use hazeltiller_engine::event;
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

use crate::{drain, handshake, links, listener, owner, process, questions};

/// Time in which a peer takes the end of the last answer, once a stopping node has given it.
const GOODBYE_TIME: Duration = Duration::from_millis(300);

/// Room for the headers that a node adds to a caller's, in bytes.
const LARGEST_OFFER: u32 = 8192;

/// Serves the listener until the process stops.
pub async fn serve(context: Arc<process::ProcessContext>, listener: TcpListener) {
    loop {
        let (stream, _from) = listener::accept(&listener, "peers").await;
        tokio::spawn(serve_connection(Arc::clone(&context), stream));
    }
}

async fn serve_connection(context: Arc<process::ProcessContext>, mut stream: TcpStream) {
    let (identity, purpose) = match context.credentials.accept(&mut stream).await {
        Ok(greeted) => greeted,
        Err(error) => {
            count_refusal(&context, &error);
            // A peer that dialled more than once leaves all connections but one.
            let level = if error.code().is_some() {
                log::Level::Warn
            } else {
                log::Level::Debug
            };
            return log::log!(level, "peer refused: {error}");
        }
    };
    match purpose {
        wire::LinkPurpose::Messages => {
            if let Err(error) = read_messages(&context, &identity, stream).await {
                count_refusal(&context, &error);
                log::debug!("link from {} ended: {error}", identity.instance);
            }
        }
        wire::LinkPurpose::Calls => serve_calls(context, &identity, stream).await,
        wire::LinkPurpose::Questions => questions::serve(context, stream).await,
    }
}

fn count_refusal(context: &process::ProcessContext, error: &handshake::GreetingError) {
    if let Some(code) = error.code() {
        let refused = &context.metrics.refused_peers;
        refused.with_label_values(&[&code.to_string()]).inc();
    }
}

async fn read_messages(
    context: &process::ProcessContext,
    from: &membership::PeerIdentity,
    stream: TcpStream,
) -> Result<(), handshake::GreetingError> {
    let broken = |source| handshake::GreetingError::Broken { source };
    let unreadable = |source| handshake::GreetingError::Unreadable { source };
    let (reader, mut writer) = stream.into_split();
    let mut reader = tokio::io::BufReader::new(reader);
    loop {
        let mut prefix = [0; codec::LENGTH_BYTES];
        reader.read_exact(&mut prefix).await.map_err(broken)?;
        let size = codec::frame_length(prefix).map_err(unreadable)?;
        let mut body = vec![0; size];
        reader.read_exact(&mut body).await.map_err(broken)?;
        let frame: message::PeerFrame = codec::decode_body(&body).map_err(unreadable)?;
        let bytes = size + codec::LENGTH_BYTES;
        context.bytes.received(frame.message.reason(), bytes);
        context.clock.merge(frame.clock);
        let event = event::Event::Received {
            from: from.clone(),
            message: frame.message,
        };
        context.engine.tell(event);
        if reader.buffer().is_empty() {
            writer.write_all(&[links::ACK_BYTE]).await.map_err(broken)?;
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
    // Each call holds a receiver until its answer is handed over; none is left when all have ended.
    let calls = watch::Sender::new(());
    let call = calls.clone();
    let service = service::service_fn(move |request| {
        let (context, transit) = (Arc::clone(&shared), Arc::clone(&transit));
        let held = call.subscribe();
        async move {
            let response = owner::serve_offer(context, &transit, request).await;
            let holding = move |frame| {
                let _held = &held;
                frame
            };
            let response = response.map(|body| body.map_frame(holding).boxed_unsync());
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut server = http2::Builder::new(rt::TokioExecutor::new());
    server
        .timer(rt::TokioTimer::new())
        .max_header_list_size(context.request_tunables.head_bytes as u32 + LARGEST_OFFER)
        .max_concurrent_streams(4096);
    let flight = context.drain.in_flight();
    let connection = server.serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = context.drain.wait_for_phase(drain::DrainPhase::Closing) => {
            connection.as_mut().graceful_shutdown();
            // A peer behind a cut never says that it has heard of that; the stop must not wait for it.
            let said = async {
                while calls.receiver_count() > 0 {
                    calls.closed().await;
                    time::sleep(GOODBYE_TIME).await;
                }
            };
            tokio::select! {
                served = connection => served,
                () = said => Ok(()),
            }
        }
    };
    drop(flight);
    if let Err(error) = served {
        log::debug!("calls link ended: {error}");
    }
}
