//! The platform's front: reads a flow out of an HTTP request and writes what passes on of it.

use crate::config::Site;
use crate::exchange::RequestInfo;
use crate::interface::*;
use crate::net::client_side::Question;
use crate::net::http::Head;
use crate::net::server_side::ParsedRequest;
use bytes::{BufMut, Bytes, BytesMut};

/// The longest id or key that is passed on.
const NAME: usize = 128;
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// Makes a flow of a request, or says what is wrong with it; nothing wrong ever reaches a real server. Its body is
/// `body`, and where that is not the whole of it, more will come.
pub fn read(head: &Head, body: Bytes, whole: bool, site: &Site) -> ParsedRequest {
    match flow(head, body, whole, site) {
        Ok(asked) => asked,
        Err((status, text)) => ParsedRequest::Invalid(status, text),
    }
}

type Wrong = (u16, &'static str);

fn flow(head: &Head, body: Bytes, whole: bool, site: &Site) -> Result<ParsedRequest, Wrong> {
    let (method, target) = head.request_line();
    let bad = |text: &'static str| move || (400, text);
    // Prevents a real server, which closes on what it cannot read, from being sent bytes that no target holds.
    let plain = target.iter().all(|b| b.is_ascii_graphic() && !b"\"#<>\\^`{|}".contains(b));
    let text = std::str::from_utf8(target).ok().filter(|_| plain).ok_or((400, "the target is no target"))?;
    let (path, query) = text.split_once('?').unwrap_or((text, ""));
    if path == "/ready" {
        return match method {
            b"GET" | b"HEAD" => Ok(ParsedRequest::Readiness),
            _ => Err((405, "/ready takes GET")),
        };
    }
    let name = path.strip_prefix('/').and_then(|rest| rest.split('/').next()).unwrap_or_default();
    let class = site.classes.iter().position(|class| class.name == name);
    let class = class.ok_or((404, "the path names no class"))?;
    let info = &site.classes[class];
    let keyed = info.needs_idempotency_key;
    let safe = site.settings.classes[class].retry_safety == RetrySafety::Safe;
    let bodiless = safe && method == b"HEAD";
    if !bodiless && method != if safe { b"GET".as_slice() } else { b"POST".as_slice() } {
        return Err((405, "the class takes the other method"));
    }
    if safe && !(whole && body.is_empty()) {
        return Err((400, "a class that is safe to repeat takes no body"));
    }
    let only = |name: &'static str, wrong: &'static str| head.only(name).map_err(|_| (400, wrong));
    let id = only("request-id", "Request-Id stands twice")?.filter(|v| names(v));
    let id = id.ok_or_else(bad("Request-Id is missing or no name"))?;
    let key = only("idempotency-key", "Idempotency-Key stands twice")?;
    if key.map_or(keyed, |key| !names(key)) {
        return Err((400, "Idempotency-Key is missing or no name"));
    }
    let plan = only("x-tier", "X-Tier stands twice")?.and_then(|v| std::str::from_utf8(v).ok());
    let plan = plan.and_then(|name| site.plans.get(name)).ok_or_else(bad("X-Tier names no plan"))?;
    let left = only("request-timeout-ms", "Request-Timeout-Ms stands twice")?;
    let left = left.and_then(number).filter(|left| *left > 0);
    let left = left.ok_or_else(bad("Request-Timeout-Ms is no whole number above 0"))?;
    let terms = only("x-call-terms", "X-Call-Terms stands twice")?.and_then(|v| read_terms(v, site));
    let (units, spread, first) = terms.ok_or_else(bad("X-Call-Terms cannot be read"))?;
    let customer = customer(query).ok_or_else(bad("client is no customer of 16 hex digits"))?;
    let terms = RequestInfo {
        class: ClassId(class),
        plan: PlanId(*plan),
        customer: CustomerId(customer),
        time_left: (left as Millis).min(info.client_timeout),
        units,
        spread,
        first_ingress: IngressId(first),
        is_retry: head.get("client-retry") == Some(b"1"),
        body_pending: !whole,
    };
    let mut passed = BytesMut::with_capacity(target.len() + id.len() + key.map_or(0, <[u8]>::len) + 128);
    [method, b" ", target, b" HTTP/1.1\r\nRequest-Id: "]
        .into_iter()
        .for_each(|part: &[u8]| passed.put_slice(part));
    let at = passed.len()..passed.len() + id.len();
    [id, b"\r\n"].into_iter().for_each(|part: &[u8]| passed.put_slice(part));
    if let Some(key) = key {
        [b"Idempotency-Key: ", key, b"\r\n"].into_iter().for_each(|part: &[u8]| passed.put_slice(part));
    }
    let text = |kind: &&[u8]| !(whole && body.is_empty()) && kind.iter().all(|b| matches!(b, b' '..=b'~'));
    if let Some(kind) = head.get("content-type").filter(text) {
        [b"Content-Type: ", kind, b"\r\n"].into_iter().for_each(|part: &[u8]| passed.put_slice(part));
    }
    if !safe {
        match head.length().or(whole.then_some(body.len())) {
            Some(length) => passed.put_slice(format!("Content-Length: {length}\r\n").as_bytes()),
            None => passed.put_slice(b"Transfer-Encoding: chunked\r\n"),
        }
    }
    let passed = passed.freeze();
    let id = passed.slice(at);
    Ok(ParsedRequest::Request(
        terms,
        Question { head: passed, body, bodiless, length: head.length(), rest: None },
        id,
    ))
}

/// Whether a value can be passed on as an id or a key.
fn names(value: &[u8]) -> bool {
    (1..=NAME).contains(&value.len()) && value.iter().all(u8::is_ascii_graphic)
}

fn number(value: &[u8]) -> Option<u32> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value).ok().filter(|_| digits)?.parse().ok()
}

/// The customer in the query.
fn customer(query: &str) -> Option<u64> {
    let mut named = query.split('&').filter_map(|pair| pair.strip_prefix("client="));
    let (value, other) = (named.next()?, named.next());
    let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit()) && other.is_none();
    u64::from_str_radix(value, 16).ok().filter(|number| hex && *number < CUSTOMERS)
}

/// Units, spread and first of `units=2,spread=3,first=1`; terms that are not known are passed over.
fn read_terms(value: &[u8], site: &Site) -> Option<(f64, u16, u16)> {
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
