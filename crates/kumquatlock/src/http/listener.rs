//! Listening sockets that can be closed without losing a connection.

use std::io;
use std::net::SocketAddr;

use libc::sock_filter;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::transport::POLL_PRIORITY;

/// Offset of the flags in a TCP header, in bytes.
const TCP_FLAGS_OFFSET: u32 = 13;
/// Flag of a packet that opens a connection.
const TCP_SYN: u32 = 0x02;
/// Packet filter that drops the packets that open a connection and accepts all others.
const DROP_SYN: [sock_filter; 4] = [
    instruction(
        libc::BPF_LD | libc::BPF_B | libc::BPF_ABS,
        0,
        TCP_FLAGS_OFFSET,
    ),
    // Skips the next instruction if the flag is set.
    instruction(libc::BPF_JMP | libc::BPF_JSET | libc::BPF_K, 1, TCP_SYN),
    instruction(libc::BPF_RET | libc::BPF_K, 0, u32::MAX),
    instruction(libc::BPF_RET | libc::BPF_K, 0, 0),
];

const fn instruction(code: u32, jump_if_true: u8, operand: u32) -> sock_filter {
    sock_filter {
        code: code as u16,
        jt: jump_if_true,
        jf: 0,
        k: operand,
    }
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// A listener of an event loop.
pub(super) struct HttpListener {
    socket: MioSource<TcpListener>,
    /// Duplicate of the socket, through which its options are set. `None` if it could not be made.
    options: Option<std::net::TcpListener>,
}

/// Result of accepting one connection.
pub(super) enum AcceptStep {
    Accepted(TcpStream),
    /// No connection is waiting.
    Empty,
}

impl HttpListener {
    /// Listens on `address`. Returns the listener and the bound address.
    pub(super) fn bind(
        poll: &MioPoll,
        address: SocketAddr,
        ready: Fwd<Ready>,
    ) -> io::Result<(Self, SocketAddr)> {
        let domain = Domain::for_address(address);
        let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = std::net::TcpListener::from(socket);
        let bound = listener.local_addr()?;
        let options = listener.try_clone();
        if let Err(error) = &options {
            log::warn!(error:% = error; "listener_duplicate_failed");
        }
        let listener = TcpListener::from_std(listener);
        let socket = poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)?;
        let listener = HttpListener {
            socket,
            options: options.ok(),
        };
        Ok((listener, bound))
    }

    /// Accepts the next connection.
    pub(super) fn accept(&self) -> io::Result<AcceptStep> {
        match self.socket.accept() {
            Ok((stream, _)) => Ok(AcceptStep::Accepted(stream)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(AcceptStep::Empty),
            Err(error) => Err(error),
        }
    }

    /// Ignores attempts to open further connections. Handshakes in progress and connections that
    /// wait to be accepted are not affected. Without this, closing the listener would reset the
    /// connections that were established after the last accept.
    pub(super) fn refuse_handshakes(&self) {
        let Some(options) = &self.options else {
            return;
        };
        if let Err(error) = SockRef::from(options).attach_filter(&DROP_SYN) {
            log::debug!(error:% = error; "listener_filter_failed");
        }
    }
}
