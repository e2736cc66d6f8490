//! The daemon `hazeltillerd`, which runs as a node, a control or both.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use bpaf::Bpaf;
use hazeltiller_daemon::{dialect, drain, logging, process, reload, settings};
use hazeltiller_engine::timeline;
use hazeltiller_units::code;
use tokio::signal::unix;

/// One process of hazeltiller.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// Settings file, JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit: 0 valid, 2 invalid
    check: bool,
    /// Form a new group with the instances under "control" as voters; once, on empty folders
    bootstrap: bool,
}

const EXIT_INVALID: u8 = 2;
/// `EX_SOFTWARE` of `sysexits.h`: an internal error of the program.
const EXIT_TASK_ENDED: u8 = 70;
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let options = match daemon_options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let is_error = matches!(failure, bpaf::ParseFailure::Stderr(_));
            return if is_error {
                ExitCode::from(EXIT_INVALID)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    let file = match read_settings(options.settings) {
        Ok(file) => file,
        Err(faults) => {
            for fault in faults {
                eprintln!("{fault}");
            }
            return ExitCode::from(EXIT_INVALID);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    let settings = &file.settings;
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("log.file: {error}");
        return ExitCode::from(EXIT_INVALID);
    }
    let runtime = build_runtime(settings.worker_threads);
    let runtime = runtime.expect("the operating system provides threads and timers at start");
    let start = process::StartOptions {
        bootstrap: options.bootstrap,
        dialects: choose_dialects(&settings.interface),
    };
    runtime.block_on(run(file, start))
}

/// Builds the runtime. A single worker runs on the main thread, so that no call waits for another
/// thread to wake up.
fn build_runtime(worker_threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    if worker_threads == 1 {
        return tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
    }
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .enable_all()
        .build()
}

fn choose_dialects(interface: &str) -> dialect::DialectSet {
    match interface {
        settings::PLATFORM_INTERFACE => hazeltiller_platform::dialects(),
        _ => dialect::DialectSet::default(),
    }
}

fn read_settings(
    path: PathBuf,
) -> Result<reload::LoadedSettingsFile, Vec<settings::fault::SettingsFault>> {
    let text = std::fs::read_to_string(&path).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        vec![settings::fault::SettingsFault::unreadable(message)]
    })?;
    let settings = settings::ProcessSettings::parse(&text)?;
    Ok(reload::LoadedSettingsFile {
        path,
        text,
        settings,
    })
}

async fn run(file: reload::LoadedSettingsFile, options: process::StartOptions) -> ExitCode {
    // Installed first: without a handler, SIGHUP terminates the process.
    let hangups =
        unix::signal(unix::SignalKind::hangup()).expect("a handler for SIGHUP can be set at start");
    let mut running = match process::start(&file.settings, options).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    println!("{}", running.addresses);
    let context = Arc::clone(&running.context);
    tokio::spawn(reload::watch(context, file, hangups));
    let mut terminate = unix::signal(unix::SignalKind::terminate())
        .expect("a handler for SIGTERM can be set at start");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        task = running.critical_tasks.ended() => {
            let code = code::ResultCode::CriticalTaskEnded;
            log::error!("{code}: {task}: {}; {}", code.meaning(), code.advice());
            logging::finish();
            return ExitCode::from(EXIT_TASK_ENDED);
        }
    }
    let stopping = timeline::TimelineEvent::ProcessStopping;
    running.context.timeline.record(stopping);
    drain::stop(&running.context).await;
    logging::finish();
    ExitCode::SUCCESS
}
