//! SIGHUP sent to the running program: it reads its configuration again and switches to the new discovery
//! address. The signal never ends it.

mod stand_ins;

use bytes::BytesMut;
use serde_json::{Value, json};
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use weldhub::net::http::MessageKind;

/// The platform configuration with `agent` as discovery and `known` as the initial backend list.
fn config(agent: SocketAddr, known: Vec<Value>) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": agent.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"generation": 41, "reset": true, "instances": known},
        "settings": {
            "balancers": 1, "myNumber": 0, "zones": ["a"], "flavors": ["m"],
            "limits": {"maxAttempts": 3, "cancelling": true, "maxRetryAfter": 1000.0},
            "rules": {"coldFrom": 1.0, "cold": 1.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
            "classes": [{"name": "board-state", "aim": 600.0, "giveUp": 1500.0, "effect": "read_like"}],
            "tariffs": [{"name": "club", "perSecond": 100.0, "storeSize": 100.0, "atOnce": 0,
                "ceilingRate": 0.0, "neverOverDepth": 0.0}],
        },
    })
}

/// Sends a `GET /board-state` request; returns the status and the body of the response.
async fn get_board_state(at: SocketAddr, id: &str) -> (u16, Vec<u8>) {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let text = format!(
        "GET /board-state/1?client=0000000000000007 HTTP/1.1\r\nRequest-Id: {id}\r\nX-Tier: club\r\n\
         Request-Timeout-Ms: 1400\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let response = message(&mut stream, &mut BytesMut::new(), MessageKind::Response).await.unwrap();
    (response.head.status(), response.body.to_vec())
}

/// Guards against a program without a SIGHUP handler, which ends on the first SIGHUP of a configuration
/// rollout.
#[test]
fn reload_moves_discovery_at_once_and_ignores_invalid_configuration() {
    local(async {
        let (first_backend, second_backend) =
            (Backend::start(ok("one")).await, Backend::start(ok("two")).await);
        let (old, new) = (Agent::start().await, Agent::start().await);
        let known = vec![service_entry("s1", first_backend.at, 0, "in_service")];
        let first = config(old.at, known.clone());
        // The environment names the old address; it must not override the reloaded configuration.
        let env = [("RELAY_DISCOVERY", old.at.to_string())];
        let mut program = Program::start("platform", &first.to_string(), &env, false);
        let at = program.serving().await;
        until(|| old.asked.borrow().len() == 1).await;
        program.reload_config("{\"discovery\":");
        program.wait_for_log("the new configuration cannot be used").await;
        program.reload_config(&first.to_string().replace(&format!("\"{}\"", old.at), "\"nowhere\""));
        program.wait_for_log("discovery").await;
        assert_eq!(get_board_state(at, "a").await, (200, b"one".to_vec()));
        assert_eq!((old.asked.borrow().len(), new.asked.borrow().len()), (1, 0));
        program.reload_config(&config(new.at, known).to_string());
        until(|| new.asked.borrow().len() == 1).await;
        assert!(
            new.asked.borrow()[0].ends_with("&index=41"),
            "the new watch does not continue from the known index"
        );
        assert_eq!(
            get_board_state(at, "b").await,
            (200, b"one".to_vec()),
            "the backend list was lost on reload"
        );
        let (removed, added) = (
            service_entry("s1", first_backend.at, 0, "terminated"),
            service_entry("s2", second_backend.at, 0, "in_service"),
        );
        new.say(42, false, vec![removed, added]);
        let mut response = get_board_state(at, "c").await;
        for i in 0.. {
            if response == (200, b"two".to_vec()) {
                break;
            }
            response = get_board_state(at, &format!("d{i}")).await;
        }
        // SIGHUP during shutdown, more than once, must not end the program early.
        program.signal("TERM");
        program.signal("HUP");
        program.wait_for_log("stopping").await;
        program.signal("HUP");
        assert!(program.end().await.success());
    });
}

#[test]
fn reload_moves_ext_authz_front_to_another_consul() {
    local(async {
        let (old, new) = (Consul::start(vec![]).await, Consul::start(vec![]).await);
        let config = |consul: SocketAddr| {
            let text = include_str!("../deploy/ext-authz.toml");
            let replace_addresses = |line: &str| match line.split(" = ").next() {
                Some("listen") => "listen = \"127.0.0.1:0\"".to_owned(),
                Some("address") => format!("address = \"{consul}\""),
                _ => line.to_owned(),
            };
            text.lines().map(replace_addresses).collect::<Vec<_>>().join("\n")
        };
        let mut program = Program::start("authz", &config(old.at), &[], true);
        until(|| !old.asked.borrow().is_empty()).await;
        program.reload_config("consul = 1");
        program.wait_for_log("the new configuration cannot be used").await;
        program.reload_config(&config(new.at));
        until(|| !new.asked.borrow().is_empty()).await;
        program.signal("TERM");
        assert!(program.end().await.success());
    });
}
