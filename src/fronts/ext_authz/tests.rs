use super::*;
use crate::config::AuthzConfig;

/// The time left of a valid check with this `grpc-timeout`, in milliseconds, or `None` if the check is
/// invalid.
fn time_left(timeout: Option<&str>) -> Option<Millis> {
    let config = AuthzConfig::read(include_str!("../../../deploy/ext-authz.toml"), |_| None).unwrap();
    let front = Front { site: config.instance.site, authz: config.authz };
    let headers = [("x-club", "a"), ("x-tier", "club")].map(|(n, v)| (n.to_owned(), v.to_owned())).into();
    let http = HttpRequest { path: "/board-state/1".into(), headers, ..HttpRequest::default() };
    let request = Some(proto::Request { http: Some(http) });
    let attributes = Some(AttributeContext { request, ..AttributeContext::default() });
    let message = CheckRequest { attributes }.encode_to_vec().into();
    let mut metadata = MetadataMap::new();
    timeout.map(|timeout| metadata.insert("grpc-timeout", timeout.parse().unwrap()));
    let check = Check { message, metadata: Rc::new(metadata), reservation: None };
    front.read(&check).ok().map(|request| request.time_left)
}

#[test]
fn time_left_is_the_callers_timeout_or_the_default_and_is_capped_by_the_class() {
    assert_eq!(time_left(Some("300m")), Some(300.0));
    assert_eq!(time_left(Some("1S")), Some(1000.0));
    assert_eq!(time_left(Some("500000u")), Some(500.0));
    assert_eq!(time_left(Some("2H")), Some(1500.0));
    assert_eq!(time_left(None), Some(1000.0));
    for bad in ["", "m", "12", "123456789m", "-1m", "1.5S", "1x"] {
        assert_eq!(time_left(Some(bad)), None, "{bad}");
    }
}

#[test]
fn customer_ids_are_deterministic_and_fit_in_63_bits() {
    assert_eq!(customer_id("00000000b4d65521"), CustomerId(0xb4d6_5521));
    assert_eq!(customer_id("Almaty-7"), customer_id("Almaty-7"));
    assert_ne!(customer_id("Almaty-7"), customer_id("Almaty-8"));
    assert!(customer_id("ffffffffffffffff").0 < 1 << 63);
}
