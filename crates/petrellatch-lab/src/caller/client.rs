//! Sends one request over an ordinary TCP connection.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use slog::{Logger, debug};
use snafu::{ResultExt, Snafu};

use super::request::CallerRequest;
use super::tally::Outcome;
use crate::fabric::admin::OutcomeAnswer;
use crate::fabric::outcomes::FlowOutcome;
use crate::support::http::{HttpError, ResponseHead, read_response_head};

/// Longest silence of the peer.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Largest answer, in bytes.
const MAXIMUM_ANSWER_BYTES: u64 = 1 << 30;

/// Why there is no complete answer.
#[derive(Debug, Snafu)]
enum ExchangeError {
    #[snafu(display("the connection failed: {source}"))]
    Transfer { source: io::Error },
    #[snafu(display("the head of the answer: {source}"))]
    Head { source: HttpError },
    #[snafu(display("{received} of {stated} bytes of the answer came"))]
    Short { received: u64, stated: u64 },
}

/// A whole answer.
struct Answer {
    head: ResponseHead,
    body: Vec<u8>,
}

/// Sends requests to one service.
#[derive(Clone, Debug)]
pub struct Client {
    /// Where to connect.
    pub edge: SocketAddr,
    /// The fabric's admin endpoint, if it is known.
    pub fabric_admin: Option<SocketAddr>,
    /// For what went wrong.
    pub log: Logger,
}

impl Client {
    /// Sends a request, waits for the answer and says what became of it.
    pub fn send(&self, request: &CallerRequest) -> Outcome {
        let stream = match TcpStream::connect(self.edge) {
            Ok(stream) => stream,
            Err(error) => {
                debug!(self.log, "cannot connect"; "id" => &request.id, "error" => %error);
                return Outcome::Broken;
            }
        };
        let local = stream.local_addr();
        match exchange(stream, request) {
            Ok(answer) => request.judge(&answer.head, &answer.body),
            Err(_) if local.is_ok_and(|client| self.was_refused(client)) => Outcome::RefusedNotRun,
            Err(error) => {
                debug!(self.log, "no answer"; "id" => &request.id, "error" => %error);
                Outcome::Broken
            }
        }
    }

    /// Asks the fabric whether the flow was reset before it was established.
    fn was_refused(&self, client: SocketAddr) -> bool {
        let Some(admin) = self.fabric_admin else {
            return false;
        };
        let answer = ureq::get(format!("http://{admin}/outcome?client={client}")).call();
        let text = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        text.ok()
            .and_then(|text| serde_json::from_str(&text).ok())
            .is_some_and(|answer: OutcomeAnswer| answer.outcome == Some(FlowOutcome::Refused))
    }
}

fn exchange(mut stream: TcpStream, request: &CallerRequest) -> Result<Answer, ExchangeError> {
    stream
        .set_read_timeout(Some(SILENCE_LIMIT))
        .context(TransferSnafu)?;
    stream
        .set_write_timeout(Some(SILENCE_LIMIT))
        .context(TransferSnafu)?;
    // A refusal can come before the request was taken, so a failed write is
    // not the last word.
    let written = stream.write_all(&request.message());
    let mut reader = BufReader::new(stream);
    let head = match (read_response_head(&mut reader), written) {
        (Ok(head), _) => head,
        (Err(_), Err(source)) => return Err(ExchangeError::Transfer { source }),
        (Err(source), Ok(())) => return Err(ExchangeError::Head { source }),
    };
    let stated = head.headers.content_length().unwrap_or(0);
    let mut body = Vec::new();
    let mut limited = reader.take(stated.min(MAXIMUM_ANSWER_BYTES));
    limited.read_to_end(&mut body).context(TransferSnafu)?;
    let received = body.len() as u64;
    if received != stated {
        return Err(ExchangeError::Short { received, stated });
    }
    Ok(Answer { head, body })
}
