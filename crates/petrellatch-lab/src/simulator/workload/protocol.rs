//! The small protocol between simulated callers and back ends.
//!
//! A request is one line and an optional body; an answer is one line and a
//! body. The line of the answer repeats what the request was about, so that a
//! caller can tell whether it got its own answer, whole.

use std::fmt;

/// Greatest length of a line in bytes.
pub const MAX_LINE_BYTES: usize = 200;

/// What a refused caller may receive in place of an answer.
pub const REFUSAL_START: &[u8] = b"HTTP/1.1 503";

/// The mark of a refusal that says that the request did not run.
pub const NOT_RUN_MARK: &str = "x-petrellatch-not-run: 1";

/// One try of a request. No two tries of one run are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: u64,
    /// Counts the tries of the request from zero.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.request, self.attempt)
    }
}

/// The line of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLine {
    /// The service that is meant.
    pub service: String,
    /// Which try of which request it is.
    pub id: AttemptId,
    /// Bytes of the body that follows.
    pub upload_bytes: u32,
    /// Bytes of the answer's body.
    pub answer_bytes: u32,
    /// Milliseconds between two pieces of the answer; zero sends it at once.
    pub pace_millis: u32,
}

/// The line of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerLine {
    /// The service of the back end.
    pub service: String,
    /// The request that is answered.
    pub id: AttemptId,
    /// The back end.
    pub backend: String,
    /// Bytes of the body that follows.
    pub answer_bytes: u32,
}

impl RequestLine {
    /// Writes the line.
    pub fn encode(&self) -> Vec<u8> {
        let RequestLine {
            service,
            id,
            upload_bytes,
            answer_bytes,
            pace_millis,
        } = self;
        let AttemptId { request, attempt } = id;
        let line =
            format!("{service} {request} {attempt} {upload_bytes} {answer_bytes} {pace_millis}\n");
        line.into_bytes()
    }

    /// Reads a line without its end.
    pub fn decode(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        let parsed = RequestLine {
            service: words.next()?.to_owned(),
            id: decode_id(&mut words)?,
            upload_bytes: words.next()?.parse().ok()?,
            answer_bytes: words.next()?.parse().ok()?,
            pace_millis: words.next()?.parse().ok()?,
        };
        words.next().is_none().then_some(parsed)
    }
}

impl AnswerLine {
    /// Writes the line.
    pub fn encode(&self) -> Vec<u8> {
        let AnswerLine {
            service,
            id,
            backend,
            answer_bytes,
        } = self;
        let AttemptId { request, attempt } = id;
        format!("{service} {request} {attempt} {backend} {answer_bytes}\n").into_bytes()
    }

    /// Reads a line without its end.
    pub fn decode(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        let parsed = AnswerLine {
            service: words.next()?.to_owned(),
            id: decode_id(&mut words)?,
            backend: words.next()?.to_owned(),
            answer_bytes: words.next()?.parse().ok()?,
        };
        words.next().is_none().then_some(parsed)
    }
}

fn decode_id<'line>(words: &mut impl Iterator<Item = &'line str>) -> Option<AttemptId> {
    Some(AttemptId {
        request: words.next()?.parse().ok()?,
        attempt: words.next()?.parse().ok()?,
    })
}

/// Returns the byte at `offset` of the body that belongs to a request. Bodies
/// of different requests differ nearly everywhere.
pub fn body_byte(request: u64, offset: u32) -> u8 {
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = (request ^ u64::from(offset) << 20).wrapping_mul(MULTIPLIER);
    mixed.to_be_bytes()[0]
}

/// Returns a piece of the body that belongs to a request.
pub fn body(request: u64, from: u32, length: u32) -> Vec<u8> {
    (from..from + length)
        .map(|offset| body_byte(request, offset))
        .collect()
}
