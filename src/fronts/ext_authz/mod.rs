//! External authorisation over gRPC: serves `envoy.service.auth.v3.Authorization/Check` and forwards each
//! check to external authorisers that serve the same method. Uses the same engine and rules as the platform's
//! front.

pub mod authorisers;
mod caller;
mod caller_io;
mod caller_memory;
mod check_stream;
pub mod proto;
pub mod service;

use crate::config::{Authz, Site, ValueSource};
use crate::exchange::{FinalAnswer, RequestInfo};
use crate::interface::*;
use crate::net::budget::Reservation;
use crate::net::http::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use prost::Message;
use proto::*;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tonic::metadata::MetadataMap;
use tonic::{Code, Status};

/// A check, as it is forwarded to an authoriser.
#[derive(Debug, Clone)]
pub struct Check {
    /// The encoded [`CheckRequest`], as received.
    pub message: Bytes,
    /// The gRPC metadata of the call.
    pub metadata: Rc<MetadataMap>,
    /// The memory of both, for as long as any clone of the check needs it; `None` if it is in no budget.
    pub reservation: Option<Rc<Reservation>>,
}

/// Parses checks and encodes their answers.
#[derive(Debug)]
pub struct Front {
    /// The settings of the ingress.
    pub site: Site,
    /// The operator's configuration of this front.
    pub authz: Authz,
}

impl Front {
    /// Parses a check.
    ///
    /// # Errors
    /// The status that the caller is answered with, if the check is invalid. It never reaches an authoriser.
    pub fn read(&self, check: &Check) -> Result<RequestInfo, Status> {
        let bad = |what: &str| Status::invalid_argument(what.to_owned());
        if check.message.len() > MAX_BUFFERED_BODY_BYTES {
            return Err(bad("the check is larger than 64 KiB"));
        }
        let request = CheckRequest::decode(check.message.clone()).map_err(|e| bad(&e.to_string()))?;
        let attributes = request.attributes.ok_or_else(|| bad("attributes are missing"))?;
        let http = attributes.request.and_then(|request| request.http);
        let http = http.ok_or_else(|| bad("attributes.request.http is missing"))?;
        let headers = headers(&http);
        let get = |field: &ValueSource| match field {
            ValueSource::Header(name) => headers.get(name.as_str()).copied(),
            ValueSource::Extension(name) => attributes.context_extensions.get(name).map(String::as_str),
        };
        let class = self.class(&http.path).ok_or_else(|| bad("the path belongs to no class"))?;
        let info = &self.site.classes[class];
        let customer = get(&self.authz.customer).filter(|name| !name.is_empty());
        let customer = customer.ok_or_else(|| bad("the customer is missing"))?;
        let plan = get(&self.authz.plan).and_then(|name| self.site.plans.get(name));
        if info.needs_idempotency_key && get(&self.authz.idempotency_key).is_none_or(str::is_empty) {
            return Err(bad("the class needs an idempotency key"));
        }
        let units = match get(&self.authz.units) {
            Some(text) => text.trim().parse().ok().filter(|units| self.site.allows_units(*units)),
            None => Some(1.0),
        };
        let (spread, first) = match get(&self.authz.ingress_set) {
            Some(text) => self.parse_ingress_set(text).ok_or_else(|| bad("the set cannot be read"))?,
            None => (self.site.settings.ingress_count, 0),
        };
        let timeout = check.metadata.get("grpc-timeout").map(|value| parse_timeout(value.as_bytes()));
        let timeout = match timeout {
            Some(timeout) => timeout.ok_or_else(|| bad("grpc-timeout cannot be read"))?,
            None => self.authz.default_timeout,
        };
        Ok(RequestInfo {
            class: ClassId(class),
            plan: PlanId(*plan.ok_or_else(|| bad("the plan is missing or unknown"))?),
            customer: customer_id(customer),
            time_left: timeout.min(info.client_timeout),
            units: units.ok_or_else(|| bad("the units cannot be read"))?,
            spread,
            first_ingress: IngressId(first),
            is_retry: false,
            identity: None,
            body_pending: false,
        })
    }

    /// Returns the class of the longest route that is a prefix of the path, or else the class that the first
    /// segment of the path names.
    fn class(&self, path: &str) -> Option<usize> {
        let path = path.split('?').next().unwrap_or_default();
        let routes = self.authz.routes.iter().filter(|(prefix, _)| path.starts_with(prefix.as_str()));
        let route = routes.max_by_key(|(prefix, _)| prefix.len()).map(|(_, class)| *class);
        let named = || {
            let name = path.strip_prefix('/')?.split('/').next()?;
            self.site.classes.iter().position(|class| class.name == name)
        };
        route.or_else(named)
    }

