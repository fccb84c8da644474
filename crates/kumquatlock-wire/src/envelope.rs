//! The top-level message of every frame.

/// Content of one frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    #[prost(
        oneof = "body::Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 16, 20, 21, 22, 23, 24, 25, 26, 27"
    )]
    pub body: Option<body::Body>,
}

impl From<body::Body> for Envelope {
    fn from(body: body::Body) -> Self {
        Envelope { body: Some(body) }
    }
}

/// Variants of [`Envelope`].
pub(crate) mod body {
    use crate::{agreement, call, claim, distribution};

    /// All messages between two processes.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        #[prost(message, tag = "1")]
        Ping(distribution::Ping),
        #[prost(message, tag = "2")]
        Pong(distribution::Pong),
        #[prost(message, tag = "3")]
        Peer(agreement::PeerMessage),
        #[prost(message, tag = "4")]
        Hello(distribution::Hello),
        #[prost(message, tag = "5")]
        Welcome(distribution::Welcome),
        #[prost(message, tag = "6")]
        RetryAfter(distribution::RetryAfter),
        #[prost(message, tag = "7")]
        Snapshot(distribution::SnapshotChunk),
        #[prost(message, tag = "8")]
        Delta(distribution::Delta),
        #[prost(message, tag = "9")]
        Applied(distribution::Applied),
        #[prost(message, tag = "10")]
        Rejected(distribution::Rejected),
        #[prost(message, tag = "11")]
        Progress(distribution::Progress),
        #[prost(message, tag = "12")]
        Report(distribution::UpstreamReport),
        #[prost(message, tag = "13")]
        Attachment(distribution::Attachment),
        /// Carries currency proofs and operator requests between a replica and its parent, and crash
        /// reports of nodes. Earlier releases ignore a content that they don't know, whereas they
        /// close the link on a message that they don't know.
        #[prost(message, tag = "14")]
        Forward(agreement::Forward),
        #[prost(message, tag = "16")]
        ChunkReceived(distribution::ChunkReceived),
        #[prost(message, tag = "20")]
        Call(call::CallRequest),
        #[prost(message, tag = "21")]
        Response(call::CallResponse),
        #[prost(message, tag = "22")]
        Cancel(call::CallCancel),
        #[prost(message, tag = "23")]
        Claim(claim::ClaimRequest),
        #[prost(message, tag = "24")]
        ClaimReply(claim::ClaimReply),
        #[prost(message, tag = "25")]
        ShardFetch(claim::ShardFetch),
        #[prost(message, tag = "26")]
        ShardChunk(claim::ShardChunk),
        #[prost(message, tag = "27")]
        OutcomeQuery(claim::OutcomeQuery),
    }
}

/// Kind of a message, for the traffic counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MessageKind {
    /// Ping and pong.
    Probe,
    /// Messages between voters, and requests forwarded to the leader.
    Agreement,
    /// `Hello`, `Welcome` and `RetryAfter`.
    Attach,
    /// Snapshot chunks.
    Snapshot,
    /// Deltas.
    Delta,
    /// `ChunkReceived`, `Applied`, `Rejected`, `Progress` and `Attachment`.
    Progress,
    /// Upstream reports.
    Report,
    /// Claims, shard transfers and outcome queries.
    Claim,
    /// Requests, answers and cancellations of calls. The only kind that is not control traffic.
    Call,
}

impl MessageKind {
    /// All kinds, in the order of [`MessageKind::index`].
    pub const ALL: [MessageKind; 9] = [
        MessageKind::Probe,
        MessageKind::Agreement,
        MessageKind::Attach,
        MessageKind::Snapshot,
        MessageKind::Delta,
        MessageKind::Progress,
        MessageKind::Report,
        MessageKind::Claim,
        MessageKind::Call,
    ];

    /// Returns the position in [`MessageKind::ALL`], for use as an array index.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the label value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            MessageKind::Probe => "probe",
            MessageKind::Agreement => "agreement",
            MessageKind::Attach => "attach",
            MessageKind::Snapshot => "snapshot",
            MessageKind::Delta => "delta",
            MessageKind::Progress => "progress",
            MessageKind::Report => "report",
            MessageKind::Claim => "claim",
            MessageKind::Call => "call",
        }
    }

    /// Returns whether the kind counts as control traffic.
    pub fn is_control(self) -> bool {
        self != MessageKind::Call
    }
}

impl body::Body {
    /// Returns the kind under which the message's bytes are counted.
    pub fn kind(&self) -> MessageKind {
        use body::Body;
        match self {
            Body::Ping(_) | Body::Pong(_) => MessageKind::Probe,
            Body::Peer(_) | Body::Forward(_) => MessageKind::Agreement,
            Body::Hello(_) | Body::Welcome(_) | Body::RetryAfter(_) => MessageKind::Attach,
            Body::Snapshot(_) => MessageKind::Snapshot,
            Body::Delta(_) => MessageKind::Delta,
            Body::ChunkReceived(_)
            | Body::Applied(_)
            | Body::Rejected(_)
            | Body::Progress(_)
            | Body::Attachment(_) => MessageKind::Progress,
            Body::Report(_) => MessageKind::Report,
            Body::Claim(_)
            | Body::ClaimReply(_)
            | Body::ShardFetch(_)
            | Body::ShardChunk(_)
            | Body::OutcomeQuery(_) => MessageKind::Claim,
            Body::Call(_) | Body::Response(_) | Body::Cancel(_) => MessageKind::Call,
        }
    }
}
