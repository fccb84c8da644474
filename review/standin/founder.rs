//! One control process is killed right after the first start of the system, and loses its disk.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Deployment, SIGKILL};
use crate::record::Record;
use crate::requests::configuration;

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
    drop(processes);
    deployment.remove_folder();
    match status {
        Some(200) if took <= CALM => Ok(()),
        Some(200) => Err(format!("Acks, the first configuration took {took:?}")),
        _ => Err(format!(
            "Acks, the first configuration has no acknowledgement after {took:?}; all processes run"
        )),
    }
}
