//! Translation between the HTTP formats of operators and back ends and the requests
//! and responses of this crate.

use std::net::SocketAddrV4;

use petrellatch_core::pass_through::{
    Configuration, ConfigurationRequest, Registration, RegistrationRefusal, ZoneCommandRefusal,
};

use crate::http::{HttpRequest, HttpResponse};

/// A translated HTTP request.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiRequest {
    /// Asks whether the process is ready for traffic.
    Readiness,
    /// Registers a back end, or renews its registration.
    Register(Registration),
    /// Deregisters a back end.
    Deregister {
        /// Id of the back end.
        id: String,
    },
    /// Replaces the configuration.
    Replace(Configuration),
    /// Reads the newest configuration.
    Read,
    /// Evacuates a zone or restores it.
    SetZoneEvacuated {
        /// Name of the zone.
        zone: String,
        /// True to evacuate the zone, false to restore it.
        evacuated: bool,
        /// Whether to accept the command even if it leaves a service without any zone.
        allow_last: bool,
    },
    /// A request about placement policies. An [`ApiTranslator`] never returns it:
    /// `policy_api` parses these requests.
    Policies(ConfigurationRequest),
}

/// The response to an [`ApiRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ApiResponse {
    /// Readiness of the process.
    Readiness {
        /// Whether the process is ready for traffic.
        ready: bool,
    },
    /// The registration or deregistration took effect.
    Registered,
    /// The registration was refused and changed nothing.
    RegistrationRefused(RegistrationRefusal),
    /// The replacement, or a newer version, is committed.
    Accepted {
        /// The committed version.
        version: u64,
    },
    /// The newest configuration.
    Configuration(Configuration),
    /// The zone command is committed.
    ZoneCommandApplied,
    /// The zone command was refused and changed nothing.
    ZoneCommandRefused(ZoneCommandRefusal),
    /// Another replica is the leader.
    NotLeader {
        /// Operator address (HTTP) of the leader.
        operator_address: SocketAddrV4,
    },
    /// The outcome is not known, or the group has no known leader; the request may be
    /// sent again unchanged.
    Unavailable,
    /// Processes of this role don't serve the request.
    NotServed,
}

/// Translates HTTP requests and responses, without state and without decisions.
pub trait ApiTranslator {
    /// Translates a request.
    ///
    /// # Errors
    ///
    /// The request can't be parsed; the response to send instead is returned.
    fn translate_request(&self, request: &HttpRequest) -> Result<ApiRequest, HttpResponse>;

    /// Translates the response to `request`.
    fn translate_response(&self, request: &HttpRequest, response: &ApiResponse) -> HttpResponse;
}
