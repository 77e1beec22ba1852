//! The platform's front: parses a client's HTTP request and builds the request that is sent to a backend.

use crate::config::Site;
use crate::exchange::RequestInfo;
use crate::interface::*;
use crate::net::client_side::Question;
use crate::net::http::Head;
use crate::net::server_side::ParsedRequest;
use bytes::{BufMut, Bytes, BytesMut};
use std::hash::{DefaultHasher, Hasher};

/// The longest `Request-Id` or `Idempotency-Key` that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The number of customers: their ids are below this.
const CUSTOMER_COUNT: u64 = 1 << 33;

/// Parses a client's request. An invalid one becomes [`ParsedRequest::Invalid`] and never reaches a backend.
/// `body` is the body as far as it has been received, and `complete` whether that is all of it.
pub fn read(head: &Head, body: Bytes, complete: bool, site: &Site) -> ParsedRequest {
    match parse(head, body, complete, site) {
        Ok(parsed) => parsed,
        Err((status, text)) => ParsedRequest::Invalid(status, text),
    }
}

/// The status and the text of the answer to an invalid request.
type InvalidRequest = (u16, &'static str);

fn parse(head: &Head, body: Bytes, complete: bool, site: &Site) -> Result<ParsedRequest, InvalidRequest> {
    let (method, target) = head.request_line();
    let bad = |text: &'static str| move || (400, text);
    // Backends close the connection on a target that they cannot parse, so bytes that no target may hold are
    // rejected.
    let valid = target.iter().all(|b| b.is_ascii_graphic() && !b"\"#<>\\^`{|}".contains(b));
    let text = std::str::from_utf8(target).ok().filter(|_| valid).ok_or((400, "the target is no target"))?;
    let (path, query) = text.split_once('?').unwrap_or((text, ""));
    if path == "/ready" {
        return match method {
            b"GET" | b"HEAD" => Ok(ParsedRequest::Readiness),
            _ => Err((405, "/ready takes GET")),
        };
    }
    let class_name = path.strip_prefix('/').and_then(|rest| rest.split('/').next()).unwrap_or_default();
    let class = site.classes.iter().position(|class| class.name == class_name);
    let class = class.ok_or((404, "the path names no class"))?;
    let info = &site.classes[class];
    let needs_key = info.needs_idempotency_key;
    let safe = site.settings.classes[class].retry_safety == RetrySafety::Safe;
    let is_head = safe && method == b"HEAD";
    if !is_head && method != if safe { b"GET".as_slice() } else { b"POST".as_slice() } {
        return Err((405, "the class takes the other method"));
    }
    if safe && !(complete && body.is_empty()) {
        return Err((400, "a class that is safe to repeat takes no body"));
    }
    let only = |name: &'static str, error: &'static str| head.get_unique(name).map_err(|_| (400, error));
    let id = only("request-id", "Request-Id stands twice")?.filter(|v| is_valid_name(v));
    let id = id.ok_or_else(bad("Request-Id is missing or no name"))?;
    let key = only("idempotency-key", "Idempotency-Key stands twice")?;
    if key.map_or(needs_key, |key| !is_valid_name(key)) {
        return Err((400, "Idempotency-Key is missing or no name"));
    }
    let plan = only("x-tier", "X-Tier stands twice")?.and_then(|v| std::str::from_utf8(v).ok());
    let plan = plan.and_then(|name| site.plans.get(name)).ok_or_else(bad("X-Tier names no plan"))?;
    let timeout = only("request-timeout-ms", "Request-Timeout-Ms stands twice")?;
    let timeout = timeout.and_then(parse_number).filter(|timeout| *timeout > 0);
    let timeout = timeout.ok_or_else(bad("Request-Timeout-Ms is no whole number above 0"))?;
    let terms = only("x-call-terms", "X-Call-Terms stands twice")?.and_then(|v| parse_call_terms(v, site));
    let (units, spread, first) = terms.ok_or_else(bad("X-Call-Terms cannot be read"))?;
    let customer = parse_customer(query).ok_or_else(bad("client is no customer of 16 hex digits"))?;
    let request_info = RequestInfo {
        class: ClassId(class),
        plan: PlanId(*plan),
        customer: CustomerId(customer),
        time_left: (timeout as Millis).min(info.client_timeout),
        units,
        spread,
        first_ingress: IngressId(first),
        is_retry: head.get("client-retry") == Some(b"1"),
        identity: (!safe).then(|| identity_of(id)),
        body_pending: !complete,
    };
    let mut lines = BytesMut::with_capacity(target.len() + id.len() + key.map_or(0, <[u8]>::len) + 128);
    [method, b" ", target, b" HTTP/1.1\r\nRequest-Id: "]
        .into_iter()
        .for_each(|part: &[u8]| lines.put_slice(part));
    let id_range = lines.len()..lines.len() + id.len();
    [id, b"\r\n"].into_iter().for_each(|part: &[u8]| lines.put_slice(part));
    if let Some(key) = key {
        [b"Idempotency-Key: ", key, b"\r\n"].into_iter().for_each(|part: &[u8]| lines.put_slice(part));
    }
    let forwardable =
        |value: &&[u8]| !(complete && body.is_empty()) && value.iter().all(|b| matches!(b, b' '..=b'~'));
    if let Some(content_type) = head.get("content-type").filter(forwardable) {
        [b"Content-Type: ", content_type, b"\r\n"].into_iter().for_each(|part: &[u8]| lines.put_slice(part));
    }
    if !safe {
        match head.body_length().or(complete.then_some(body.len())) {
            Some(length) => lines.put_slice(format!("Content-Length: {length}\r\n").as_bytes()),
            None => lines.put_slice(b"Transfer-Encoding: chunked\r\n"),
        }
    }
    let lines = lines.freeze();
    let id = lines.slice(id_range);
    Ok(ParsedRequest::Request(
        request_info,
        Question {
            head: lines,
            body,
            expects_no_body: is_head,
            content_length: head.body_length(),
            reservation: None,
            rest: None,
        },
        id,
    ))
}

/// Returns what identifies the request of this id.
fn identity_of(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(id);
    hasher.finish()
}

/// Returns whether a value can be passed on as a request id or an idempotency key.
fn is_valid_name(value: &[u8]) -> bool {
    (1..=MAX_NAME_BYTES).contains(&value.len()) && value.iter().all(u8::is_ascii_graphic)
}

/// Parses a number that consists of decimal digits only.
fn parse_number(value: &[u8]) -> Option<u32> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}

