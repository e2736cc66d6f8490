//! Open-loop load generator, which checks the outcome of each request against the run logs of the
//! targets.
//!
//! Requests are scheduled independently of the responses, and latency is measured from the
//! scheduled time, so that a stall shows in the latency of every request that it delays. Each
//! request has a unique number, by which its runs in the stand-ins' logs are compared with the
//! outcome that its caller received.

pub mod call;
pub mod collect;
pub mod connections;
pub mod mix;
pub mod plot;
pub mod report;
pub mod settings;
pub mod verdict;

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time};

/// Time between two progress reports.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// Generates the load, waits until all requests have ended, and checks their outcomes.
///
/// `progress` is called about once per second.
pub async fn run(
    settings: settings::LoadSettings,
    progress: impl Fn(&collect::LoadProgress),
) -> report::LoadReport {
    let settings = Arc::new(settings);
    let collector = Arc::new(collect::LoadCollector::new(&settings));
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let client = Arc::new(call::LoadClient::new(Arc::clone(&settings)));
    let mut calls = JoinSet::new();
    let started = time::Instant::now();
    let mut planned = Duration::ZERO;
    let mut number = 0;
    let mut next_progress = PROGRESS_PERIOD;
    loop {
        planned += next_interval(&mut random, settings.rate);
        if planned >= settings.duration {
            break;
        }
        let kind = settings.mix.choose(random.random());
        time::sleep_until(started + planned).await;
        number += 1;
        let call = call::PlannedCall {
            number,
            kind,
            planned: started + planned,
        };
        let (client, task_collector) = (Arc::clone(&client), Arc::clone(&collector));
        calls.spawn(async move {
            let record = client.perform(call).await;
            task_collector.add(planned, record);
        });
        while let Some(ended) = calls.try_join_next() {
            ended.expect("a call neither panics nor is cancelled");
        }
        if started.elapsed() >= next_progress {
            next_progress += PROGRESS_PERIOD;
            progress(&collector.progress(number, started.elapsed()));
        }
    }
    while let Some(ended) = calls.join_next().await {
        ended.expect("a call neither panics nor is cancelled");
    }
    progress(&collector.progress(number, started.elapsed()));
    let logs = verdict::read_logs(&settings.stand_ins).await;
    let records = collector.records();
    let verdict = verdict::check(&settings, client.run_name(), &records, &logs);
    report::LoadReport::new(&settings, &collector, verdict)
}

/// Returns the time to the next request. It is exponentially distributed, as for arrivals from many
/// independent callers.
fn next_interval(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}
