//! The parsers against random cuts of valid messages and random garbage, from fixed seeds.

use super::counter::take_answer;
use super::discovery::Lines;
use super::http::{BODY, Bad, Body, Kind, LONG, Message, peek_head, take_message};
use crate::config::{KeyValues, Site};
use crate::fronts::platform;
use crate::interface::CounterAnswer;
use crate::net::server_side::ParsedRequest;
use bytes::BytesMut;
use quickcheck::{Gen, QuickCheck};

/// Holds for any garbage and any cuts.
fn check(holds: fn(Vec<u8>, Vec<u16>) -> bool) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400).quickcheck(holds);
}

/// Feeds `bytes` in pieces cut at these places and collects what `parse` gives; it says when it wants more.
pub(crate) fn in_pieces<T>(bytes: &[u8], cuts: &[u16], mut parse: impl FnMut(&[u8]) -> Vec<T>) -> Vec<T> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| usize::from(*cut) % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places.windows(2).flat_map(|pair| parse(&bytes[pair[0]..pair[1]])).collect()
}

/// What is in the pieces: bodies and first lines, or what is wrong, which ends it.
fn messages(bytes: &[u8], cuts: &[u16], kind: Kind) -> Vec<Result<(String, Vec<u8>), Bad>> {
    let (mut buffer, mut broken) = (BytesMut::new(), false);
    let text = |message: &Message| {
        let (method, target) = message.head.request_line();
        format!("{:?} {:?} {} {}", method, target, message.head.status(), message.head.close)
    };
    in_pieces(bytes, cuts, |piece| {
        buffer.extend_from_slice(piece);
        let mut found = Vec::new();
        while !broken {
            match take_message(&mut buffer, kind, false) {
                Ok(Some(message)) => found.push(Ok((text(&message), message.body.to_vec()))),
                Ok(None) => break,
                Err(bad) => {
                    found.push(Err(bad));
                    broken = true;
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
fn messages_are_the_same_however_they_are_cut() {
    for (bytes, kind, count) in [(REQUESTS, Kind::Request, 3), (RESPONSES, Kind::Response, 4)] {
        let whole = messages(bytes, &[], kind);
        assert!(whole.len() == count && whole.iter().all(Result::is_ok), "{whole:?}");
    }
    check(|_, cuts| messages(REQUESTS, &cuts, Kind::Request) == messages(REQUESTS, &[], Kind::Request));
    check(|_, cuts| messages(RESPONSES, &cuts, Kind::Response) == messages(RESPONSES, &[], Kind::Response));
    let bodies: Vec<_> = messages(REQUESTS, &[], Kind::Request).into_iter().map(|m| m.unwrap().1).collect();
    assert_eq!(bodies, [&b"hello"[..], b"", b"abc0123456789"]);
}

/// What a body brings, and what a reader brings that has it again from the place of any cut on.
fn body_of(bytes: &[u8], cuts: &[u16]) -> Result<[Vec<u8>; 2], Bad> {
    let (mut buffer, mut all, mut again) = (BytesMut::from(bytes), Vec::new(), None);
    let (head, length) = peek_head(&buffer, Kind::Request)?.ok_or(Bad::Malformed)?;
    let mut rest = buffer.split_off(length);
    let mut body = Body::of(&head);
    let (mut came, mut place) = (BytesMut::new(), 0);
    let mut found = Ok(());
    in_pieces(&rest.split(), cuts, |piece| {
        came.extend_from_slice(piece);
        place += piece.len();
        loop {
            match body.take(&mut came, 7) {
                Ok(Some(data)) => all.extend_from_slice(&data),
                Ok(None) => break,
                Err(bad) => {
                    found = Err(bad);
                    break;
                }
            }
        }
        if !body.done() && cuts.first().is_some_and(|cut| place > usize::from(*cut) % 60) && again.is_none() {
            let mut bytes_again = body.again(&head, &all);
            bytes_again.extend_from_slice(&came);
            bytes_again.extend_from_slice(&bytes[length + place..]);
            again = Some(bytes_again);
        }
        Vec::<()>::new()
    });
    found?;
    let again = again.map(|bytes| body_of(&bytes, &[])).transpose()?;
    let again = again.map_or(all.clone(), |[again, _]| again);
    if body.done() { Ok([all, again]) } else { Err(Bad::Malformed) }
}

#[test]
fn a_body_is_the_same_however_it_is_cut_and_wherever_another_reader_goes_on() {
    fn cut(cuts: Vec<u16>) -> bool {
        let chunks: &[u8] = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
            3\r\nabc\r\nA;ext=1\r\n0123456789\r\n1c\r\nabcdefghijklmnopqrstuvwxyz01\r\n0\r\nT: 1\r\n\r\n";
        let known: &[u8] = b"POST /x HTTP/1.1\r\nContent-Length: 41\r\n\r\n\
            abc0123456789abcdefghijklmnopqrstuvwxyz01";
        let all = b"abc0123456789abcdefghijklmnopqrstuvwxyz01".to_vec();
        [chunks, known].iter().all(|bytes| body_of(bytes, &cuts) == Ok([all.clone(), all.clone()]))
    }
    fn garbage(garbage: Vec<u8>, cuts: Vec<u16>) -> bool {
        let bytes = [b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", &garbage[..]].concat();
        body_of(&bytes, &cuts).map_or(true, |[all, _]| all.len() <= garbage.len())
    }
    let check = || QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400);
    check().quickcheck(cut as fn(Vec<u16>) -> bool);
    check().quickcheck(garbage as fn(Vec<u8>, Vec<u16>) -> bool);
}

#[test]
fn garbage_and_damaged_messages_are_turned_away_without_a_panic() {
    fn parse(bytes: &[u8], cuts: &[u16]) -> bool {
        let all = [Kind::Request, Kind::Response, Kind::ListResponse].map(|kind| messages(bytes, cuts, kind));
        all.iter().flatten().flatten().all(|(_, body)| body.len() <= bytes.len())
    }
    check(|garbage, cuts| parse(&garbage, &cuts));
    check(|garbage, cuts| {
        let mut damaged = [REQUESTS, RESPONSES].concat();
        for (byte, at) in garbage.iter().zip(&cuts).take(3) {
            let at = usize::from(*at) % damaged.len();
            damaged[at] = *byte;
        }
        parse(&damaged, &cuts)
    });
    let bad = |text: &str| messages(text.as_bytes(), &[], Kind::Request).pop();
    // Two readers must not cut a message in different places.
    let cases = [
        "POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde",
    ];
    assert!(cases.iter().all(|text| bad(text) == Some(Err(Bad::Malformed))), "{:?}", cases.map(bad));
    let large = format!("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n", BODY + 1);
    assert_eq!(bad(&large), Some(Err(Bad::BodyTooLarge)));
    let huge = format!("POST /x HTTP/1.1\r\nContent-Length: {}\r\n\r\n", LONG + 1);
    assert!(matches!(peek_head(huge.as_bytes(), Kind::Request), Err(Bad::BodyTooLarge)));
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let chunks = format!("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk.repeat(3));
    assert_eq!(bad(&chunks), Some(Err(Bad::BodyTooLarge)));
    assert_eq!(bad(&format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000))), Some(Err(Bad::HeadTooLarge)));
}

#[test]
fn a_watch_has_the_same_lines_however_it_is_cut() {
    const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        4\r\n{\"a\"\r\n6\r\n:1}\n\n{\r\n2\r\n}\n\r\n\
        16\r\n {\n  \"a\": [ \"\\\"}\",\n 2]\r\n3\r\n\n}\n\r\n7\r\n}\"a\n{}\n\r\n";
    fn lines(bytes: &[u8], cuts: &[u16]) -> Vec<Result<Vec<u8>, &'static str>> {
        let mut lines = Lines::default();
        in_pieces(bytes, cuts, |piece| {
            lines.buffer.extend_from_slice(piece);
            let next = || lines.next().map(|line| line.map(|line| line.to_vec())).transpose();
            // An error stays one: it is told once a piece.
            let mut failed = false;
            std::iter::from_fn(next)
                .take_while(|line| !std::mem::replace(&mut failed, line.is_err()))
                .collect()
        })
    }
    let whole: Vec<_> = lines(WATCH, &[]).into_iter().map(Result::unwrap).collect();
    // An indented one is whole at its last bracket; a text that goes over the end of a line is garbage by itself.
    let indented = &b" {\n  \"a\": [ \"\\\"}\",\n 2]\n}\n"[..];
    assert_eq!(whole, [&b"{\"a\":1}\n"[..], b"\n", b"{}\n", indented, b"}\"a\n", b"{}\n"]);
    check(|_, cuts| lines(WATCH, &cuts) == lines(WATCH, &[]));
    check(|garbage, cuts| {
        let damaged = [&WATCH[..47], &garbage].concat();
        lines(&damaged, &cuts).iter().flatten().all(|line| line.len() <= garbage.len())
    });
}

#[test]
fn the_counters_answers_are_the_same_however_they_are_cut() {
    fn answers(bytes: &[u8], cuts: &[u16]) -> Vec<Option<CounterAnswer>> {
        let mut buffer = BytesMut::new();
        in_pieces(bytes, cuts, |piece| {
            buffer.extend_from_slice(piece);
            std::iter::from_fn(|| take_answer(&mut buffer)).collect()
        })
    }
    const ANSWERS: &[u8] = b"ok 12.5\r\nbusy\r\nok -3\r\nerror\r\nok many\r\nok inf\r\n";
    let total = |n| Some(CounterAnswer::Total(n));
    let not = Some(CounterAnswer::NotAdded);
    assert_eq!(answers(ANSWERS, &[]), [total(12.5), not, total(-3.0), not, None, None]);
    check(|_, cuts| answers(ANSWERS, &cuts) == answers(ANSWERS, &[]));
    check(|garbage, cuts| answers(&garbage, &cuts).len() <= garbage.len());
}

#[test]
fn only_a_sound_request_is_a_flow() {
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
        let message = take_message(&mut BytesMut::from(text), Kind::Request, false).unwrap().unwrap();
        platform::read(&message.head, message.body, true, &site)
    };
    let sound = String::from_utf8(REQUESTS.to_vec()).unwrap();
    let ParsedRequest::Request(terms, question, id) = read(sound.as_bytes()) else {
        panic!("the first is a flow")
    };
    assert_eq!((terms.units, terms.spread, terms.first_ingress.0, terms.time_left), (2.0, 3, 1, 480.0));
    assert_eq!((terms.class.0, terms.plan.0, terms.customer.0), (1, 0, 0xb4d6_5521));
    assert_eq!(id, "9b1f03aa5c7e2d41");
    let head = String::from_utf8(question.head.to_vec()).unwrap();
    let passed = "POST /move-submit/a?client=00000000b4d65521 HTTP/1.1\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n\
        Idempotency-Key: 5c0f\r\nContent-Length: 5\r\n";
    assert_eq!((head.as_str(), &question.body[..]), (passed, &b"hello"[..]));
    let wrong = [
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
    for (old, new, status) in wrong {
        let asked = read(sound.replacen(old, new, 1).as_bytes());
        assert!(matches!(asked, ParsedRequest::Invalid(s, _) if s == status), "{new}: {asked:?}");
    }
}
