//! Answers of the back-end stand-in.

use std::io::{self, Write};

use serde::{Deserialize, Serialize};

use crate::support::http::{BACKEND_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER};

/// The answer to `GET /lookup`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The request's identifier.
    pub id: String,
    /// The value that belongs to it.
    pub value: u64,
}

/// The answer to `POST /filing`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FilingReceipt {
    /// The request's identifier.
    pub id: String,
    /// Length of the body that was filed.
    pub bytes: u64,
    /// Its [`checksum`](crate::support::content::checksum).
    pub checksum: u64,
}

/// Who answers, for the headers that every answer carries.
#[derive(Clone, Copy, Debug)]
pub struct Signature<'request> {
    /// Name of the back end.
    pub backend: &'request str,
    /// Name of its service.
    pub service: &'request str,
    /// The request's identifier, if it had one.
    pub request_id: Option<&'request str>,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct Response {
    status: u16,
    content_type: &'static str,
    content_length: u64,
    retry_after_seconds: Option<u64>,
    not_run: bool,
    close: bool,
}

impl Response {
    /// Describes an answer with a JSON body of this length.
    pub fn json(status: u16, content_length: u64) -> Response {
        Response {
            status,
            content_type: "application/json",
            content_length,
            retry_after_seconds: None,
            not_run: false,
            close: false,
        }
    }

    /// Describes a successful answer with a binary body of this length.
    pub fn download(content_length: u64) -> Response {
        Response {
            content_type: "application/octet-stream",
            ..Response::json(200, content_length)
        }
    }

    /// Describes a refusal of a request that was not run.
    pub fn not_run(retry_after_seconds: u64, content_length: u64) -> Response {
        Response {
            retry_after_seconds: Some(retry_after_seconds),
            not_run: true,
            ..Response::json(503, content_length)
        }
    }

    /// Says that the connection ends with this answer.
    pub fn closing(self, close: bool) -> Response {
        Response { close, ..self }
    }

    /// Writes the head.
    ///
    /// # Errors
    /// Fails when the connection fails.
    pub fn write_head(&self, writer: &mut impl Write, signature: Signature<'_>) -> io::Result<()> {
        writer.write_all(self.head_text(signature).as_bytes())
    }

    fn head_text(&self, signature: Signature<'_>) -> String {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.content_type,
            self.content_length,
        );
        let mut add = |name: &str, value: &str| {
            head.push_str(&format!("{name}: {value}\r\n"));
        };
        add(BACKEND_HEADER, signature.backend);
        add(SERVICE_HEADER, signature.service);
        if let Some(request_id) = signature.request_id {
            add(REQUEST_ID_HEADER, request_id);
        }
        if let Some(seconds) = self.retry_after_seconds {
            add("Retry-After", &seconds.to_string());
        }
        if self.not_run {
            add(NOT_RUN_HEADER, "1");
        }
        add(
            "Connection",
            if self.close { "close" } else { "keep-alive" },
        );
        head.push_str("\r\n");
        head
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        411 => "Length Required",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}
