//! All control processes are killed right after a change was acknowledged, and its order is sent
//! again. One of the processes that come back first has missed changes.

use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::platform::{Deployment, SIGKILL, stop_not_run};
use crate::record::Record;
use crate::requests::{configuration, configuration_with};

/// Statuses that end a call of the operator.
const FINAL: [u16; 6] = [200, 400, 409, 412, 413, 422];
/// Routes by which the configuration grows for a while.
const ROUTES: usize = 16_000;
/// Time after which the last process is back.
const BACK: Duration = Duration::from_millis(950);

pub fn run(record: &Record, has_trouble: bool) -> Result<(), String> {
    let deployment = Deployment::new(record.clone(), 3);
    let mut processes = deployment.start_controls();
    let hosts = deployment.controls.clone();
    deployment.configure(&configuration(1, 0, "12s"));
    if has_trouble {
        // One instance is down while changes are made.
        let lost = &mut processes[2];
        lost.signal(SIGKILL, "SIGKILL");
        lost.wait();
        thread::sleep(Duration::from_secs(4));
    }
    deployment.configure(&configuration_with(3, 1, "12s", 2, ROUTES));
    deployment.configure(&configuration(4, 3, "12s"));
    deployment.configure(&configuration(6, 4, "11s"));
    let last = configuration(9, 6, "10s");
    deployment.configure(&last);
    record.line("the acknowledgement of r9 is lost on its way to the operator");
    let mut started = Instant::now();
    if has_trouble {
        for process in &processes[..2] {
            process.signal(SIGKILL, "SIGKILL");
        }
        processes
            .iter_mut()
            .take(2)
            .for_each(|process| process.wait());
        started = Instant::now();
        // All are back within a second.
        processes = vec![
            deployment.start(hosts[0], None, false),
            deployment.start(hosts[2], None, false),
        ];
    }
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| send_again(&deployment, record, &last, started));
        if has_trouble {
            thread::sleep(BACK.saturating_sub(started.elapsed()));
            processes.push(deployment.start(hosts[1], None, false));
        }
        answer.join().unwrap_or(None)
    });
    thread::sleep(Duration::from_secs(5));
    read_back(&deployment, record);
    drop(processes);
    deployment.remove_folder();
    match answer {
        Some(200) => Ok(()),
        Some(status) => Err(format!(
            "CONFIG, the acknowledged change was sent again and answered {status}"
        )),
        None => stop_not_run("the order got no clear answer in 20 s"),
    }
}

/// Sends the same order again until an answer ends the call: to one instance after the other, with
/// increasing pauses.
fn send_again(
    deployment: &Deployment,
    record: &Record,
    body: &str,
    started: Instant,
) -> Option<u16> {
    let mut pause = Duration::from_millis(5);
    let mut last = None;
    for turn in 0.. {
        if started.elapsed() > Duration::from_secs(20) {
            return None;
        }
        // The operator's list lags by `seed_lag`: it lacks the instance that was down until now.
        let host = deployment.controls[turn % 2];
        let status = deployment.put_config(host, body);
        if last != Some((host, status)) {
            record.line(format!(
                "operator: r9 sent again to core-{host}: {}",
                status.map_or("no answer".to_owned(), |status| status.to_string())
            ));
            last = Some((host, status));
        }
        if let Some(status) = status.filter(|status| FINAL.contains(status)) {
            return Some(status);
        }
        thread::sleep(pause);
        pause += Duration::from_micros(500);
    }
    None
}

fn read_back(deployment: &Deployment, record: &Record) {
    for host in &deployment.controls {
        let to = deployment.socket(*host, deployment.ports.admin);
        let answer = http::call(to, "GET", "/-/config", "", Duration::from_secs(2));
        let what = answer.map_or("no answer".to_owned(), |answer| {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let version = text
                .split("\"version\":")
                .nth(1)
                .and_then(|rest| rest.split(',').next());
            format!(
                "{} with version {}",
                answer.status,
                version.unwrap_or("none")
            )
        });
        record.line(format!("operator: GET /-/config from core-{host}: {what}"));
    }
}
