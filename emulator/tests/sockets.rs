//! The same cases on sockets and in the emulator: measurements, not part of CI.
//! `cargo test --release -p weldhub-emulator --test sockets -- --ignored --nocapture --test-threads 1`

use bytes::BytesMut;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use weldhub::config::Config;
use weldhub::net::http::{MessageKind, take_message};
use weldhub_emulator::script::Script;
use weldhub_emulator::world::play;
use weldhub_load::run::run;
use weldhub_load::work::Workload;

const CORES: usize = 4;
const WORK: f64 = 40.0;

/// A real server of four cores that needs 20 to 60 ms for a request; so many times slower while it is told so.
async fn server(times: Rc<Cell<f64>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let cores = Rc::new(Semaphore::new(CORES));
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (cores, times) = (cores.clone(), times.clone());
            spawn_local(async move {
                let mut buffer = BytesMut::new();
                loop {
                    while take_message(&mut buffer, MessageKind::Request, false).unwrap().is_none() {
                        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                            return;
                        }
                    }
                    let core = cores.acquire().await.unwrap();
                    let time = WORK * (0.5 + fastrand::f64()) * times.get();
                    sleep(Duration::from_secs_f64(time / 1000.0)).await;
                    drop(core);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

fn told(listen: &str, me: usize, peers: &[String], servers: &[SocketAddr], known: u64) -> Value {
    let entry = |(i, at): (usize, &SocketAddr)| {
        json!({"instanceId": format!("s{i}"), "hostPort": at.to_string(), "zone": "a", "machineType": "m", "cell": 0,
            "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0})
    };
    json!({
        "name": format!("n{me}"), "listen": listen, "discovery": "127.0.0.1:9", "seed": format!("{:016x}", known + me as u64),
        "limits": {"memory_mb": 192, "sockets": 1024}, "peer_listen": peers[me], "peers": peers,
        "known": {"generation": 1, "reset": true, "instances": servers.iter().enumerate().map(entry).collect::<Vec<_>>()},
        "settings": {
            "balancers": 3, "myNumber": me, "zones": ["a"], "flavors": ["m"],
            "limits": {"maxAttempts": 6, "cancelling": true, "mayTell": true, "maxRetryAfter": 1000.0, "connIdle": 30000.0},
            "familyInfo": {"largest": 1, "mailPerS": 60.0},
            "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
            "classes": [{"name": "board-state", "aim": 750.0, "giveUp": 1500.0, "effect": "read_like"}],
            "tariffs": [{"name": "club", "perSecond": 40.0, "storeSize": 80.0, "atOnce": 0, "ceilingRate": 0.0,
                "neverOverDepth": 0.0, "excessCost": 1.2}],
        },
    })
}

/// An operator's call at every door.
async fn calls(doors: &[SocketAddr], line: &str) {
    for door in doors {
        let mut stream = tokio::net::TcpStream::connect(door).await.unwrap();
        stream.write_all(line.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert_eq!(answer, "ok\n");
    }
}

/// The same for the emulator, at this many requests a second.
fn script(rate: f64, seconds: f64, troubles: &str) -> Script {
    // Six real servers of four cores serve 600 a second.
    let text = format!(
        "length = {:.1}\n[ingresses]\ncount = 3\nnotice = [0.0, 1.0]\n[[kinds]]\ncount = 6\ncores = {CORES}\nspeed = [1.0, 1.0]\nslots = 1.0\nqueue = 1000.0\n\
         [network]\nhalls = 1\nsame = [0.05, 0.1]\nclient = [0.05, 0.2]\n[servers]\nhandshake = 0.1\nhandshake_work = 0.0\n\
         [peers]\ndelay = [0.1, 0.3]\nloss = 0.0\nper_second = 60.0\n\
         [load]\nlevel = {:.6}\nclients = \"library\"\nkinds = [0.0, 0.0, 0.0]\nspread = [3, 3]\nlargest = 1\n\
         [[classes]]\nname = \"board-state\"\nshare = 1.0\nwork = {WORK}\naim = 750.0\ngive_up = 1500.0\nworth = 1.0\nrepeat = \"safe\"\n\
         [[plans]]\nname = \"club\"\nshare = 1.0\nrate = 40.0\nburst = 2.0\nworth = 1.0\nbeyond = 1.2\n{troubles}",
        seconds * 1000.0,
        rate / 600.0
    );
    Script::read(&text).unwrap()
}

#[test]
#[ignore = "a measurement"]
fn sockets_and_emulator_agree() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let slow = "[[troubles]]\nat = 4000.0\ndo = { slow = { times = 2.0, lasting = 4000.0 } }\n";
        let crash = "[[troubles]]\nat = 4000.0\ndo = { crash = { share = 0.34, down = [1500.0, 1500.0] } }\n";
        let hand = "[[troubles]]\nat = 4000.0\ndo = { hand = { servers = 1, lasting = 4000.0 } }\n";
        for (what, rate, troubles) in [
            ("steady", 300.0, ""),
            ("overloaded", 900.0, ""),
            ("slow for 4 s", 400.0, slow),
            ("one ingress restarts", 300.0, crash),
            ("one real server drains for 4 s", 420.0, hand),
        ] {
            let times = Rc::new(Cell::new(1.0));
            let mut servers = Vec::new();
            for _ in 0..6 {
                servers.push(server(times.clone()).await);
            }
            let (mut listens, mut peers, mut doors) = (Vec::new(), Vec::new(), Vec::new());
            for _ in 0..3 {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                listens.push(listener.local_addr().unwrap().to_string());
                let door = TcpListener::bind("127.0.0.1:0").await.unwrap();
                doors.push(door.local_addr().unwrap());
                let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
                peers.push(socket.local_addr().unwrap().to_string());
            }
            let start = |me: usize, known: u64| {
                let mut told = told(&listens[me], me, &peers, &servers, known);
                if troubles == hand {
                    told["management"] = doors[me].to_string().into();
                }
                let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
                // Each on a thread of its own; told to stop it ends at once, as a process that is killed.
                std::thread::spawn(move || {
                    weldhub::node::block_on(async {
                        let config = Config::read(&told.to_string(), |_| None).unwrap();
                        let listener = TcpListener::bind(config.instance.listen).await?;
                        let (_ways, ways) = watch::channel(config.ways());
                        let log = slog::Logger::root(slog::Discard, slog::o!());
                        tokio::select! {
                            served = weldhub::node::serve(config, listener, log, ways, std::future::pending()) => served,
                            _ = stopped => Ok(()),
                        }
                    })
                });
                stop
            };
            let mut running: Vec<_> = (0..3).map(|me| start(me, 1)).collect();
            sleep(Duration::from_millis(1300)).await;
            let work = Workload {
                seed: 7,
                steps: vec![format!("12x{rate}").parse().unwrap()],
                classes: vec!["board-state:1:safe:1500".parse().unwrap()],
                // Each uses as much of its quota as in the emulator, in the mean.
                customers: (rate / 16.0) as u64,
                plan: "club".into(),
                spread: 3,
                max_units: 1,
            };
            let all = listens.clone();
            let load = spawn_local(async move { run(&work, &all, 200).await.unwrap() });
            sleep(Duration::from_millis(4050)).await;
            if troubles == slow {
                times.set(2.0);
            }
            if troubles == hand {
                calls(&doors, "disable-server s0\n").await;
            }
            if troubles == crash {
                let _ = running.remove(0).send(());
                sleep(Duration::from_millis(1500)).await;
                running.push(start(0, 9));
            }
            sleep(Duration::from_millis(4000)).await;
            times.set(1.0);
            if troubles == hand {
                calls(&doors, "enable-server s0\n").await;
            }
            let sockets = load.await.unwrap();
            let modelled = play(&script(rate, 12.0, troubles), 7).unwrap();
            let (one, two) = (sockets.latency_ms(0.99), modelled.classes[0].p99_ms);
            assert!((sockets.served_fraction() - modelled.served_fraction()).abs() < 0.03, "{what}");
            assert!((one / two - 1.0).abs() < 0.25, "{what}: {one} and {two} ms");
            println!(
                "{what}: served {:.3} on sockets, {:.3} in the emulator; p50 {:.0} and {:.0} ms, p99 {:.0} and {:.0} ms",
                sockets.served_fraction(),
                modelled.served_fraction(),
                sockets.latency_ms(0.5),
                modelled.classes[0].p50_ms,
                sockets.latency_ms(0.99),
                modelled.classes[0].p99_ms
            );
        }
    });
}
