//! Property tests of the parsers with fixed seeds: valid input that is split at random places, and garbage.

use super::counter::take_answer;
use super::discovery::Lines;
use super::http::{
    BodyDecoder, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Message, MessageKind, ParseError, peek_head,
    take_message,
};
use crate::config::{KeyValues, Site};
use crate::fronts::platform;
use crate::interface::CounterAnswer;
use crate::net::server_side::ParsedRequest;
use bytes::BytesMut;
use quickcheck::{Gen, QuickCheck};

/// Checks that a property holds for random garbage and random places to split the input at.
fn check_property(property: fn(Vec<u8>, Vec<u16>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400).quickcheck(property);
}

/// Splits `bytes` at these places, modulo their length, and collects the results of `parse` for each piece in
/// turn.
pub(crate) fn parse_in_pieces<T>(
    bytes: &[u8],
    cuts: &[u16],
    mut parse: impl FnMut(&[u8]) -> Vec<T>,
) -> Vec<T> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| usize::from(*cut) % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places.windows(2).flat_map(|pair| parse(&bytes[pair[0]..pair[1]])).collect()
}

/// Parses messages from split input. Returns the first line and the body of each, up to the first error.
fn parse_messages(
    bytes: &[u8],
    cuts: &[u16],
    kind: MessageKind,
) -> Vec<Result<(String, Vec<u8>), ParseError>> {
    let (mut buffer, mut failed) = (BytesMut::new(), false);
    let first_line = |message: &Message| {
        let (method, target) = message.head.request_line();
        format!("{:?} {:?} {} {}", method, target, message.head.status(), message.head.close)
    };
    parse_in_pieces(bytes, cuts, |piece| {
        buffer.extend_from_slice(piece);
        let mut found = Vec::new();
        while !failed {
            match take_message(&mut buffer, kind, false) {
                Ok(Some(message)) => found.push(Ok((first_line(&message), message.body.to_vec()))),
                Ok(None) => break,
                Err(error) => {
                    found.push(Err(error));
                    failed = true;
                }
            }
        }
        found
    })
}

const REQUESTS: &[u8] = b"POST /move-submit/a?client=00000000b4d65521 HTTP/1.1\r\nHost: x\r\n\
    Request-Id: 9b1f03aa5c7e2d41\r\nX-Tier: club\r\nRequest-Timeout-Ms: 480\r\nIdempotency-Key: 5c0f\r\n\
    Content-Length: 5\r\nX-Call-Terms: units=2,spread=3,first=1\r\n\r\nhello\
    GET /board-state?client=0000000000000007 HTTP/1.1\r\nRequest-Id: b\r\nX-Tier: club\r\n\
    Request-Timeout-Ms: 1\r\nX-Call-Terms: first=0,units=1,spread=1\r\n\r\n\
    POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA;ext=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n";
const RESPONSES: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nServer-Load: inflight=1\r\n\r\nabc\
    HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 X\r\nNot-Started: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
    HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n";

#[test]
fn parses_the_same_messages_however_the_input_is_split() {
    for (bytes, kind, count) in [(REQUESTS, MessageKind::Request, 3), (RESPONSES, MessageKind::Response, 4)] {
        let whole = parse_messages(bytes, &[], kind);
        assert!(whole.len() == count && whole.iter().all(Result::is_ok), "{whole:?}");
    }
    check_property(|_, cuts| {
        parse_messages(REQUESTS, &cuts, MessageKind::Request)
            == parse_messages(REQUESTS, &[], MessageKind::Request)
    });
    check_property(|_, cuts| {
        parse_messages(RESPONSES, &cuts, MessageKind::Response)
            == parse_messages(RESPONSES, &[], MessageKind::Response)
    });
    let bodies: Vec<_> =
        parse_messages(REQUESTS, &[], MessageKind::Request).into_iter().map(|m| m.unwrap().1).collect();
    assert_eq!(bodies, [&b"hello"[..], b"", b"abc0123456789"]);
}

