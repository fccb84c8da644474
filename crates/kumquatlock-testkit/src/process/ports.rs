//! Selects free loopback addresses for child processes.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port that is used.
const FIRST_PORT: u16 = 20_000;

/// Number of ports that are used, starting with [`FIRST_PORT`].
const PORT_COUNT: u16 = 40_000;

/// Returns a free loopback address for a process that is about to be started.
///
/// Each test program uses a loopback IP address of its own, so that neither another test program
/// nor the source port of a connection occupies the port before the child process listens. Within
/// a program, successive calls return successive ports.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let ip = own_loopback_ip();
    for _ in 0..PORT_COUNT {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let address = SocketAddr::new(ip, FIRST_PORT + offset);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Returns an address in 127.0.0.0/8, but outside 127.0.0.0/16, that is derived from the process
/// id.
fn own_loopback_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // The second byte is 1..=127, which excludes 127.0.0.1 and 127.255.255.255.
    IpAddr::V4(Ipv4Addr::new(127, 1 + high % 127, middle, low))
}
