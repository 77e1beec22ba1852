//! The discovery watch when the agent, its connection or a new configuration interrupts it between two steps. Each test
//! plays the agent itself over real sockets. A list must be received within 6 s of the moment a watch falls silent.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use socket2::SockRef;
use stand_ins::ingress::ingress_config;
use stand_ins::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use weldhub::config::{Config, ReloadableConfig};
use weldhub::entries::BackendList;
use weldhub::net::discovery::Discovery;
use weldhub::net::http::MessageKind;
use weldhub::net::stream::ReloadableAddress;

/// The time within which a list must be received after a watch has fallen silent.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// The head of an agent's answer to a watch.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The discovery watch of one ingress, running alone.
struct Watcher {
    /// Where the test accepts the watch's connections.
    agent: TcpListener,
    config: watch::Sender<ReloadableConfig>,
    /// The lists that the watch delivers.
    lists: mpsc::UnboundedReceiver<BackendList>,
    running: JoinHandle<()>,
}

impl Watcher {
    async fn start() -> Self {
        let agent = listener().await;
        let (config, lists, running) = start_watch(agent.local_addr().unwrap(), 1, 7, false);
        Self { agent, config, lists, running }
    }

    /// Accepts the next request; returns its connection and target.
    async fn next_request(&self) -> (TcpStream, String) {
        next_request(&self.agent).await
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.running.abort();
    }
}

/// The parts of a running watch: its configuration, the lists that it delivers, and its task.
type RunningWatch = (watch::Sender<ReloadableConfig>, mpsc::UnboundedReceiver<BackendList>, JoinHandle<()>);

/// Starts the watch of one ingress, in a fleet of `ingress_count`. With `on_request` it requests lists from the agent;
/// otherwise the agent pushes them.
fn start_watch(agent: SocketAddr, ingress_count: u16, seed: u64, on_request: bool) -> RunningWatch {
    let mut config_json = ingress_config(agent, vec![]);
    config_json["settings"]["balancers"] = json!(ingress_count);
    config_json["settings"]["membershipMode"] = json!(if on_request { "on_request" } else { "pushed" });
    let config = Config::read(&config_json.to_string(), |_| None).unwrap();
    let deadlines = swept_deadlines();
    let (updates, reloadable) = watch::channel(config.reloadable());
    let agent = ReloadableAddress::new(&reloadable, agent, |config| config.discovery);
    let discovery =
        Discovery { agent, site: config.instance.site, deadlines, seed, log: discarding_logger() };
    let (sender, lists) = mpsc::unbounded_channel();
    let running = spawn_local(discovery.run(Some(41), move |list| drop(sender.send(list))));
    (updates, lists, running)
}

/// Accepts the next request to an agent; returns its connection and target.
async fn next_request(agent: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = agent.accept().await.unwrap();
    let request = message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.unwrap();
    (stream, String::from_utf8(request.head.request_line().1.to_vec()).unwrap())
}

/// Returns `text` as one chunk of a chunked body.
fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Returns a complete, empty list of this generation, in discovery's JSON format.
fn list(generation: u64) -> String {
    json!({"generation": generation, "reset": true, "instances": []}).to_string()
}

async fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.unwrap();
}

/// Sends the head of an answer and a list of this generation.
async fn send_list(stream: &mut TcpStream, generation: u64) {
    let text = [HEAD, &chunk(&format!("{}\n", list(generation)))].concat();
    send(stream, &text).await;
}

#[test]
fn a_line_that_arrives_byte_by_byte_counts_as_silence() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut first, _) = watcher.next_request().await;
        send_list(&mut first, 42).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 42);
        let silent = Instant::now();
        let trickle = spawn_local(async move {
            for byte in list(43).bytes() {
                if first.write_all(&chunk(&char::from(byte).to_string())).await.is_err() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
        let (mut second, target) = watcher.next_request().await;
        assert!(target.ends_with("&index=42"), "{target}");
        send_list(&mut second, 44).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 44);
        assert!(silent.elapsed() < DELIVERY_DEADLINE, "{:?}", silent.elapsed());
        trickle.await.unwrap();
    });
}

/// Each replacement of a silent watch is accepted, receives a head or half a line, and falls silent as well.
#[test]
fn replacements_that_fall_silent_within_a_line_are_replaced_in_turn() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut first, _) = watcher.next_request().await;
        send_list(&mut first, 42).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 42);
        let (silent, mut held) = (Instant::now(), vec![first]);
        for half in [HEAD.to_vec(), [HEAD, b"5\r\n{\"gen"].concat(), [HEAD, &chunk(&list(43)[..9])].concat()]
        {
            let (mut stream, _) = watcher.next_request().await;
            send(&mut stream, &half).await;
            held.push(stream);
        }
        send_list(&mut watcher.next_request().await.0, 44).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 44);
        assert!(silent.elapsed() < DELIVERY_DEADLINE, "{:?}", silent.elapsed());
        // The connections that were given up must be closed, or these reads do not end.
        for mut stream in held {
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    });
}

