//! Calls of the C library: signals to processes that this program has started, and socket options.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command};
use std::sync::{Mutex, PoisonError};

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;
const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_REUSEADDR: i32 = 2;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn bind(socket: i32, address: *const SocketAddress, length: u32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// `sockaddr_in` of Linux.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

/// Processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts a process that ends with this one. Called on the main thread only, because the signal at
/// the end of the parent follows the thread.
pub fn start(command: &mut Command) -> io::Result<Child> {
    // SAFETY: prctl is a plain system call, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = command.spawn()?;
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    started.push(child.id());
    Ok(child)
}

/// Kills a process and waits for its end.
pub fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    started.retain(|id| *id != child.id());
}

/// Kills all processes that were started and not ended yet.
pub fn end_started() {
    let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for id in started.iter() {
        // SAFETY: the process was started here and has not been waited for, so the id is its own.
        unsafe { kill(*id as i32, SIGKILL) };
    }
}

/// Listens on an address with a receive buffer of this size for each connection.
pub fn listen_with_buffer(address: SocketAddrV4, buffer: Option<i32>) -> io::Result<TcpListener> {
    let check = |result: i32| match result {
        0.. => Ok(result),
        _ => Err(io::Error::last_os_error()),
    };
    // SAFETY: plain system calls with valid arguments.
    unsafe {
        let listener =
            TcpListener::from_raw_fd(check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?);
        let raw = listener.as_raw_fd();
        check(setsockopt(raw, SOL_SOCKET, SO_REUSEADDR, &1, 4))?;
        if let Some(bytes) = buffer {
            check(setsockopt(raw, SOL_SOCKET, SO_RCVBUF, &bytes, 4))?;
        }
        let name = SocketAddress {
            family: AF_INET as u16,
            port: address.port().to_be_bytes(),
            address: address.ip().octets(),
            zero: [0; 8],
        };
        check(bind(raw, &name, size_of::<SocketAddress>() as u32))?;
        check(self::listen(raw, 128))?;
        Ok(listener)
    }
}
