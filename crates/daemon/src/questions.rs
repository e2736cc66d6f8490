//! Questions between controls as JSON-RPC: a change that a follower was sent goes to the leader.
//!
//! A question is asked on a link of its own and never asked twice: once it may have reached the
//! leader, a lost answer means that the outcome is unknown.

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

/// A change as one control passes it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedChange {
    /// Who asks for it.
    pub author: replication::ChangeAuthor,
    /// The operator's request.
    pub request: change::ChangeRequest,
}

impl ForwardedChange {
    /// The proposal that it makes here and now.
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

/// What a control asks the leader of its group.
#[rpc(client, server, namespace = "control")]
pub trait LeaderQuestions {
    /// Take a change.
    #[method(name = "propose")]
    async fn propose(&self, change: ForwardedChange) -> RpcResult<replication::ProposalAnswer>;

    /// Tell the revision in place.
    #[method(name = "revision")]
    async fn revision(&self) -> RpcResult<replication::ProposalAnswer>;

    /// Change the voters.
    #[method(name = "change_group")]
    async fn change_group(
        &self,
        change: replication::GroupChange,
    ) -> RpcResult<replication::ProposalAnswer>;
}

struct QuestionServer {
    context: Arc<process::ProcessContext>,
}

#[async_trait]
impl LeaderQuestionsServer for QuestionServer {
    async fn propose(&self, change: ForwardedChange) -> RpcResult<replication::ProposalAnswer> {
        let proposal = change.into_proposal();
        Ok(last_hop(self.context.engine.propose(proposal).await))
    }

    async fn revision(&self) -> RpcResult<replication::ProposalAnswer> {
        Ok(last_hop(self.context.engine.read_revision().await))
    }

    async fn change_group(
        &self,
        change: replication::GroupChange,
    ) -> RpcResult<replication::ProposalAnswer> {
        Ok(last_hop(self.context.engine.change_group(change).await))
    }
}

/// A question is passed on once only: leaders that change meanwhile are the operator's to find.
fn last_hop(answer: replication::ProposalAnswer) -> replication::ProposalAnswer {
    match answer {
        replication::ProposalAnswer::Elsewhere(_) => not_run(code::ResultCode::LeaderUnknown),
        answer => answer,
    }
}

fn not_run(code: code::ResultCode) -> replication::ProposalAnswer {
    replication::ProposalAnswer::Refused {
        code,
        version: ids::CatalogueVersion::default(),
        faults: Vec::new(),
    }
}

/// Serves questions on a link that has been greeted.
pub async fn serve(context: Arc<process::ProcessContext>, stream: TcpStream) {
    let module: RpcModule<QuestionServer> = QuestionServer { context }.into_rpc();
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (QuestionReader(reader), QuestionWriter(writer));
    while let Ok(text) = reader.read().await {
        let Ok((answer, _subscriptions)) = module.raw_json_request(&text, 1).await else {
            return log::warn!("a question could not be read");
        };
        if writer.write(answer.get()).await.is_err() {
            return;
        }
    }
}

/// A question to the leader.
#[derive(Debug, Clone)]
pub enum LeaderQuestion {
    /// Take a change.
    Propose(ForwardedChange),
    /// Tell the revision in place.
    Revision,
    /// Change the voters.
    ChangeGroup(replication::GroupChange),
}

/// Asks the leader at a peers address.
pub async fn ask(
    context: &process::ProcessContext,
    leader: SocketAddr,
    question: LeaderQuestion,
    patience: Duration,
) -> replication::ProposalAnswer {
    let purpose = wire::LinkPurpose::Questions;
    let stream = match links::connect(&context.credentials, leader, purpose).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!("the leader at {leader} cannot be reached: {error}");
            return not_run(code::ResultCode::LeaderUnknown);
        }
    };
    let (reader, writer) = stream.into_split();
    let client = ClientBuilder::default()
        .request_timeout(patience)
        .build_with_tokio(QuestionWriter(writer), QuestionReader(reader));
    let answered = match question {
        LeaderQuestion::Propose(change) => client.propose(change).await,
        LeaderQuestion::Revision => client.revision().await,
        LeaderQuestion::ChangeGroup(change) => client.change_group(change).await,
    };
    answered.unwrap_or_else(|error| {
        log::info!("the leader at {leader} did not answer: {error}");
        replication::ProposalAnswer::Unknown
    })
}

/// Why a question or its answer was lost.
#[derive(Debug, Snafu)]
pub enum QuestionError {
    /// The link broke.
    #[snafu(display("the link broke: {source}"))]
    Broken {
        /// Why.
        source: std::io::Error,
    },
    /// The frame is too large.
    #[snafu(display("{source}"))]
    TooLarge {
        /// How large.
        source: codec::CodecError,
    },
    /// The frame is no text.
    #[snafu(display("the frame is no text: {source}"))]
    NoText {
        /// Why.
        source: std::string::FromUtf8Error,
    },
}

struct QuestionWriter(OwnedWriteHalf);

impl QuestionWriter {
    async fn write(&mut self, text: &str) -> Result<(), QuestionError> {
        let mut frame = Vec::with_capacity(text.len() + codec::LENGTH_PREFIX_BYTES);
        frame.extend_from_slice(&(text.len() as u32).to_le_bytes());
        frame.extend_from_slice(text.as_bytes());
        self.0.write_all(&frame).await.context(BrokenSnafu)
    }
}

impl TransportSenderT for QuestionWriter {
    type Error = QuestionError;

    async fn send(&mut self, msg: String) -> Result<(), QuestionError> {
        self.write(&msg).await
    }
}

struct QuestionReader(OwnedReadHalf);

impl QuestionReader {
    async fn read(&mut self) -> Result<String, QuestionError> {
        let mut prefix = [0; codec::LENGTH_PREFIX_BYTES];
        self.0.read_exact(&mut prefix).await.context(BrokenSnafu)?;
        let size = codec::frame_length(prefix).context(TooLargeSnafu)?;
        let mut body = vec![0; size];
        self.0.read_exact(&mut body).await.context(BrokenSnafu)?;
        String::from_utf8(body).context(NoTextSnafu)
    }
}

impl TransportReceiverT for QuestionReader {
    type Error = QuestionError;

    async fn receive(&mut self) -> Result<ReceivedMessage, QuestionError> {
        self.read().await.map(ReceivedMessage::Text)
    }
}
