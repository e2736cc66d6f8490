//! Parts that a process cannot do without: the end of one is told, so that the process can end.

use hazeltiller_daemon::{critical_tasks, process, settings};
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
    let ended = told(&mut running.critical_tasks).await;
    assert_eq!(
        ended,
        critical_tasks::CriticalTask::Reducer,
        "not the threads that it feeds"
    );
}

/// A thread that panics tells so; one that ends in order does not.
#[tokio::test]
async fn thread_told() {
    let (registry, mut watch) = critical_tasks::TaskRegistry::new();
    let orderly = registry.guard(critical_tasks::CriticalTask::ClaimsWriter);
    std::thread::spawn(move || orderly.disarm())
        .join()
        .expect("it ends in order");
    let guard = registry.guard(critical_tasks::CriticalTask::LogWriter);
    let thread = std::thread::spawn(move || {
        let _guard = guard;
        panic!("as a fault of the store would")
    });
    thread.join().expect_err("it panicked");
    assert_eq!(
        told(&mut watch).await,
        critical_tasks::CriticalTask::LogWriter
    );
}

async fn told(watch: &mut critical_tasks::TaskMonitor) -> critical_tasks::CriticalTask {
    tokio::time::timeout(wait::WAIT_TIMEOUT, watch.ended())
        .await
        .expect("an end is told")
}
