//! Parts that a process cannot do without: the end of one is told, so that the process can end.

use hazeltiller_daemon::{parts, process, settings};
use hazeltiller_testkit::wait;
use serde_json::json;

/// A reducer that panics would leave a process that takes connections and answers nobody.
#[tokio::test(flavor = "multi_thread")]
async fn panic_told() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let document = json!({
        "instance": "control-1", "data_centre": "brasov-a", "region": "ro-centru",
        "roles": ["control"], "control": ["127.0.0.1:0"],
        "listen": {"peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
        "data_folder": folder.path(),
    });
    let settings = settings::ProcessSettings::parse(&document.to_string());
    let settings = settings.expect("they are sound");
    let started = process::start(&settings, process::StartOptions::default()).await;
    let mut running = started.expect("the folder and the ports are free");
    let looked = running
        .context
        .engine
        .inspect(|_| panic!("as a fault of the reducer would"))
        .await;
    assert_eq!(looked, None::<()>);
    let watch = &mut running.parts;
    let ended = async {
        // With the reducer go the threads that it feeds, in any order.
        while watch.ended().await != parts::ProcessPart::Reducer {}
    };
    tokio::time::timeout(wait::LONGEST_WAIT, ended)
        .await
        .expect("its end is told");
}
