//! Answers to a resent change while the leadership changes, between voters in distant regions.
//!
//! A leader that has just been elected may hold committed entries in its log that it has not
//! applied. It learns that they are committed with the first entry of its own term, which takes at
//! least one round trip.

use std::cell::Cell;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::TcpStream;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use kumquatlock_testkit::caller::{HttpRequest, HttpResponse};
use kumquatlock_testkit::process::{ControlInstance, Mesh, wait_for};
use kumquatlock_testkit::relay::TcpRelay;
use serde_json::{Value, json};

use crate::group::{
    VoterRelays, WAIT_TIMEOUT, manifest, relays_of, start_with_relays, status,
    submit_until_decided, wait_leader, wait_status,
};

/// Delay in each direction between two voters in different regions.
const REGION_DELAY: Duration = Duration::from_millis(30);

/// Time after which an operator that got no answer sends its change again.
const RESEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Times from sending a change to the kill. The shortest ones end the leader before another voter
/// has the change, the longest one about when the change is accepted.
const KILL_DELAYS: [Duration; 5] = [
    Duration::from_millis(1),
    Duration::from_millis(3),
    Duration::from_millis(8),
    Duration::from_millis(20),
    Duration::from_millis(60),
];

/// Starts three voters with [`REGION_DELAY`] between each two of them.
fn start_in_regions() -> (Mesh, VoterRelays) {
    let (mesh, relays) = start_with_relays();
    for (_, relay) in &relays {
        relay.set_delay(REGION_DELAY);
    }
    wait_leader(&mesh, &[0, 1, 2]);
    (mesh, relays)
}

/// Returns a manifest that must follow the accepted version `base`. It has a source, without which
/// the newest manifest could not be read back.
fn change(version: u64, base: u64) -> Value {
    let mut change = manifest(version);
    change["follows"] = json!(base);
    change["source"] = json!(format!("change {version}"));
    change["routes"][0]["prefix"] = json!(format!("/booking-{version}"));
    change
}

fn accept(instance: &ControlInstance, change: &Value) {
    let (code, answer) = submit_until_decided(instance, change);
    assert_eq!(code, 200, "{answer}");
}

/// Kills the voters at the same moment.
fn kill_all(mesh: &mut Mesh) {
    thread::scope(|scope| {
        for instance in &mut mesh.controls {
            scope.spawn(|| instance.process.kill().unwrap());
        }
    });
}

/// An answer that decides on a change: any but 503 and 504.
struct DecidedAnswer {
    /// Index of the instance that the change was sent to.
    instance: usize,
    status: u16,
    body: Value,
    received: SystemTime,
}

/// An operator that sends one change again and again until it is decided. An answer that arrives
/// after the resend counts as well.
struct ResendingOperator {
    request: HttpRequest,
    sender: Sender<(usize, Option<HttpResponse>)>,
    receiver: Receiver<(usize, Option<HttpResponse>)>,
    /// Number of sends whose answer, or failure, has not been received.
    unanswered: Cell<usize>,
}

impl ResendingOperator {
    fn new(change: &Value) -> Self {
        let (sender, receiver) = channel();
        ResendingOperator {
            request: HttpRequest::post("/v1/manifests", change.to_string()),
            sender,
            receiver,
            unanswered: Cell::new(0),
        }
    }

    /// Sends the change without waiting for the answer.
    fn send(&self, mesh: &Mesh, instance: usize) {
        let caller = mesh.controls[instance].caller();
        let request = self.request.clone();
        let sender = self.sender.clone();
        self.unanswered.update(|count| count + 1);
        thread::spawn(move || {
            // Fails only if the operator has stopped waiting for answers.
            let _ = sender.send((instance, caller.send(&request).ok()));
        });
    }

