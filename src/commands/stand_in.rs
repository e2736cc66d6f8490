//! `hazeltiller stand-in`: a target to try things with.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_standin::{behaviour, settings, target};
use hazeltiller_units::{code, ids, jsonc};

use crate::session;

/// Run a stand-in target, which announces itself to a node and logs each run
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StandInCommand {
    /// Target listener of its node
    #[bpaf(argument("IP:PORT"))]
    node: SocketAddr,
    /// Its name
    #[bpaf(argument("NAME"))]
    name: ids::TargetName,
    /// Its service
    #[bpaf(argument("NAME"))]
    service: ids::EntryName,
    /// Address that it listens on
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Requests that it runs at once
    #[bpaf(argument("COUNT"), fallback(10))]
    slots: u32,
    /// Connections that it takes
    #[bpaf(argument("COUNT"), fallback(130))]
    connections: u32,
    /// Version of its software that it tells
    #[bpaf(argument("VERSION"))]
    version: Option<ids::SoftwareVersion>,
    /// Time that each answer takes, in milliseconds
    #[bpaf(argument("MS"), fallback(1))]
    latency_ms: u64,
    /// File in JSON with comments that says how it behaves; see docs/operators/seeing.md
    #[bpaf(argument("FILE"))]
    behaviour: Option<PathBuf>,
}

impl StandInCommand {
    /// Runs the command until it is interrupted.
    pub async fn execute(self) -> ExitCode {
        session::finish(self.run().await)
    }

    async fn run(self) -> Result<(), session::CommandError> {
        let listen = self.listen;
        let behaviour = self.read_behaviour()?;
        let settings = settings::StandInSettings::builder(self.name, self.service, self.node)
            .listen(listen)
            .slots(self.slots)
            .connections(self.connections)
            .version(self.version)
            .behaviour(behaviour)
            .build();
        let started = target::StandInTarget::start(settings).await;
        let target = started.map_err(|error| {
            let code = code::ResultCode::ListenFailed;
            session::CommandError::new(code, format!("{listen}: {error}"), session::EXIT_INVALID)
        })?;
        println!("ready address={}", target.address);
        // Interrupted or not, there is nothing to undo: its lease lapses.
        drop(tokio::signal::ctrl_c().await);
        Ok(())
    }

    fn read_behaviour(&self) -> Result<behaviour::StandInBehaviour, session::CommandError> {
        let Some(path) = &self.behaviour else {
            return Ok(behaviour::StandInBehaviour {
                latency_ms: self.latency_ms,
                ..behaviour::StandInBehaviour::default()
            });
        };
        let text = session::read_file(path)?;
        jsonc::parse_jsonc(&text).map_err(|error| session::file_error(path, &error.to_string()))
    }
}
