//! Answers of the stand-ins' small HTTP servers.

use std::io::Cursor;

use serde::Serialize;
use tiny_http::{Header, Response};

/// Makes an answer with a JSON body.
pub fn json_response<T: Serialize + ?Sized>(value: &T) -> Response<Cursor<Vec<u8>>> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let content_type =
        Header::from_bytes("Content-Type", "application/json").expect("the header is well-formed");
    Response::from_data(body).with_header(content_type)
}

/// Makes the answer to a request for an unknown path.
pub fn not_found() -> Response<Cursor<Vec<u8>>> {
    json_response("there is no such path").with_status_code(404)
}