    /// Waits for an answer that decides on the change. Returns `None` if the next answer does not,
    /// or if there is none in time.
    fn receive(&self, timeout: Duration) -> Option<DecidedAnswer> {
        let (instance, response) = match self.receiver.recv_timeout(timeout) {
            Ok(received) => received,
            Err(RecvTimeoutError::Timeout) => return None,
            Err(RecvTimeoutError::Disconnected) => unreachable!("the operator keeps a sender"),
        };
        self.unanswered.update(|count| count - 1);
        let response = response.filter(|response| !matches!(response.status, 503 | 504))?;
        Some(DecidedAnswer {
            instance,
            status: response.status,
            body: response.json(),
            received: SystemTime::now(),
        })
    }

    /// Waits for a decision until `deadline`, without sending again.
    fn receive_until(&self, deadline: Instant) -> Option<DecidedAnswer> {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let answer = self.receive(remaining);
            if answer.is_some() || remaining.is_zero() {
                return answer;
            }
        }
    }

    /// Sends the change to the instances in turn until `is_last` returns true for a decision, and
    /// returns that decision.
    fn resend_until(
        &self,
        mesh: &Mesh,
        instances: &[usize],
        mut is_last: impl FnMut(&DecidedAnswer) -> bool,
    ) -> DecidedAnswer {
        let mut next_instances = instances.iter().cycle();
        let mut last_decision = String::new();
        wait_for("last decision", WAIT_TIMEOUT, || {
            let instance = next_instances.next().unwrap();
            self.send(mesh, *instance);
            let Some(answer) = self.receive(RESEND_TIMEOUT) else {
                return Err(last_decision.clone());
            };
            last_decision = format!("{} {}", answer.status, answer.body);
            match is_last(&answer) {
                true => Ok(answer),
                false => Err(last_decision.clone()),
            }
        })
        .unwrap()
    }

    /// Sends the change to the instances in turn until each of them has accepted it, or until an
    /// answer refuses it, which ends the call of an operator.
    fn resend_until_decided(&self, mesh: &Mesh, instances: &[usize]) -> DecidedAnswer {
        let mut accepting = Vec::new();
        self.resend_until(mesh, instances, |answer| {
            if !accepting.contains(&answer.instance) {
                accepting.push(answer.instance);
            }
            answer.status != 200 || accepting.len() == instances.len()
        })
    }

    /// Waits for the answers to all sends so far and returns one that refuses the change.
    fn late_refusal(&self) -> Option<DecidedAnswer> {
        let mut late_answers = (0..self.unanswered.get()).map(|_| self.receive(WAIT_TIMEOUT));
        late_answers.find_map(|answer| answer.filter(|answer| answer.status != 200))
    }
}

/// Waits until all voters have applied the same configuration, which the leader has confirmed to be
/// the newest one, and returns its manifest version.
fn wait_newest_version(mesh: &Mesh) -> u64 {
    let leader = wait_leader(mesh, &[0, 1, 2]);
    wait_for("confirmed source", WAIT_TIMEOUT, || {
        let answer = mesh.controls[leader].caller().get("/v1/source");
        match answer.map_err(|error| error.to_string())? {
            answer if answer.status == 200 => Ok(()),
            answer => Err(answer.text()),
        }
    })
    .unwrap();
    let newest = status(&mesh.controls[leader]).unwrap()["manifest_version"].clone();
    for instance in &mesh.controls {
        wait_status(instance, "manifest_version", &newest);
    }
    newest.as_u64().unwrap()
}

/// Returns the time of day in UTC, as it is in the time stamps of the logs.
fn time_of_day(time: SystemTime) -> String {
    let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let seconds = since_epoch.as_secs() % 86_400;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    let micros = since_epoch.subsec_micros();
    format!("{hours:02}:{minutes:02}:{:02}.{micros:06}", seconds % 60)
}

/// Returns the log lines of the last start of an instance that show when it led and when it applied
/// the manifest.
fn decision_log(instance: &ControlInstance, version: u64) -> Vec<Value> {
    let records = instance.process.log_records();
    let started = records
        .iter()
        .rposition(|record| record["event"] == "started");
    let is_shown = |record: &Value| {
        record["role"] == "leader"
            || (record["event"] == "manifest_accepted" && record["manifest_version"] == version)
    };
    let records = records.into_iter().skip(started.unwrap_or(0));
    records.filter(is_shown).collect()
}

