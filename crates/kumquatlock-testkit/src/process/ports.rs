//! Addresses for child processes.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is given out.
const FIRST_PORT: u16 = 20_000;

/// Number of ports before the first one is tried again.
const PORT_COUNT: u16 = 40_000;

/// A free address on loopback for a process that is started soon.
///
/// Each test program has a loopback IP of its own, so that neither another test program nor the
/// source port of a connection takes the port before the child listens. Within a program the
/// ports are counted up.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let ip = own_loopback_ip();
    for _ in 0..PORT_COUNT {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::new(ip, FIRST_PORT + offset);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// An address of 127.0.0.0/8 outside of 127.0.0.0/16 that is made of the process id.
fn own_loopback_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // The second byte is 1..=127, so that neither 127.0.0.1 nor 127.255.255.255 is met.
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 127, middle, low))
}
