//! The documented frames of the wire format, and malformed ones.

use super::*;
use weldhub::interface::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap()).collect()
}

/// Returns a frame of `count` records, with the documented clock.
fn frame(count: u32, records: &[u8]) -> Vec<u8> {
    let mut frame = count.to_be_bytes().to_vec();
    frame.extend((records.len() as u32 + 8).to_be_bytes());
    frame.extend(hex("40c06e2000000000"));
    frame.extend(records);
    frame
}

const SETTINGS: &str = "balancers=2\nmyNumber=0\nmembershipMode=pushed\nlimits.maxAttempts=5\nclasses.count=2\n\
    classes.0.aim=500.0\nclasses.0.effect=read_like\nclasses.0.group=all\nclasses.1.aim=800.0\n\
    classes.1.effect=idempotency_key\nclasses.1.group=zone\nclasses.1.window=4000.0\nfeedback.names=busy,rate\n\
    tariffs.count=1\ntariffs.0.perSecond=10.0\ntariffs.0.storeSize=20.0\ntariffs.0.atOnce=0\n\
    tariffs.0.ceilingRate=0.0\ntariffs.0.neverOverDepth=0.0\nrules.cold=15000.0\nrules.coldFrom=0.26\n\
    rules.fallMultiple=3.0\nrules.overloadFor=1000.0\nsome.new.key=whatever\nno equals sign";

