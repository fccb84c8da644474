//! One malformed message of six bytes to the link port of a process.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Deployment, Process, stop_not_run};
use crate::record::Record;
use crate::requests::configuration;

const SHOP: u8 = 21;
const BOOKING: u8 = 22;
/// A frame of two bytes: field 15 of the envelope, with an empty content.
const MALFORMED: [u8; 6] = [0, 0, 0, 2, 0x7a, 0];
/// A frame of two bytes: field 17 of the envelope, which it does not have either.
const UNKNOWN: [u8; 7] = [0, 0, 0, 3, 0x8a, 1, 0];
/// Ends of a process that count.
const ROUNDS: u32 = 3;

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let mut processes = deployment.start_controls();
    deployment.configure(&configuration(1, 0, "5s"));
    for (host, service) in [(SHOP, "shop"), (BOOKING, "booking")] {
        processes.push(deployment.start(host, Some(service), true));
        deployment.await_ready(host);
    }
    let mut hosts = deployment.controls.clone();
    hosts.extend([SHOP, BOOKING]);
    let mut ends = vec![0; hosts.len()];
    for _ in 0..ROUNDS {
        thread::sleep(Duration::from_secs(1));
        for (index, host) in hosts.iter().enumerate() {
            let to = deployment.socket(*host, deployment.ports.internal);
            let message: &[u8] = if has_trouble { &MALFORMED } else { &UNKNOWN };
            send(record, to, message);
            if !ends_within(&mut processes[index], Duration::from_secs(2)) {
                continue;
            }
            record.line(format!("{} has ended by itself", processes[index].name));
            ends[index] += 1;
            let service = match *host {
                SHOP => Some("shop"),
                BOOKING => Some("booking"),
                _ => None,
            };
            processes[index].wait();
            processes[index] = deployment.start(*host, service, false);
        }
    }
    drop(processes);
    deployment.remove_folder();
    for (host, count) in hosts.iter().zip(&ends) {
        record.line(format!(
            "the process on machine {host} has ended {count} times by itself"
        ));
    }
    let core = deployment.controls.len();
    let ended = |ends: &[u32]| ends.iter().filter(|count| **count >= ROUNDS).count();
    // A tenth of the machines in use, two at least, or half of the core.
    match ended(&ends) >= 2 || ended(&ends[..core]) * 2 >= core {
        true => Err(format!(
            "Fault, processes on {} of {} machines have ended by themselves {ROUNDS} times",
            ended(&ends),
            ends.len()
        )),
        false => Ok(()),
    }
}

fn send(record: &Record, to: SocketAddr, message: &[u8]) {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(2)) else {
        stop_not_run("a link port takes no connection");
    };
    record.line(format!("sends {message:02x?} to {to}"));
    let _ = stream.write_all(message);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let _ = stream.read(&mut [0]);
}

fn ends_within(process: &mut Process, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if process.has_ended() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