/// Decodes the body of a request from split input. Returns it twice: as decoded, and as decoded from the
/// message that is encoded again after the first part.
fn decode_body(bytes: &[u8], cuts: &[u16]) -> Result<[Vec<u8>; 2], ParseError> {
    let (mut buffer, mut decoded, mut reencoded) = (BytesMut::from(bytes), Vec::new(), None);
    let (head, length) = peek_head(&buffer, MessageKind::Request)?.ok_or(ParseError::Malformed)?;
    let mut rest = buffer.split_off(length);
    let mut body = BodyDecoder::new(&head);
    let (mut received, mut position) = (BytesMut::new(), 0);
    let mut result = Ok(());
    parse_in_pieces(&rest.split(), cuts, |piece| {
        received.extend_from_slice(piece);
        position += piece.len();
        loop {
            match body.take(&mut received, 7) {
                Ok(Some(data)) => decoded.extend_from_slice(&data),
                Ok(None) => break,
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
        }
        if !body.is_done()
            && cuts.first().is_some_and(|cut| position > usize::from(*cut) % 60)
            && reencoded.is_none()
        {
            let mut message = body.reencode(&head, &decoded);
            message.extend_from_slice(&received);
            message.extend_from_slice(&bytes[length + position..]);
            reencoded = Some(message);
        }
        Vec::<()>::new()
    });
    result?;
    let again = reencoded.map(|bytes| decode_body(&bytes, &[])).transpose()?;
    let again = again.map_or(decoded.clone(), |[again, _]| again);
    if body.is_done() { Ok([decoded, again]) } else { Err(ParseError::Malformed) }
}

#[test]
fn decodes_the_same_body_however_split_and_wherever_it_is_encoded_again() {
    fn split_keeps_body(cuts: Vec<u16>) -> bool {
        let chunked: &[u8] = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nabc\r\nA;ext=1\r\n0123456789\r\n1c\r\nabcdefghijklmnopqrstuvwxyz01\r\n0\r\nT: 1\r\n\r\n";
        let sized: &[u8] = b"POST /x HTTP/1.1\r\nContent-Length: 41\r\n\r\n\
            abc0123456789abcdefghijklmnopqrstuvwxyz01";
        let body = b"abc0123456789abcdefghijklmnopqrstuvwxyz01".to_vec();
        [chunked, sized].iter().all(|bytes| decode_body(bytes, &cuts) == Ok([body.clone(), body.clone()]))
    }
    fn body_is_no_longer_than_garbage(garbage: Vec<u8>, cuts: Vec<u16>) -> bool {
        let bytes = [b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", &garbage[..]].concat();
        decode_body(&bytes, &cuts).map_or(true, |[body, _]| body.len() <= garbage.len())
    }
    let quick_check = || QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400);
    quick_check().quickcheck(split_keeps_body as fn(Vec<u16>) -> bool);
    quick_check().quickcheck(body_is_no_longer_than_garbage as fn(Vec<u8>, Vec<u16>) -> bool);
}

#[test]
fn rejects_garbage_and_damaged_messages_without_panic() {
    fn parse(bytes: &[u8], cuts: &[u16]) -> bool {
        let all = [MessageKind::Request, MessageKind::Response, MessageKind::ListResponse]
            .map(|kind| parse_messages(bytes, cuts, kind));
        all.iter().flatten().flatten().all(|(_, body)| body.len() <= bytes.len())
    }
    check_property(|garbage, cuts| parse(&garbage, &cuts));
    check_property(|garbage, cuts| {
        let mut damaged = [REQUESTS, RESPONSES].concat();
        for (byte, at) in garbage.iter().zip(&cuts).take(3) {
            let at = usize::from(*at) % damaged.len();
            damaged[at] = *byte;
        }
        parse(&damaged, &cuts)
    });
    let last_of = |text: &str| parse_messages(text.as_bytes(), &[], MessageKind::Request).pop();
    // Requests in which two parsers could see the end in different places, which allows request smuggling.
    let cases = [
        "POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde",
    ];
    assert!(
        cases.iter().all(|text| last_of(text) == Some(Err(ParseError::Malformed))),
        "{:?}",
        cases.map(last_of)
    );
    let large = format!("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BUFFERED_BODY_BYTES + 1);
    assert_eq!(last_of(&large), Some(Err(ParseError::BodyTooLarge)));
    let huge = format!("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1);
    assert!(matches!(peek_head(huge.as_bytes(), MessageKind::Request), Err(ParseError::BodyTooLarge)));
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let chunks = format!("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk.repeat(3));
    assert_eq!(last_of(&chunks), Some(Err(ParseError::BodyTooLarge)));
    assert_eq!(
        last_of(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000))),
        Some(Err(ParseError::HeadTooLarge))
    );
}

#[test]
fn reads_the_same_watch_lines_however_the_input_is_split() {
    const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        4\r\n{\"a\"\r\n6\r\n:1}\n\n{\r\n2\r\n}\n\r\n\
        16\r\n {\n  \"a\": [ \"\\\"}\",\n 2]\r\n3\r\n\n}\n\r\n7\r\n}\"a\n{}\n\r\n";
    fn lines(bytes: &[u8], cuts: &[u16]) -> Vec<Result<Vec<u8>, &'static str>> {
        let mut lines = Lines::default();
        parse_in_pieces(bytes, cuts, |piece| {
            lines.buffer.extend_from_slice(piece);
            let next = || lines.next().map(|line| line.map(|line| line.to_vec())).transpose();
            // The error is permanent, and is reported once for each piece.
            let mut failed = false;
            std::iter::from_fn(next)
                .take_while(|line| !std::mem::replace(&mut failed, line.is_err()))
                .collect()
        })
    }
    let whole: Vec<_> = lines(WATCH, &[]).into_iter().map(Result::unwrap).collect();
    // An indented list is complete at its last bracket. A string that continues over the end of a line is
    // garbage.
    let indented = &b" {\n  \"a\": [ \"\\\"}\",\n 2]\n}\n"[..];
    assert_eq!(whole, [&b"{\"a\":1}\n"[..], b"\n", b"{}\n", indented, b"}\"a\n", b"{}\n"]);
    check_property(|_, cuts| lines(WATCH, &cuts) == lines(WATCH, &[]));
    check_property(|garbage, cuts| {
        let damaged = [&WATCH[..47], &garbage].concat();
        lines(&damaged, &cuts).iter().flatten().all(|line| line.len() <= garbage.len())
    });
}

#[test]
fn parses_the_same_counter_answers_however_the_input_is_split() {
    fn answers(bytes: &[u8], cuts: &[u16]) -> Vec<Option<CounterAnswer>> {
        let mut buffer = BytesMut::new();
        parse_in_pieces(bytes, cuts, |piece| {
            buffer.extend_from_slice(piece);
            std::iter::from_fn(|| take_answer(&mut buffer)).collect()
        })
    }
    const ANSWERS: &[u8] = b"ok 12.5\r\nbusy\r\nok -3\r\nerror\r\nok many\r\nok inf\r\n";
    let total = |n| Some(CounterAnswer::Total(n));
    let not_added = Some(CounterAnswer::NotAdded);
    assert_eq!(answers(ANSWERS, &[]), [total(12.5), not_added, total(-3.0), not_added, None, None]);
    check_property(|_, cuts| answers(ANSWERS, &cuts) == answers(ANSWERS, &[]));
    check_property(|garbage, cuts| answers(&garbage, &cuts).len() <= garbage.len());
}

#[test]
fn accepts_only_valid_requests() {
    let site = Site::read(&KeyValues::from_text(
        "balancers=3\nmyNumber=0\nlimits.maxAttempts=5\nclasses.count=2\nclasses.0.aim=500.0\n\
         classes.0.name=board-state\nclasses.0.effect=read_like\nclasses.1.aim=800.0\nclasses.1.name=move-submit\n\
         classes.1.effect=idempotency_key\nclasses.1.group=cell\nclasses.1.window=4000.0\ntariffs.count=1\n\
         tariffs.0.name=club\ntariffs.0.perSecond=1\ntariffs.0.storeSize=2\ntariffs.0.atOnce=0\n\
         tariffs.0.ceilingRate=0\ntariffs.0.neverOverDepth=0\nrules.cold=1\nrules.coldFrom=1\nrules.fallMultiple=2\n\
         rules.overloadFor=1\nfamilyInfo.largest=6",
    ));
    let site = site.unwrap();
    let read = |text: &[u8]| {
        let message = take_message(&mut BytesMut::from(text), MessageKind::Request, false).unwrap().unwrap();
        platform::read(&message.head, message.body, true, &site)
    };
    let valid = String::from_utf8(REQUESTS.to_vec()).unwrap();
    let ParsedRequest::Request(info, question, id) = read(valid.as_bytes()) else {
        panic!("the first message is a valid request")
    };
    assert_eq!((info.units, info.spread, info.first_ingress.0, info.time_left), (2.0, 3, 1, 480.0));
    assert_eq!((info.class.0, info.plan.0, info.customer.0), (1, 0, 0xb4d6_5521));
    assert_eq!(id, "9b1f03aa5c7e2d41");
    let head = String::from_utf8(question.head.to_vec()).unwrap();
    let forwarded = "POST /move-submit/a?client=00000000b4d65521 HTTP/1.1\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n\
        Idempotency-Key: 5c0f\r\nContent-Length: 5\r\n";
    assert_eq!((head.as_str(), &question.body[..]), (forwarded, &b"hello"[..]));
    let invalid = [
        ("POST", "GET", 405),
        ("/move-submit/a", "/checkout", 404),
        ("/move-submit/a", "/move-submit/\u{e4}", 400),
        ("/move-submit/a", "/move-submit/\"", 400),
        ("client=00000000b4d65521", "client=b4d65521", 400),
        ("client=00000000b4d65521", "client=00000002b4d65521", 400),
        ("client=00000000b4d65521", "client=00000000b4d65521&client=0000000000000001", 400),
        ("Request-Id: 9b1f03aa5c7e2d41", "Request-Id: 9b 1f", 400),
        ("Request-Id: 9b1f03aa5c7e2d41", "Request-Id: a\r\nRequest-Id: b", 400),
        ("X-Tier: club", "X-Tier: gold", 400),
        ("Timeout-Ms: 480", "Timeout-Ms: 4e2", 400),
        ("Timeout-Ms: 480", "Timeout-Ms: 0", 400),
        ("Idempotency-Key: 5c0f\r\n", "", 400),
        ("units=2", "units=7", 400),
        ("units=2", "units=NaN", 400),
        ("units=2,", "", 400),
        ("spread=3", "spread=4", 400),
        ("first=1", "first=3", 400),
    ];
    for (old, new, status) in invalid {
        let parsed = read(valid.replacen(old, new, 1).as_bytes());
        assert!(matches!(parsed, ParsedRequest::Invalid(s, _) if s == status), "{new}: {parsed:?}");
    }
}
