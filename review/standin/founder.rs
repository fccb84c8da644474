//! One control process is killed right after the first start of the system, and loses its disk.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Options, Runs};
use crate::platform::{Deployment, SIGKILL};
use crate::record::Record;
use crate::requests::{configuration, post};

const BOOKING: u8 = 22;
const REQUESTS: usize = 10;

/// Time after the first start.
const KILLED_AFTER: Duration = Duration::from_millis(100);
/// Time after which the process is back, with an empty disk.
const DOWN: Duration = Duration::from_millis(500);
/// `catch_up` and `stable_window` and `ack_timeout` of the settings: from then on an order without
/// an acknowledgement breaks the rule.
const CALM: Duration = Duration::from_secs(6 + 4 + 5);
/// For how long the operator sends the order again.
const LIMIT: Duration = Duration::from_secs(45);

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let mut processes = deployment.start_controls();
    if has_trouble {
        thread::sleep(KILLED_AFTER);
        let host = deployment.controls[0];
        processes[0].signal(SIGKILL, "SIGKILL");
        processes[0].wait();
        let _ = fs::remove_dir_all(deployment.folder.join(format!("core-{host}/data")));
        record.line(format!("platform: core-{host} has lost its disk"));
        thread::sleep(DOWN);
        processes[0] = deployment.start(host, None, false);
    }
    let node = deployment.start(BOOKING, Some("booking"), true);
    let options = Options {
        service: "booking",
        id: "i-booking".to_owned(),
        address: deployment.socket(BOOKING, deployment.ports.app),
        admin: deployment.socket(BOOKING, deployment.ports.admin),
        slots: 4,
        queue: 16,
        work: Duration::from_millis(100),
        rejected_twice: None,
    };
    Backend::start(options, record, &Runs::default());
    let body = configuration(1, 0, "12s");
    let started = Instant::now();
    let mut pause = Duration::from_millis(50);
    let mut status = None;
    for turn in 0.. {
        let host = deployment.controls[turn % deployment.controls.len()];
        status = deployment.put_config(host, &body);
        let text = status.map_or("no answer".to_owned(), |status| status.to_string());
        record.line(format!(
            "operator: first configuration to core-{host}: {text}"
        ));
        if status == Some(200) || started.elapsed() >= LIMIT {
            break;
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_secs(1));
    }
    let took = started.elapsed();
    thread::sleep(Duration::from_secs(3));
    let outbound = deployment.socket(BOOKING, deployment.ports.outbound);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| post(record, outbound, format!("visit-{number}"), 5_000))
        .collect();
    let seen = clients.into_iter().filter_map(|client| client.join().ok());
    let served = seen.filter(|seen| seen.status == Some(200)).count();
    record.line(format!("{served} of {REQUESTS} requests were served"));
    let are_running = processes.iter_mut().all(|process| !process.has_ended());
    record.line(format!("all control processes run: {are_running}"));
    drop((node, processes));
    deployment.remove_folder();
    match (status, served) {
        (Some(200), 1..) if took <= CALM => Ok(()),
        _ => Err(format!(
            "Fault, {served} requests were served; the first configuration was answered {status:?} \
             after {took:.1?}"
        )),
    }
}
