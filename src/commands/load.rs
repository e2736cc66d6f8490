//! `hazeltiller load`: sends requests at a given rate and checks their outcomes against the logs of
//! the targets.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use hazeltiller_standin::load::{self, call, collect, mix, report, settings};
use hazeltiller_units::code;

use crate::session;

/// Send requests at a given rate and check their outcomes against the targets' logs
#[derive(Debug, Clone, Bpaf)]
pub struct LoadCommand {
    /// Callers listener of a node; several are used in turn
    #[bpaf(argument("IP:PORT"), some("at least one --node IP:PORT is needed"))]
    node: Vec<SocketAddr>,
    /// File with the kinds of requests, JSON with comments; see docs/operators/seeing.md
    #[bpaf(argument("FILE"))]
    mix: Option<PathBuf>,
    /// Path of the GET requests if there is no --mix; {n} is replaced by the number of the request
    #[bpaf(argument("PATH"), fallback("/".into()))]
    path: String,
    /// Requests per second
    #[bpaf(argument("RATE"), fallback(100.0))]
    rate: f64,
    /// Time during which requests are started, in seconds
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    seconds: f64,
    /// Seed of the random number generator
    #[bpaf(argument("NUMBER"), fallback(0))]
    seed: u64,
    /// Highest number of sends of a request that may safely be resent
    #[bpaf(argument("COUNT"), fallback(3))]
    sends: u32,
    /// Timeout of one send, in milliseconds
    #[bpaf(argument("MS"), fallback(10_000))]
    timeout_ms: u64,
    /// Stand-in whose log the outcomes are checked against; repeatable
    #[bpaf(argument("IP:PORT"), many)]
    stand_in: Vec<SocketAddr>,
    /// SVG file to which a plot of latency and goodput is written
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Output format: text or json
    #[bpaf(argument("FORM"), fallback(session::OutputFormat::Text))]
    output: session::OutputFormat,
    /// Print no progress
    quiet: bool,
}

impl LoadCommand {
    /// Runs the command. The exit code is 1 if the log of a stand-in could not be read, or if
    /// the verdict counts a faulty request.
    pub async fn execute(self) -> ExitCode {
        let report = match self.run().await {
            Ok(report) => report,
            Err(error) => return session::finish(Err(error)),
        };
        match self.output {
            session::OutputFormat::Text => print!("{report}"),
            session::OutputFormat::Json => {
                let text = serde_json::to_string(&report).expect("a report has only text keys");
                println!("{text}");
            }
        }
        if report.verdict.is_clean() {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(session::EXIT_REFUSED)
        }
    }

    async fn run(&self) -> Result<report::LoadReport, session::CommandError> {
        let mix = self.read_mix()?;
        let is_positive = |number: f64| number.is_finite() && number > 0.0;
        if !is_positive(self.rate) || !is_positive(self.seconds) {
            return Err(usage_error(
                "--rate and --seconds must be greater than 0".into(),
            ));
        }
        let settings = settings::LoadSettings::builder(self.node.clone(), mix)
            .rate(self.rate)
            .duration(Duration::from_secs_f64(self.seconds))
            .seed(self.seed)
            .sends(self.sends)
            .timeout(Duration::from_millis(self.timeout_ms))
            .stand_ins(self.stand_in.clone())
            .build();
        let report = load::run(settings, |progress| self.print_progress(progress)).await;
        if let Some(path) = &self.plot {
            let written = report.series.write(path);
            written.map_err(|error| usage_error(format!("{}: {error}", path.display())))?;
        }
        Ok(report)
    }

    fn print_progress(&self, progress: &collect::LoadProgress) {
        if !self.quiet {
            eprintln!(
                "{:>6.1} s: {} started, {} answered, {} not answered",
                progress.elapsed.as_secs_f64(),
                progress.started,
                progress.answered,
                progress.not_answered
            );
        }
    }

    fn read_mix(&self) -> Result<mix::LoadMix, session::CommandError> {
        let mix = match &self.mix {
            None => mix::LoadMix::new(vec![mix::RequestKind::get(&self.path)])
                .expect("the only kind has a weight"),
            Some(path) => {
                let invalid =
                    |message: String| usage_error(format!("{}: {message}", path.display()));
                let text =
                    std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
                mix::LoadMix::parse(&text).map_err(|error| invalid(error.to_string()))?
            }
        };
        match mix.kinds().iter().find(|kind| !call::is_valid(kind)) {
            None => Ok(mix),
            Some(kind) => Err(usage_error(format!(
                "kind {}: invalid method, path or host",
                kind.name
            ))),
        }
    }
}

fn usage_error(message: String) -> session::CommandError {
    session::CommandError::new(
        code::ResultCode::UsageInvalid,
        message,
        session::EXIT_INVALID,
    )
}