fn configure(settings: &str) -> Vec<u8> {
    let mut record = hex("010b 0003 0100 0000000000000007");
    record.extend((settings.len() as u32).to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

fn host() -> Host {
    let mut host = Host::default();
    host.answer(&frame(2, &configure(SETTINGS))).unwrap();
    let list = hex("010b 0003 0101 00000029 01 00000002
        0000 0a124a07 1f93 3f800000 0000 0000000000000000 00 01
        0000 0a9011f2 1fbc 3fc00000 0000 40b7d40000000000 00 01");
    assert_eq!(host.answer(&frame(2, &list)).unwrap(), hex("00000004 00000000"));
    host
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let batch = hex("00000000 00000008 40c06e2000000000");
    assert_eq!(Host::default().answer(&batch).unwrap(), hex("00000004 00000000"));
}

#[test]
fn reads_the_documented_batch() {
    let records = hex("010b 0003
        0102 00031dfb5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 40000000 40400000 3f800000 01
        0106 0000004d 010b 0005 0105 000545790e6f2b19
        0104 4032800000000000 4032800000000000 0056 0000 0003 01 00 0a124a07 1f93 03 3f1eb852430c000041680000
        010a 000000000089f690 00 42180000 4001333333333333 0108 0002 0003 010203
        0103 00031dfb5d3a91c4 4032800000000000 0a124a07 1f93 0001 0107 0a124a07 1f93 fd 4032800000000000 00 0109");
    let batch = frame(9, &records);
    let mut reader = Reader::new(&batch, HEADER_BYTES);
    let names = ["busy", "rate", "lat_ms"].map(str::to_owned);
    let mut next = || reader.record(&names).unwrap();
    assert_eq!(next(), Record::SwitchTo(3));
    let request = Request {
        id: RequestId(0x0003_1dfb_5d3a_91c4),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(0x91f0_3b7c_55d2_0a64),
        time_left: 240.0,
        units: 2.0,
        spread: 3,
        first_ingress: IngressId(1),
        is_retry: false,
        identity: None,
    };
    assert_eq!(next(), Record::Event(Event::Request(request)));
    assert_eq!(next(), Record::Event(Event::Timer(TimerKey(77))));
    assert_eq!(next(), Record::SwitchTo(5));
    assert_eq!(next(), Record::Event(Event::ClientLeft(RequestId(0x0005_4579_0e6f_2b19))));
    let Record::Event(Event::AttemptEnded(end)) = next() else { panic!("expected the end of an attempt") };
    assert_eq!(
        (end.elapsed, end.attempt, end.request_closed, end.outcome),
        (18.5, AttemptIndex(0), true, Outcome::Served)
    );
    assert_eq!((end.metered_use, end.settled_units), (Some(0.85), Some(3.0)));
    assert_eq!(end.backend, BackendId(0x0a12_4a07_1f93));
    assert_eq!((end.load.rate, end.load.latency, end.load.in_flight), (Some(140.0), Some(14.5), None));
    let total = CounterAnswer::Total(38.0);
    assert_eq!(next(), Record::Event(Event::CounterAnswered(CounterName(0x89_f690), total)));
    assert_eq!(next(), Record::Event(Event::PeerMessage(IngressId(2), vec![1, 2, 3])));
    let stream = Event::StreamStarted(request.id, AttemptIndex(1));
    assert_eq!(next(), Record::Event(stream));
    let probe = Event::ProbeEnded(end.backend, Outcome::TimedOut, Load::default());
    assert_eq!(next(), Record::Event(probe));
    assert_eq!(next(), Record::Killed);
    assert!(reader.finish().is_ok());
}

#[test]
fn writes_the_documented_actions() {
    let mut reply = Reply::default();
    let (request, backend) = (RequestId(0x0003_1dfb_5d3a_91c4), BackendId(0x0a12_4a07_1f93));
    reply.push(3, &Action::Send { request, backend, timeout: Some(80.0), send_within: None });
    reply.push(3, &Action::SetTimer(500.0, TimerKey(77)));
    reply.push(3, &Action::AddToCounter(CounterName(0x89_f690), 4.0, 3000.0));
    reply.push(3, &Action::SendToPeer(IngressId(2), b"hi 7".to_vec()));
    reply.push(5, &Action::Reject(request, Some(500.0)));
    reply.push(5, &Action::Fail(request));
    reply.push(5, &Action::Cancel(request, AttemptIndex(1)));
    reply.push(5, &Action::Probe(backend));
    reply.push(5, &Action::Subscribe);
    let records = hex("010d 0003
        0100 00031dfb5d3a91c4 0a124a07 1f93 4054000000000000
        0104 407f400000000000 0000004d
        010c 40a7700000000000 40800000 000000000089f690
        0107 00000002 0004 68692037
        010d 0005
        0101 00031dfb5d3a91c4 407f400000000000
        0102 00031dfb5d3a91c4
        0103 00031dfb5d3a91c4 0001
        0105 0a124a07 1f93
        010a 01");
    let mut expected = (records.len() as u32 + 4).to_be_bytes().to_vec();
    expected.extend(11u32.to_be_bytes());
    expected.extend(records);
    assert_eq!(reply.into_frame(), expected);
}

#[test]
fn an_instance_answers_until_it_is_killed() {
    let mut host = host();
    let request = hex(
        "010b 0003 0102 0000000000000001 0000 00000000 0000000000000001 409f400000000000 3f800000 3f800000
        00000000 00",
    );
    let reply = host.answer(&frame(2, &request)).unwrap();
    assert_eq!(reply[8..12], hex("010d 0003")[..]);
    assert_eq!(reply[12..22], hex("0100 0000000000000001")[..], "the request is sent to a backend");
    assert_eq!(host.answer(&frame(2, &hex("010b 0003 0109"))).unwrap().len(), 8);
    assert_eq!(host.answer(&frame(2, &request)).unwrap().len(), 8, "a killed instance does not answer");
}

#[test]
fn truncated_batches_are_errors_with_an_offset() {
    let list =
        hex("010b 0003 0101 00000029 01 00000001 0000 0a124a07 1f93 3f800000 0000 0000000000000000 00 01");
    for n in 0..list.len() {
        let error = host().answer(&frame(2, &list[..n])).unwrap_err();
        assert!(error.contains("offset"), "{n}: {error}");
    }
}

#[test]
fn errors_of_malformed_records_name_code_and_offset() {
    for (records, reason) in [
        ("010b 0003 0999 0000", "code 2457, offset 22: no event has code 2457"),
        ("010b 0003 0101 00000029 07 00000000", "code 257, offset 27: no kind of list 7"),
        ("010b 0003 0101 00000029 01 ffffffff", "code 257, offset 31: needs 2 bytes, 0 are left"),
        ("010b 0003 0107 0a124a07 1f93 07 0000", "code 263, offset 29: no outcome 7"),
        ("010b 0003 0106 0000004d 00", "offset 26: 1 bytes are left over"),
        ("010b 0003 0100 0000000000000001 00000002 ffff", "code 256, offset 36: the settings are not text"),
    ] {
        let error = host().answer(&frame(2, &hex(records))).unwrap_err();
        assert!(error.contains(reason), "{records}: {error}");
    }
}

#[test]
fn input_may_end_only_between_frames() {
    let whole = frame(0, &[]);
    assert_eq!(read_frame(&mut &whole[..]).unwrap().as_deref(), Some(&whole[..]));
    assert_eq!(read_frame(&mut &[][..]).unwrap(), None);
    for n in 1..whole.len() {
        assert!(read_frame(&mut &whole[..n]).unwrap_err().contains("offset"), "{n}");
    }
    assert!(read_frame(&mut &hex("00000000 ffffffff 00")[..]).unwrap_err().contains("the input ends"));
    assert!(read_frame(&mut &hex("00000000 00000003 000000")[..]).unwrap_err().contains("length 3"));
}

#[test]
fn errors_name_missing_or_invalid_settings() {
    let answer = |settings: &str| Host::default().answer(&frame(2, &configure(settings))).unwrap_err();
    for key in ["balancers", "classes.0.aim", "classes.1.window", "tariffs.0.storeSize", "rules.coldFrom"] {
        let lines: Vec<_> = SETTINGS.lines().filter(|l| !l.starts_with(&format!("{key}="))).collect();
        assert!(answer(&lines.join("\n")).contains(&format!("{key} is missing")), "{key}");
    }
    assert!(answer(&SETTINGS.replace("balancers=2", "balancers=two")).contains("balancers=two"));
    assert!(answer(&SETTINGS.replace("read_like", "odd")).contains("classes.0.effect=odd"));
    assert!(answer(&SETTINGS.replace("perSecond=10.0", "perSecond=NaN")).contains("settings"));
}
