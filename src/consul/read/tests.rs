use super::*;
use quickcheck::{Gen, QuickCheck};
use serde_json::json;

fn valid_instance() -> Value {
    json!({
        "Node": {"Node": "n1", "Address": "127.0.0.9"},
        "Service": {"ID": "a", "Address": "127.0.0.1", "Port": 80, "CreateIndex": 7,
            "Weights": {"Passing": 3, "Warning": 2},
            "Meta": {"cell": "4", "zone": "east", "kind": "big", "started_at_ms": "99"}},
        "Checks": [{"CheckID": "c", "Status": "passing"}],
    })
}

/// The valid instance with the value at `path` replaced, or removed if `value` is `None`.
fn with(path: &str, value: Option<Value>) -> Value {
    let mut instance = valid_instance();
    let (parent, key) = path.rsplit_once('/').unwrap();
    match (instance.pointer_mut(parent).unwrap(), value) {
        (Value::Object(fields), Some(value)) => drop(fields.insert(key.into(), value)),
        (Value::Object(fields), None) => drop(fields.remove(key)),
        (Value::Array(items), Some(value)) => items.push(value),
        _ => panic!("{path}"),
    }
    instance
}

fn read(instances: Vec<Value>) -> Result<HealthAnswer, String> {
    let places = TopologyNames { zones: vec!["west".into(), "east".into()], kinds: vec!["big".into()] };
    health(Value::from(instances).to_string().as_bytes(), &ConsulService::default(), &places)
}

fn one(instance: Value) -> Observation {
    read(vec![instance]).unwrap().instances.remove(0)
}

#[test]
fn reads_node_zone_kind_cell_start_and_weight_of_an_instance() {
    let seen = one(valid_instance());
    let BackendEntry { weight, zone, kind, cell, last_start, state, .. } = seen.entry.entry;
    assert_eq!((seen.name.as_str(), seen.create_index, seen.reason), ("n1/a", 7, Reason::Passing));
    assert_eq!((weight, zone.0, kind.0, cell.0, last_start), (3.0, 1, 0, 4, Some(99.0)));
    assert_eq!((state, seen.entry.address), (BackendState::Ready, "127.0.0.1:80".parse().ok()));
    assert_eq!(one(with("/Service/Address", Some("".into()))).entry.address, "127.0.0.9:80".parse().ok());
    let elsewhere = ConsulService { prefix: "dc2/".into(), ..ConsulService::default() };
    let body = json!([{"Node": "n1", "ServiceID": "a"}]).to_string();
    assert_eq!(catalogue(body.as_bytes(), &elsewhere).unwrap(), [backend_id("dc2/n1/a")].into());
}

#[test]
fn critical_checks_maintenance_and_zero_weight_drain_an_instance() {
    let check = |id: &str, status: &str| Some(json!({"CheckID": id, "Status": status}));
    for (extra, why) in [
        (check("d", "passing"), Reason::Passing),
        (check("d", "warning"), Reason::Warning),
        (check("d", "critical"), Reason::Critical),
        (check("d", "melting"), Reason::Critical),
        (check("_node_maintenance", "critical"), Reason::NodeMaintenance),
        (check("_service_maintenance:a", "critical"), Reason::ServiceMaintenance),
    ] {
        let seen = one(with("/Checks/-", extra));
        assert_eq!((seen.reason, seen.is_ready()), (why, matches!(why, Reason::Passing | Reason::Warning)));
        assert_eq!(seen.entry.entry.weight, if why == Reason::Warning { 2.0 } else { 3.0 });
    }
    let none = one(with("/Service/Weights/Passing", Some(0.into())));
    assert_eq!((none.reason, none.is_ready()), (Reason::NoWeight, false));
}

#[test]
fn skips_invalid_instances_with_their_key_and_keeps_the_others() {
    for (path, value, key) in [
        ("/Service/ID", None, "Service.ID"),
        ("/Service/ID", Some(7.into()), "Service.ID"),
        ("/Node/Node", None, "Node.Node"),
        ("/Service/Address", Some("games.example".into()), "Service.Address"),
        ("/Service/Port", None, "Service.Port"),
        ("/Service/Port", Some(0.into()), "Service.Port"),
        ("/Service/Port", Some(65_536.into()), "Service.Port"),
        ("/Service/Port", Some((-1).into()), "Service.Port"),
        ("/Service/Port", Some("80".into()), "Service.Port"),
        ("/Service/Weights/Passing", Some("many".into()), "Service.Weights.Passing"),
        ("/Service/Weights/Passing", Some((-2).into()), "Service.Weights.Passing"),
        ("/Service/Meta/cell", Some("x".into()), "Service.Meta.cell"),
        ("/Service/Meta/started_at_ms", Some("soon".into()), "Service.Meta.started_at_ms"),
        ("/Checks", None, "Checks"),
        ("/Checks/-", Some(json!({"CheckID": "d"})), "Checks.Status"),
    ] {
        let mut other = valid_instance();
        other["Service"]["ID"] = "b".into();
        let read = read(vec![with(path, value), other]).unwrap();
        assert_eq!(read.instances.len(), 1, "{path}");
        assert_eq!(read.skipped.first().unwrap().1, key, "{path}");
    }
    let twice = read(vec![valid_instance(), with("/Service/Port", Some(81.into()))]).unwrap();
    assert_eq!((twice.instances.len(), twice.skipped.len()), (1, 1));
    assert_eq!(twice.instances[0].entry.address.unwrap().port(), 80);
    assert!(read(vec![with("/Checks", None)]).is_err(), "no valid instance is an error, not an empty list");
    assert!(catalogue(b"[{\"Node\": \"n1\"}]", &ConsulService::default()).is_err());
}

#[test]
fn truncated_and_corrupted_answers_yield_errors_or_skipped_instances() {
    fn holds(at: usize, byte: u8, truncate: bool) -> bool {
        let mut body = Value::from(vec![valid_instance()]).to_string().into_bytes();
        let at = at % body.len();
        if truncate {
            body.truncate(at);
        } else {
            body[at] = byte;
        }
        let service = ConsulService::default();
        let _ = catalogue(&body, &service);
        match health(&body, &service, &TopologyNames::default()) {
            Ok(read) => {
                !truncate
                    && read.instances.iter().all(|seen| seen.entry.address.is_some_and(|at| at.port() > 0))
            }
            Err(why) => !why.is_empty(),
        }
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(4000, 11)).tests(2000);
    check.quickcheck(holds as fn(usize, u8, bool) -> bool);
}
