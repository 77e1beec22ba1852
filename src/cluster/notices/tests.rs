use super::*;

fn backend(name: &str) -> Subject {
    Subject::Backend(name.into())
}

fn apply_all(known: &mut Notices, notices: &[Notice]) {
    for notice in notices {
        known.apply(1e12, notice.clone(), 1);
    }
}

#[test]
fn order_and_repetition_of_notices_do_not_matter() {
    fn same_result(notices: Vec<(u8, bool, u8, u8)>, seed: u64) -> bool {
        let notice = |(which, active, at, by): (u8, bool, u8, u8)| {
            let subject = if which % 2 == 0 {
                backend(&format!("s{}", which % 8))
            } else {
                Subject::Ingress("n".into())
            };
            Notice { subject, active, issued_at: u64::from(at % 16), origin: u16::from(by % 4) }
        };
        let mut notices: Vec<Notice> = notices.into_iter().map(notice).collect();
        let (mut a, mut b) = (Notices::default(), Notices::default());
        apply_all(&mut a, &notices);
        fastrand::Rng::with_seed(seed).shuffle(&mut notices);
        apply_all(&mut b, &notices);
        apply_all(&mut b, &notices);
        a.digest() == b.digest() && a.iter().eq(b.iter())
    }
    let gen_ = quickcheck::Gen::from_size_and_seed(60, 3);
    quickcheck::QuickCheck::new()
        .rng(gen_)
        .tests(500)
        .quickcheck(same_result as fn(Vec<(u8, bool, u8, u8)>, u64) -> bool);
}

#[test]
fn ended_notice_overrides_the_active_one_of_an_instance_that_was_away() {
    let (mut a, mut away) = (Notices::default(), Notices::default());
    a.publish(1000.0, 0, backend("s1"), true, 3);
    apply_all(&mut away, &a.iter().cloned().collect::<Vec<_>>());
    assert!(away.is_active(&backend("s1")));
    // The ingress that ends it has a clock that is behind; its notice is later all the same.
    a.publish(10.0, 1, backend("s1"), false, 3);
    let stale: Vec<Notice> = away.iter().cloned().collect();
    assert!(!a.apply(2000.0, stale[0].clone(), 1) && !a.is_active(&backend("s1")));
    assert!(away.apply(2000.0, a.iter().next().unwrap().clone(), 1) && !away.is_active(&backend("s1")));
    // A notice with an unknown time of issue does not override it either.
    assert!(!a.restore(2, backend("s1"), 1) && !a.is_active(&backend("s1")));
    assert!(a.restore(2, backend("s2"), 1) && a.is_active(&backend("s2")));
}

#[test]
fn rejects_invalid_notices_and_bounds_what_is_kept() {
    let mut a = Notices::default();
    let too_far_ahead = Notice { subject: backend("s"), active: true, issued_at: u64::MAX, origin: 0 };
    let without_name = Notice { subject: backend(""), active: true, issued_at: 1, origin: 0 };
    let too_long =
        Notice { subject: backend(&"x".repeat(MAX_SUBJECT + 1)), active: true, issued_at: 1, origin: 0 };
    apply_all(&mut a, &[too_far_ahead, without_name, too_long]);
    assert_eq!((a.iter().count(), a.rejected()), (0, 3));
    a.publish(5.0, 0, backend("kept"), true, 1);
    for n in 0..2 * MAX_NOTICES {
        a.publish(5.0, 0, backend(&format!("s{n}")), false, 1);
    }
    assert!(a.iter().count() <= MAX_NOTICES && a.is_active(&backend("kept")));
    assert!(
        a.batches()
            .iter()
            .all(|batch| batch.iter().map(Notice::encoded_len).sum::<usize>() <= DATAGRAM_BUDGET)
    );
    assert_eq!(a.batches().concat().len(), a.iter().count());
}

#[test]
fn decodes_a_whole_file_and_rejects_truncated_or_corrupt_ones() {
    let mut a = Notices::default();
    a.publish(7.0, 3, backend("s1"), true, 1);
    a.publish(7.0, 3, Subject::Ingress("n4".into()), false, 1);
    let bytes = encode(&a);
    assert_eq!(decode(&bytes), Some(a.iter().cloned().collect()));
    assert!((0..bytes.len()).all(|end| decode(&bytes[..end]).is_none()));
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 0x41;
        assert_eq!(decode(&corrupt), None, "at {at}");
    }
}
