//! Stand-ins for the cases of this review: platform, backends, operator and clients.
//!
//! `standin-3 CASE FOLDER` plays a case and writes `record.txt` there. Without trouble if the
//! environment has `TROUBLE=0`. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run.

mod backend;
mod first;
mod frozen;
mod growth;
mod http;
mod keys;
mod operator;
mod platform;
mod record;
mod writer;

use record::Record;

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &words[..] else {
        eprintln!("usage: standin-3 CASE FOLDER");
        std::process::exit(COULD_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(folder);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "keys" => keys::run(&record, trouble),
        "frozen" => frozen::run(&record, trouble),
        "growth" => growth::run(&record, trouble),
        "first" => first::run(&record, trouble),
        "writer" => writer::run(&record, trouble),
        _ => COULD_NOT_RUN,
    }));
    let outcome = outcome.unwrap_or(COULD_NOT_RUN);
    let word = ["held", "broken", "could not run"][outcome as usize];
    record.line(&format!("trouble: {trouble}; result: {word}"));
    std::process::exit(outcome);
}
