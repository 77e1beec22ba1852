//! Compares the same cases on sockets and in the emulator. Measurements, not part of CI:
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

/// Cores of a backend.
const CORES: usize = 4;
/// Mean work of a request, in milliseconds.
const MEAN_WORK_MS: f64 = 40.0;

/// Starts a backend of four cores that needs 20 to 60 ms for a request, multiplied by `slowdown`.
async fn start_backend(slowdown: Rc<Cell<f64>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cores = Rc::new(Semaphore::new(CORES));
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (cores, slowdown) = (cores.clone(), slowdown.clone());
            spawn_local(async move {
                let mut buffer = BytesMut::new();
                loop {
                    while take_message(&mut buffer, MessageKind::Request, false).unwrap().is_none() {
                        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                            return;
                        }
                    }
                    let core = cores.acquire().await.unwrap();
                    let time = MEAN_WORK_MS * (0.5 + fastrand::f64()) * slowdown.get();
                    sleep(Duration::from_secs_f64(time / 1000.0)).await;
                    drop(core);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns the configuration of ingress `number`.
fn ingress_config(
    listen: &str,
    number: usize,
    peers: &[String],
    backends: &[SocketAddr],
    seed: u64,
) -> Value {
    let entry = |(i, address): (usize, &SocketAddr)| {
        json!({"instanceId": format!("s{i}"), "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": 0,
            "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0})
    };
    json!({
        "name": format!("n{number}"), "listen": listen, "discovery": "127.0.0.1:9", "seed": format!("{:016x}", seed + number as u64),
        "limits": {"memory_mb": 192, "sockets": 1024}, "peer_listen": peers[number], "peers": peers,
        "known": {"generation": 1, "reset": true, "instances": backends.iter().enumerate().map(entry).collect::<Vec<_>>()},
        "settings": {
            "balancers": 3, "myNumber": number, "zones": ["a"], "flavors": ["m"],
            "limits": {"maxAttempts": 6, "cancelling": true, "mayTell": true, "maxRetryAfter": 1000.0, "connIdle": 30000.0},
            "familyInfo": {"largest": 1, "mailPerS": 60.0},
            "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
            "classes": [{"name": "board-state", "aim": 750.0, "giveUp": 1500.0, "effect": "read_like"}],
            "tariffs": [{"name": "club", "perSecond": 40.0, "storeSize": 80.0, "atOnce": 0, "ceilingRate": 0.0,
                "neverOverDepth": 0.0, "excessCost": 1.2}],
        },
    })
}

/// Sends a command to the admin interface of every ingress.
async fn command_all(admin_addresses: &[SocketAddr], line: &str) {
    for address in admin_addresses {
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        stream.write_all(line.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert_eq!(answer, "ok\n");
    }
}

/// Returns the script of the same fleet, at `rate` requests a second.
fn script(rate: f64, seconds: f64, troubles: &str) -> Script {
    // Six backends of four cores serve 600 requests a second.
    let text = format!(
        "length = {:.1}\n[ingresses]\ncount = 3\nnotice = [0.0, 1.0]\n[[kinds]]\ncount = 6\ncores = {CORES}\nspeed = [1.0, 1.0]\nslots = 1.0\nqueue = 1000.0\n\
         [network]\nhalls = 1\nsame = [0.05, 0.1]\nclient = [0.05, 0.2]\n[servers]\nhandshake = 0.1\nhandshake_work = 0.0\n\
         [peers]\ndelay = [0.1, 0.3]\nloss = 0.0\nper_second = 60.0\n\
         [load]\nlevel = {:.6}\nclients = \"library\"\nkinds = [0.0, 0.0, 0.0]\nspread = [3, 3]\nlargest = 1\n\
         [[classes]]\nname = \"board-state\"\nshare = 1.0\nwork = {MEAN_WORK_MS}\naim = 750.0\ngive_up = 1500.0\nworth = 1.0\nrepeat = \"safe\"\n\
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
        for (case, rate, troubles) in [
            ("steady", 300.0, ""),
            ("overloaded", 900.0, ""),
            ("slow for 4 s", 400.0, slow),
            ("one ingress restarts", 300.0, crash),
            ("one backend is disabled for 4 s", 420.0, hand),
        ] {
            let slowdown = Rc::new(Cell::new(1.0));
            let mut backends = Vec::new();
            for _ in 0..6 {
                backends.push(start_backend(slowdown.clone()).await);
            }
            let (mut listens, mut peers, mut admin_addresses) = (Vec::new(), Vec::new(), Vec::new());
            for _ in 0..3 {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                listens.push(listener.local_addr().unwrap().to_string());
                let admin = TcpListener::bind("127.0.0.1:0").await.unwrap();
                admin_addresses.push(admin.local_addr().unwrap());
                let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
                peers.push(socket.local_addr().unwrap().to_string());
            }
            let start = |number: usize, seed: u64| {
                let mut config = ingress_config(&listens[number], number, &peers, &backends, seed);
                if troubles == hand {
                    config["management"] = admin_addresses[number].to_string().into();
                }
                let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
                // Each ingress has its own thread, and stops at once like a killed process.
                std::thread::spawn(move || {
                    weldhub::node::block_on(async {
                        let config = Config::read(&config.to_string(), |_| None).unwrap();
                        let listener = TcpListener::bind(config.instance.listen).await?;
                        let (_ways, ways) = watch::channel(config.reloadable());
                        let log = slog::Logger::root(slog::Discard, slog::o!());
                        tokio::select! {
                            served = weldhub::node::serve(config, listener, log, ways, std::future::pending()) => served,
                            _ = stopped => Ok(()),
                        }
                    })
                });
                stop
            };
            let mut running: Vec<_> = (0..3).map(|number| start(number, 1)).collect();
            sleep(Duration::from_millis(1300)).await;
            let work = Workload {
                seed: 7,
                steps: vec![format!("12x{rate}").parse().unwrap()],
                classes: vec!["board-state:1:safe:1500".parse().unwrap()],
                // On average each customer uses as much of its quota as in the emulator.
                customers: (rate / 16.0) as u64,
                plan: "club".into(),
                spread: 3,
                max_units: 1,
            };
            let ingresses = listens.clone();
            let load = spawn_local(async move { run(&work, &ingresses, 200).await.unwrap() });
            sleep(Duration::from_millis(4050)).await;
            if troubles == slow {
                slowdown.set(2.0);
            }
            if troubles == hand {
                command_all(&admin_addresses, "disable-server s0\n").await;
            }
            if troubles == crash {
                let _ = running.remove(0).send(());
                sleep(Duration::from_millis(1500)).await;
                running.push(start(0, 9));
            }
            sleep(Duration::from_millis(4000)).await;
            slowdown.set(1.0);
            if troubles == hand {
                command_all(&admin_addresses, "enable-server s0\n").await;
            }
            let sockets = load.await.unwrap();
            let emulated = play(&script(rate, 12.0, troubles), 7).unwrap();
            let (sockets_p99, emulated_p99) = (sockets.latency_ms(0.99), emulated.classes[0].p99_ms);
            assert!((sockets.served_fraction() - emulated.served_fraction()).abs() < 0.03, "{case}");
            assert!((sockets_p99 / emulated_p99 - 1.0).abs() < 0.25, "{case}: {sockets_p99} and {emulated_p99} ms");
            println!(
                "{case}: served {:.3} on sockets, {:.3} in the emulator; p50 {:.0} and {:.0} ms, p99 {:.0} and {:.0} ms",
                sockets.served_fraction(),
                emulated.served_fraction(),
                sockets.latency_ms(0.5),
                emulated.classes[0].p50_ms,
                sockets.latency_ms(0.99),
                emulated.classes[0].p99_ms
            );
        }
    });
}
