//! A roll-out of a version of known quality, judged on seeded runs: arithmetic on one clock.
//!
//! Two versions of one service run the same mix of calls on machines of different speed, while
//! machines of both turn slow or fail and calls that runs make fail for all. What the judge and the
//! plan make of it is the outcome.

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::rollout::{cohort, plan, verdict};
use hazeltiller_units::ids;
use hazeltiller_wire::rollout as wire;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two looks of the judge.
const LOOK: Duration = Duration::from_millis(250);
/// Time from a decision until it is in force everywhere.
const CONVERGENCE: Duration = Duration::from_millis(500);
/// Speeds of machines.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Largest share of the calls on trial.
const TRIAL_SHARE: f64 = 0.06;
/// Groups that the new version's targets other than canaries are judged in.
const RESERVE_GROUPS: u64 = 4;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFault {
    /// Nothing.
    None,
    /// It fails.
    Errors,
    /// It is eight times as slow.
    Slow,
    /// It fails on one route.
    OneRoute,
    /// It fails some seconds after its start.
    Late,
    /// It fails at targets that have as many calls as an old one.
    UnderLoad,
}

/// A roll-out to play.
#[derive(Debug, Clone, Copy)]
pub struct RolloutScenario {
    /// Seed of everything random.
    pub seed: u64,
    /// What is wrong with the new version.
    pub fault: VersionFault,
    /// Share of its runs that show it.
    pub fault_share: f64,
    /// Targets of each version.
    pub targets: usize,
    /// Calls a second.
    pub rate: f64,
    /// Time from the order to its limit.
    pub within: Duration,
    /// Whether machines of both versions turn slow or fail, and calls of runs fail for all.
    pub has_disturbances: bool,
}

/// What became of it.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOutcome {
    /// Its last phase.
    pub phase: rollout::RolloutPhase,
    /// When it came to it, after the order.
    pub at: Duration,
    /// Runs of the service up to the limit, and those of them at the new version.
    pub runs: u64,
    /// Runs at the new version.
    pub new_version_runs: u64,
    /// Those of them with the fault.
    pub faulty_runs: u64,
}

/// A route of the mix.
#[derive(Debug, Clone, Copy)]
struct SceneRoute {
    name: &'static str,
    share: f64,
    mean_ms: f64,
    spread: f64,
}

const ROUTES: [SceneRoute; 2] = [
    SceneRoute {
        name: "lookup",
        share: 0.47,
        mean_ms: 160.0,
        spread: 0.8,
    },
    SceneRoute {
        name: "issue",
        share: 0.53,
        mean_ms: 210.0,
        spread: 0.5,
    },
];

/// A machine with its troubles.
#[derive(Debug, Clone, Copy)]
struct SceneMachine {
    speed: f64,
    fails: Option<(f64, f64)>,
    slows: Option<(f64, f64)>,
}

struct ScenePlay<'a> {
    scene: RolloutScenario,
    judge: &'a mut dyn verdict::VersionJudge,
    random: ChaCha8Rng,
    present: Vec<SceneMachine>,
    coming: Vec<SceneMachine>,
    /// Time in which calls that runs make fail.
    storm: Option<(f64, f64)>,
    names: [ids::EntryName; 2],
    outcome: RolloutOutcome,
}

/// Plays a scene before a judge.
pub fn simulate(scene: RolloutScenario, judge: &mut dyn verdict::VersionJudge) -> RolloutOutcome {
    let mut random = ChaCha8Rng::seed_from_u64(scene.seed);
    let mut machines = || -> Vec<SceneMachine> {
        let machine = |_| SceneMachine::draw(&scene, &mut random);
        (0..scene.targets).map(machine).collect()
    };
    let (present, coming) = (machines(), machines());
    let storm = draw_trouble(&scene, &mut random, 0.5);
    let outcome = RolloutOutcome {
        phase: rollout::RolloutPhase::Trial,
        at: Duration::ZERO,
        runs: 0,
        new_version_runs: 0,
        faulty_runs: 0,
    };
    let play = ScenePlay {
        scene,
        judge,
        random,
        present,
        coming,
        storm,
        names: ROUTES.map(|route| route.name.parse().expect("it is a name")),
        outcome,
    };
    play.run()
}

/// A span of some seconds within the scene, with a probability.
fn draw_trouble(
    scene: &RolloutScenario,
    random: &mut ChaCha8Rng,
    share: f64,
) -> Option<(f64, f64)> {
    let is_drawn = random.random_bool(share);
    let begin = random.random_range(0.0..scene.within.as_secs_f64());
    (scene.has_disturbances && is_drawn).then_some((begin, begin + 6.5))
}

fn holds(span: Option<(f64, f64)>, at: f64) -> bool {
    span.is_some_and(|(begin, end)| (begin..end).contains(&at))
}

impl SceneMachine {
    fn draw(scene: &RolloutScenario, random: &mut ChaCha8Rng) -> Self {
        Self {
            speed: SPEEDS[random.random_range(0..SPEEDS.len())],
            fails: draw_trouble(scene, random, 0.14),
            slows: draw_trouble(scene, random, 0.16),
        }
    }
}

