//! Lists of 1,100 ingresses and 2,000 backends, in the configuration and from discovery: every entry is used,
//! and the program stays within the smallest memory limit of an ingress.

mod stand_ins;

use serde_json::{Value, json};
use stand_ins::admin::figures;
use stand_ins::ingress::{Client, board, header, ingress_config, status};
use stand_ins::program::Program;
use stand_ins::*;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;
use tokio::task::spawn_local;

const INGRESSES: usize = 1100;
const BACKENDS: usize = 2000;
/// The memory limit of an ingress, in MiB. One that exceeds it is killed.
const MEMORY_LIMIT_MB: u64 = 48;
/// The number of backends that leave the list.
const LEAVING_BACKENDS: usize = 1500;
/// The number of requests of each client.
const REQUESTS_PER_CLIENT: usize = 40;

/// The peak resident memory of a process, in KiB.
fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// A loopback address for each backend. One listener accepts the connections to all of them.
fn backend_addresses(port: u16) -> Vec<SocketAddr> {
    let address = |i: usize| Ipv4Addr::new(127, 1, (i / 250) as u8, (i % 250) as u8 + 1);
    (0..BACKENDS).map(|i| SocketAddr::from((address(i), port))).collect()
}

/// The discovery entry of backend `i`.
fn entry(i: usize, at: SocketAddr, lifecycle: &str) -> Value {
    service_entry(&format!("server-of-a-large-fleet-{i:06}"), at, (i % 40) as u16, lifecycle)
}

/// Eight clients send one request after another. One in ten requests is of a customer spread over 60
/// ingresses, the last ones of the list among them.
async fn send_requests(at: SocketAddr) {
    let mut clients = Vec::new();
    for c in 0..8 {
        clients.push(spawn_local(async move {
            let (mut client, mut served) = (Client::new(at).await, 0);
            for i in (0..REQUESTS_PER_CLIENT).map(|i| c * REQUESTS_PER_CLIENT + i) {
                let set = if i % 10 == 0 { "spread=60,first=1030" } else { "spread=1,first=1050" };
                let text = board(&format!("{i}"), 900, 1).replace("spread=1,first=0", set);
                let text = text.replace("client=0000000000000007", &format!("client={i:016x}"));
                served += usize::from(status(&client.ask(&text).await) == 200);
            }
            served
        }));
    }
    for client in clients {
        let served = client.await.unwrap();
        assert!(served * 10 >= REQUESTS_PER_CLIENT * 9, "{served} of {REQUESTS_PER_CLIENT} served");
    }
}

/// Waits until the ingress lists this number of backends.
async fn until_members(admin: SocketAddr, wanted: usize) {
    while figures(admin).await["svc_members"] != wanted as u64 {}
}

#[test]
fn lists_of_1100_ingresses_and_2000_backends_are_used_in_full_within_48_mb() {
    local(async {
        let (backend, agent) =
            (Backend::on_all(Serve::Late(Duration::from_millis(10), "x".into())).await, Agent::start().await);
        let addresses = backend_addresses(backend.at.port());
        let known = (0..BACKENDS).map(|i| entry(i, addresses[i], "in_service")).collect();
        let mut config = ingress_config(agent.at, known);
        let socket = || UdpSocket::bind("127.0.0.1:0").unwrap();
        let (own, last) = (socket().local_addr().unwrap(), socket());
        let mut peers: Vec<SocketAddr> = (0..INGRESSES)
            .map(|i| SocketAddr::from(([127, 2, (i / 250) as u8, (i % 250) as u8 + 1], 9)))
            .collect();
        // From index 1,024 on, all peers but the ingress itself have the address of the `last` socket.
        peers[1024..].fill(last.local_addr().unwrap());
        peers[1050] = own;
        config["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MB);
        (config["peer_listen"], config["peers"]) = (json!(own), json!(peers));
        config["settings"]["balancers"] = json!(INGRESSES);
        config["settings"]["myNumber"] = json!(1050);
        config["settings"]["limits"]["mayTell"] = json!(true);
        config["settings"]["familyInfo"]["mailPerS"] = json!(100.0);
        config["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
        let admin = own_address();
        let env = [("RELAY_MANAGEMENT", admin.to_string())];
        let mut program = Program::start("large-fleet", &config.to_string(), &env, false);
        let at = program.serving().await;
        until_members(admin, BACKENDS).await;
        send_requests(at).await;
        let leaving = (0..LEAVING_BACKENDS).map(|i| entry(i, addresses[i], "terminated")).collect();
        agent.say(42, false, leaving);
        until_members(admin, BACKENDS - LEAVING_BACKENDS).await;
        // The last entries of the list remain.
        backend.got.borrow_mut().clear();
        send_requests(at).await;
        let hosts: BTreeSet<String> =
            backend.got.borrow().iter().map(|(_, request)| header(request, "host").unwrap()).collect();
        let remaining: BTreeSet<String> =
            addresses[LEAVING_BACKENDS..].iter().map(SocketAddr::to_string).collect();
        assert!(hosts.len() > 1 && hosts.is_subset(&remaining), "{} backends: {hosts:?}", hosts.len());
        agent.say(43, true, (0..BACKENDS).map(|i| entry(i, addresses[i], "in_service")).collect());
        until_members(admin, BACKENDS).await;
        let mut datagram = [0; 512];
        last.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        assert!(last.recv(&mut datagram).is_ok_and(|n| n > 0), "no message to the last ingresses");
        let peak_kb = peak_memory_kb(program.child.id());
        assert!(peak_kb < MEMORY_LIMIT_MB << 10, "{peak_kb} kB");
    });
}
