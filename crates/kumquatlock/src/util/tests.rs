//! Tests of the utilities, and values that the tests of other modules share.

pub(crate) mod arbitrary;

use std::ffi::OsString;
use std::fmt::Debug;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::ffi::OsStringExt;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use indexmap::IndexMap;
use log::{Level, Record};

use super::cancel::CancelToken;
use super::log_quota::{LogQuota, QuotaStep};
use super::log_writer::LineQueue;
use super::logging::{LogFilter, MAX_FIELD_BYTES, write_record};
use super::settings::*;
use super::signals::{StopSignal, install_stop_handler};
use super::trace::{IdSource, SeededIds, TraceContext, TraceError};
use crate::core::{RequestClass, Timestamp};

fn assert_all_refused<T: SettingValue + Debug>(texts: &[&str]) {
    let spec = SettingSpec::<T>::new("some-flag", "flag under test");
    for text in texts {
        let error = spec
            .resolve(Some(text), &IndexMap::new())
            .expect_err(text)
            .to_string();
        assert!(error.contains("--some-flag"), "{error}");
        assert!(error.contains("KUMQUATLOCK_SOME_FLAG"), "{error}");
    }
}

/// Guards against a malformed setting that passes validation and causes a failure later.
#[test]
fn malformed_values_are_refused() {
    assert_all_refused::<DurationMillis>(&[
        "",
        " ",
        "0",
        "-1",
        "+5",
        "5 ",
        "5ms",
        "1e3",
        "1.5",
        "0x10",
        "3600001",
        "٣",
        "18446744073709551616",
        "99999999999999999999999999",
    ]);
    assert_all_refused::<ItemCount>(&["", "4294967296", "1_000", "many", "\n1"]);
    assert_all_refused::<CheckedName>(&[
        "",
        "A",
        "a b",
        "a_b",
        "a/b",
        "á",
        "a\0",
        "a=b",
        "a,b",
        &"a".repeat(64),
    ]);
    assert_all_refused::<SocketAddr>(&[
        "",
        "127.0.0.1",
        "localhost:80",
        ":80",
        "127.0.0.1:",
        "127.0.0.1:65536",
        "1.2.3:80",
        "127.0.0.1:80 ",
        "::1:80",
        "[::1]",
        "256.0.0.1:80",
        "http://127.0.0.1:80",
    ]);
    let many = (1..=65).map(|port| format!("127.0.0.1:{port}"));
    assert_all_refused::<AddressList>(&[
        "",
        ",",
        "127.0.0.1:1,",
        ",127.0.0.1:1",
        "127.0.0.1:1;127.0.0.1:2",
        "127.0.0.1:1, 127.0.0.1:2",
        "127.0.0.1:1,127.0.0.1:1",
        "127.0.0.1:0",
        "0.0.0.0:1",
        "224.0.0.1:1",
        "[::]:1",
        &many.collect::<Vec<_>>().join(","),
    ]);
    assert_all_refused::<ReachableAddress>(&[
        "",
        "localhost:1",
        "127.0.0.1",
        "127.0.0.1:0",
        "0.0.0.0:1",
        "224.0.0.1:1",
        "[::]:1",
    ]);
    assert_all_refused::<NamedAddresses>(&[
        "",
        "a",
        "a=",
        "=127.0.0.1:1",
        "a=127.0.0.1:1,a=127.0.0.1:2",
        "a=127.0.0.1:1,b=127.0.0.1:1",
        "A=127.0.0.1:1",
        "a=b=127.0.0.1:1",
        "a=127.0.0.1:1,",
        "127.0.0.1:1",
    ]);
    assert_all_refused::<PathBuf>(&["", "a\0b", &"p".repeat(4_096)]);
    assert_all_refused::<EnumChoice<RequestClass>>(&["", "Lookup", "at_most_once", "lookup "]);
    assert_all_refused::<LogFilter>(&["", "loud", "=info", "a=", "info,", "a=info=b", " info"]);
}