impl ScenePlay<'_> {
    fn run(mut self) -> RolloutOutcome {
        let within = self.scene.within;
        let mut now = Duration::ZERO;
        let mut phase = rollout::RolloutPhase::Trial;
        let mut in_force = (phase, Duration::ZERO);
        let mut share = 0.0;
        let mut observed = plan::ObservedRuns::default();
        while now < within {
            now += LOOK;
            let is_in_force = now >= in_force.1 + CONVERGENCE;
            if is_in_force {
                share = self.share(in_force.0);
            }
            let window = self.window(now, share, in_force.0);
            if !phase.is_running() {
                continue;
            }
            self.judge
                .observe(&window, &|route| route.as_str() == "issue");
            observed.record(&window);
            let situation = plan::RolloutSituation {
                phase,
                share,
                within,
                elapsed: Some(now),
                time_in_phase: now.saturating_sub(in_force.1),
                finding: self.judge.finding(),
                observed,
                slots: cohort::SlotCount {
                    old: self.scene.targets as u32,
                    new: self.scene.targets as u32,
                },
                known_nodes: 2 * self.scene.targets,
                nodes_behind: usize::from(!is_in_force),
                old_in_flight: 0,
            };
            if let Some(step) = plan::next_step(&situation) {
                phase = step.phase;
                in_force = (phase, now);
                (self.outcome.phase, self.outcome.at) = (phase, now);
            }
        }
        self.outcome
    }

    /// Share of the calls that the new version gets in a phase.
    fn share(&self, phase: rollout::RolloutPhase) -> f64 {
        let targets = self.scene.targets as f64;
        let canaries = cohort::canary_count(self.scene.targets) as f64;
        match phase {
            rollout::RolloutPhase::Trial => {
                let most = canaries / (targets + canaries) / cohort::CANARY_TRIAL_SHARE;
                most.min(TRIAL_SHARE)
            }
            rollout::RolloutPhase::Widening => 0.3,
            rollout::RolloutPhase::Switched | rollout::RolloutPhase::Succeeded => 1.0,
            rollout::RolloutPhase::RolledBack => 0.0,
        }
    }

    /// Runs of one look.
    fn window(
        &mut self,
        now: Duration,
        share: f64,
        phase: rollout::RolloutPhase,
    ) -> verdict::RunWindow {
        let mut window = verdict::RunWindow {
            span: LOOK,
            canaries: cohort::canary_count(self.scene.targets),
            ..verdict::RunWindow::default()
        };
        let calls = self.scene.rate * LOOK.as_secs_f64();
        let calls = calls.floor() as u64 + u64::from(self.random.random_bool(calls.fract()));
        let canaries = cohort::canary_count(self.scene.targets);
        let is_trial = phase == rollout::RolloutPhase::Trial;
        for _ in 0..calls {
            let is_first = self.random.random_bool(ROUTES[0].share);
            let place_of_route = usize::from(!is_first);
            let route = ROUTES[place_of_route];
            let is_new = self.random.random_bool(share);
            let place = if is_new && is_trial && self.random.random_bool(cohort::CANARY_TRIAL_SHARE)
            {
                self.random.random_range(0..canaries)
            } else {
                self.random.random_range(0..self.scene.targets)
            };
            let is_canary = is_new && place < canaries;
            let counts = self.one_run(now.as_secs_f64(), route, is_new.then_some(is_canary), place);
            let name = &self.names[place_of_route];
            self.outcome.runs += 1;
            if is_new {
                self.outcome.new_version_runs += 1;
                let group = if is_canary {
                    place as u64
                } else {
                    canaries as u64 + place as u64 % RESERVE_GROUPS
                };
                window.record_new_version(group, name, &counts);
            } else {
                window.record_baseline(name, &counts);
            }
        }
        window
    }

    /// A run at a machine; `is_canary` is there for one of the new version.
    fn one_run(
        &mut self,
        at: f64,
        route: SceneRoute,
        is_canary: Option<bool>,
        place: usize,
    ) -> verdict::RunCounts {
        let machine = match is_canary {
            Some(_) => self.coming[place],
            None => self.present[place],
        };
        let is_bad = is_canary.is_some_and(|is_canary| self.shows_fault(at, route, is_canary));
        self.outcome.faulty_runs += u64::from(is_bad);
        let is_slow = is_bad && self.scene.fault == VersionFault::Slow;
        let has_failed = is_bad && !is_slow
            || holds(machine.fails, at) && self.random.random_bool(0.4)
            || route.name == "lookup" && holds(self.storm, at) && self.random.random_bool(0.3);
        let mut millis = route.mean_ms / machine.speed * self.log_normal(route.spread);
        if is_slow {
            millis *= 8.0;
        }
        if holds(machine.slows, at) {
            millis *= 5.0;
        }
        let mut counts = verdict::RunCounts {
            answered: 1.0,
            failed: f64::from(u8::from(has_failed)),
            ..verdict::RunCounts::default()
        };
        counts.times[wire::latency_bucket(Duration::from_secs_f64(millis / 1e3))] = 1.0;
        counts
    }

    fn shows_fault(&mut self, at: f64, route: SceneRoute, is_canary: bool) -> bool {
        let can_show = match self.scene.fault {
            VersionFault::None => false,
            VersionFault::Errors | VersionFault::Slow => true,
            VersionFault::OneRoute => route.name == "issue",
            VersionFault::Late => at >= 3.0,
            VersionFault::UnderLoad => is_canary,
        };
        can_show && self.random.random_bool(self.scene.fault_share)
    }

    /// A factor of mean one.
    fn log_normal(&mut self, spread: f64) -> f64 {
        // The sum of twelve uniform draws is close enough to normal.
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        (normal * spread - spread * spread / 2.0).exp()
    }
}
