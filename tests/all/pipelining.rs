//! HTTP/1.1 connections to callers, without a process: chunked encoding and the closing of
//! connections.

use std::{
    collections::VecDeque,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hazeltiller_daemon::{drain, http, http1};
use hazeltiller_testkit::wait;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response,
    body::{Body, Frame},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, tcp::OwnedWriteHalf},
    sync::mpsc,
};

/// Every request is admitted.
type AdmitResult = Result<http1::CallRequest, Box<http1::CallResponse>>;

const LIMITS: http1::ConnectionLimits = http1::ConnectionLimits {
    max_head_bytes: 8192,
    max_headers: 64,
    head_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(30),
};

/// A body of unknown length that reports its end together with its last frame.
#[derive(Clone)]
struct FrameList(VecDeque<Result<Bytes, HeaderMap>>);

impl Body for FrameList {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = self.0.pop_front().map(|frame| match frame {
            Ok(data) => Frame::data(data),
            Err(trailers) => Frame::trailers(trailers),
        });
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }
}

/// A response with this body and, in its head, this length.
struct FixedResponse(FrameList, Option<u64>);

impl http1::CallHandler for FixedResponse {
    type Admitted = http1::CallRequest;
    type Reservation = ();

    fn admit(&self, request: http1::CallRequest) -> AdmitResult {
        Ok(request)
    }

    fn reserve(&self, _bytes: u64) -> Option<()> {
        Some(())
    }

    async fn serve(
        &self,
        _admitted: http1::CallRequest,
        _position: Arc<http1::PipelinePosition>,
    ) -> http1::CallResponse {
        let mut response = Response::new(self.0.clone().boxed_unsync());
        if let Some(length) = self.1 {
            let headers = response.headers_mut();
            headers.insert("content-length", length.into());
        }
        response
    }
}

