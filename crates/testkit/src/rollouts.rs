//! Simulated rollouts of versions of known quality, in virtual time from a seed.
//!
//! Two versions of one service run the same mix of calls on machines of different speeds. As
//! disturbances, machines of both versions become slow or fail for a time, and the calls that runs
//! make fail for both versions. The simulation feeds the runs to the judge under test and follows
//! the steps of the rollout plan.

use std::time::Duration;

use hazeltiller_catalogue::rollout;
use hazeltiller_engine::rollout::{cohort, plan, verdict};
use hazeltiller_units::ids;
use hazeltiller_wire::rollout as wire;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two evaluations of the judge.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);
/// Time from a decision until it is in force on all nodes.
const CONVERGENCE_TIME: Duration = Duration::from_millis(500);
/// Relative speeds of machines.
const MACHINE_SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Maximum share of calls that go to the new version during the trial.
const MAX_TRIAL_SHARE: f64 = 0.06;
/// Number of groups in which the new version's targets are judged, apart from the canaries.
const NON_CANARY_GROUPS: u64 = 4;

/// Fault of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFault {
    /// No fault.
    None,
    /// Its runs fail.
    Errors,
    /// Its runs take eight times as long.
    Slow,
    /// Its runs fail on one route.
    OneRoute,
    /// Its runs fail from 3 s after the order.
    Late,
    /// Its runs fail on canaries, which receive as many calls as a target of the old version.
    UnderLoad,
}

/// Settings of a simulated rollout.
#[derive(Debug, Clone, Copy)]
pub struct RolloutScenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Fault of the new version.
    pub fault: VersionFault,
    /// Probability that a run which can show the fault does so.
    pub fault_share: f64,
    /// Number of targets of each version.
    pub targets: usize,
    /// Calls per second.
    pub rate: f64,
    /// Time limit of the rollout.
    pub within: Duration,
    /// Whether machines of both versions become slow or fail, and calls of runs fail, for a time.
    pub has_disturbances: bool,
}

/// Outcome of a simulated rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOutcome {
    /// Last phase.
    pub phase: rollout::RolloutPhase,
    /// Time from the order to the start of the last phase.
    pub at: Duration,
    /// Number of runs of both versions within the time limit.
    pub runs: u64,
    /// Number of runs of the new version.
    pub new_version_runs: u64,
    /// Number of runs of the new version that show its fault.
    pub faulty_runs: u64,
}

/// Route of the mix of calls.
#[derive(Debug, Clone, Copy)]
struct SimulatedRoute {
    name: &'static str,
    /// Share of all calls.
    share: f64,
    /// Mean run time on a machine of speed 1.
    mean_ms: f64,
    /// Standard deviation of the logarithm of the run time.
    sigma: f64,
}

const ROUTES: [SimulatedRoute; 2] = [
    SimulatedRoute {
        name: "lookup",
        share: 0.47,
        mean_ms: 160.0,
        sigma: 0.8,
    },
    SimulatedRoute {
        name: "issue",
        share: 0.53,
        mean_ms: 210.0,
        sigma: 0.5,
    },
];

/// Machine with its disturbances, as spans in seconds after the order.
#[derive(Debug, Clone, Copy)]
struct SimulatedMachine {
    /// Divisor of the run times; see [`MACHINE_SPEEDS`].
    speed: f64,
    /// Span in which 40% of the runs fail.
    failing: Option<(f64, f64)>,
    /// Span in which runs take five times as long.
    slow: Option<(f64, f64)>,
}

struct RolloutSimulation<'a> {
    scenario: RolloutScenario,
    judge: &'a mut dyn verdict::VersionJudge,
    random: ChaCha8Rng,
    old_machines: Vec<SimulatedMachine>,
    new_machines: Vec<SimulatedMachine>,
    /// Span in which calls that runs make fail, in seconds after the order.
    dependency_outage: Option<(f64, f64)>,
    route_names: [ids::EntryName; 2],
    outcome: RolloutOutcome,
}