#[test]
fn well_formed_values_are_accepted() {
    fn accept<T: SettingValue>(text: &str) -> T {
        let spec = SettingSpec::<T>::new("some-flag", "flag under test");
        spec.resolve(Some(text), &IndexMap::new()).unwrap()
    }
    assert_eq!(
        accept::<DurationMillis>("3600000").duration().as_secs(),
        3_600
    );
    assert_eq!(accept::<ItemCount>("0"), ItemCount(0));
    assert_eq!(&*accept::<CheckedName>(&"a".repeat(63)).0, "a".repeat(63));
    assert_eq!(accept::<SocketAddr>("[::1]:0").port(), 0);
    assert_eq!(accept::<ReachableAddress>("127.0.0.1:7").0.port(), 7);
    assert_eq!(
        accept::<AddressList>("127.0.0.1:2,127.0.0.1:1").0[0].port(),
        2
    );
    let voters = accept::<NamedAddresses>("v.1=127.0.0.1:1,v-2=127.0.0.1:2").0;
    assert_eq!(voters["v-2"].port(), 2);
    assert_eq!(
        accept::<EnumChoice<RequestClass>>("at-most-once").0,
        RequestClass::AtMostOnce
    );
    accept::<LogFilter>("warn,kumquatlock::agreement=debug");
}

const WAIT: SettingSpec<DurationMillis> = SettingSpec::new("max-wait-ms", "longest wait")
    .unit("ms")
    .range(10, 100)
    .default_value("50");

/// Guards against a wrong precedence of flag, variable and default, and against silently replacing
/// an invalid value by the one with the next lower precedence.
#[test]
fn a_flag_takes_precedence_over_a_variable_and_a_variable_over_a_default() {
    let mut variables = IndexMap::new();
    assert_eq!(WAIT.resolve(None, &variables), Ok(DurationMillis(50)));
    variables.insert("KUMQUATLOCK_MAX_WAIT_MS".to_owned(), OsString::from("60"));
    assert_eq!(WAIT.resolve(None, &variables), Ok(DurationMillis(60)));
    assert_eq!(WAIT.resolve(Some("70"), &variables), Ok(DurationMillis(70)));
    let error = WAIT.resolve(Some("101"), &variables).unwrap_err();
    assert_eq!(
        error.to_string(),
        "setting --max-wait-ms (KUMQUATLOCK_MAX_WAIT_MS): flag value \"101\" is invalid: \
         101 is outside of 10..=100"
    );
    for bad in [OsString::from(""), OsString::from_vec(vec![0xff, b'1'])] {
        variables.insert("KUMQUATLOCK_MAX_WAIT_MS".to_owned(), bad);
        let error = WAIT.resolve(None, &variables).unwrap_err();
        assert_eq!(error.rejected.unwrap().0, SettingOrigin::Variable);
    }
    let bad_default = SettingSpec::<ItemCount>::new("slots", "slots")
        .range(5, 9)
        .default_value("1");
    assert!(bad_default.resolve(None, &IndexMap::new()).is_err());
    let required = SettingSpec::<ItemCount>::new("slots", "slots");
    assert_eq!(required.resolve_optional(None, &IndexMap::new()), Ok(None));
    assert_eq!(
        required
            .resolve(None, &IndexMap::new())
            .unwrap_err()
            .to_string(),
        "setting --slots (KUMQUATLOCK_SLOTS) is required but not given"
    );
    assert_eq!(
        WAIT.describe(),
        "--max-wait-ms: longest wait (value 10..=100 ms, default 50, \
         variable KUMQUATLOCK_MAX_WAIT_MS)"
    );
}

