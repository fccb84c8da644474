//! Compares `docs/OPERATIONS.md` with the program.

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use kumquatlock_testkit::caller::HttpCaller;
use kumquatlock_testkit::process::{free_address, wait_for};
use kumquatlock_testkit::reference::{documented_names, flags_of, metrics_of};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const PROGRAM: &str = env!("CARGO_BIN_EXE_kumquatlock-node");
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Node process that is killed when the value is dropped at the end of the test.
struct RunningNode(Child);

impl Drop for RunningNode {
    fn drop(&mut self) {
        // Errors are ignored, since the process may already have exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against flags that are missing on the operations page, and against removed flags that it
/// still lists.
#[test]
fn the_operations_page_lists_every_flag() {
    let mut program = Command::new(PROGRAM);
    let output = program.args(["serve", "--help"]).output().unwrap();
    let flags = flags_of(&String::from_utf8(output.stdout).unwrap());
    assert!(!flags.is_empty());
    assert_eq!(flags, documented_names(PAGE, "### kumquatlock-node serve"));
}

/// Guards against metrics that are missing on the operations page, and against removed metrics that
/// it still lists.
#[test]
fn the_operations_page_lists_every_metric() {
    let addresses: Vec<_> = (0..4).map(|_| free_address().unwrap()).collect();
    let mut program = Command::new(PROGRAM);
    program.args(["serve", "--name", "node", "--zone", "z", "--region", "r"]);
    let flags = ["--listen", "--http", "--upstream-http", "--parents"];
    for (flag, address) in flags.iter().zip(&addresses) {
        program.args([*flag, &address.to_string()]);
    }
    let _node = RunningNode(program.stderr(Stdio::null()).spawn().unwrap());
    let caller = HttpCaller::new(addresses[1]);
    // The answer metrics appear with the first answer. Without a parent, it is a refusal.
    let refused = wait_for("the node answers", START_TIMEOUT, || caller.get("/"));
    assert_eq!(refused.unwrap().status, 503);
    let page = caller.get("/metrics").unwrap();
    let documented = documented_names(PAGE, "### Metrics of a node");
    assert_eq!(metrics_of(&page.text()), documented);
}