/// Parses the customer's number in a query: `client=` and 16 hex digits, exactly once.
fn parse_customer(query: &str) -> Option<u64> {
    let mut values = query.split('&').filter_map(|pair| pair.strip_prefix("client="));
    let (value, other) = (values.next()?, values.next());
    let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit()) && other.is_none();
    u64::from_str_radix(value, 16).ok().filter(|number| hex && *number < CUSTOMER_COUNT)
}

/// Parses an `X-Call-Terms` value such as `units=2,spread=3,first=1` into the units of the request, the
/// number of ingresses that the customer's requests come to, and the first of these. Ignores unknown terms.
fn parse_call_terms(value: &[u8], site: &Site) -> Option<(f64, u16, u16)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    for pair in std::str::from_utf8(value).ok()?.split(',') {
        let (name, value) = pair.split_once('=')?;
        match name.trim() {
            "units" => units = Some(value.trim().parse::<f64>().ok()?),
            "spread" => spread = Some(value.trim().parse::<u16>().ok()?),
            "first" => first = Some(value.trim().parse::<u16>().ok()?),
            _ => {}
        }
    }
    let units = units.filter(|units| site.allows_units(*units))?;
    let (spread, first) = site.valid_ingress_set(spread?, first?)?;
    Some((units, spread, first))
}
