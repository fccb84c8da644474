//! Case: the configuration that takes the last key away.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Reply};
use crate::http::{encode, exchange};
use crate::operator::{Route, configuration, put};
use crate::platform::{Deployment, Mesh};
use crate::record::Record;
use crate::{BROKEN, COULD_NOT_RUN, HELD};

const KEY: &str = "k-5d0c9a17e2";
const HOST: &str = "hulo84.example";
const REVOKE: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> i32 {
    let mut deployment = Deployment::default();
    deployment
        .bounds
        .extend(["strict_revoke=true", "revoke=5000ms"]);
    deployment.contracts.push("tenants");
    let mesh = Mesh::start(&deployment, 3, &["booking", "booking"]);
    let backends: Vec<Arc<Backend>> = mesh
        .nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            let id = format!("i-{index}");
            let answer = Arc::new(|_: &crate::backend::Run| {
                Reply(b"booked".to_vec(), Duration::from_millis(20))
            });
            Backend::start(node.app(), node.admin(), "booking", &id, 9, answer)
        })
        .collect();
    let operators: Vec<_> = mesh.cores.iter().map(|core| core.admin()).collect();
    let route = |extra| Route {
        name: "r-book",
        host: HOST,
        prefix: "/book/",
        kind: "non_idempotent",
        service: "booking",
        extra,
    };
    let tenants =
        format!(",\"tenants\":{{\"dojo\":{{\"name\":\"dojo\",\"api_keys\":[\"{KEY}\"]}}}}");
    let first = configuration(3, 0, &[route("")], &["booking"], &tenants);
    let status = put(&operators, &first, Duration::from_secs(20));
    record.line(&format!("PUT r3, one tenant with one key: {status}"));
    if status != 200 || !mesh.wait_ready(Duration::from_secs(20)) {
        record.line("the mesh did not start");
        return COULD_NOT_RUN;
    }
    let send = |id: &str, node: usize, key: Option<&str>| {
        let mut fields = vec![
            format!("Host: {HOST}"),
            format!("Request-Id: {id}"),
            "Deadline-Ms: 4000".to_owned(),
        ];
        fields.extend(key.map(|key| format!("Authorization: Token {key}")));
        let request = encode("POST", "/book/visit", &fields, b"{}");
        let answer = exchange(
            mesh.nodes[node].outbound(),
            &request,
            Duration::from_secs(5),
        );
        let status = answer.map_or(0, |answer| answer.status);
        record.line(&format!(
            "request {id} at node {node}, key {}: {status}",
            key.unwrap_or("none")
        ));
        status
    };
    // Until both nodes serve by the first configuration.
    let until = Instant::now() + Duration::from_secs(15);
    let mut warm = 0;
    while warm < 2 && Instant::now() < until {
        warm = (0..2)
            .filter(|node| send(&format!("warm{node}"), *node, Some(KEY)) == 200)
            .count();
        thread::sleep(Duration::from_millis(300));
    }
    if warm < 2 {
        return COULD_NOT_RUN;
    }
    if send("wrong", 0, Some("k-unknown")) != 401 || send("nokey", 0, None) != 401 {
        record.line("a request without a proper key was not refused");
        return COULD_NOT_RUN;
    }
    let mut acknowledged = Instant::now();
    if trouble {
        let second = configuration(7, 3, &[route("")], &["booking"], ",\"tenants\":{}");
        let status = put(&operators, &second, Duration::from_secs(10));
        acknowledged = Instant::now();
        record.line(&format!(
            "PUT r7, which takes the last key away (\"tenants\":{{}}): {status}"
        ));
        if status != 200 {
            record.line("the configuration was refused, so no key was taken away");
            return HELD;
        }
    }
    thread::sleep(REVOKE + Duration::from_secs(1));
    for node in 0..2 {
        send(&format!("late{node}"), node, Some(KEY));
        send(&format!("keyless{node}"), node, None);
    }
    thread::sleep(Duration::from_millis(300));
    let mut broken = 0;
    for backend in &backends {
        for run in backend.runs.lock().unwrap().iter() {
            let key = run.head.get("authorization").unwrap_or("none");
            let tenant = run.head.get("tenant-id").unwrap_or("none");
            record.line_at(
                run.at,
                &format!(
                    "{} ran {}: Tenant-Id {tenant}, Authorization {key}",
                    run.instance, run.id
                ),
            );
            let is_late = run.at > acknowledged + REVOKE;
            broken += u32::from(trouble && is_late && run.id.starts_with("late"));
        }
    }
    record.line(&format!(
        "requests with the key that ran later than revoke after the acknowledgement: {broken}"
    ));
    if broken > 0 { BROKEN } else { HELD }
}
