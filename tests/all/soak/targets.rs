//! Targets of the soak in trouble: most of them decline, or some send bytes without end.

use hazeltiller_standin::{behaviour, endless};
use rand::RngExt;

use super::{NODES, SoakRun};

/// Places of bytes without end in which the caller gets no complete response.
const ENDLESS_PLACES: [endless::EndlessPlace; 10] = [
    endless::EndlessPlace::Accept,
    endless::EndlessPlace::Garbage,
    endless::EndlessPlace::Head,
    endless::EndlessPlace::Interim,
    endless::EndlessPlace::DeclinedChunks,
    endless::EndlessPlace::DeclinedBody,
    endless::EndlessPlace::DeclinedSurplus,
    endless::EndlessPlace::DeclinedCopies,
    endless::EndlessPlace::ChunkExtension,
    endless::EndlessPlace::Trailers,
];

impl SoakRun {
    pub(super) async fn inject_trouble(&mut self) {
        self.end_endless();
        let trouble = self.trouble_random.random_range(0..12);
        println!("trouble {trouble}");
        match trouble {
            0 | 1 => self.decline_most().await,
            2 | 3 => self.send_endless(),
            4 => self.lose_touch().await,
            _ => {}
        }
    }

    /// Adds targets and makes all but one decline a third to a half of their requests, and all repeat
    /// most of their responses late, until the end of the faults.
    async fn decline_most(&mut self) {
        for node in NODES {
            self.add_target(node).await;
        }
        let last = self.targets.len() - 1;
        for (index, target) in self.targets.iter().enumerate() {
            let declined_interval = self.trouble_random.random_range(2..=3);
            target.set_behaviour(behaviour::StandInBehaviour {
                declined_interval: if index < last { declined_interval } else { 0 },
                is_decline_repeated: true,
                repeated_interval: self.trouble_random.random_range(1..=2),
                ..target.behaviour()
            });
        }
    }

    /// Makes some targets send bytes without end, until the next trouble.
    fn send_endless(&mut self) {
        for _ in 0..self.trouble_random.random_range(1..=3) {
            let target = &self.targets[self.trouble_random.random_range(0..self.targets.len())];
            let place = ENDLESS_PLACES[self.trouble_random.random_range(0..ENDLESS_PLACES.len())];
            let script = endless::EndlessScript {
                place,
                interval: self.trouble_random.random_range(1..=5),
                is_at_probes: self.trouble_random.random_bool(0.5),
                piece_bytes: 0,
                piece_pause_ms: 0,
            };
            println!("{} sends without end: {script:?}", target.settings().name);
            target.set_behaviour(behaviour::StandInBehaviour {
                endless: Some(script),
                ..target.behaviour()
            });
        }
    }

    pub(super) fn end_endless(&self) {
        for target in &self.targets {
            target.set_behaviour(behaviour::StandInBehaviour {
                endless: None,
                ..target.behaviour()
            });
        }
    }
}
