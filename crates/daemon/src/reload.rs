//! Reads the settings file again, on SIGHUP and when it has changed without a signal.
//!
//! The controls to ask and the log level are taken over while the process runs; whatever else
//! differs is logged and waits for a restart. A file with faults changes nothing.

use std::{path::PathBuf, sync::Arc, time::Duration};

use hazeltiller_engine::{event, membership};
use tokio::{signal::unix, time};

use crate::{logging, process, settings};

/// Time between two looks at the file: a change without a signal is in force within about this.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// The file as the process has taken it.
#[derive(Debug, Clone)]
pub struct TakenFile {
    /// Where it is.
    pub path: PathBuf,
    /// Its text when it was read. It may be another one by the time that the watch begins.
    pub text: String,
    /// What it said.
    pub settings: settings::ProcessSettings,
}

/// Watches the file until the process stops.
pub async fn watch(
    context: Arc<process::ProcessContext>,
    file: TakenFile,
    mut hangups: unix::Signal,
) {
    let TakenFile {
        path,
        mut text,
        settings: mut current,
    } = file;
    loop {
        let is_asked = tokio::select! {
            _ = hangups.recv() => true,
            () = time::sleep(LOOK_PERIOD) => false,
        };
        let read = match std::fs::read_to_string(&path) {
            Ok(read) => read,
            Err(error) => {
                if is_asked {
                    log::warn!("settings not read again: {}: {error}", path.display());
                }
                continue;
            }
        };
        if read == text && !is_asked {
            continue;
        }
        text = read;
        match settings::ProcessSettings::parse(&text) {
            Ok(next) => {
                take(&context, &current, &next);
                current = next;
            }
            Err(faults) => {
                for fault in faults {
                    log::error!("settings not read again: {fault}");
                }
            }
        }
    }
}

fn take(
    context: &process::ProcessContext,
    current: &settings::ProcessSettings,
    next: &settings::ProcessSettings,
) {
    log::info!("settings read again");
    let contacts = next.contacts();
    if contacts != current.contacts() {
        log::info!("controls to ask from now on: {contacts:?}");
        let event = membership::MembershipEvent::ControlsChanged(contacts);
        context.engine.tell(event::Event::Membership(event));
    }
    logging::set_level(&next.log);
    let same = settings::ProcessSettings {
        control: current.control.clone(),
        bootstrap: current.bootstrap,
        log: current.log.clone(),
        ..next.clone()
    };
    if same != *current {
        log::warn!("settings other than control and log.level hold from the next start on");
    }
}