/// Simulates a rollout with a judge.
pub fn simulate(
    scenario: RolloutScenario,
    judge: &mut dyn verdict::VersionJudge,
) -> RolloutOutcome {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut machines = || -> Vec<SimulatedMachine> {
        let machine = |_| SimulatedMachine::draw(&scenario, &mut random);
        (0..scenario.targets).map(machine).collect()
    };
    let (old_machines, new_machines) = (machines(), machines());
    let dependency_outage = draw_disturbance(&scenario, &mut random, 0.5);
    let outcome = RolloutOutcome {
        phase: rollout::RolloutPhase::Trial,
        at: Duration::ZERO,
        runs: 0,
        new_version_runs: 0,
        faulty_runs: 0,
    };
    let simulation = RolloutSimulation {
        scenario,
        judge,
        random,
        old_machines,
        new_machines,
        dependency_outage,
        route_names: ROUTES.map(|route| route.name.parse().expect("the name is valid")),
        outcome,
    };
    simulation.run()
}

/// Draws the span of a disturbance, in seconds, with a probability.
fn draw_disturbance(
    scenario: &RolloutScenario,
    random: &mut ChaCha8Rng,
    probability: f64,
) -> Option<(f64, f64)> {
    let is_drawn = random.random_bool(probability);
    let begin = random.random_range(0.0..scenario.within.as_secs_f64());
    (scenario.has_disturbances && is_drawn).then_some((begin, begin + 6.5))
}

fn contains(span: Option<(f64, f64)>, at: f64) -> bool {
    span.is_some_and(|(begin, end)| (begin..end).contains(&at))
}

impl SimulatedMachine {
    fn draw(scenario: &RolloutScenario, random: &mut ChaCha8Rng) -> Self {
        Self {
            speed: MACHINE_SPEEDS[random.random_range(0..MACHINE_SPEEDS.len())],
            failing: draw_disturbance(scenario, random, 0.14),
            slow: draw_disturbance(scenario, random, 0.16),
        }
    }
}

