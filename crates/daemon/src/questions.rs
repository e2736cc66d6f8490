//! JSON-RPC requests from controls to their leader. Followers forward the changes that they
//! receive.
//!
//! Each request uses a connection of its own and is never retried: once it may have reached the
//! leader, the outcome of a request without an answer is unknown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hazeltiller_catalogue::change;
use hazeltiller_engine::replication;
use hazeltiller_units::{code, ids, time as unit_time};
use hazeltiller_wire::{codec, handshake as wire};
use jsonrpsee::{
    RpcModule,
    core::{
        RpcResult, async_trait,
        client::{ClientBuilder, ReceivedMessage, TransportReceiverT, TransportSenderT},
    },
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

use crate::{links, process};

/// A change that one control forwards to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedChange {
    /// Author of the change.
    pub author: replication::ChangeAuthor,
    /// Request of the operator.
    pub request: change::ChangeRequest,
}

impl ForwardedChange {
    /// Converts the change into a proposal with the current time.
    pub fn into_proposal(self) -> replication::ChangeProposal {
        replication::ChangeProposal {
            number: replication::ProposalNumber(0),
            author: self.author,
            content: change::content_digest(&self.request),
            request: self.request,
            at_ms: unit_time::WallTime::now().0,
        }
    }
}

/// Requests that the leader of the control group serves.
#[rpc(client, server, namespace = "control")]
pub trait LeaderRpc {
    /// Proposes a change.
    #[method(name = "propose")]
    async fn propose(&self, change: ForwardedChange) -> RpcResult<replication::ProposalAnswer>;

    /// Returns the current revision.
    #[method(name = "revision")]
    async fn revision(&self) -> RpcResult<replication::ProposalAnswer>;

    /// Changes the voters.
    #[method(name = "change_group")]
    async fn change_group(
        &self,
        change: replication::GroupChange,
    ) -> RpcResult<replication::ProposalAnswer>;
}

struct RpcHandler {
    context: Arc<process::ProcessContext>,
}

#[async_trait]
impl LeaderRpcServer for RpcHandler {
    async fn propose(&self, change: ForwardedChange) -> RpcResult<replication::ProposalAnswer> {
        let proposal = change.into_proposal();
        Ok(refuse_referral(self.context.engine.propose(proposal).await))
    }

    async fn revision(&self) -> RpcResult<replication::ProposalAnswer> {
        Ok(refuse_referral(self.context.engine.read_revision().await))
    }

    async fn change_group(
        &self,
        change: replication::GroupChange,
    ) -> RpcResult<replication::ProposalAnswer> {
        Ok(refuse_referral(
            self.context.engine.change_group(change).await,
        ))
    }
}

/// Replaces a referral to another leader by a refusal. A request is forwarded only once: if the
/// leader has changed since it was forwarded, the operator has to retry.
fn refuse_referral(answer: replication::ProposalAnswer) -> replication::ProposalAnswer {
    match answer {
        replication::ProposalAnswer::Elsewhere(_) => refusal(code::ResultCode::LeaderUnknown),
        answer => answer,
    }
}

fn refusal(code: code::ResultCode) -> replication::ProposalAnswer {
    replication::ProposalAnswer::Refused {
        code,
        version: ids::CatalogueVersion::default(),
        faults: Vec::new(),
    }
}

/// Serves requests on a connection after its handshake.
pub async fn serve(context: Arc<process::ProcessContext>, stream: TcpStream) {
    let module: RpcModule<RpcHandler> = RpcHandler { context }.into_rpc();
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (RpcReader(reader), RpcWriter(writer));
    while let Ok(text) = reader.read().await {
        let Ok((answer, _subscriptions)) = module.raw_json_request(&text, 1).await else {
            return log::warn!("invalid JSON-RPC request from another control; connection closed");
        };
        if writer.write(answer.get()).await.is_err() {
            return;
        }
    }
}

/// A request to the leader.
#[derive(Debug, Clone)]
pub enum LeaderRequest {
    /// Proposes a change.
    Propose(ForwardedChange),
    /// Reads the current revision.
    Revision,
    /// Changes the voters.
    ChangeGroup(replication::GroupChange),
}

/// Sends a request to the leader at a peers address and returns the answer.
pub async fn call_leader(
    context: &process::ProcessContext,
    leader: SocketAddr,
    request: LeaderRequest,
    timeout: Duration,
) -> replication::ProposalAnswer {
    let purpose = wire::LinkPurpose::Questions;
    let stream = match links::connect(&context.credentials, leader, purpose).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!("connecting to the leader at {leader} failed: {error}");
            return refusal(code::ResultCode::LeaderUnknown);
        }
    };
    let (reader, writer) = stream.into_split();
    let client = ClientBuilder::default()
        .request_timeout(timeout)
        .build_with_tokio(RpcWriter(writer), RpcReader(reader));
    let answered = match request {
        LeaderRequest::Propose(change) => client.propose(change).await,
        LeaderRequest::Revision => client.revision().await,
        LeaderRequest::ChangeGroup(change) => client.change_group(change).await,
    };
    answered.unwrap_or_else(|error| {
        log::info!("request to the leader at {leader} failed: {error}");
        replication::ProposalAnswer::Unknown
    })
}

/// Error in the transport of a request or its answer.
#[derive(Debug, Snafu)]
pub enum TransportError {
    /// Reading or writing failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// A frame exceeds the size limit.
    #[snafu(display("{source}"))]
    TooLarge {
        /// Cause, with the size.
        source: codec::CodecError,
    },
    /// A frame is not valid UTF-8.
    #[snafu(display("frame is not valid UTF-8: {source}"))]
    InvalidText {
        /// Cause.
        source: std::string::FromUtf8Error,
    },
}

struct RpcWriter(OwnedWriteHalf);

impl RpcWriter {
    async fn write(&mut self, text: &str) -> Result<(), TransportError> {
        let mut frame = Vec::with_capacity(text.len() + codec::LENGTH_PREFIX_BYTES);
        frame.extend_from_slice(&(text.len() as u32).to_le_bytes());
        frame.extend_from_slice(text.as_bytes());
        self.0.write_all(&frame).await.context(IoSnafu)
    }
}

impl TransportSenderT for RpcWriter {
    type Error = TransportError;

    async fn send(&mut self, msg: String) -> Result<(), TransportError> {
        self.write(&msg).await
    }
}

struct RpcReader(OwnedReadHalf);

impl RpcReader {
    async fn read(&mut self) -> Result<String, TransportError> {
        let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
        self.0.read_exact(&mut prefix).await.context(IoSnafu)?;
        let size = codec::frame_length(prefix).context(TooLargeSnafu)?;
        let mut body = vec![0; size];
        self.0.read_exact(&mut body).await.context(IoSnafu)?;
        String::from_utf8(body).context(InvalidTextSnafu)
    }
}

impl TransportReceiverT for RpcReader {
    type Error = TransportError;

    async fn receive(&mut self) -> Result<ReceivedMessage, TransportError> {
        self.read().await.map(ReceivedMessage::Text)
    }
}
