//! A keyed request that comes again after its client has left: whatever happened to its first try, it runs in one cell
//! only, since only the backends of that cell recognise the repeat.

mod stand_ins;

use serde_json::json;
use stand_ins::ingress::*;
use stand_ins::paced::{Pace, PacedBackend};
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The time that a backend works on a request.
const WORK: Duration = Duration::from_millis(400);
/// The number of cells, with a backend each.
const CELLS: u16 = 4;
/// The number of requests that come twice.
const REQUESTS: u64 = 24;

/// Starts a backend for each cell, and returns a configuration with all of them.
async fn start_cells(agent: &Agent) -> (Vec<PacedBackend>, serde_json::Value) {
    let (mut backends, mut entries) = (Vec::new(), Vec::new());
    for cell in 0..CELLS {
        let backend = PacedBackend::start(Pace { work: WORK, ..Pace::default() }).await;
        entries.push(service_entry(&format!("s{cell}"), backend.at, cell, "in_service"));
        backends.push(backend);
    }
    let mut config = ingress_config(agent.at, entries);
    config["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
    (backends, config)
}

/// Returns a keyed request with this id.
fn keyed(id: &str) -> String {
    submit_head(id, 3000, "Content-Length: 4").replace("5c0f6e", &format!("key-{id}")) + "e2e4"
}

/// Sends a keyed request on a new connection and closes it after `patience`.
async fn send_and_leave(listen: SocketAddr, id: &str, patience: Duration) {
    let mut client = Client(TcpStream::connect(listen).await.unwrap(), Default::default());
    client.send(&keyed(id)).await;
    tokio::time::sleep(patience).await;
}

/// Returns the number of backends that ran the request of this id.
fn cells_of(backends: &[PacedBackend], id: &str) -> usize {
    backends.iter().filter(|backend| backend.count(id) > 0).count()
}

#[test]
fn id_that_comes_again_after_its_client_left_runs_in_one_cell() {
    local(async {
        let agent = Agent::start().await;
        let (backends, config) = start_cells(&agent).await;
        let mut program = Program::start("repeated-ids", &config.to_string(), &[], false);
        let listen = program.serving().await;
        for n in 0..REQUESTS {
            let id = format!("twice-{n}");
            send_and_leave(listen, &id, Duration::from_millis(n * 37 % 250)).await;
            tokio::time::sleep(Duration::from_millis(n * 53 % 150)).await;
            let answer = ask(listen, &keyed(&id)).await;
            assert!(matches!(status(&answer), 200 | 409 | 502 | 504), "{id}: {}", status(&answer));
        }
        tokio::time::sleep(WORK).await;
        let in_two = (0..REQUESTS).filter(|n| cells_of(&backends, &format!("twice-{n}")) > 1).count();
        assert_eq!(in_two, 0, "ids of {REQUESTS} ran in two cells");
    });
}

#[test]
fn id_that_comes_again_at_the_next_process_runs_in_one_cell() {
    local(async {
        let agent = Agent::start().await;
        let (backends, mut config) = start_cells(&agent).await;
        let folder = std::env::temp_dir().join(format!("weldhub-repeated-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let env = [("TMPDIR", folder.to_str().unwrap().to_owned())];
        config["listen"] = json!(own_address().to_string());
        config["management"] = json!(own_address().to_string());
        let mut old = Program::start("repeated-old", &config.to_string(), &env, false);
        let listen = old.serving().await;
        let id = |n: u64| format!("upgrade-{n}");
        let mut left = Vec::new();
        for n in 0..REQUESTS {
            send_and_leave(listen, &id(n), Duration::from_millis(20)).await;
            left.push(n);
        }
        let mut open = Vec::new();
        for n in REQUESTS..2 * REQUESTS {
            let mut client = Client(TcpStream::connect(listen).await.unwrap(), Default::default());
            client.send(&keyed(&id(n))).await;
            open.push(client);
        }
        config["management"] = json!(own_address().to_string());
        let mut new = Program::start("repeated-new", &config.to_string(), &env, false);
        assert_eq!(new.serving().await, listen);
        drop(open);
        for n in 0..2 * REQUESTS {
            let answer = ask(listen, &keyed(&id(n))).await;
            assert!(matches!(status(&answer), 200 | 409 | 502 | 504), "{n}: {}", status(&answer));
        }
        let in_two = (0..2 * REQUESTS).filter(|n| cells_of(&backends, &id(*n)) > 1).count();
        assert_eq!(in_two, 0, "ids of {} ran in two cells", 2 * REQUESTS);
        let _ = std::fs::remove_dir_all(folder);
    });
}
