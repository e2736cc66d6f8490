//! The report of a load, which is printed as text or JSON.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;

use crate::load::{call, collect, plot, settings, verdict};

/// Results of a kind or a class of requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupReport {
    /// Number of requests.
    pub sent: u64,
    /// Number of resends.
    pub resends: u64,
    /// Number of requests answered by a target.
    pub answered: u64,
    /// Sum of the values of the answered requests, per second.
    pub goodput: f64,
    /// Median of the latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Maximum latency, in milliseconds.
    pub max_ms: f64,
}

/// The report of a load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Configured rate, in requests per second.
    pub rate: f64,
    /// Time during which requests were started, in seconds.
    pub seconds: f64,
    /// Number of requests.
    pub sent: u64,
    /// Number of resends.
    pub resends: u64,
    /// Number of requests answered by a target.
    pub answered: u64,
    /// Number of requests to which a target responded with an error, by status.
    pub failed: IndexMap<String, u64>,
    /// Number of requests that the system refused, by result code and outcome.
    pub refused: IndexMap<String, u64>,
    /// Number of requests without a complete response, by the result of the last send.
    pub unanswered: IndexMap<String, u64>,
    /// Results by class.
    pub classes: IndexMap<String, GroupReport>,
    /// Results by kind.
    pub kinds: IndexMap<String, GroupReport>,
    /// Result of the check against the targets' logs.
    pub verdict: verdict::LoadVerdict,
    /// Latency and goodput over time, for the plot.
    #[serde(skip)]
    pub series: plot::LoadSeries,
}

impl LoadReport {
    /// Creates the report of a load that has ended.
    pub fn new(
        settings: &settings::LoadSettings,
        collector: &collect::LoadCollector,
        verdict: verdict::LoadVerdict,
    ) -> Self {
        let seconds = settings.duration.as_secs_f64();
        let records = collector.records();
        let mut report = Self {
            seed: settings.seed,
            rate: settings.rate,
            seconds,
            sent: records.len() as u64,
            resends: 0,
            answered: 0,
            failed: IndexMap::new(),
            refused: IndexMap::new(),
            unanswered: IndexMap::new(),
            classes: groups(&collector.classes(), seconds),
            kinds: groups(&collector.kinds(), seconds),
            verdict,
            series: plot::LoadSeries::new(collector),
        };
        for record in &records {
            report.count(record);
        }
        report
    }

    fn count(&mut self, record: &call::CallRecord) {
        self.resends += u64::from(record.sends - 1);
        let (counts, name) = match &record.end {
            call::SendResult::Answered => {
                self.answered += 1;
                return;
            }
            call::SendResult::Failed(status) => (&mut self.failed, status.as_u16().to_string()),
            call::SendResult::Refused { code, is_not_run } => {
                let outcome = if *is_not_run { "not-run" } else { "unknown" };
                (&mut self.refused, format!("{code} {outcome}"))
            }
            call::SendResult::NotConnected => (&mut self.unanswered, "not connected".into()),
            call::SendResult::Broken => (&mut self.unanswered, "broken".into()),
            call::SendResult::Cut => (&mut self.unanswered, "cut".into()),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
}

fn groups(
    statistics: &IndexMap<String, collect::GroupStatistics>,
    seconds: f64,
) -> IndexMap<String, GroupReport> {
    let report = |statistics: &collect::GroupStatistics| {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let quantile = |quantile: f64| ms(statistics.latency.value_at_quantile(quantile));
        GroupReport {
            sent: statistics.sent,
            resends: statistics.resends,
            answered: statistics.answered,
            goodput: statistics.value as f64 / seconds,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: ms(statistics.latency.max()),
        }
    };
    let mut groups: IndexMap<_, _> = statistics
        .iter()
        .map(|(name, statistics)| (name.clone(), report(statistics)))
        .collect();
    groups.sort_unstable_keys();
    groups
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests in {:.1} s (rate: {} per second, seed {}), {} resends, {} answered",
            self.sent, self.seconds, self.rate, self.seed, self.resends, self.answered
        )?;
        let counts = [
            ("failed by a target", &self.failed),
            ("refused", &self.refused),
            ("without an answer", &self.unanswered),
        ];
        for (label, counts) in counts {
            for (name, count) in counts {
                writeln!(f, "{label}: {name}: {count}")?;
            }
        }
        write_groups(f, "class", &self.classes)?;
        write_groups(f, "kind", &self.kinds)?;
        self.write_verdict(f)
    }
}

impl LoadReport {
    fn write_verdict(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = &self.verdict;
        if !verdict.is_proven {
            return writeln!(
                f,
                "lost {}, cut {}, crossed {}; no log of a target was read, so doubled and \
                 wrongly refused are unknown",
                verdict.lost, verdict.cut, verdict.crossed
            );
        }
        writeln!(
            f,
            "lost {}, doubled {}, cut {}, crossed {}, wrongly refused {}, answered without a run \
             {}; {} runs",
            verdict.lost,
            verdict.doubled,
            verdict.cut,
            verdict.crossed,
            verdict.wrongly_refused,
            verdict.answered_without_run,
            verdict.runs
        )?;
        for address in &verdict.unread_logs {
            writeln!(
                f,
                "incomplete check: the log of {address} could not be read"
            )?;
        }
        for name in &verdict.named {
            writeln!(f, "at fault: {name}")?;
        }
        Ok(())
    }
}

fn write_groups(
    f: &mut fmt::Formatter<'_>,
    heading: &str,
    groups: &IndexMap<String, GroupReport>,
) -> fmt::Result {
    writeln!(
        f,
        "{heading:<20} {:>9} {:>9} {:>11} {:>9} {:>9} {:>9} {:>9}",
        "sent", "answered", "goodput/s", "p50 ms", "p99 ms", "p99.9 ms", "max ms"
    )?;
    for (name, group) in groups {
        writeln!(
            f,
            "{name:<20} {:>9} {:>9} {:>11.1} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            group.sent,
            group.answered,
            group.goodput,
            group.p50_ms,
            group.p99_ms,
            group.p999_ms,
            group.max_ms
        )?;
    }
    Ok(())
}
