//! `hazeltiller demo`: runs a fleet in one process under load, with a change of the catalogue, a
//! draining target and a crashing one.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use hazeltiller_units::code;
use tokio::time;

use crate::{
    demo::{fleet, report, traffic},
    session,
};

/// Run a small fleet in one process and report the outcome of the requests sent to it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DemoCommand {
    /// Keep the fleet running afterwards, and print its addresses and commands to try
    stay: bool,
    /// Output format: text or json
    #[bpaf(argument("FORM"), fallback(session::OutputFormat::Text))]
    output: session::OutputFormat,
}

/// Time under load before, between and after the events of the demo.
const STEP_DURATION: Duration = Duration::from_millis(700);
/// Time until the crashed target restarts.
const CRASH_DOWNTIME: Duration = Duration::from_millis(300);

impl DemoCommand {
    /// Runs the command.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.run().await)
    }

    async fn run(self) -> Result<(), session::CommandError> {
        let failed = |error: fleet::DemoError| {
            let code = code::ResultCode::DemoFailed;
            session::CommandError::new(code, error.to_string(), session::EXIT_REFUSED)
        };
        let fleet = fleet::DemoFleet::start().await.map_err(failed)?;
        let report = self.run_scenario(&fleet).await.map_err(failed)?;
        match self.output {
            session::OutputFormat::Text => print!("{report}"),
            session::OutputFormat::Json => {
                println!(
                    "{}",
                    serde_json::to_string(&report).expect("the report has only text keys")
                );
            }
        }
        if self.stay {
            print_hints(&fleet);
            drop(tokio::signal::ctrl_c().await);
        }
        if report.is_clean() {
            return Ok(());
        }
        let message = "requests were lost or ran twice".into();
        let code = code::ResultCode::DemoFailed;
        Err(session::CommandError::new(
            code,
            message,
            session::EXIT_REFUSED,
        ))
    }

    async fn run_scenario(
        &self,
        fleet: &fleet::DemoFleet,
    ) -> Result<report::DemoReport, fleet::DemoError> {
        let initial = fleet.apply_catalogue().await?;
        self.print_progress(&format!(
            "the Register's catalogue is in force on 4 nodes after {initial:.1?}"
        ));
        fleet.wait_targets().await?;
        let traffic = traffic::DemoTraffic::start(&fleet.callers());
        time::sleep(STEP_DURATION).await;
        let convergence = fleet.change_route().await?;
        self.print_progress(&format!(
            "a route was changed under load; in force on all nodes after {convergence:.1?}"
        ));
        time::sleep(STEP_DURATION).await;
        fleet.targets[0].drain().await;
        self.print_progress("one target is draining");
        time::sleep(STEP_DURATION).await;
        fleet.targets[1].crash(CRASH_DOWNTIME);
        self.print_progress("another target crashed");
        time::sleep(STEP_DURATION).await;
        let requests = traffic.stop().await;
        let mut report = report::DemoReport::count(&requests, &fleet.targets);
        report.convergence_ms = convergence.as_millis() as u64;
        report.control_bytes = fleet.control_bytes();
        Ok(report)
    }

    fn print_progress(&self, line: &str) {
        if self.output == session::OutputFormat::Text {
            println!("{line}");
        }
    }
}

fn print_hints(fleet: &fleet::DemoFleet) {
    println!("\nthe fleet runs until you interrupt it:");
    println!("control  {}", fleet.control.addresses);
    for node in &fleet.nodes {
        println!("node     {}", node.addresses);
    }
    if let Some(callers) = fleet.callers().first() {
        println!("\ntry:");
        println!("  curl -i http://{callers}/vehicles/BV-01-ABC");
        println!("  curl -i -X POST -H 'idempotency-key: one' http://{callers}/certificates/7");
    }
    println!(
        "  curl http://{}/v1/status",
        fleet.control.addresses.operators
    );
}
