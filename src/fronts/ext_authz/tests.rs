use super::*;
use crate::config::AuthzConfig;

fn left(of: Option<&str>) -> Option<Millis> {
    let config = AuthzConfig::read(include_str!("../../../deploy/ext-authz.toml"), |_| None).unwrap();
    let front = Front { site: config.instance.site, authz: config.authz };
    let headers = [("x-club", "a"), ("x-tier", "club")].map(|(n, v)| (n.to_owned(), v.to_owned())).into();
    let http = HttpRequest { path: "/board-state/1".into(), headers, ..HttpRequest::default() };
    let request = Some(proto::Request { http: Some(http) });
    let attributes = Some(AttributeContext { request, ..AttributeContext::default() });
    let message = CheckRequest { attributes }.encode_to_vec().into();
    let mut metadata = MetadataMap::new();
    of.map(|timeout| metadata.insert("grpc-timeout", timeout.parse().unwrap()));
    front.read(&Check { message, metadata }).ok().map(|terms| terms.time_left)
}

#[test]
fn a_caller_waits_as_long_as_it_says_or_the_default_and_never_beyond_its_class() {
    assert_eq!(left(Some("300m")), Some(300.0));
    assert_eq!(left(Some("1S")), Some(1000.0));
    assert_eq!(left(Some("500000u")), Some(500.0));
    assert_eq!(left(Some("2H")), Some(1500.0));
    assert_eq!(left(None), Some(1000.0));
    for bad in ["", "m", "12", "123456789m", "-1m", "1.5S", "1x"] {
        assert_eq!(left(Some(bad)), None, "{bad}");
    }
}

#[test]
fn a_customers_number_is_the_same_everywhere_and_fits_the_messages_between_instances() {
    assert_eq!(customer_id("00000000b4d65521"), CustomerId(0xb4d6_5521));
    assert_eq!(customer_id("Almaty-7"), customer_id("Almaty-7"));
    assert_ne!(customer_id("Almaty-7"), customer_id("Almaty-8"));
    assert!(customer_id("ffffffffffffffff").0 < 1 << 63);
}
