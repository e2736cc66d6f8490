//! Reloads the settings file on SIGHUP and when polling finds that it has changed.
//!
//! The addresses of controls, the log level and the sampling of the log are applied to the running
//! process. A change of any other setting is logged and takes effect at the next start. A file with
//! faults changes nothing.

use std::{path::PathBuf, sync::Arc, time::Duration};

use hazeltiller_engine::{event, membership};
use tokio::{signal::unix, time};

use crate::{logging, process, settings};

/// Interval at which the file is polled, and so about the longest time until a change without a
/// signal is applied.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The settings file as it was last loaded.
#[derive(Debug, Clone)]
pub struct LoadedSettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Text of the file when it was loaded. The file may have changed by the time that watching
    /// begins.
    pub text: String,
    /// Settings parsed from the text.
    pub settings: settings::ProcessSettings,
}

/// Watches the file and applies changes until the process stops.
pub async fn watch(
    context: Arc<process::ProcessContext>,
    file: LoadedSettingsFile,
    mut hangups: unix::Signal,
) {
    let LoadedSettingsFile {
        path,
        mut text,
        settings: mut current,
    } = file;
    loop {
        let is_signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = time::sleep(POLL_INTERVAL) => false,
        };
        let new_text = match std::fs::read_to_string(&path) {
            Ok(new_text) => new_text,
            Err(error) => {
                if is_signalled {
                    log::warn!(
                        "reading {} failed, settings not reloaded: {error}",
                        path.display()
                    );
                }
                continue;
            }
        };
        if new_text == text && !is_signalled {
            continue;
        }
        text = new_text;
        match settings::ProcessSettings::parse(&text) {
            Ok(next) => {
                apply(&context, &current, &next);
                current = next;
            }
            Err(faults) => {
                for fault in faults {
                    log::error!("settings not reloaded: {fault}");
                }
            }
        }
    }
}

/// Applies the settings that can change while the process runs, and warns about changes of others.
fn apply(
    context: &process::ProcessContext,
    current: &settings::ProcessSettings,
    next: &settings::ProcessSettings,
) {
    log::info!("settings reloaded");
    let contacts = next.contacts();
    if contacts != current.contacts() {
        log::info!("addresses of controls changed to {contacts:?}");
        let event = membership::MembershipEvent::ControlsChanged(contacts);
        context.engine.tell(event::Event::Membership(event));
    }
    logging::apply_settings(&next.log);
    let unchanged = settings::ProcessSettings {
        control: current.control.clone(),
        bootstrap: current.bootstrap,
        log: current.log.clone(),
        ..next.clone()
    };
    if unchanged != *current {
        log::warn!(
            "settings other than control, log.level and log.sample take effect at the next start"
        );
    }
}
