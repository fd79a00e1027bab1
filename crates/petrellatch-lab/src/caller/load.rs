//! Many callers at once, and the verdict over them.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, ScopedJoinHandle};
use std::time::{Duration, Instant};

use slog::{Logger, warn};

use super::client::Client;
use super::options::{CallerOptions, CallerTarget};
use super::request::{CallerRequest, RequestKind};
use super::tally::{ExecutionCounts, Tally, Verdict};
use crate::backend::executions::ExecutionReport;

/// Of the short requests, one in this many is a filing.
const FILING_PERIOD: u64 = 4;

/// One caller, which sends requests one after the other.
struct Caller {
    client: Client,
    service: String,
    prefix: String,
    download: Option<RequestKind>,
    pause: Duration,
}

impl Caller {
    fn run(&self, deadline: Instant) -> Tally {
        let mut tally = Tally::default();
        for number in 0.. {
            if Instant::now() >= deadline {
                break;
            }
            let request = self.request(number);
            let outcome = self.client.send(&request);
            tally.record(request.id, outcome);
            thread::sleep(self.pause);
        }
        tally
    }

    fn request(&self, number: u64) -> CallerRequest {
        let short = if number % FILING_PERIOD == FILING_PERIOD - 1 {
            RequestKind::Filing
        } else {
            RequestKind::Lookup
        };
        CallerRequest {
            id: format!("{}-{number}", self.prefix),
            service: self.service.clone(),
            kind: self.download.unwrap_or(short),
        }
    }
}

/// Sends requests until the time is over and judges them.
///
/// # Errors
/// Fails when a back end does not say what it ran.
pub fn run(options: &CallerOptions, log: &Logger) -> io::Result<Verdict> {
    let deadline = Instant::now() + Duration::from_secs(options.seconds);
    let callers: Vec<Caller> = options
        .target
        .iter()
        .flat_map(|target| callers_of(options, target, log))
        .collect();
    let mut tally = Tally::default();
    thread::scope(|scope| {
        let running: Vec<ScopedJoinHandle<'_, Tally>> = callers
            .iter()
            .map(|caller| scope.spawn(|| caller.run(deadline)))
            .collect();
        for handle in running {
            match handle.join() {
                Ok(part) => tally.merge(part),
                Err(_) => warn!(log, "a caller panicked; its requests are missing"),
            }
        }
    });
    let executions = read_executions(&options.backend)?;
    Ok(tally.judge(&executions))
}

fn callers_of(options: &CallerOptions, target: &CallerTarget, log: &Logger) -> Vec<Caller> {
    let client = Client {
        edge: target.edge,
        fabric_admin: options.fabric_admin,
        log: log.clone(),
    };
    let download = RequestKind::Download {
        bytes: options.download_bytes,
        rate: options.download_rate,
    };
    (0..options.callers + options.downloaders)
        .map(|index| Caller {
            client: client.clone(),
            service: target.service.clone(),
            prefix: format!("{}-{}-{index}", options.prefix, target.service),
            download: (index >= options.callers).then_some(download),
            pause: options.pause(),
        })
        .collect()
}

fn read_executions(backends: &[SocketAddr]) -> io::Result<ExecutionCounts> {
    let mut counts = ExecutionCounts::new();
    for backend in backends {
        let mut answer = ureq::get(format!("http://{backend}/executions"))
            .call()
            .map_err(io::Error::other)?;
        let text = answer
            .body_mut()
            .with_config()
            .limit(u64::MAX)
            .read_to_string()
            .map_err(io::Error::other)?;
        let report: ExecutionReport = serde_json::from_str(&text)?;
        for (id, count) in report.executions {
            *counts.entry(id).or_default() += count;
        }
    }
    Ok(counts)
}