impl RolloutSimulation<'_> {
    fn run(mut self) -> RolloutOutcome {
        let within = self.scenario.within;
        let mut now = Duration::ZERO;
        let mut phase = rollout::RolloutPhase::Trial;
        let mut last_step = (phase, Duration::ZERO);
        let mut share = 0.0;
        let mut observed = plan::ObservedRuns::default();
        while now < within {
            now += EVALUATION_PERIOD;
            let is_in_force = now >= last_step.1 + CONVERGENCE_TIME;
            if is_in_force {
                share = self.share(last_step.0);
            }
            let window = self.window(now, share, last_step.0);
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
                time_in_phase: now.saturating_sub(last_step.1),
                finding: self.judge.finding(),
                observed,
                slots: cohort::SlotCount {
                    old: self.scenario.targets as u32,
                    new: self.scenario.targets as u32,
                },
                known_nodes: 2 * self.scenario.targets,
                nodes_behind: usize::from(!is_in_force),
                old_in_flight: 0,
            };
            if let Some(step) = plan::next_step(&situation) {
                phase = step.phase;
                last_step = (phase, now);
                (self.outcome.phase, self.outcome.at) = (phase, now);
            }
        }
        self.outcome
    }

    /// Returns the share of calls that go to the new version in a phase.
    fn share(&self, phase: rollout::RolloutPhase) -> f64 {
        let targets = self.scenario.targets as f64;
        let canaries = cohort::canary_count(self.scenario.targets) as f64;
        match phase {
            rollout::RolloutPhase::Trial => {
                let canary_share = canaries / (targets + canaries) / cohort::CANARY_TRIAL_SHARE;
                canary_share.min(MAX_TRIAL_SHARE)
            }
            rollout::RolloutPhase::Widening => 0.3,
            rollout::RolloutPhase::Switched | rollout::RolloutPhase::Succeeded => 1.0,
            rollout::RolloutPhase::RolledBack => 0.0,
        }
    }

    /// Returns the runs of one evaluation period.
    fn window(
        &mut self,
        now: Duration,
        share: f64,
        phase: rollout::RolloutPhase,
    ) -> verdict::RunWindow {
        let mut window = verdict::RunWindow {
            span: EVALUATION_PERIOD,
            canaries: cohort::canary_count(self.scenario.targets),
            ..verdict::RunWindow::default()
        };
        let calls = self.scenario.rate * EVALUATION_PERIOD.as_secs_f64();
        let calls = calls.floor() as u64 + u64::from(self.random.random_bool(calls.fract()));
        let canaries = cohort::canary_count(self.scenario.targets);
        let is_trial = phase == rollout::RolloutPhase::Trial;
        for _ in 0..calls {
            let is_first = self.random.random_bool(ROUTES[0].share);
            let route_index = usize::from(!is_first);
            let route = ROUTES[route_index];
            let is_new = self.random.random_bool(share);
            let target_index =
                if is_new && is_trial && self.random.random_bool(cohort::CANARY_TRIAL_SHARE) {
                    self.random.random_range(0..canaries)
                } else {
                    self.random.random_range(0..self.scenario.targets)
                };
            let is_canary = is_new && target_index < canaries;
            let counts = self.simulate_run(
                now.as_secs_f64(),
                route,
                is_new.then_some(is_canary),
                target_index,
            );
            let name = &self.route_names[route_index];
            self.outcome.runs += 1;
            if is_new {
                self.outcome.new_version_runs += 1;
                let group = if is_canary {
                    target_index as u64
                } else {
                    canaries as u64 + target_index as u64 % NON_CANARY_GROUPS
                };
                window.record_new_version(group, name, &counts);
            } else {
                window.record_baseline(name, &counts);
            }
        }
        window
    }

    /// Simulates a run on a machine. `is_canary` is `None` for the old version.
    fn simulate_run(
        &mut self,
        at: f64,
        route: SimulatedRoute,
        is_canary: Option<bool>,
        target_index: usize,
    ) -> verdict::RunCounts {
        let machine = match is_canary {
            Some(_) => self.new_machines[target_index],
            None => self.old_machines[target_index],
        };
        let is_faulty = is_canary.is_some_and(|is_canary| self.shows_fault(at, route, is_canary));
        self.outcome.faulty_runs += u64::from(is_faulty);
        let is_slow = is_faulty && self.scenario.fault == VersionFault::Slow;
        let has_failed = is_faulty && !is_slow
            || contains(machine.failing, at) && self.random.random_bool(0.4)
            || route.name == "lookup"
                && contains(self.dependency_outage, at)
                && self.random.random_bool(0.3);
        let mut run_ms = route.mean_ms / machine.speed * self.log_normal(route.sigma);
        if is_slow {
            run_ms *= 8.0;
        }
        if contains(machine.slow, at) {
            run_ms *= 5.0;
        }
        let mut counts = verdict::RunCounts {
            answered: 1.0,
            failed: f64::from(u8::from(has_failed)),
            ..verdict::RunCounts::default()
        };
        counts.times[wire::latency_bucket(Duration::from_secs_f64(run_ms / 1e3))] = 1.0;
        counts
    }

    fn shows_fault(&mut self, at: f64, route: SimulatedRoute, is_canary: bool) -> bool {
        let can_show = match self.scenario.fault {
            VersionFault::None => false,
            VersionFault::Errors | VersionFault::Slow => true,
            VersionFault::OneRoute => route.name == "issue",
            VersionFault::Late => at >= 3.0,
            VersionFault::UnderLoad => is_canary,
        };
        can_show && self.random.random_bool(self.scenario.fault_share)
    }

    /// Returns a log-normally distributed factor with mean 1.
    fn log_normal(&mut self, sigma: f64) -> f64 {
        // The sum of twelve uniform variables approximates a normal variable of variance 1.
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        (normal * sigma - sigma * sigma / 2.0).exp()
    }
}
