//! Which bytes count as the whole response to a request: framing by owner, way in which the
//! connection ends, and part of the response that has arrived before.

use bytes::BytesMut;

use super::request_id;
use crate::http::UpstreamFailure;
use crate::http::response::{
    ConnectionEnd, ConnectionHistory, RequestPhase, ResponseReader, ResponseStep,
};

const BODY: &str = "the whole answer";
const OWN: &str = "own";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// Whom the response names.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Owner {
    Own,
    Other,
    /// Nobody, on a connection on which other responses have named their requests.
    Nobody,
}

/// Part of the response that arrives before the connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    Nothing,
    HalfHead,
    Head,
    HalfBody,
    All,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    framing: Framing,
    owner: Owner,
    part: Part,
    end: ConnectionEnd,
    phase: RequestPhase,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::UntilClose];
const OWNERS: [Owner; 3] = [Owner::Own, Owner::Other, Owner::Nobody];
const PARTS: [Part; 5] = [
    Part::Nothing,
    Part::HalfHead,
    Part::Head,
    Part::HalfBody,
    Part::All,
];
const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Closed, ConnectionEnd::Reset];
const PHASES: [RequestPhase; 3] = [
    RequestPhase::Unsent,
    RequestPhase::PartlySent,
    RequestPhase::Sent,
];

/// Returns all combinations.
fn cases() -> impl Iterator<Item = Case> {
    let counts = [
        FRAMINGS.len(),
        OWNERS.len(),
        PARTS.len(),
        ENDS.len(),
        PHASES.len(),
    ];
    (0..counts.iter().product()).map(move |mut number: usize| {
        let mut next = |count: usize| {
            let index = number % count;
            number /= count;
            index
        };
        Case {
            framing: FRAMINGS[next(FRAMINGS.len())],
            owner: OWNERS[next(OWNERS.len())],
            part: PARTS[next(PARTS.len())],
            end: ENDS[next(ENDS.len())],
            phase: PHASES[next(PHASES.len())],
        }
    })
}

impl Case {
    fn bytes(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", BODY.len()),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
        };
        let id = match self.owner {
            Owner::Own => format!("Request-Id: {OWN}\r\n"),
            Owner::Other => "Request-Id: other\r\n".to_owned(),
            Owner::Nobody => String::new(),
        };
        let head = format!("HTTP/1.1 200 OK\r\n{id}{framing}\r\n");
        let (first, rest) = BODY.split_at(BODY.len() / 2);
        let (first, rest) = match self.framing {
            Framing::Chunked => (
                format!("{:x}\r\n{first}\r\n", first.len()),
                format!("{:x}\r\n{rest}\r\n0\r\n\r\n", rest.len()),
            ),
            _ => (first.to_owned(), rest.to_owned()),
        };
        match self.part {
            Part::Nothing => String::new(),
            Part::HalfHead => head[..head.len() / 2].to_owned(),
            Part::Head => head,
            Part::HalfBody => head + &first,
            Part::All => head + &first + &rest,
        }
    }

    /// Plays the case and returns the body of the finished response, or the failure.
    fn play(&self) -> Result<String, UpstreamFailure> {
        let address = ([127, 0, 0, 1], 1).into();
        let mut history = ConnectionHistory::default();
        let mut read = |id: &str, bytes: &str| {
            let mut reader = ResponseReader::new(address, false, Some(request_id(id)));
            let step = reader.feed(&mut bytes.into(), self.phase, &mut history);
            (reader, step)
        };
        if self.owner == Owner::Nobody {
            let named = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n";
            assert!(matches!(read("first", named).1, ResponseStep::Finished(_)));
        }
        let (mut reader, step) = read(OWN, &self.bytes());
        let step = match step {
            ResponseStep::Pending => reader.end(self.end, self.phase),
            step => step,
        };
        match step {
            ResponseStep::Finished(finished) => {
                Ok(String::from_utf8(finished.response.body.to_vec()).unwrap())
            }
            ResponseStep::Failed(failure) => Err(failure),
            ResponseStep::Pending => panic!("{self:?} has no result after the end"),
        }
    }

    fn expected(&self) -> Result<String, UpstreamFailure> {
        let whole = Ok(BODY.to_owned());
        match (self.owner, self.part, self.framing) {
            (_, Part::Nothing | Part::HalfHead, _) => Err(UpstreamFailure::Broken),
            (Owner::Nobody, _, _) => Err(UpstreamFailure::Garbled),
            // No response can follow one that ends with its connection.
            (Owner::Other, _, Framing::UntilClose) => Err(UpstreamFailure::Garbled),
            // The response of the request itself may follow the whole copy, and does not.
            (Owner::Other, Part::All, _) => Err(UpstreamFailure::Broken),
            (Owner::Other, _, _) => Err(UpstreamFailure::Truncated),
            (Owner::Own, Part::All, Framing::Length | Framing::Chunked) => whole,
            (Owner::Own, _, Framing::Length | Framing::Chunked) => Err(UpstreamFailure::Truncated),
            (Owner::Own, _, Framing::UntilClose) if !self.ends_whole() => {
                Err(UpstreamFailure::Truncated)
            }
            // Nothing shows that more would have come.
            (Owner::Own, Part::Head, Framing::UntilClose) => Ok(String::new()),
            (Owner::Own, Part::HalfBody, Framing::UntilClose) => {
                Ok(BODY[..BODY.len() / 2].to_owned())
            }
            (Owner::Own, Part::All, Framing::UntilClose) => whole,
        }
    }

    /// Whether the end of the connection can be the end of a response without a length.
    fn ends_whole(&self) -> bool {
        self.end == ConnectionEnd::Closed && self.phase == RequestPhase::Sent
    }
}

/// Guards against a response that reaches a caller, or counts as a refusal, although it is another
/// request's or a part of it is missing.
#[test]
fn only_the_whole_response_of_the_request_is_passed_on() {
    for case in cases() {
        assert_eq!(case.play(), case.expected(), "{case:?}");
    }
}

/// Guards against new connections to upstreams that answer soundly, and against further use of a
/// connection on which a response came twice.
#[test]
fn a_sound_connection_is_used_again() {
    let own = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n";
    let copy = own.replace("own", "other");
    for (bytes, expected) in [(own.to_owned(), true), (copy + own, false)] {
        let address = ([127, 0, 0, 1], 1).into();
        let mut reader = ResponseReader::new(address, false, Some(request_id(OWN)));
        let mut read_buf = BytesMut::from(bytes.as_str());
        let mut history = ConnectionHistory::default();
        match reader.feed(&mut read_buf, RequestPhase::Sent, &mut history) {
            ResponseStep::Finished(finished) => assert_eq!(finished.is_reusable, expected),
            step => panic!("{step:?}"),
        }
    }
}
