//! A child that sends and receives stream messages over a plain socket.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use kumquatlock_wire::distribution::{
    Applied, Attachment, CatalogState, Delta, Hello, Ping, UpstreamIncarnation, UpstreamItem,
    UpstreamReport, catalog_change::Kind,
};
use kumquatlock_wire::{Body, Envelope, EnvelopeCodec};
use tokio_util::codec::{Decoder, Encoder};

use crate::group::WAIT_TIMEOUT;

/// Interval between pings. A parent closes the connection of a child that is silent for 6 s.
const PING_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) struct RawChild {
    stream: TcpStream,
    /// Locked for each whole message, because the thread that pings writes too.
    writer: Arc<Mutex<TcpStream>>,
    codec: EnvelopeCodec,
    read_buf: BytesMut,
    /// The thread that pings ends once this is dropped; `None` before the hello.
    pings: Option<mpsc::Sender<()>>,
}

impl RawChild {
    pub(crate) fn connect(parent: SocketAddr) -> Self {
        let stream = TcpStream::connect(parent).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
        RawChild {
            stream,
            writer,
            codec: EnvelopeCodec::default(),
            read_buf: BytesMut::new(),
            pings: None,
        }
    }

    /// Connects and sends a hello as a node without a configuration. From then on the child pings its
    /// parent, whatever else the test waits for.
    pub(crate) fn connect_with_hello(parent: SocketAddr, name: &str) -> Self {
        let mut child = RawChild::connect(parent);
        child.send(Body::Hello(Hello {
            name: name.to_owned(),
            incarnation: 1,
            zone: "z".to_owned(),
            region: "r".to_owned(),
            ..Hello::default()
        }));
        child.start_pings();
        child
    }

    fn start_pings(&mut self) {
        let (pings, dropped) = mpsc::channel::<()>();
        let writer = self.writer.clone();
        thread::spawn(move || {
            while dropped.recv_timeout(PING_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                let ping = Body::Ping(Ping {
                    number: 1,
                    prove: false,
                });
                if write_body(&writer, ping).is_err() {
                    return;
                }
            }
        });
        self.pings = Some(pings);
    }

    pub(crate) fn send(&mut self, body: Body) {
        write_body(&self.writer, body).unwrap();
    }

    pub(crate) fn send_raw(&mut self, bytes: &[u8]) {
        self.writer.lock().unwrap().write_all(bytes).unwrap();
    }

    /// Returns the next message other than a ping or pong; `None` if the parent has closed the
    /// connection.
    pub(crate) fn receive(&mut self) -> Option<Body> {
        let started = Instant::now();
        loop {
            if let Some(envelope) = self.codec.decode(&mut self.read_buf).unwrap() {
                match envelope.body {
                    Some(Body::Ping(_) | Body::Pong(_)) | None => continue,
                    body => return body,
                }
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for a message from the parent"
            );
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.read_buf.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// Receives a welcome and returns its floor, the lowest version that the child may start from.
    pub(crate) fn expect_welcome(&mut self) -> u64 {
        match self.receive() {
            Some(Body::Welcome(welcome)) => welcome.floor,
            message => panic!("expected a welcome, received {message:?}"),
        }
    }

    /// Receives a complete snapshot without confirming it.
    pub(crate) fn expect_snapshot(&mut self) -> CatalogState {
        self.expect_snapshot_chunks().0
    }

    /// Receives a complete snapshot; returns it with its digest and the number of its chunks.
    pub(crate) fn expect_snapshot_chunks(&mut self) -> (CatalogState, u64, usize) {
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
                message => panic!("expected a snapshot chunk, received {message:?}"),
            }
        }
        unreachable!("the loop returns at the last chunk")
    }

    pub(crate) fn expect_delta(&mut self) -> Delta {
        match self.receive() {
            Some(Body::Delta(delta)) => delta,
            message => panic!("expected a delta, received {message:?}"),
        }
    }

    pub(crate) fn confirm_snapshot(&mut self) {
        let version = self.expect_snapshot().version;
        self.confirm(version);
    }

    /// Receives and confirms the next delta and returns its changes; `None` if the parent has
    /// closed the connection.
    pub(crate) fn confirm_delta(&mut self) -> Option<Vec<Kind>> {
        match self.receive()? {
            Body::Delta(delta) => {
                self.confirm(delta.version);
                let changes = delta.changes.into_iter();
                Some(changes.filter_map(|change| change.kind).collect())
            }
            message => panic!("expected a delta, received {message:?}"),
        }
    }

    pub(crate) fn confirm(&mut self, version: u64) {
        self.send(Body::Applied(Applied { version }));
    }

    /// Reports an upstream that is attached to this child.
    pub(crate) fn announce_upstream(&mut self, name: &str) {
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
        self.send(Body::Report(UpstreamReport {
            upstream,
            ..UpstreamReport::default()
        }));
    }
}

fn write_body(writer: &Mutex<TcpStream>, body: Body) -> io::Result<()> {
    let mut write_buf = BytesMut::new();
    EnvelopeCodec::default()
        .encode(&Envelope::from(body), &mut write_buf)
        .unwrap();
    writer.lock().unwrap().write_all(&write_buf)
}
