//! One control instance loses its disk right after the first start of the whole system.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::http::{KeptClient, request, send_once};
use crate::record::Record;
use crate::site::{NodePlan, Site};
use crate::{CaseError, Verdict};

const SERVICE: &str = "comptoir";
const CONTROLS: u8 = 5;
const NODES: usize = 2;
/// Time after the start of the last machine.
const KILLED_AFTER: Duration = Duration::from_millis(100);
/// Time after which the instance is back.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time for which the operator and the clients try. `recovery` is 15 s.
const LIMIT: Duration = Duration::from_secs(60);
const CONFIGURATION: &str = r#"{"version":"r1","base_version":"r0","routes":{"r-price":{"hostname":"lots.example","path_prefix":"/price/","kind":"safe","timeout":"1200ms","target_latency":"300ms","priority":1,"service":"comptoir","max_attempts":2}},"services":{"comptoir":{"health_path":"/healthz","max_connections":130,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let plans = [NodePlan {
        service: SERVICE,
        memory_mb: 110,
    }; NODES];
    let mut site = Site::start_with(record, CONTROLS, &plans)?;
    record.note("all machines are started");
    if has_trouble {
        sleep(KILLED_AFTER);
        site.lose_control(0)?;
        sleep(DOWN);
        site.restart_control(0)?;
    }
    for node in 0..NODES {
        let work = Duration::from_millis(5);
        let backend = Backend::start(record, site.app(node), SERVICE, work, 1)?;
        backend.report_regularly(site.admin(node));
    }
    let started = Instant::now();
    let mut client = KeptClient::new(site.outbound(0));
    let mut is_accepted = false;
    let mut served = 0;
    let mut refused = 0;
    let mut number = 0;
    while started.elapsed() < LIMIT && served < 20 {
        if !is_accepted {
            is_accepted = put(record, &site, (number % u64::from(CONTROLS)) as u8);
        }
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "lots.example"),
            ("Request-Id", &id),
            ("Deadline-Ms", "1200"),
        ];
        let answer = client.send(
            &request("GET /price/lot", &headers, b""),
            Duration::from_secs(2),
        );
        let text = match &answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        record.log(&format!("client: {id} answered {text}"));
        match answer.is_ok_and(|answer| answer.status() == 200) {
            true => served += 1,
            false => refused += 1,
        }
        number += 1;
        sleep(Duration::from_millis(500));
    }
    record.note(&format!(
        "{served} requests served, {refused} not; configuration acknowledged: {is_accepted}; {} of \
         {CONTROLS} control instances run",
        site.running_controls()
    ));
    Ok(match served {
        0 => Verdict::Broken,
        _ => Verdict::Held,
    })
}

/// Puts the first configuration at one control instance, and follows a redirect.
fn put(record: &Record, site: &Site, number: u8) -> bool {
    let headers = [("Content-Type", "application/json")];
    let put = request("PUT /-/config", &headers, CONFIGURATION.as_bytes());
    let mut target = site.control_admin(number);
    for _ in 0..3 {
        let answer = match send_once(target, &put, Duration::from_secs(1)) {
            Ok(answer) => answer,
            Err(error) => {
                record.log(&format!(
                    "operator: control {number} gave no answer: {error}"
                ));
                return false;
            }
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.log(&format!(
            "operator: control {number} answered {} {body}",
            answer.status()
        ));
        let location = answer.header("location").unwrap_or_default();
        let host = location.trim_start_matches("http://").split('/').next();
        match host.and_then(|host| host.parse().ok()) {
            Some(next) => target = next,
            None => return answer.status() == 200,
        }
    }
    false
}
