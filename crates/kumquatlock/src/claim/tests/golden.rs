//! Snapshot test of a complete session.

use kumquatlock_wire::Body;
use kumquatlock_wire::claim::{ClaimAction, ClaimVerdict};

use super::cluster::{KEY, Packet, TestCluster, member};

/// Formats a delivered message as one line of the transcript.
pub(super) fn transcript_line(packet: &Packet) -> String {
    let what = match &packet.body {
        Body::Claim(request) => {
            let action = ClaimAction::try_from(request.action).unwrap();
            format!("{action:?} {}", request.key)
        }
        Body::ClaimReply(reply) => {
            let verdict = ClaimVerdict::try_from(reply.verdict).unwrap();
            let owner = reply.owner.as_ref();
            let owner = owner.map_or(String::new(), |owner| {
                format!(" (attempt {})", owner.attempt.call_id)
            });
            format!("{verdict:?}{owner}")
        }
        Body::ShardFetch(fetch) => {
            format!(
                "fetch for the view of version {}",
                fetch.target.config_version
            )
        }
        Body::ShardChunk(chunk) => format!(
            "{} of {} records, active since version {}",
            chunk.records.len(),
            chunk.total,
            chunk.active.as_ref().map_or(0, |view| view.config_version)
        ),
        _ => "other".into(),
    };
    format!("{} -> {}: {what}", packet.from, packet.to)
}

/// Guards against unintended changes of the message exchange: a run, a resend, the loss and
/// replacement of a holder, a resend after it, and a final "not run".
#[test]
fn session() {
    let (mut cluster, mut members) = TestCluster::of(&["a", "b", "c"]);
    cluster.log = Some(Vec::new());
    let add_heading = |cluster: &mut TestCluster, line: &str| {
        let log = cluster.log.as_mut().unwrap();
        log.push(format!("# {line}"));
    };
    add_heading(&mut cluster, "a runs book-1");
    cluster.attempt("a", KEY);
    cluster.deliver_all();
    add_heading(&mut cluster, "a resend reaches b");
    cluster.attempt("b", KEY);
    cluster.deliver_all();
    add_heading(
        &mut cluster,
        "c is lost and d takes its place; b's resend meets the view change",
    );
    cluster.nodes.swap_remove("c");
    members[2] = member("d", 1);
    members[2].zone = 2;
    cluster.start("d", 1);
    cluster.apply_all(2, &members);
    cluster.attempt("b", KEY);
    cluster.deliver_all();
    cluster.now.0 += 60_000;
    add_heading(&mut cluster, "60 ms later");
    cluster.tick();
    cluster
        .queue
        .retain(|packet| !matches!(packet.body, Body::ShardFetch(_)));
    cluster.deliver_all();
    add_heading(
        &mut cluster,
        "the entry at d fences the key of the run, then another key of the shard",
    );
    cluster.fence("d", KEY);
    cluster.deliver_all();
    let other = cluster.other_key(0);
    cluster.fence("d", &other);
    cluster.deliver_all();
    let transcript = cluster.log.take().unwrap().join("\n");
    insta::assert_snapshot!(transcript);
    cluster.check_guarantees().unwrap();
}
