//! Critical tasks: the end of one is reported, so that the process can exit.

use hazeltiller_daemon::{critical_tasks, process, settings};
use hazeltiller_testkit::wait;
use serde_json::json;

/// Guards against a process that still accepts connections after its reducer has panicked, and
/// answers none of them.
#[tokio::test(flavor = "multi_thread")]
async fn reducer_panic_reported() {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let document = json!({
        "instance": "control-1", "data_centre": "brasov-a", "region": "ro-centru",
        "roles": ["control"], "control": ["127.0.0.1:0"],
        "listen": {"peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
        "data_folder": folder.path(),
    });
    let settings = settings::ProcessSettings::parse(&document.to_string());
    let settings = settings.expect("the settings are valid");
    let started = process::start(&settings, process::StartOptions::default()).await;
    let mut running = started.expect("the folder and the ports are free");
    let inspected = running
        .context
        .engine
        .inspect(|_| panic!("simulated fault of the reducer"))
        .await;
    assert_eq!(inspected, None::<()>);
    let ended = wait_for_ended_task(&mut running.critical_tasks).await;
    assert_eq!(
        ended,
        critical_tasks::CriticalTask::Reducer,
        "the reducer is reported, not the threads that depend on it"
    );
}

/// A thread that panics is reported; one that disarms its guard before it ends is not.
#[tokio::test]
async fn thread_panic_reported() {
    let (registry, mut watch) = critical_tasks::TaskRegistry::new();
    let disarmed_guard = registry.guard(critical_tasks::CriticalTask::ClaimsWriter);
    std::thread::spawn(move || disarmed_guard.disarm())
        .join()
        .expect("the thread does not panic");
    let guard = registry.guard(critical_tasks::CriticalTask::LogWriter);
    let thread = std::thread::spawn(move || {
        let _guard = guard;
        panic!("simulated fault of the store")
    });
    thread.join().expect_err("the thread panics");
    assert_eq!(
        wait_for_ended_task(&mut watch).await,
        critical_tasks::CriticalTask::LogWriter
    );
}

async fn wait_for_ended_task(
    watch: &mut critical_tasks::TaskMonitor,
) -> critical_tasks::CriticalTask {
    tokio::time::timeout(wait::WAIT_TIMEOUT, watch.ended())
        .await
        .expect("the end of a task is reported")
}