/// Returns the bytes after the response head that a caller which accepts trailers receives.
async fn response_body(frames: &[Result<&'static str, HeaderMap>]) -> String {
    declared_body(frames, None).await
}

/// The same for a response whose head declares a length.
async fn declared_body(frames: &[Result<&'static str, HeaderMap>], length: Option<u64>) -> String {
    let frames = frames.iter().map(|frame| match frame {
        Ok(text) => Ok(Bytes::from_static(text.as_bytes())),
        Err(trailers) => Err(trailers.clone()),
    });
    let service = Arc::new(FixedResponse(FrameList(frames.collect()), length));
    let (mut caller, node) = tokio::io::duplex(65_536);
    let (reader, writer) = tokio::io::split(node);
    let request = "GET / HTTP/1.1\r\nhost: a\r\nte: trailers\r\nconnection: close\r\n\r\n";
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("the request is written");
    http1::serve(
        reader,
        writer,
        LIMITS,
        service,
        drain::DrainState::default(),
    )
    .await;
    let mut text = String::new();
    let read = caller.read_to_string(&mut text).await;
    read.expect("the response is UTF-8");
    let (_, body) = text
        .split_once("\r\n\r\n")
        .expect("the response has a head");
    body.into()
}

/// The terminating chunk is written exactly once, even if the data before it looks like one.
#[tokio::test]
async fn last_chunk_once() {
    let mut trailers = HeaderMap::new();
    trailers.insert("x-sum", "7".parse().expect("a valid header value"));
    let table = [
        (vec![Ok("ok")], "2\r\nok\r\n0\r\n\r\n"),
        (vec![Ok("a\r\n")], "3\r\na\r\n\r\n0\r\n\r\n"),
        (vec![Ok("0\r\n\r\n")], "5\r\n0\r\n\r\n\r\n0\r\n\r\n"),
        (
            vec![Ok("\r\n"), Ok("\r\n")],
            "2\r\n\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n",
        ),
        (vec![], "0\r\n\r\n"),
        (
            vec![Ok("ok"), Err(trailers)],
            "2\r\nok\r\n0\r\nx-sum: 7\r\n\r\n",
        ),
    ];
    for (frames, expected) in table {
        assert_eq!(response_body(&frames).await, expected);
    }
}

/// No byte is written beyond the length that the head declares.
#[tokio::test]
async fn length_exceeded() {
    let frames = [Ok("four"), Ok("more")];
    for (length, expected) in [
        (3, ""),
        (4, "four"),
        (6, "four"),
        (8, "fourmore"),
        (9, "fourmore"),
    ] {
        let received = declared_body(&frames, Some(length)).await;
        assert_eq!(received, expected, "length {length}");
    }
}

/// A caller that sends another request while it receives the last response of its connection still
/// receives that response completely.
#[tokio::test]
async fn request_after_close() {
    const BODY_BYTES: usize = 131_072;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_send_buffer_size(2 * BODY_BYTES as u32)
        .expect("the send buffer holds the response");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a free port");
    let listener = socket.listen(1).expect("the listener is bound");
    let address = listener.local_addr().expect("the listener is bound");
    let body = vec![b'a'; BODY_BYTES];
    let frames = [Ok(Bytes::from(body.clone()))];
    let service = Arc::new(FixedResponse(FrameList(frames.into()), None));
    let serving = tokio::spawn(async move {
        let (stream, _from) = listener.accept().await.expect("the caller connects");
        let (reader, writer) = stream.into_split();
        let drain = drain::DrainState::default();
        http1::serve(reader, writer, LIMITS, service, drain).await;
    });
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(4096)
        .expect("the receive buffer is small");
    let mut stream = socket.connect(address).await.expect("the listener accepts");
    let last_request = b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream
        .write_all(last_request)
        .await
        .expect("the request is written");
    let mut answer = vec![0; 1];
    stream
        .read_exact(&mut answer)
        .await
        .expect("the response has begun");
    let late_request = b"GET /crossing HTTP/1.1\r\nhost: a\r\n\r\n";
    stream
        .write_all(late_request)
        .await
        .expect("the second request is written");
    // A reset would arrive within this time and discard the data in flight.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let rest = stream.read_to_end(&mut answer).await;
    rest.expect("the connection is not reset");
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let head = head.expect("the head is complete") + 4;
    let has_body = answer[head..]
        .windows(BODY_BYTES)
        .any(|bytes| bytes == body);
    assert!(
        has_body,
        "the response is incomplete: {} bytes received",
        answer.len()
    );
    drop(stream);
    serving.await.expect("the connection task does not panic");
}

/// A handler that hands the body of its request to somebody else and does not end.
struct BodyKeeper(mpsc::UnboundedSender<http::StreamBody>);

impl http1::CallHandler for BodyKeeper {
    type Admitted = http1::CallRequest;
    type Reservation = ();

    fn admit(&self, request: http1::CallRequest) -> AdmitResult {
        Ok(request)
    }

    fn reserve(&self, _bytes: u64) -> Option<()> {
        Some(())
    }

    async fn serve(
        &self,
        admitted: http1::CallRequest,
        _position: Arc<http1::PipelinePosition>,
    ) -> http1::CallResponse {
        let sent = self.0.send(admitted.into_body());
        sent.expect("the test receives the body");
        std::future::pending().await
    }
}

/// Returns a connection: its caller's side, and the two halves of the node's.
async fn connection() -> (TcpStream, http1::CallerStream, OwnedWriteHalf) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let caller = TcpStream::connect(address).await;
    let (stream, _from) = listener.accept().await.expect("a connection");
    let (reader, writer) = stream.into_split();
    let reader = http1::CallerStream::new(Bytes::new(), reader);
    (caller.expect("the listener accepts"), reader, writer)
}

/// Guards against requests that go on after their caller has left, because the connection is not read
/// while more of them wait than are dispatched at once.
#[tokio::test(flavor = "multi_thread")]
async fn close_behind_requests() {
    const REQUESTS: usize = 4000;
    let (mut caller, reader, writer) = connection().await;
    let (bodies, _kept) = mpsc::unbounded_channel();
    let service = Arc::new(BodyKeeper(bodies));
    let drain = drain::DrainState::default();
    let serving = tokio::spawn(http1::serve(reader, writer, LIMITS, service, drain));
    let requests = "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(REQUESTS);
    let sent = caller.write_all(requests.as_bytes()).await;
    sent.expect("the requests are written");
    drop(caller);
    let served = wait::complete("the end of the connection", serving).await;
    served.expect("the connection is served to its end");
}

/// Guards against a body in chunks that passes for whole although its caller closed the connection in
/// the middle of it, while nobody read it.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_cut_unread() {
    let (mut caller, reader, writer) = connection().await;
    let (bodies, mut kept) = mpsc::unbounded_channel();
    let service = Arc::new(BodyKeeper(bodies));
    let serving = tokio::spawn(http1::serve(
        reader,
        writer,
        LIMITS,
        service,
        drain::DrainState::default(),
    ));
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("4000\r\n{}\r\n", "b".repeat(0x4000));
    let sent = caller
        .write_all(format!("{head}{}", chunk.repeat(5)).as_bytes())
        .await;
    sent.expect("the request is written");
    let mut body = kept.recv().await.expect("the request is read");
    drop(caller);
    serving.await.expect("the connection is served to its end");
    let last = loop {
        match body.frame().await {
            Some(Ok(_)) => {}
            last => break last,
        }
    };
    assert!(matches!(last, Some(Err(_))), "the body was cut");
}
