//! The watch on discovery where the agent, its connection or a new configuration does something between two steps. The
//! agent is played by hand, over real sockets; what counts is the page's clock: 6 s after a watch has fallen silent.

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

/// What discovery has to say counts as told so long after a watch has fallen silent.
const CLOCK: Duration = Duration::from_secs(6);
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An ingress's watch, alone.
struct Watcher {
    agent: TcpListener,
    ways: watch::Sender<ReloadableConfig>,
    told: mpsc::UnboundedReceiver<BackendList>,
    running: JoinHandle<()>,
}

impl Watcher {
    async fn start() -> Self {
        let agent = listener().await;
        let (ways, told, running) = watches(agent.local_addr().unwrap(), 1, 7, false);
        Self { agent, ways, told, running }
    }

    /// Whoever asks next, and what for.
    async fn asked(&self) -> (TcpStream, String) {
        asked(&self.agent).await
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.running.abort();
    }
}

type Watching = (watch::Sender<ReloadableConfig>, mpsc::UnboundedReceiver<BackendList>, JoinHandle<()>);

/// Has one of so many instances watch this agent, which tells by itself or has to be asked.
fn watches(agent: SocketAddr, instances: u16, seed: u64, on_request: bool) -> Watching {
    let mut text = ingress_config(agent, vec![]);
    text["settings"]["balancers"] = json!(instances);
    text["settings"]["membershipMode"] = json!(if on_request { "on_request" } else { "pushed" });
    let config = Config::read(&text.to_string(), |_| None).unwrap();
    let deadlines = swept_deadlines();
    let (ways, moved) = watch::channel(config.reloadable());
    let agent = ReloadableAddress::new(&moved, agent, |ways| ways.discovery);
    let discovery =
        Discovery { agent, site: config.instance.site, deadlines, seed, log: discarding_logger() };
    let (tell, tells) = mpsc::unbounded_channel();
    let running = spawn_local(discovery.run(Some(41), move |list| drop(tell.send(list))));
    (ways, tells, running)
}

async fn asked(agent: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = agent.accept().await.unwrap();
    let request = message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.unwrap();
    (stream, String::from_utf8(request.head.request_line().1.to_vec()).unwrap())
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A list of this generation, with nobody on it.
fn list(generation: u64) -> String {
    json!({"generation": generation, "reset": true, "instances": []}).to_string()
}

async fn say(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.unwrap();
}

async fn say_list(stream: &mut TcpStream, generation: u64) {
    let text = [HEAD, &chunk(&format!("{}\n", list(generation)))].concat();
    say(stream, &text).await;
}

#[test]
fn half_a_line_that_trickles_on_is_silence() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut first, _) = watcher.asked().await;
        say_list(&mut first, 42).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 42);
        let silent = Instant::now();
        let trickle = spawn_local(async move {
            for byte in list(43).bytes() {
                if first.write_all(&chunk(&char::from(byte).to_string())).await.is_err() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
        let (mut second, asked) = watcher.asked().await;
        assert!(asked.ends_with("&index=42"), "{asked}");
        say_list(&mut second, 44).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 44);
        assert!(silent.elapsed() < CLOCK, "{:?}", silent.elapsed());
        trickle.await.unwrap();
    });
}

/// Each of the next ones is accepted, says its head or half a line and never speaks again.
#[test]
fn successors_that_say_half_a_word_and_fall_silent_are_not_waited_for() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut first, _) = watcher.asked().await;
        say_list(&mut first, 42).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 42);
        let (silent, mut held) = (Instant::now(), vec![first]);
        for half in [HEAD.to_vec(), [HEAD, b"5\r\n{\"gen"].concat(), [HEAD, &chunk(&list(43)[..9])].concat()]
        {
            let (mut stream, _) = watcher.asked().await;
            say(&mut stream, &half).await;
            held.push(stream);
        }
        say_list(&mut watcher.asked().await.0, 44).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 44);
        assert!(silent.elapsed() < CLOCK, "{:?}", silent.elapsed());
        // Those that it has no more use for are closed.
        for mut stream in held {
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    });
}

#[test]
fn successors_that_never_speak_are_asked_at_a_pace_and_bounded_until_one_does() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut first, _) = watcher.asked().await;
        say_list(&mut first, 42).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 42);
        let (silent, mut held) = (Instant::now(), Vec::new());
        while silent.elapsed() < Duration::from_millis(5500) {
            if let Ok(asked) = tokio::time::timeout(Duration::from_millis(50), watcher.asked()).await {
                held.push(asked.0);
            }
        }
        // From 3.5 s on, each 120 ms.
        assert!((5..=18).contains(&held.len()), "{}", held.len());
        say_list(&mut watcher.asked().await.0, 44).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 44);
        assert!(silent.elapsed() < CLOCK, "{:?}", silent.elapsed());
    });
}