#[test]
fn silent_replacements_are_opened_at_a_bounded_rate_until_one_answers() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut first, _) = watcher.next_request().await;
        send_list(&mut first, 42).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 42);
        let (silent, mut held) = (Instant::now(), Vec::new());
        while silent.elapsed() < Duration::from_millis(5500) {
            if let Ok(request) = tokio::time::timeout(Duration::from_millis(50), watcher.next_request()).await
            {
                held.push(request.0);
            }
        }
        // Replacements are opened every 120 ms, from 3.5 s of silence on.
        assert!((5..=18).contains(&held.len()), "{}", held.len());
        send_list(&mut watcher.next_request().await.0, 44).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 44);
        assert!(silent.elapsed() < DELIVERY_DEADLINE, "{:?}", silent.elapsed());
    });
}

/// Guards against a busy loop: an agent that ends each watch at once was called again without a pause.
#[test]
fn watches_that_are_reset_at_once_are_reopened_at_a_bounded_rate() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (began, mut count) = (Instant::now(), 0);
        while began.elapsed() < Duration::from_secs(1) {
            if let Ok((mut stream, _)) =
                tokio::time::timeout(Duration::from_millis(100), watcher.next_request()).await
            {
                count += 1;
                send_list(&mut stream, 42 + count).await;
                assert_eq!(watcher.lists.recv().await.unwrap().generation, 42 + count);
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
        assert!((3..=12).contains(&count), "{count} in a second");
        // A watch that has lasted is reopened without a pause.
        let (mut stream, _) = watcher.next_request().await;
        send_list(&mut stream, 90).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 90);
        tokio::time::sleep(Duration::from_millis(1100)).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        let at_once = tokio::time::timeout(Duration::from_millis(100), watcher.next_request()).await;
        assert!(at_once.is_ok_and(|(_, target)| target.ends_with("&index=90")));
    });
}

#[test]
fn a_new_configuration_in_the_middle_of_a_line_joins_no_lines_of_two_agents() {
    local(async {
        let mut watcher = Watcher::start().await;
        let new = listener().await;
        let (mut old, _) = watcher.next_request().await;
        let text = format!("{}\n", list(43));
        send_list(&mut old, 42).await;
        send(&mut old, &chunk(&text[..20])).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 42);
        // Without a yield in between, the rest of the line arrives and discovery's address changes.
        old.try_write(&chunk(&text[20..])).unwrap();
        watcher.config.send_modify(|config| config.discovery = new.local_addr().ok());
        let (mut next, target) = next_request(&new).await;
        // The old agent's list was received or it was not; the new agent is asked for what follows it.
        let known = match watcher.lists.try_recv() {
            Ok(list) => list.generation,
            Err(_) => 42,
        };
        assert!(target.ends_with(&format!("&index={known}")), "{target} after {known}");
        send_list(&mut next, 44).await;
        assert_eq!(watcher.lists.recv().await.unwrap().generation, 44);
        assert_eq!(old.read_to_end(&mut Vec::new()).await.unwrap_or(0), 0, "the old watch is closed");
    });
}

#[test]
fn a_list_over_several_lines_is_accepted_and_an_unreadable_one_changes_nothing() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut stream, _) = watcher.next_request().await;
        let entry = service_entry("s{1", "127.0.0.1:9".parse().unwrap(), 0, "in_service");
        let list = json!({"generation": 42, "reset": true, "instances": [entry]});
        let text = format!("  {}\n", serde_json::to_string_pretty(&list).unwrap());
        send(&mut stream, HEAD).await;
        for line in text.split_inclusive('\n') {
            send(&mut stream, &chunk(line)).await;
        }
        let received = watcher.lists.recv().await.unwrap();
        assert_eq!((received.generation, received.entries.len()), (42, 1));
        for unreadable in ["{\"generation\": 43}\n", "]}\n", "{\"generation\n", "43\n"] {
            send(&mut stream, &chunk(unreadable)).await;
            let target;
            (stream, target) = watcher.next_request().await;
            assert!(!target.contains("index"), "the complete list is requested: {target}");
            send(&mut stream, &[HEAD, &chunk("\n")].concat()).await;
        }
        assert!(watcher.lists.try_recv().is_err());
    });
}

/// Where lists are sent on request, every call is work for discovery, so the calls of a fleet must be spread out.
#[test]
fn a_fleet_whose_watches_fall_silent_together_requests_again_in_time_and_spread_out() {
    local(async {
        let agent = listener().await;
        let at = agent.local_addr().unwrap();
        let watches: Vec<RunningWatch> = (0..60).map(|seed| start_watch(at, 60, seed, true)).collect();
        let mut held = Vec::new();
        for _ in 0..60 {
            let (mut stream, _) = next_request(&agent).await;
            send(&mut stream, &[HEAD, &chunk("\n")].concat()).await;
            held.push(stream);
        }
        let silent = Instant::now();
        let repeated = Rc::new(RefCell::new(Vec::new()));
        for _ in 0..60 {
            held.push(next_request(&agent).await.0);
            repeated.borrow_mut().push(silent.elapsed());
        }
        let repeated = repeated.borrow();
        assert!(repeated[59] < DELIVERY_DEADLINE, "{:?}", repeated[59]);
        let calls_in_100_ms = (0..60).map(|i| {
            repeated[i..].iter().take_while(|at| **at < repeated[i] + Duration::from_millis(100)).count()
        });
        assert!(calls_in_100_ms.max() <= Some(15), "{repeated:?}");
        watches.into_iter().for_each(|(.., running)| running.abort());
    });
}
