//! Reads small JSON documents from servers that may be slow or unreachable.

use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::Agent;

/// Maximum size of a document, in bytes.
const DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// A client with a short timeout.
#[derive(Debug)]
pub struct DocumentReader {
    agent: Agent,
}

impl DocumentReader {
    /// Creates a client with this timeout for a complete response.
    pub fn new(timeout: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .max_redirects(0)
            .max_idle_connections(0)
            .build()
            .into();
        DocumentReader { agent }
    }

    /// Reads a document, whatever the status of the response. The error says why
    /// there is no document.
    pub fn read<T: DeserializeOwned>(&self, url: &str) -> Result<T, String> {
        let mut response = self.agent.get(url).call().map_err(|it| it.to_string())?;
        let body = response.body_mut().with_config().limit(DOCUMENT_BYTES);
        let bytes = body.read_to_vec().map_err(|it| it.to_string())?;
        serde_json::from_slice(&bytes).map_err(|it| it.to_string())
    }
}
