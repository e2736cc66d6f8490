//! Bytes that a stand-in sends without end, until its peer closes the connection.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_standin::{
    behaviour,
    endless::{EndlessPlace, EndlessScript},
    settings, target,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

async fn exchange(place: EndlessPlace) {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let name = "registru-1".parse().expect("valid name");
    let service = "registru".parse().expect("valid name");
    let script = EndlessScript {
        place,
        interval: 1,
        is_at_probes: false,
        piece_bytes: 0,
        piece_pause_ms: 0,
    };
    let behaviour = behaviour::StandInBehaviour {
        endless: Some(script),
        ..behaviour::StandInBehaviour::default()
    };
    let settings = settings::StandInSettings::builder(name, service, unused).behaviour(behaviour);
    let target = target::StandInTarget::start(settings.build()).await;
    let target = target.expect("loopback has a free port");
    let stream = TcpStream::connect(target.address).await;
    let mut stream = stream.expect("the target listens");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nhazeltiller-request: id-1\r\n\r\n";
    stream.write_all(request).await.expect("it is connected");
    let mut received = vec![0; 1_000_000];
    let read = stream.read_exact(&mut received).await;
    read.unwrap_or_else(|error| panic!("{place:?} has an end: {error}"));
    assert!(target.endless().bytes() > 100_000, "{place:?}");
    let runs = target.runs().len();
    assert_eq!(runs, usize::from(place.is_answer()), "{place:?}");
    drop(stream);
    while target.endless().ended() == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(target.endless().begun(), 1, "{place:?}");
}

#[tokio::test]
async fn until_closed() {
    for place in EndlessPlace::ALL {
        let exchanged = time::timeout(WAIT_TIMEOUT, exchange(place)).await;
        exchanged.unwrap_or_else(|_elapsed| panic!("{place:?}: the stand-in did not close"));
    }
}