/// Starts the voters that are not running.
fn restart_stopped(mesh: &mut Mesh) {
    for instance in &mut mesh.controls {
        if instance.process.status().unwrap().is_some() {
            instance.process.restart().unwrap();
        }
        instance.wait_ready().unwrap();
    }
}

/// Starts the voters that are not running, and returns what is wrong with the decision on the change
/// `version`, which follows an acknowledged one: it must be accepted. A refused change must not be
/// in force afterwards.
fn check_decision(
    mesh: &mut Mesh,
    case: &str,
    operator: &ResendingOperator,
    answer: DecidedAnswer,
    version: u64,
) -> Option<String> {
    let is_accepted = answer.status == 200;
    let refusal = match is_accepted {
        true => operator.late_refusal(),
        false => Some(answer),
    };
    restart_stopped(mesh);
    let newest = wait_newest_version(mesh);
    assert!(
        !is_accepted || newest >= version,
        "{case}: accepted version {version} was lost, {newest} is in force"
    );
    let answer = refusal?;
    let mut fault = format!(
        "{case}: {} refused version {version} at {} with {} {}; afterwards version {newest} is in \
         force at all voters\n",
        mesh.controls[answer.instance].flags.name,
        time_of_day(answer.received),
        answer.status,
        answer.body,
    );
    for instance in &mesh.controls {
        for line in decision_log(instance, version) {
            writeln!(fault, "    {}: {line}", instance.flags.name).unwrap();
        }
    }
    Some(fault)
}

/// When the voters are killed.
#[derive(Clone, Copy, Debug)]
enum KillTime {
    AfterSending(Duration),
    AfterAcceptance,
}

