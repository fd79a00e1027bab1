//! The requests of the caller stand-in and what their answers must be.

use super::tally::Outcome;
use crate::backend::response::{FilingReceipt, LookupAnswer};
use crate::support::content::{DownloadContent, checksum, lookup_value};
use crate::support::http::{REQUEST_ID_HEADER, ResponseHead, SERVICE_HEADER};

/// How often the request's identifier is repeated in the body of a filing.
const FILING_REPETITIONS: usize = 200;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A short question.
    Lookup,
    /// An upload that must not run twice.
    Filing,
    /// A long answer.
    Download {
        /// Its length.
        bytes: u64,
        /// Bytes a second; zero means no limit.
        rate: u64,
    },
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The identifier, unique over all requests.
    pub id: String,
    /// The service that it is meant for.
    pub service: String,
    /// What is asked for.
    pub kind: RequestKind,
}

impl CallerRequest {
    /// Returns the bytes to send.
    pub fn message(&self) -> Vec<u8> {
        let body = self.body();
        let id = &self.id;
        let line = match self.kind {
            RequestKind::Lookup => format!("GET /lookup?id={id}"),
            RequestKind::Filing => "POST /filing".to_owned(),
            RequestKind::Download { bytes, rate } => {
                format!("GET /map?bytes={bytes}&rate={rate}&id={id}")
            }
        };
        let length = body.len();
        let mut message = format!(
            "{line} HTTP/1.1\r\nHost: {}\r\n{REQUEST_ID_HEADER}: {id}\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n",
            self.service,
        )
        .into_bytes();
        message.extend_from_slice(&body);
        message
    }

    /// Decides what a complete answer means.
    pub fn judge(&self, head: &ResponseHead, body: &[u8]) -> Outcome {
        let served_by = head.headers.get(SERVICE_HEADER);
        if served_by.is_some_and(|service| service != self.service) {
            return Outcome::Misrouted;
        }
        if head.status == 503 && head.is_marked_not_run() {
            return Outcome::RefusedNotRun;
        }
        if head.status == 200 && self.is_right(body) {
            return Outcome::Answered;
        }
        Outcome::Broken
    }

    fn is_right(&self, body: &[u8]) -> bool {
        match self.kind {
            RequestKind::Lookup => {
                let answer = LookupAnswer {
                    id: self.id.clone(),
                    value: lookup_value(&self.service, &self.id),
                };
                serde_json::from_slice(body).is_ok_and(|it: LookupAnswer| it == answer)
            }
            RequestKind::Filing => {
                let sent = self.body();
                let receipt = FilingReceipt {
                    id: self.id.clone(),
                    bytes: sent.len() as u64,
                    checksum: checksum(&sent),
                };
                serde_json::from_slice(body).is_ok_and(|it: FilingReceipt| it == receipt)
            }
            RequestKind::Download { bytes, .. } => {
                let content = DownloadContent::new(&self.service, &self.id);
                body.len() as u64 == bytes && content.matches(0, body)
            }
        }
    }

    fn body(&self) -> Vec<u8> {
        match self.kind {
            RequestKind::Filing => self.id.repeat(FILING_REPETITIONS).into_bytes(),
            RequestKind::Lookup | RequestKind::Download { .. } => Vec::new(),
        }
    }
}