/// Guards against values that make a log line invalid JSON.
#[test]
fn log_lines_are_json_with_stable_fields() {
    let long = "é".repeat(MAX_FIELD_BYTES);
    let pairs: [(&str, log::kv::Value<'_>); 7] = [
        ("count", 7_u64.into()),
        ("delta", (-7_i64).into()),
        ("ratio", f64::NAN.into()),
        ("up", true.into()),
        ("text", "a\"b\n\u{1}".into()),
        ("level", "shadow".into()),
        ("long", long.as_str().into()),
    ];
    let mut line = Vec::new();
    let now = UNIX_EPOCH + Duration::from_micros(1_709_251_199_000_042);
    write_record(
        &mut line,
        &Record::builder()
            .args(format_args!("node_started"))
            .level(Level::Warn)
            .target("kumquatlock::ops")
            .key_values(&pairs)
            .build(),
        now,
    )
    .unwrap();
    let line = String::from_utf8(line).unwrap();
    assert!(line.ends_with('\n') && line.lines().count() == 1);
    assert!(line.starts_with(
        r#"{"ts":"2024-02-29T23:59:59.000042Z","level":"WARN","target":"kumquatlock::ops","event":"node_started","count":7,"delta":-7,"ratio":null,"up":true,"#
    ), "{line}");
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["text"], "a\"b\n\u{1}");
    assert_eq!(value["kv_level"], "shadow");
    assert_eq!(value["long"].as_str().unwrap().len(), MAX_FIELD_BYTES);
}

/// Guards against a waiter that is not woken when an ancestor is cancelled.
#[test]
fn cancelling_a_token_wakes_only_its_descendants() {
    let root = CancelToken::new();
    let (left, right) = (root.child(), root.child());
    let leaf = left.child();
    let waiter = thread::spawn({
        let leaf = leaf.clone();
        move || leaf.wait_timeout(Duration::from_secs(30))
    });
    let started = Instant::now();
    left.cancel();
    assert!(waiter.join().unwrap());
    assert!(started.elapsed() < Duration::from_secs(10));
    assert!(leaf.is_cancelled() && !right.is_cancelled() && !root.is_cancelled());
    assert!(!right.wait_timeout(Duration::from_millis(5)));
    assert!(left.child().is_cancelled());
    root.cancel();
    assert!(right.wait_timeout(Duration::ZERO));
}

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[test]
fn child_spans_stay_in_the_trace() {
    let mut ids = SeededIds::new(1);
    let parent: TraceContext = TRACEPARENT.parse().unwrap();
    assert_eq!(parent.to_string(), TRACEPARENT);
    assert!(parent.is_sampled());
    let child = parent.child(&mut ids);
    assert_eq!(
        (child.trace_id, child.flags),
        (parent.trace_id, parent.flags)
    );
    assert_ne!(child.span_id, parent.span_id);
    assert_eq!(child, parent.child(&mut SeededIds::new(1)));
    let root = TraceContext::new_root(&mut ids);
    assert_eq!(root.to_string().parse(), Ok(root));
    let later = format!("cc{}-what-ever", &TRACEPARENT[2..]);
    assert_eq!(later.parse(), Ok(parent));
    struct ZeroIds;
    impl IdSource for ZeroIds {
        fn next_id(&mut self) -> u64 {
            0
        }
    }
    let root = TraceContext::new_root(&mut ZeroIds);
    assert_eq!(root.to_string().parse(), Ok(root));
}

/// Guards against accepting, and then forwarding, a trace context that other tools refuse.
#[test]
fn malformed_traceparents_are_refused() {
    let changed = |index: usize, byte: char| {
        let mut text = TRACEPARENT.to_owned();
        text.replace_range(index..index + 1, &byte.to_string());
        text
    };
    for index in [2, 35, 52] {
        assert_eq!(
            changed(index, '0').parse::<TraceContext>(),
            Err(TraceError::Separator)
        );
    }
    for index in [0, 1, 3, 34, 36, 51, 53, 54] {
        for byte in ['A', 'g', '-', ' ', '/', ':', '`'] {
            let error = changed(index, byte).parse::<TraceContext>().unwrap_err();
            assert!(
                matches!(error, TraceError::NotHex(_)),
                "{index} {byte} {error}"
            );
        }
    }
    for text in [
        "",
        "00",
        &TRACEPARENT[..54],
        &format!("{TRACEPARENT}-00"),
        &format!("cc{}0", &TRACEPARENT[2..]),
        &format!("ff{}", &TRACEPARENT[2..]),
        &format!("cc{}-{}", &TRACEPARENT[2..], "a".repeat(300)),
        &format!("00-{}-b7ad6b7169203331-01", "0".repeat(32)),
        &format!("00-0af7651916cd43dd8448eb211c80319c-{}-01", "0".repeat(16)),
        &"é".repeat(28),
    ] {
        assert!(text.parse::<TraceContext>().is_err(), "{text}");
    }
}

