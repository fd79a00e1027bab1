//! Requests and responses.

use std::time::Duration;

use petrellatch_core::ErrorKind;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::api::{ErrorDocument, kind_by_name};

/// A request whose body has been read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The query without its question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a query parameter.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, HttpResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| HttpResponse::error(ErrorKind::Invalid, error.to_string()))
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The content type.
    pub content_type: &'static str,
    /// How long the client should wait before a retry.
    pub retry_after: Option<Duration>,
    /// Where to send the request instead.
    pub location: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: String) -> Self {
        HttpResponse {
            status,
            content_type: "application/json",
            retry_after: None,
            location: None,
            body: body.into_bytes(),
        }
    }

    /// Creates a response with a plain-text body.
    pub fn text(status: u16, body: Vec<u8>) -> Self {
        HttpResponse {
            status,
            content_type: "text/plain; version=0.0.4",
            retry_after: None,
            location: None,
            body,
        }
    }

    /// Creates a successful response with a document.
    pub fn document(document: &impl Serialize) -> Self {
        match serde_json::to_string(document) {
            Ok(body) => HttpResponse::json(200, body),
            Err(error) => HttpResponse::error(ErrorKind::Internal, error.to_string()),
        }
    }

    /// Creates an error response.
    pub fn error(kind: ErrorKind, message: impl Into<String>) -> Self {
        HttpResponse::failure(kind, &ErrorDocument::new(kind, message))
    }

    /// Creates an error response with this body.
    pub fn error_document(document: &ErrorDocument) -> Self {
        let kind = kind_by_name(&document.error.kind).unwrap_or(ErrorKind::Internal);
        HttpResponse::failure(kind, document)
    }

    fn failure(kind: ErrorKind, document: &ErrorDocument) -> Self {
        let answer = kind.response();
        let body = serde_json::to_string(document).unwrap_or_default();
        HttpResponse {
            retry_after: document.error.retry_after_ms.map(Duration::from_millis),
            ..HttpResponse::json(answer.http_status, body)
        }
    }
}
