//! Stand-ins for the scripts of the second review: the platform that starts the programs, the
//! operator, clients and backends. Uses the standard library only.
//!
//! `standin CASE RECORD` plays one case and writes what was sent, answered and run to RECORD. Exit
//! status 1: the rule was broken; 0: it held; 2: the case could not run.

mod backend;
mod foreign;
mod founder;
mod http;
mod leave;
mod memory;
mod record;
mod site;
mod system;
mod truncated;

use std::process::exit;
use std::time::Duration;
use std::{env, thread};

use record::Record;

/// Time after which a case that has not ended counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// Error that keeps a case from running.
pub type CaseError = Box<dyn std::error::Error>;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, rest @ ..] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    if case == "backend" {
        backend::run_process(rest);
        return;
    }
    let Some(path) = rest.first() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            exit(2);
        }
    };
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        late.note("the case did not end in time");
        system::end_started();
        exit(2);
    });
    record.note(&format!("case {case}, trouble {has_trouble}"));
    let result = match case.as_str() {
        "foreign" => foreign::run(&record, has_trouble),
        "truncated" => truncated::run(&record, has_trouble),
        "founder" => founder::run(&record, has_trouble),
        "leave" => leave::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        _ => Err("unknown case".into()),
    };
    system::end_started();
    let status = match result {
        Ok(Verdict::Held) => {
            record.note("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.note("verdict: the rule was broken");
            1
        }
        Err(error) => {
            record.note(&format!("verdict: could not run: {error}"));
            2
        }
    };
    exit(status);
}
