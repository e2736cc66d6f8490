//! `hazeltiller stand-in`: runs a stand-in target for tests and trials.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use hazeltiller_standin::{behaviour, settings, target};
use hazeltiller_units::{code, ids, jsonc};

use crate::session;

/// Run a stand-in target, which announces itself to a node and logs each run
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StandInCommand {
    /// Target listener of the node
    #[bpaf(argument("IP:PORT"))]
    node: SocketAddr,
    /// Name of the target
    #[bpaf(argument("NAME"))]
    name: ids::TargetName,
    /// Service of the target
    #[bpaf(argument("NAME"))]
    service: ids::EntryName,
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Highest number of concurrent requests
    #[bpaf(argument("COUNT"), fallback(10))]
    slots: u32,
    /// Highest number of connections
    #[bpaf(argument("COUNT"), fallback(130))]
    connections: u32,
    /// Software version to announce
    #[bpaf(argument("VERSION"))]
    version: Option<ids::SoftwareVersion>,
    /// Latency of the responses, in milliseconds
    #[bpaf(argument("MS"), fallback(1))]
    latency_ms: u64,
    /// File with the scripted behaviour, JSON with comments; see docs/operators/seeing.md
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
        // No cleanup is needed, even if the signal handler fails: the announcement's lease expires.
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
