//! The record of what a back end ran.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// The answer to `GET /executions`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionReport {
    /// Name of the back end.
    pub backend: String,
    /// Name of its service.
    pub service: String,
    /// How often each request, by its identifier, began to run.
    pub executions: BTreeMap<String, u64>,
}

/// Counts how often each request began to run.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    counts: Mutex<BTreeMap<String, u64>>,
}

impl ExecutionLog {
    /// Records that this request begins to run.
    pub fn record(&self, request_id: &str) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(request_id.to_owned()).or_default() += 1;
    }

    /// Reports everything recorded so far.
    pub fn report(&self, backend: &str, service: &str) -> ExecutionReport {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        ExecutionReport {
            backend: backend.to_owned(),
            service: service.to_owned(),
            executions: counts.clone(),
        }
    }
}