    /// Parses the set of ingresses that a customer's requests come to, such as `spread=3,first=1`, into its
    /// size and its first ingress.
    fn parse_ingress_set(&self, text: &str) -> Option<(u16, u16)> {
        let pairs: HashMap<&str, &str> =
            text.split(',').filter_map(|pair| pair.trim().split_once('=')).collect();
        self.site.valid_ingress_set(pairs.get("spread")?.parse().ok()?, pairs.get("first")?.parse().ok()?)
    }

    /// Returns the encoded answer to a check. The answer of an authoriser is passed on unchanged.
    pub fn encode_answer(&self, final_answer: FinalAnswer<Bytes>) -> Bytes {
        let failed = |status, code, text| match self.authz.fail_open {
            true => allowed(),
            false => denied(status, code, text, None),
        };
        match final_answer {
            FinalAnswer::Served(answer) => answer,
            FinalAnswer::Rejected(after) => {
                denied(StatusCode::TooManyRequests, Code::ResourceExhausted, "turned down", Some(after))
            }
            FinalAnswer::NoRoom(after) => {
                denied(StatusCode::ServiceUnavailable, Code::ResourceExhausted, "no room", Some(after))
            }
            FinalAnswer::Failed { timed_out: true } => {
                failed(StatusCode::GatewayTimeout, Code::DeadlineExceeded, "no authoriser answered in time")
            }
            FinalAnswer::Failed { timed_out: false } => {
                failed(StatusCode::BadGateway, Code::Unavailable, "no authoriser answered")
            }
        }
    }
}

/// Returns the header values of a request by name. A name in `headers` takes precedence over the raw fields.
fn headers(http: &HttpRequest) -> HashMap<&str, &str> {
    let raw = http.header_map.iter().flat_map(|map| &map.headers).filter_map(|header| {
        let value = if header.value.is_empty() {
            std::str::from_utf8(&header.raw_value).ok()?
        } else {
            &header.value
        };
        Some((header.key.as_str(), value))
    });
    raw.chain(http.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()))).collect()
}

/// Returns the id of a customer: a name of 16 hex digits is the id itself, any other name is hashed, to the
/// same id at every ingress.
fn customer_id(name: &str) -> CustomerId {
    let hex = name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit());
    let written = u64::from_str_radix(name, 16).ok().filter(|_| hex);
    // FNV-1a, cut to 63 bits, as that is the width of a customer's id in messages between ingresses.
    let fnv = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, fnv);
    CustomerId(written.unwrap_or(hash) & (u64::MAX >> 1))
}

/// Parses a `grpc-timeout` value: one to eight digits and a unit.
fn parse_timeout(value: &[u8]) -> Option<Millis> {
    let (unit, digits) = value.split_last()?;
    let valid = (1..=8).contains(&digits.len()) && digits.iter().all(u8::is_ascii_digit);
    let amount: f64 = std::str::from_utf8(digits).ok().filter(|_| valid)?.parse().ok()?;
    let unit_millis = match unit {
        b'H' => 3_600_000.0,
        b'M' => 60_000.0,
        b'S' => 1000.0,
        b'm' => 1.0,
        b'u' => 1e-3,
        b'n' => 1e-6,
        _ => return None,
    };
    Some(amount * unit_millis)
}

/// Returns the `grpc-timeout` that is sent to an authoriser: whole milliseconds, at least one.
fn outgoing_timeout(timeout: Millis) -> Duration {
    Duration::from_millis(timeout.max(1.0) as u64)
}

/// Encodes an answer that allows the request.
fn allowed() -> Bytes {
    let ok = Some(HttpResponse::Ok(OkHttpResponse {}));
    CheckResponse { status: Some(RpcStatus::default()), http_response: ok }.encode_to_vec().into()
}

/// Encodes an answer that denies the request. `retry_after` is in milliseconds.
fn denied(status: StatusCode, code: Code, text: &str, retry_after: Option<Millis>) -> Bytes {
    let header = |key: &str, value: String| HeaderValueOption {
        header: Some(HeaderValue { key: key.to_owned(), value, ..HeaderValue::default() }),
    };
    // `Retry-After` is in whole seconds.
    let retry_after_header =
        |delay: Millis| header("retry-after", (delay / 1000.0).ceil().max(1.0).to_string());
    let denied = DeniedHttpResponse {
        status: Some(HttpStatus { code: status.into() }),
        headers: retry_after.map(retry_after_header).into_iter().collect(),
        body: text.to_owned(),
    };
    let status = Some(RpcStatus { code: code.into(), message: text.to_owned() });
    CheckResponse { status, http_response: Some(HttpResponse::Denied(denied)) }.encode_to_vec().into()
}

#[cfg(test)]
mod tests;
