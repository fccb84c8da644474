//! Bounds of the numbers in messages between members.

use kumquatlock_wire::agreement::{PeerMessage, peer_message::Kind};

/// Largest term, index or round that a member accepts from another one. Far above any that a group
/// reaches, and leaves room for adding to it.
const MAX_POSITION: u64 = 1 << 62;

/// Whether all terms, indices and rounds of a message are at most [`MAX_POSITION`]. A term that is
/// accepted becomes the member's own, so a single larger one would end all elections.
pub(super) fn is_within_bounds(message: &PeerMessage) -> bool {
    let is_bounded = |numbers: &[u64]| numbers.iter().all(|number| *number <= MAX_POSITION);
    let is_kind_bounded = message.kind.as_ref().is_none_or(|kind| match kind {
        Kind::VoteRequest(request) => is_bounded(&[request.last_index, request.last_term]),
        Kind::AppendRequest(request) => {
            let positions = [request.previous_index, request.previous_term];
            let mut entries = request.entries.iter();
            is_bounded(&positions)
                && is_bounded(&[request.commit_index, request.round])
                && entries.all(|entry| is_bounded(&[entry.index, entry.term]))
        }
        Kind::AppendReply(reply) => is_bounded(&[reply.match_index, reply.round]),
        Kind::SnapshotChunk(chunk) => {
            is_bounded(&[chunk.last_index, chunk.last_term])
                && is_bounded(&[chunk.offset, chunk.total_bytes])
        }
        Kind::SnapshotReply(reply) => is_bounded(&[reply.last_index, reply.next_offset]),
        Kind::VoteReply(_)
        | Kind::TimeoutNow(_)
        | Kind::FormationQuery(_)
        | Kind::FormationReply(_)
        | Kind::FormGroup(_)
        | Kind::Forward(_)
        | Kind::Greeting(_) => true,
    });
    is_bounded(&[message.term]) && is_kind_bounded
}
