//! Checks of the values in operators' edits.

use petrellatch_proto::endpoint::Endpoint;
use petrellatch_proto::record::{BackendRecord, PolicyRecord, RefusalMode, ServiceRecord};
use snafu::Snafu;

use crate::error_kind::ErrorKind;
use crate::placement::MAXIMUM_BUCKETS;
use crate::policy::MAXIMUM_SOURCE_BYTES;

use super::limits::{MAX_CAPACITY, MAX_LABEL_VALUE_BYTES, MAX_LABELS, MAX_NAME_BYTES, MAX_SECONDS};

/// Why an edit is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub(super) struct EditError {
    pub(super) kind: ErrorKind,
    pub(super) message: String,
}

impl EditError {
    pub(super) fn invalid(message: impl Into<String>) -> Self {
        EditError {
            kind: ErrorKind::Invalid,
            message: message.into(),
        }
    }

    pub(super) fn not_found(kind: &str, name: &str) -> Self {
        EditError {
            kind: ErrorKind::NotFound,
            message: format!("there is no {kind} named '{name}'"),
        }
    }

    pub(super) fn too_large(message: impl Into<String>) -> Self {
        EditError {
            kind: ErrorKind::TooLarge,
            message: message.into(),
        }
    }
}

/// Refuses an edit with this message unless the condition holds.
pub(super) fn require(condition: bool, message: impl Fn() -> String) -> Result<(), EditError> {
    if condition {
        Ok(())
    } else {
        Err(EditError::invalid(message()))
    }
}

/// Checks a name: letters, digits, `-`, `_` and `.`, beginning with a letter
/// or digit.
pub(super) fn check_name(kind: &str, name: &str) -> Result<(), EditError> {
    let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let starts_well = name.starts_with(|first: char| first.is_ascii_alphanumeric());
    let sound = fits && starts_well && name.bytes().all(allowed);
    require(sound, || {
        format!(
            "the {kind} '{}' is not a name: use 1 to {MAX_NAME_BYTES} letters, digits, '-', '_', '.'",
            shorten(name)
        )
    })
}

/// Checks that an address can be connected to.
pub(super) fn check_address(kind: &str, address: Endpoint) -> Result<(), EditError> {
    let port = (1..=u32::from(u16::MAX)).contains(&address.port);
    require(port, || {
        format!("the port of the {kind} must be 1 to 65535")
    })?;
    let unusable = address.address == 0 || address.address == u32::MAX;
    require(!unusable, || {
        format!("the address of the {kind} is not that of a host")
    })
}

/// Checks the values of a service by themselves.
pub(super) fn check_service(service: &ServiceRecord) -> Result<(), EditError> {
    check_name("service", &service.name)?;
    check_name("policy", &service.policy)?;
    check_address("service", service.address)?;
    let buckets = (1..=MAXIMUM_BUCKETS).contains(&service.buckets);
    require(buckets, || {
        format!("buckets must be 1 to {MAXIMUM_BUCKETS}")
    })?;
    let refusal = RefusalMode::try_from(service.refusal).is_ok();
    require(refusal, || "the refusal mode is unknown".to_owned())?;
    let idle = (1..=MAX_SECONDS).contains(&service.idle_seconds);
    require(idle, || format!("idle_seconds must be 1 to {MAX_SECONDS}"))
}

/// Checks the values of a back end by themselves.
pub(super) fn check_backend(backend: &BackendRecord) -> Result<(), EditError> {
    check_name("back end", &backend.name)?;
    check_name("agent", &backend.agent)?;
    check_name("zone", &backend.zone)?;
    check_address("server", backend.server)?;
    let capacity = 1..=MAX_CAPACITY;
    let slots = capacity.contains(&backend.slots);
    require(slots, || format!("slots must be 1 to {MAX_CAPACITY}"))?;
    let connections = capacity.contains(&backend.connections);
    require(connections, || {
        format!("connections must be 1 to {MAX_CAPACITY}")
    })?;
    let warm_up = backend.warm_up_seconds <= MAX_SECONDS;
    require(warm_up, || {
        format!("warm_up_seconds must be at most {MAX_SECONDS}")
    })?;
    check_labels(backend)
}

/// Checks the sizes of a policy. Whether it compiles is checked where it is
/// submitted.
pub(super) fn check_policy(policy: &PolicyRecord) -> Result<(), EditError> {
    check_name("policy", &policy.name)?;
    for (part, source) in [("eligible", &policy.eligible), ("weight", &policy.weight)] {
        let fits = !source.trim().is_empty() && source.len() <= MAXIMUM_SOURCE_BYTES;
        require(fits, || {
            format!("'{part}' must have 1 to {MAXIMUM_SOURCE_BYTES} bytes")
        })?;
    }
    Ok(())
}

fn check_labels(backend: &BackendRecord) -> Result<(), EditError> {
    let count = backend.labels.len() <= MAX_LABELS;
    require(count, || format!("at most {MAX_LABELS} labels are allowed"))?;
    for (key, value) in &backend.labels {
        check_name("label", key)?;
        require(value.len() <= MAX_LABEL_VALUE_BYTES, || {
            format!("the label '{key}' has more than {MAX_LABEL_VALUE_BYTES} bytes")
        })?;
    }
    Ok(())
}

/// Cuts a text that may be far too long for a message.
fn shorten(text: &str) -> &str {
    let end = text.len().min(MAX_NAME_BYTES);
    let boundary = (0..=end).rev().find(|at| text.is_char_boundary(*at));
    &text[..boundary.unwrap_or(0)]
}
