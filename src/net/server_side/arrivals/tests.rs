use super::*;

#[test]
fn each_message_has_the_time_of_its_last_byte() {
    let mut arrivals = Arrivals::default();
    arrivals.record(100, 1.0);
    arrivals.record(150, 2.0);
    assert_eq!(arrivals.take(60), Some(1.0));
    assert_eq!(arrivals.take(60), Some(2.0), "it ends among the bytes that came later");
    assert_eq!(arrivals.take(30), Some(2.0));
    assert_eq!(arrivals.take(10), None);
}

#[test]
fn times_are_bounded() {
    let mut arrivals = Arrivals::default();
    for n in 1..1000 {
        arrivals.record(n, n as f64);
    }
    assert_eq!(arrivals.marks.len(), MAX_MARKS);
    assert_eq!((arrivals.take(5), arrivals.take(990)), (Some(5.0), Some(999.0)));
}
