//! Limits of the machine on this process: the memory that it may use and the descriptors that it may
//! open.

use hazeltiller_units::measure;
use rustix::process::{Resource, getrlimit};

use crate::{metrics, settings::installation};

/// Limits on a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory that the process may use, if it is known.
    pub memory: Option<measure::ByteSize>,
    /// Descriptors that the process may open.
    pub descriptors: u64,
}

impl ProcessLimits {
    /// Reads the limits of the operating system and of the settings.
    pub fn read(installation: &installation::InstallationSettings) -> Self {
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let given = installation
            .descriptors
            .map_or(u64::MAX, |count| count as u64);
        let memory = installation.memory_mb;
        Self {
            memory: memory.map(|megabytes| {
                measure::ByteSize((megabytes * installation::BYTES_PER_MB) as u64)
            }),
            descriptors: allowed.min(given),
        }
    }

    /// Logs the limits and sets their gauges.
    pub fn report(&self, metrics: &metrics::ProcessMetrics) {
        let limit = |resource: &str| metrics.process_limits.with_label_values(&[resource]);
        let descriptors = i64::try_from(self.descriptors).unwrap_or(i64::MAX);
        limit("descriptors").set(descriptors);
        match self.memory {
            Some(memory) => {
                limit("memory_bytes").set(memory.0 as i64);
                log::info!(
                    "this process may use {memory} bytes of memory and {descriptors} descriptors"
                );
            }
            None => log::info!("this process may use {descriptors} descriptors"),
        }
    }
}
