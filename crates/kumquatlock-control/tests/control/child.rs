//! A child that speaks the stream over a plain socket.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kumquatlock_wire::distribution::{
    Applied, Attachment, CatalogState, Delta, Hello, Ping, UpstreamIncarnation, UpstreamItem,
    UpstreamReport, catalog_change::Kind,
};
use kumquatlock_wire::{Body, Envelope, EnvelopeCodec};
use tokio_util::codec::{Decoder, Encoder};

use crate::group::LONG;

/// Time between two pings; a parent closes a child that is silent for 6 s.
const PING_EVERY: Duration = Duration::from_secs(1);

pub(crate) struct RawChild {
    stream: TcpStream,
    codec: EnvelopeCodec,
    inbox: BytesMut,
    pinged: Instant,
}

impl RawChild {
    pub(crate) fn connect(parent: SocketAddr) -> Self {
        let stream = TcpStream::connect(parent).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        RawChild {
            stream,
            codec: EnvelopeCodec::default(),
            inbox: BytesMut::new(),
            pinged: Instant::now(),
        }
    }

    /// Connects and says hello as a node without a configuration.
    pub(crate) fn greet(parent: SocketAddr, name: &str) -> Self {
        let mut child = RawChild::connect(parent);
        child.send(Body::Hello(Hello {
            name: name.to_owned(),
            incarnation: 1,
            zone: "z".to_owned(),
            region: "r".to_owned(),
            ..Hello::default()
        }));
        child
    }

    pub(crate) fn send(&mut self, body: Body) {
        let mut buffer = BytesMut::new();
        self.codec
            .encode(&Envelope::from(body), &mut buffer)
            .unwrap();
        self.stream.write_all(&buffer).unwrap();
    }

    pub(crate) fn send_raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Next message other than a probe; `None` when the parent has closed the connection.
    pub(crate) fn receive(&mut self) -> Option<Body> {
        let started = Instant::now();
        loop {
            if let Some(envelope) = self.codec.decode(&mut self.inbox).unwrap() {
                match envelope.body {
                    Some(Body::Ping(_) | Body::Pong(_)) | None => continue,
                    body => return body,
                }
            }
            assert!(started.elapsed() < LONG, "no message from the parent");
            if self.pinged.elapsed() >= PING_EVERY {
                self.pinged = Instant::now();
                self.send(Body::Ping(Ping {
                    number: 1,
                    prove: false,
                }));
            }
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.inbox.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// The floor of the welcome.
    pub(crate) fn expect_welcome(&mut self) -> u64 {
        match self.receive() {
            Some(Body::Welcome(welcome)) => welcome.floor,
            other => panic!("no welcome: {other:?}"),
        }
    }

    /// A whole snapshot; it is not confirmed.
    pub(crate) fn expect_snapshot(&mut self) -> CatalogState {
        self.expect_chunks().0
    }

    /// A whole snapshot with its digest and the number of its chunks.
    pub(crate) fn expect_chunks(&mut self) -> (CatalogState, u64, usize) {
        let mut data = BytesMut::new();
        for chunks in 1.. {
            match self.receive() {
                Some(Body::Snapshot(chunk)) => {
                    assert_eq!(chunk.offset, data.len() as u64);
                    data.extend_from_slice(&chunk.data);
                    if chunk.total_bytes == data.len() as u64 {
                        let state = prost::Message::decode(data.freeze()).unwrap();
                        return (state, chunk.digest, chunks);
                    }
                }
                other => panic!("no snapshot: {other:?}"),
            }
        }
        unreachable!("a snapshot ends")
    }

    pub(crate) fn expect_delta(&mut self) -> Delta {
        match self.receive() {
            Some(Body::Delta(delta)) => delta,
            other => panic!("no delta: {other:?}"),
        }
    }

    pub(crate) fn confirm_snapshot(&mut self) {
        let version = self.expect_snapshot().version;
        self.confirm(version);
    }

    /// The changes of the next delta, which is confirmed; `None` when the parent is gone.
    pub(crate) fn confirm_delta(&mut self) -> Option<Vec<Kind>> {
        match self.receive()? {
            Body::Delta(delta) => {
                self.confirm(delta.version);
                let changes = delta.changes.into_iter();
                Some(changes.filter_map(|change| change.kind).collect())
            }
            other => panic!("no delta: {other:?}"),
        }
    }

    pub(crate) fn confirm(&mut self, version: u64) {
        self.send(Body::Applied(Applied { version }));
    }

    /// Says that an upstream is beside this child.
    pub(crate) fn announce(&mut self, name: &str) {
        let upstream = UpstreamItem {
            name: name.to_owned(),
            service: "booking".to_owned(),
            zone: "z".to_owned(),
            region: "r".to_owned(),
            node_address: "127.0.0.1:1".to_owned(),
            incarnation: 1,
            slots: 1,
            ..UpstreamItem::default()
        };
        self.send(Body::Attachment(Attachment {
            reporter: name.to_owned(),
            complete: true,
            attached: vec![UpstreamIncarnation {
                name: name.to_owned(),
                incarnation: 1,
            }],
            ..Attachment::default()
        }));
        self.send(Body::Report(UpstreamReport { upstream }));
    }
}
