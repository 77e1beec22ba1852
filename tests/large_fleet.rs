//! Lists of 1,100 ingresses and 2,000 real servers, in the settings and from discovery: all of them count, and the program
//! stays within the least memory that an ingress is given.

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
const SERVERS: usize = 2000;
/// An ingress over this is killed.
const MEMORY_MB: u64 = 48;
/// So many of the real servers leave.
const LEAVE: usize = 1500;
/// So often each client asks.
const ROUNDS: usize = 40;

/// The most memory that a process has held, in kB.
fn peak(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// An address of loopback for each real server, all of which end at one listener on all of them.
fn addresses(port: u16) -> Vec<SocketAddr> {
    let address = |i: usize| Ipv4Addr::new(127, 1, (i / 250) as u8, (i % 250) as u8 + 1);
    (0..SERVERS).map(|i| SocketAddr::from((address(i), port))).collect()
}

fn entry(i: usize, at: SocketAddr, lifecycle: &str) -> Value {
    service_entry(&format!("server-of-a-large-fleet-{i:06}"), at, (i % 40) as u16, lifecycle)
}

/// Some clients ask one thing after another; some of it is of customers of many ingresses, the last ones among these.
async fn ask_many(at: SocketAddr) {
    let mut asking = Vec::new();
    for c in 0..8 {
        asking.push(spawn_local(async move {
            let (mut client, mut served) = (Client::new(at).await, 0);
            for i in (0..ROUNDS).map(|i| c * ROUNDS + i) {
                let set = if i % 10 == 0 { "spread=60,first=1030" } else { "spread=1,first=1050" };
                let text = board(&format!("{i}"), 900, 1).replace("spread=1,first=0", set);
                let text = text.replace("client=0000000000000007", &format!("client={i:016x}"));
                served += usize::from(status(&client.ask(&text).await) == 200);
            }
            served
        }));
    }
    for one in asking {
        let served = one.await.unwrap();
        assert!(served * 10 >= ROUNDS * 9, "{served} of {ROUNDS} served");
    }
}

async fn members(door: SocketAddr, wanted: usize) {
    while figures(door).await["svc_members"] != wanted as u64 {}
}

#[test]
fn a_list_of_1100_ingresses_and_2000_servers_counts_whole_within_48_mb() {
    local(async {
        let (server, agent) =
            (Backend::on_all(Serve::Late(Duration::from_millis(10), "x".into())).await, Agent::start().await);
        let servers = addresses(server.at.port());
        let known = (0..SERVERS).map(|i| entry(i, servers[i], "in_service")).collect();
        let mut told = ingress_config(agent.at, known);
        let socket = || UdpSocket::bind("127.0.0.1:0").unwrap();
        let (own, last) = (socket().local_addr().unwrap(), socket());
        let mut peers: Vec<SocketAddr> = (0..INGRESSES)
            .map(|i| SocketAddr::from(([127, 2, (i / 250) as u8, (i % 250) as u8 + 1], 9)))
            .collect();
        // All from the 1,024th on are heard here, but for the ingress itself.
        peers[1024..].fill(last.local_addr().unwrap());
        peers[1050] = own;
        told["limits"]["memory_mb"] = json!(MEMORY_MB);
        (told["peer_listen"], told["peers"]) = (json!(own), json!(peers));
        told["settings"]["balancers"] = json!(INGRESSES);
        told["settings"]["myNumber"] = json!(1050);
        told["settings"]["limits"]["mayTell"] = json!(true);
        told["settings"]["familyInfo"]["mailPerS"] = json!(100.0);
        told["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
        let door = own_address();
        let env = [("RELAY_MANAGEMENT", door.to_string())];
        let mut program = Program::start("large-fleet", &told.to_string(), &env, false);
        let at = program.serving().await;
        members(door, SERVERS).await;
        ask_many(at).await;
        let leave = (0..LEAVE).map(|i| entry(i, servers[i], "terminated")).collect();
        agent.say(42, false, leave);
        members(door, SERVERS - LEAVE).await;
        // What is left are the last of the list.
        server.got.borrow_mut().clear();
        ask_many(at).await;
        let hosts: BTreeSet<String> =
            server.got.borrow().iter().map(|(_, request)| header(request, "host").unwrap()).collect();
        let left: BTreeSet<String> = servers[LEAVE..].iter().map(SocketAddr::to_string).collect();
        assert!(hosts.len() > 1 && hosts.is_subset(&left), "{} real servers: {hosts:?}", hosts.len());
        agent.say(43, true, (0..SERVERS).map(|i| entry(i, servers[i], "in_service")).collect());
        members(door, SERVERS).await;
        let mut datagram = [0; 512];
        last.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        assert!(last.recv(&mut datagram).is_ok_and(|n| n > 0), "the last ingresses are sent messages");
        let peak = peak(program.child.id());
        assert!(peak < MEMORY_MB << 10, "{peak} kB");
    });
}
