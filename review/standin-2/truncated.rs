//! A backend answers a long request before it is in, without a length, and crashes.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use crate::backend::long_answer_body;
use crate::http::{KeptClient, request, send_once};
use crate::record::Record;
use crate::site::{NodePlan, Site};
use crate::{CaseError, Verdict, system};

const SERVICE: &str = "caisse";
/// One of seven backends crashes.
const NODES: usize = 7;
const UPLOAD_BYTES: usize = 12 * 1024 * 1024;
const CONFIGURATION: &str = r#"{"version":"r1","base_version":"r0","routes":{"r-settle":{"hostname":"caisse.example","path_prefix":"/settle/","kind":"non_idempotent","timeout":"8000ms","target_latency":"2000ms","priority":0,"service":"caisse","max_attempts":2}},"services":{"caisse":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let site = Site::start(
        record,
        &[NodePlan {
            service: SERVICE,
            memory_mb: 260,
        }; NODES],
    )?;
    let (lines, printed) = mpsc::channel();
    let mut backends = Vec::new();
    for node in 0..NODES {
        let mut child = system::start(
            Command::new(std::env::current_exe()?)
                .args([
                    "backend",
                    &site.app(node).to_string(),
                    &site.admin(node).to_string(),
                ])
                .arg(SERVICE)
                .stdout(Stdio::piped()),
        )?;
        let output = child.stdout.take().ok_or("no output")?;
        let (lines, log) = (lines.clone(), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log.log(&format!("backend {node}: {line}"));
                let _ = lines.send((node, line));
            }
        });
        backends.push(child);
    }
    site.configure(CONFIGURATION)?;
    site.wait_ready(0)?;
    let mut client = KeptClient::new(site.outbound(0));
    let mut number = 0;
    site.wait("no request was served", || {
        number += 1;
        let answer = client.send(
            &upload(&format!("warm-up-{number}"), 100),
            Duration::from_secs(9),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    })?;
    let id = "9c41d07be2a35f68";
    record.note(&format!("client: sends {id} with {UPLOAD_BYTES} bytes"));
    let outbound = site.outbound(0);
    let sender = thread::spawn(move || {
        send_once(outbound, &upload(id, UPLOAD_BYTES), Duration::from_secs(9))
    });
    let limit = Duration::from_secs(9);
    let node = loop {
        let (node, line) = printed
            .recv_timeout(limit)
            .map_err(|_| "no backend got the upload")?;
        if line == format!("early {id}") {
            break node;
        }
    };
    if has_trouble {
        thread::sleep(Duration::from_millis(200));
        system::end(&mut backends[node]);
        record.note(&format!(
            "backend {node} crashed (SIGKILL) within its answer"
        ));
    }
    let answer = sender.join().map_err(|_| "the client failed")?;
    let whole = long_answer_body(id);
    let verdict = match &answer {
        Ok(answer) => {
            record.note(&format!(
                "client: {id} answered {} with {} bytes, Content-Length {}, signature {}; the whole \
                 answer has {} bytes",
                answer.status(),
                answer.body.len(),
                answer.header("content-length").unwrap_or("none"),
                answer.header("Response-Signature").unwrap_or("none"),
                whole.len()
            ));
            match answer.status() == 200 && answer.body != whole {
                true => Verdict::Broken,
                false => Verdict::Held,
            }
        }
        Err(error) => {
            record.note(&format!("client: {id} got no complete answer: {error}"));
            Verdict::Held
        }
    };
    if !has_trouble && !answer.is_ok_and(|answer| answer.body == whole) {
        return Err("the undisturbed upload was not answered whole".into());
    }
    backends.iter_mut().for_each(system::end);
    Ok(verdict)
}

fn upload(id: &str, bytes: usize) -> Vec<u8> {
    let headers = [
        ("Host", "caisse.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "8000"),
    ];
    request("POST /settle/batch", &headers, &vec![b'x'; bytes])
}
