//! What HTTP calls mean: the edge between formats of callers and the product.

use std::net::SocketAddrV4;

use petrellatch_core::pass_through::{
    Configuration, ConfigurationRequest, Registration, RegistrationRefusal, ZoneCommandRefusal,
};

use crate::http::{HttpRequest, HttpResponse};

/// A call, translated.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiRequest {
    /// Whether traffic may come.
    Readiness,
    /// A back end registers itself.
    Register(Registration),
    /// A back end takes its leave.
    Deregister {
        /// The back end.
        id: String,
    },
    /// Replace the configuration.
    Replace(Configuration),
    /// Read the configuration.
    Read,
    /// Take a zone out of service, or back into it.
    SetZoneEvacuated {
        /// The zone.
        zone: String,
        /// Whether it goes out of service.
        evacuated: bool,
        /// Whether a service may be left without any zone.
        allow_last: bool,
    },
    /// A call about placement policies; [`ApiTranslator`] translates none.
    Policies(ConfigurationRequest),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiResponse {
    /// Whether traffic may come.
    Readiness {
        /// Whether it may.
        ready: bool,
    },
    /// The back end's call holds from now on.
    Registered,
    /// The call names no back end to use, and changes nothing.
    RegistrationRefused(RegistrationRefusal),
    /// The version, or a higher one, is accepted for good.
    Accepted {
        /// The version that is held.
        version: u64,
    },
    /// The newest configuration.
    Configuration(Configuration),
    /// The order about a zone holds for good.
    ZoneCommandApplied,
    /// The order about a zone is refused, and nothing of it is done.
    ZoneCommandRefused(ZoneCommandRefusal),
    /// Another replica leads.
    NotLeader {
        /// Its address for operators.
        operator_address: SocketAddrV4,
    },
    /// The outcome is not known; ask again.
    Unavailable,
    /// This process does not serve such calls.
    NotServed,
}

/// Translates calls and answers. It decides nothing and remembers nothing.
pub trait ApiTranslator {
    /// Translates a request, or refuses it as it can't be understood.
    fn translate_request(&self, request: &HttpRequest) -> Result<ApiRequest, HttpResponse>;

    /// Translates an answer.
    fn translate_response(&self, request: &HttpRequest, response: &ApiResponse) -> HttpResponse;
}