/// Sends a change and waits until the voters are to be killed.
fn send_until_kill(operator: &ResendingOperator, mesh: &Mesh, leader: usize, kill: KillTime) {
    match kill {
        KillTime::AfterSending(delay) => {
            operator.send(mesh, leader);
            let answer = operator.receive_until(Instant::now() + delay);
            assert!(answer.is_none_or(|answer| answer.status == 200));
        }
        KillTime::AfterAcceptance => {
            let answer = operator.resend_until_decided(mesh, &[leader]);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
}

/// For each kill time, kills all voters after a change was sent, starts the one that led and one that
/// was down for the acknowledged change before it, and sends the change again. Fails unless it is
/// accepted each time.
fn check_restarts_of_all_voters(kill_times: &[KillTime]) {
    let (mut mesh, _relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    let mut faults = Vec::new();
    for kill in kill_times {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        let behind = (leader + 1) % 3;
        mesh.controls[behind].process.kill().unwrap();
        accept(&mesh.controls[leader], &change(version + 1, version));
        let operator = ResendingOperator::new(&change(version + 2, version + 1));
        send_until_kill(&operator, &mesh, leader, *kill);
        kill_all(&mut mesh);
        let started = [leader, behind];
        for index in started {
            mesh.controls[index].process.restart().unwrap();
        }
        let answer = operator.resend_until_decided(&mesh, &started);
        let case = format!("killed {kill:?}");
        faults.extend(check_decision(
            &mut mesh,
            &case,
            &operator,
            answer,
            version + 2,
        ));
        version = wait_newest_version(&mesh);
    }
    assert!(faults.is_empty(), "{}", faults.concat());
}

/// Guards against a new leader that refuses a change because it has not applied the entries of its
/// own log, although the change, or the one that it follows, is committed: all voters were killed
/// before the change was answered, and it is sent again.
#[test]
fn a_change_cut_off_by_a_restart_of_all_voters_is_not_refused() {
    check_restarts_of_all_voters(&KILL_DELAYS.map(KillTime::AfterSending));
}

/// Guards against a new leader that refuses a change that was acknowledged: all voters were killed
/// after that, and the change is sent again.
#[test]
fn an_acknowledged_change_is_not_refused_after_a_restart_of_all_voters() {
    check_restarts_of_all_voters(&[KillTime::AfterAcceptance; 5]);
}

/// Guards against a new leader that refuses a change whose answer was lost because the leader was
/// killed.
#[test]
fn a_change_cut_off_by_a_kill_of_the_leader_is_not_refused() {
    let (mut mesh, _relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    let mut faults = Vec::new();
    for delay in KILL_DELAYS {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        accept(&mesh.controls[leader], &change(version + 1, version));
        let operator = ResendingOperator::new(&change(version + 2, version + 1));
        send_until_kill(&operator, &mesh, leader, KillTime::AfterSending(delay));
        mesh.controls[leader].process.kill().unwrap();
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        let answer = operator.resend_until_decided(&mesh, &others);
        let case = format!("leader killed after {delay:?}");
        faults.extend(check_decision(
            &mut mesh,
            &case,
            &operator,
            answer,
            version + 2,
        ));
        version = wait_newest_version(&mesh);
    }
    assert!(faults.is_empty(), "{}", faults.concat());
}

/// Guards against a new leader that refuses a change because the one that it follows is in its log
/// but not applied: the leader was killed after it acknowledged that one, before the others heard
/// that it was committed.
#[test]
fn a_change_that_follows_the_last_one_of_a_killed_leader_is_not_refused() {
    let (mut mesh, relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    let mut faults = Vec::new();
    for case in 0..5 {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        accept(&mesh.controls[leader], &change(version + 1, version));
        // Drops what the leader has sent since; the relays have held it for less than their delay.
        relays_of(&relays, leader).for_each(TcpRelay::stall);
        mesh.controls[leader].process.kill().unwrap();
        relays_of(&relays, leader).for_each(TcpRelay::close_open);
        relays_of(&relays, leader).for_each(TcpRelay::resume);
        let operator = ResendingOperator::new(&change(version + 2, version + 1));
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        let answer = operator.resend_until_decided(&mesh, &others);
        let case = format!("case {case}");
        faults.extend(check_decision(
            &mut mesh,
            &case,
            &operator,
            answer,
            version + 2,
        ));
        version = wait_newest_version(&mesh);
    }
    assert!(faults.is_empty(), "{}", faults.concat());
}

/// Guards against a new leader that refuses a change because the one that it follows is in its log
/// but not applied: the old leader handed over right after it acknowledged that one.
#[test]
fn a_change_that_follows_the_last_one_before_a_hand_over_is_not_refused() {
    let (mut mesh, _relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    let mut faults = Vec::new();
    for case in 0..5 {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        accept(&mesh.controls[leader], &change(version + 1, version));
        mesh.controls[leader].process.terminate().unwrap();
        let operator = ResendingOperator::new(&change(version + 2, version + 1));
        let answer = operator.resend_until_decided(&mesh, &others);
        let process = &mut mesh.controls[leader].process;
        process.expect_success(WAIT_TIMEOUT).unwrap();
        let case = format!("case {case}");
        faults.extend(check_decision(
            &mut mesh,
            &case,
            &operator,
            answer,
            version + 2,
        ));
        version = wait_newest_version(&mesh);
    }
    assert!(faults.is_empty(), "{}", faults.concat());
}

/// Guards against a refusal, by either leader, of a change that is sent while the leader hands over,
/// or of the change after it, which the new leader accepts while the old one still stops.
#[test]
fn a_change_in_progress_during_a_hand_over_is_not_refused() {
    let (mut mesh, _relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    let mut faults = Vec::new();
    for delay in KILL_DELAYS {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        accept(&mesh.controls[leader], &change(version + 1, version));
        let operator = ResendingOperator::new(&change(version + 2, version + 1));
        send_until_kill(&operator, &mesh, leader, KillTime::AfterSending(delay));
        mesh.controls[leader].process.terminate().unwrap();
        operator.send(&mesh, leader);
        let answer = operator.resend_until_decided(&mesh, &others);
        let next_operator = ResendingOperator::new(&change(version + 3, version + 2));
        let next_answer = (answer.status == 200).then(|| {
            next_operator.send(&mesh, leader);
            next_operator.resend_until_decided(&mesh, &others)
        });
        let process = &mut mesh.controls[leader].process;
        process.expect_success(WAIT_TIMEOUT).unwrap();
        let case = format!("leader told to stop after {delay:?}");
        let fault = check_decision(&mut mesh, &case, &operator, answer, version + 2);
        faults.extend(fault);
        if let Some(answer) = next_answer {
            let fault = check_decision(&mut mesh, &case, &next_operator, answer, version + 3);
            faults.extend(fault);
        }
        version = wait_newest_version(&mesh);
    }
    assert!(faults.is_empty(), "{}", faults.concat());
}

/// Sends a change to a paused instance, so that it is the first request that the instance receives
/// once it resumes. The instance cannot accept the connection yet, but the operating system does.
fn send_to_paused(instance: &ControlInstance, change: &Value) -> TcpStream {
    let body = change.to_string();
    let head = format!(
        "POST /v1/manifests HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(instance.flags.http).unwrap();
    connection.write_all((head + &body).as_bytes()).unwrap();
    connection
}

/// Returns the status and the text of the response on a connection that is closed after it.
fn receive_response(mut connection: TcpStream) -> (u16, String) {
    connection.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut response = String::new();
    connection.read_to_string(&mut response).unwrap();
    let status = response.split(' ').nth(1);
    (status.unwrap().parse().unwrap(), response)
}

/// Guards against a leader that was paused, has been replaced without knowing it, and refuses a
/// change that follows one which the new leader accepted. The links of the paused leader are down in
/// every second case, so that it has received nothing from the new leader.
#[test]
fn a_replaced_leader_that_was_paused_refuses_nothing() {
    let (mut mesh, relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    wait_newest_version(&mesh);
    for is_cut_off in [true, false, true, false, true, false] {
        let old = wait_leader(&mesh, &[0, 1, 2]);
        let others = [(old + 1) % 3, (old + 2) % 3];
        if is_cut_off {
            relays_of(&relays, old).for_each(TcpRelay::stall);
        }
        mesh.controls[old].process.pause().unwrap();
        let new = wait_leader(&mesh, &others);
        for next in [version + 1, version + 2] {
            accept(&mesh.controls[new], &change(next, next - 1));
        }
        let next_change = change(version + 3, version + 2);
        let connection = send_to_paused(&mesh.controls[old], &next_change);
        mesh.controls[old].process.resume().unwrap();
        let (code, response) = receive_response(connection);
        assert!(matches!(code, 200 | 503 | 504), "{response}");
        relays_of(&relays, old).for_each(TcpRelay::resume);
        accept(&mesh.controls[old], &next_change);
        version = wait_newest_version(&mesh);
    }
}

/// Returns when the newest leader was elected, as its log says.
fn election_time(mesh: &Mesh) -> String {
    let logs = mesh.controls.iter();
    let records = logs.flat_map(|instance| instance.process.log_records());
    let elections = records.filter(|record| record["role"] == "leader");
    let times = elections.map(|record| record["ts"].as_str().unwrap().to_owned());
    times.max().unwrap()
}

/// Returns the milliseconds since midnight, of a time of the form `[<date>T]HH:MM:SS.ffffff[Z]`.
fn day_millis(time: &str) -> f64 {
    let time_of_day = time.rsplit('T').next().unwrap().trim_end_matches('Z');
    let parts = time_of_day.split(':');
    let seconds = parts.fold(0.0, |sum, part| sum * 60.0 + part.parse::<f64>().unwrap());
    seconds * 1_000.0
}

/// Milliseconds from elections to the first decision and to the first acceptance.
#[derive(Default)]
struct DecisionTimes {
    decided: Vec<f64>,
    accepted: Vec<f64>,
    refused: usize,
}

impl DecisionTimes {
    /// Sends a change until it is accepted, also after a refusal.
    fn measure(&mut self, mesh: &Mesh, instances: &[usize], change: &Value) {
        let operator = ResendingOperator::new(change);
        let first = operator.resend_until(mesh, instances, |_| true);
        let accepted = match first.status {
            200 => first.received,
            _ => {
                self.refused += 1;
                let is_accepted = |answer: &DecidedAnswer| answer.status == 200;
                let answer = operator.resend_until(mesh, instances, is_accepted);
                answer.received
            }
        };
        let elected = day_millis(&election_time(mesh));
        let since_election = |time| day_millis(&time_of_day(time)) - elected;
        self.decided.push(since_election(first.received));
        self.accepted.push(since_election(accepted));
    }

    fn print(mut self, case: &str) {
        for (what, times) in [
            ("decision", &mut self.decided),
            ("acceptance", &mut self.accepted),
        ] {
            times.sort_by(f64::total_cmp);
            let (min, median) = (times[0], times[times.len() / 2]);
            let max = times[times.len() - 1];
            let runs = times.len();
            println!(
                "{case}: election to first {what}: median {median:.0} ms, {min:.0} to {max:.0} ms, \
                 {runs} runs"
            );
        }
        println!("{case}: refused first in {} runs", self.refused);
    }
}

/// Number of elections that are measured in each case; odd, so that one of them is the median.
const MEASURED_ELECTIONS: usize = 9;

/// Prints how long an operator waits for a decision after the election of a leader.
#[test]
#[ignore = "measurement; run with --ignored --nocapture"]
fn measure_the_time_from_election_to_decision() {
    let (mut mesh, _relays) = start_in_regions();
    let mut version = 1;
    accept(&mesh.controls[0], &change(version, 0));
    let mut after_restart = DecisionTimes::default();
    let mut after_kill = DecisionTimes::default();
    for _ in 0..MEASURED_ELECTIONS {
        let leader = wait_leader(&mesh, &[0, 1, 2]);
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        mesh.controls[others[0]].process.kill().unwrap();
        accept(&mesh.controls[leader], &change(version + 1, version));
        kill_all(&mut mesh);
        for index in [leader, others[0]] {
            mesh.controls[index].process.restart().unwrap();
        }
        let next = change(version + 2, version + 1);
        after_restart.measure(&mesh, &[leader, others[0]], &next);
        restart_stopped(&mut mesh);
        version = wait_newest_version(&mesh);

        let leader = wait_leader(&mesh, &[0, 1, 2]);
        let others = [(leader + 1) % 3, (leader + 2) % 3];
        mesh.controls[leader].process.kill().unwrap();
        after_kill.measure(&mesh, &others, &change(version + 1, version));
        restart_stopped(&mut mesh);
        version = wait_newest_version(&mesh);
    }
    after_restart.print("restart of all voters, one behind");
    after_kill.print("kill of the leader");
}

/// Guards against a new leader that reports an accepted manifest as unknown because it has not
/// applied the entries of its own log.
#[test]
fn an_accepted_manifest_is_not_unknown_after_a_restart_of_all_voters() {
    let (mut mesh, _relays) = start_in_regions();
    accept(&mesh.controls[0], &change(1, 0));
    for restart in 1..=5 {
        wait_leader(&mesh, &[0, 1, 2]);
        kill_all(&mut mesh);
        for instance in &mut mesh.controls {
            instance.process.restart().unwrap();
        }
        let mut instances = [0, 1, 2].into_iter().cycle();
        let shown = wait_for("state of the manifest", WAIT_TIMEOUT, || {
            let caller = mesh.controls[instances.next().unwrap()].caller();
            let answer = caller.get("/v1/manifests/1");
            let answer = answer.map_err(|error| error.to_string())?;
            match answer.status {
                503 | 504 => Err(answer.text()),
                _ => Ok(answer),
            }
        });
        let shown = shown.unwrap();
        assert_eq!(shown.status, 200, "restart {restart}: {}", shown.text());
    }
}
