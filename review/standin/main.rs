//! Stand-ins for clients, backends, the operator and the platform, and the scripts of the review.
//!
//! `standin CASE FOLDER` runs one case, writes `record.txt` into FOLDER, and exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption
//! out.

mod backend;
mod drain;
mod founder;
mod frame;
mod http;
mod late;
mod orders;
mod platform;
mod record;
mod requests;
mod stop;
mod twice;

use record::Record;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        platform::stop_not_run("usage: standin CASE FOLDER");
    };
    let record = Record::create(&format!("{folder}/record.txt"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "stop" => stop::run(&record, has_trouble),
        "drain" => drain::run(&record, has_trouble),
        "founder" => founder::run(&record, has_trouble),
        "frame" => frame::run(&record, has_trouble),
        "late" => late::run(&record, has_trouble),
        "twice" => twice::run(&record, has_trouble),
        "orders" => orders::run(&record, has_trouble),
        _ => platform::stop_not_run("unknown case"),
    };
    let broken = match verdict {
        Ok(()) => {
            record.line("the rule held");
            0
        }
        Err(reason) => {
            record.line(format!("RULE BROKEN: {reason}"));
            1
        }
    };
    std::process::exit(broken);
}