/// Guards against a process that ignores SIGTERM. The exit at the second signal would end the test
/// process; the testkit tests it on a child process.
#[test]
fn the_first_signal_calls_the_stop_handler() {
    let (sender, receiver) = mpsc::channel();
    let guard = install_stop_handler(move |signal| sender.send(signal).unwrap()).unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGTERM).unwrap();
    let signal = receiver.recv_timeout(Duration::from_secs(10)).unwrap();
    assert_eq!(signal, StopSignal::Terminate);
    drop(guard);
}

/// Guards against log volume that grows with the load, and against lines that are left out without
/// being counted.
#[test]
fn a_quota_limits_lines_and_reports_how_many_it_left_out() {
    let mut quota = LogQuota::new(10);
    let start = Timestamp::from_millis(5_000);
    let mut written = 0;
    let mut reported = 0;
    for millis in 0..10_000_u64 {
        if let QuotaStep::Write { left_out } = quota.take(start + Duration::from_millis(millis)) {
            written += 1;
            reported += left_out;
        }
    }
    assert!((100..=120).contains(&written), "{written} lines in 10 s");
    let QuotaStep::Write { left_out } = quota.take(start + Duration::from_secs(60)) else {
        panic!("no line was allowed after a quiet minute");
    };
    assert_eq!(written + reported + left_out, 10_000);
}

/// Guards against a quota that refills although the time has stood still or gone back.
#[test]
fn a_quota_does_not_refill_while_the_clock_stands_still() {
    let mut quota = LogQuota::new(3);
    let now = Timestamp::from_millis(9_000);
    let written = (0..100).filter(|_| quota.take(now) != QuotaStep::LeaveOut);
    assert_eq!(written.count(), 6);
    assert_eq!(quota.take(Timestamp::from_millis(1)), QuotaStep::LeaveOut);
}

/// Output that blocks until it is released, like a pipe whose reader hangs.
struct HangingOutput {
    release: mpsc::Receiver<()>,
    read: mpsc::Sender<Vec<u8>>,
}

impl Write for HangingOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.read.send(line.to_vec()).map_err(io::Error::other)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks on the reader of its log, and against lines that are lost
/// without being counted.
#[test]
fn a_hanging_reader_does_not_block_the_process() {
    const LINES: usize = 10_000;
    let (release_sender, release) = mpsc::channel();
    let (read, lines) = mpsc::channel();
    let (mut queue, guard) = LineQueue::start(HangingOutput { release, read }).unwrap();
    let started = Instant::now();
    for _ in 0..LINES {
        queue.write_all(b"line\n").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    drop(release_sender);
    let mut written = 0;
    let mut lost = 0;
    // The writer reports the number of lost lines with the next line that it writes.
    while written + lost < LINES {
        let line = lines.recv_timeout(Duration::from_secs(5));
        match line {
            Ok(line) if line == b"line\n" => written += 1,
            Ok(line) => {
                let line: serde_json::Value = serde_json::from_slice(&line).unwrap();
                assert_eq!(line["event"], "log_lines_lost");
                lost += line["lost"].as_u64().unwrap() as usize;
            }
            Err(error) => panic!("{error}: {written} written, {lost} lost"),
        }
    }
    assert!(lost > 0 && written + lost == LINES);
    drop(guard);
}

/// Guards against losing the last lines of a process, which tell why it ended.
#[test]
fn dropping_the_guard_flushes_the_last_lines() {
    let (release_sender, release) = mpsc::channel();
    let (read, lines) = mpsc::channel();
    let (mut queue, guard) = LineQueue::start(HangingOutput { release, read }).unwrap();
    drop(release_sender);
    for _ in 0..100 {
        queue.write_all(b"line\n").unwrap();
    }
    drop(guard);
    assert_eq!(lines.try_iter().count(), 100);
}
