//! A control of the soak that is out of touch with the others, beside bursts of changes.

use std::time::{Duration, Instant};

use hazeltiller_testkit::{proxy, wait};
use rand::RngExt;
use tokio::time;

use super::{CONTROLS, NODES, SoakRun, late};

/// Time for which a control is out of touch, while other faults go on.
const OUT_OF_TOUCH_TIME: Duration = Duration::from_secs(12);
const BURSTS: usize = 4;

impl SoakRun {
    /// Separates a control from the others, which the nodes below it still reach, and sends bursts of
    /// changes to another one. Each accepted change comes into force on every node.
    pub(super) async fn lose_touch(&mut self) {
        if Instant::now() < self.out_of_touch_until {
            return;
        }
        let index = self.trouble_random.random_range(0..CONTROLS.len());
        let rule = if self.trouble_random.random_bool(0.5) {
            proxy::FaultRule::Cut
        } else {
            proxy::FaultRule::Silent
        };
        self.separate(index, rule);
        let control = CONTROLS[(index + 1) % CONTROLS.len()];
        for _ in 0..BURSTS {
            let unanswered = self.send_burst(control, &late::SMALL_BURST).await;
            self.settle(control, &unanswered).await;
            let accepted_at = Instant::now();
            self.fleet.wait_version(&NODES, self.accepted_version).await;
            println!(
                "version {} in force on all nodes after {} ms, {} out of touch",
                self.accepted_version,
                accepted_at.elapsed().as_millis(),
                CONTROLS[index]
            );
            let pause = Duration::from_millis(self.trouble_random.random_range(50..900));
            time::sleep(pause).await;
        }
    }

    /// Separates a control from the others for a time.
    fn separate(&mut self, index: usize, rule: proxy::FaultRule) {
        self.out_of_touch_until = Instant::now() + OUT_OF_TOUCH_TIME;
        let proxies = CONTROLS.map(|name| self.fleet.instance(name).proxy.clone());
        let set_rules = move |rule| {
            for other in (0..proxies.len()).filter(|other| *other != index) {
                proxies[index].set_source(proxies[other].address.ip(), rule);
                proxies[other].set_source(proxies[index].address.ip(), rule);
            }
        };
        set_rules(rule);
        tokio::spawn(async move {
            time::sleep(OUT_OF_TOUCH_TIME).await;
            set_rules(proxy::FaultRule::Pass);
        });
    }

    /// Waits until all processes have the last acknowledged change in force, by the same history.
    pub(super) async fn wait_for_same_version(&self) {
        let all: Vec<&str> = CONTROLS.iter().chain(&NODES).copied().collect();
        wait::until("the same version on all processes", || async {
            let mut held = Vec::new();
            for name in &all {
                let status = self.fleet.read(name, "/v1/status").await?;
                held.push((
                    status["catalogue_version"].as_u64()?,
                    status["digest"].clone(),
                ));
            }
            let is_accepted = held[0].0 >= self.accepted_version;
            (is_accepted && held.iter().all(|it| *it == held[0])).then_some(())
        })
        .await;
    }
}
