//! The log: one line an event, its fields as `name=value`.

use std::{fs::OpenOptions, io::Write};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use crate::settings;

/// Sets the least important level that is logged.
pub fn set_level(settings: &settings::LogSettings) {
    log::set_max_level(settings.level.parse().unwrap_or(LevelFilter::Info));
}

/// Starts the log; a second start in one process is without effect.
pub fn start(settings: &settings::LogSettings) -> std::io::Result<()> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let writer: Box<dyn Write + Send> = match &settings.file {
        Some(path) => Box::new(OpenOptions::new().create(true).append(true).open(path)?),
        None => Box::new(std::io::stderr()),
    };
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("hazeltiller")
        .build();
    // Only a second logger is refused, and the first one goes on.
    drop(WriteLogger::init(level, config, writer));
    Ok(())
}
