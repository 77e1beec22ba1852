use super::super::notices::Subject;
use super::*;

fn packet() -> Packet {
    let id = |n: u16| Identity {
        name: format!("n{n}"),
        number: n,
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + n)),
        started_at: 1_700_000_000_000 + u64::from(n),
    };
    let claim = |n, state| Claim { member: id(n), incarnation: 3, state };
    let claims = vec![claim(1, State::Alive), claim(2, State::Suspect), claim(3, State::Left)];
    let notice = |subject, active| Notice { subject, active, issued_at: 1_700_000_000_000, origin: 4 };
    let notices =
        vec![notice(Subject::Backend("s-1".into()), true), notice(Subject::Ingress("n2".into()), false)];
    Packet {
        from: id(0),
        incarnation: 7,
        body: Body::PingRequest(9, id(2).address),
        claims,
        notices,
        notices_digest: 77,
    }
}

#[test]
fn decodes_what_was_encoded_and_rejects_other_fleets() {
    let bytes = packet().encode(5).unwrap();
    assert_eq!(Packet::decode(&bytes, 5), Ok(packet()));
    // Without notices the datagram has version 1.
    let mut plain = packet();
    (plain.notices, plain.notices_digest) = (Vec::new(), 0);
    let old = plain.encode(5).unwrap();
    assert_eq!((old[3], bytes[3]), (1, 2));
    assert_eq!(Packet::decode(&old, 5), Ok(plain));
    assert_eq!(Packet::decode(&bytes, 6), Err(PacketError::ForeignFleet));
    assert_ne!(fleet_key("almaty-main"), fleet_key("almaty-test"));
    let mut many = packet();
    many.claims = many.claims.iter().cycle().take(200).cloned().collect();
    assert_eq!(many.encode(5), None);
}

#[test]
fn rejects_truncated_corrupt_and_overlong_datagrams() {
    fn rejects_corrupt_or_truncated(at: usize, flip: u8, cut: usize) -> bool {
        let whole = packet().encode(5).unwrap();
        let mut bytes = whole.clone();
        let place = at % bytes.len();
        bytes[place] ^= flip;
        bytes.truncate(cut % (bytes.len() + 1));
        bytes == whole || Packet::decode(&bytes, 5).is_err()
    }
    fn rejects_random_bytes(bytes: Vec<u8>) -> bool {
        Packet::decode(&bytes, 5).is_err()
    }
    let check = || quickcheck::QuickCheck::new().rng(quickcheck::Gen::from_size_and_seed(300, 5)).tests(2000);
    check().quickcheck(rejects_corrupt_or_truncated as fn(usize, u8, usize) -> bool);
    check().quickcheck(rejects_random_bytes as fn(Vec<u8>) -> bool);
    let mut longer = packet().encode(5).unwrap();
    longer.push(0);
    assert_eq!(Packet::decode(&longer, 5), Err(PacketError::Malformed));
}