/// Seen by reading: an agent that ended each watch at once was asked again without a pause.
#[test]
fn watches_that_are_reset_at_once_are_opened_anew_at_a_pace() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (began, mut count) = (Instant::now(), 0);
        while began.elapsed() < Duration::from_secs(1) {
            if let Ok((mut stream, _)) =
                tokio::time::timeout(Duration::from_millis(100), watcher.asked()).await
            {
                count += 1;
                say_list(&mut stream, 42 + count).await;
                assert_eq!(watcher.told.recv().await.unwrap().generation, 42 + count);
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
        assert!((3..=12).contains(&count), "{count} in a second");
        // One that has lasted is opened anew at once.
        let (mut stream, _) = watcher.asked().await;
        say_list(&mut stream, 90).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 90);
        tokio::time::sleep(Duration::from_millis(1100)).await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        let at_once = tokio::time::timeout(Duration::from_millis(100), watcher.asked()).await;
        assert!(at_once.is_ok_and(|(_, asked)| asked.ends_with("&index=90")));
    });
}

#[test]
fn a_new_configuration_in_the_middle_of_a_line_begins_a_line_of_its_own() {
    local(async {
        let mut watcher = Watcher::start().await;
        let new = listener().await;
        let (mut old, _) = watcher.asked().await;
        let text = format!("{}\n", list(43));
        say_list(&mut old, 42).await;
        say(&mut old, &chunk(&text[..20])).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 42);
        // In one turn: the rest of the line comes, and discovery is elsewhere.
        old.try_write(&chunk(&text[20..])).unwrap();
        watcher.ways.send_modify(|ways| ways.discovery = new.local_addr().ok());
        let (mut next, ask) = asked(&new).await;
        // The old one's word was heard or it was not; the new one is asked for what came after.
        let known = match watcher.told.try_recv() {
            Ok(list) => list.generation,
            Err(_) => 42,
        };
        assert!(ask.ends_with(&format!("&index={known}")), "{ask} after {known}");
        say_list(&mut next, 44).await;
        assert_eq!(watcher.told.recv().await.unwrap().generation, 44);
        assert_eq!(old.read_to_end(&mut Vec::new()).await.unwrap_or(0), 0, "the old watch is closed");
    });
}

#[test]
fn a_list_that_is_indented_over_many_lines_is_taken_in_and_nonsense_leaves_the_last_one() {
    local(async {
        let mut watcher = Watcher::start().await;
        let (mut stream, _) = watcher.asked().await;
        let entry = service_entry("s{1", "127.0.0.1:9".parse().unwrap(), 0, "in_service");
        let list = json!({"generation": 42, "reset": true, "instances": [entry]});
        let text = format!("  {}\n", serde_json::to_string_pretty(&list).unwrap());
        say(&mut stream, HEAD).await;
        for line in text.split_inclusive('\n') {
            say(&mut stream, &chunk(line)).await;
        }
        let told = watcher.told.recv().await.unwrap();
        assert_eq!((told.generation, told.entries.len()), (42, 1));
        for nonsense in ["{\"generation\": 43}\n", "]}\n", "{\"generation\n", "43\n"] {
            say(&mut stream, &chunk(nonsense)).await;
            let ask;
            (stream, ask) = watcher.asked().await;
            assert!(!ask.contains("index"), "the whole list is asked for: {ask}");
            say(&mut stream, &[HEAD, &chunk("\n")].concat()).await;
        }
        assert!(watcher.told.try_recv().is_err());
    });
}

/// Where lists are asked for, a call costs discovery something: those of a fleet must not come at once.
#[test]
fn a_fleet_whose_watches_fall_silent_together_asks_again_in_time_and_not_at_once() {
    local(async {
        let agent = listener().await;
        let at = agent.local_addr().unwrap();
        let watching: Vec<Watching> = (0..60).map(|seed| watches(at, 60, seed, true)).collect();
        let mut held = Vec::new();
        for _ in 0..60 {
            let (mut stream, _) = asked(&agent).await;
            say(&mut stream, &[HEAD, &chunk("\n")].concat()).await;
            held.push(stream);
        }
        let silent = Instant::now();
        let again = Rc::new(RefCell::new(Vec::new()));
        for _ in 0..60 {
            held.push(asked(&agent).await.0);
            again.borrow_mut().push(silent.elapsed());
        }
        let again = again.borrow();
        assert!(again[59] < CLOCK, "{:?}", again[59]);
        let most = (0..60)
            .map(|i| again[i..].iter().take_while(|at| **at < again[i] + Duration::from_millis(100)).count());
        assert!(most.max() <= Some(15), "{again:?}");
        watching.into_iter().for_each(|(.., running)| running.abort());
    });
}
