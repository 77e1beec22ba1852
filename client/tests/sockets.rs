//! The client against scripted ingresses on loopback: what it sends, what it makes of odd answers, and that nothing
//! hangs or goes again that must not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use weldhub_client::wire::AnswerError;
use weldhub_client::{Client, Config, Kind, Request, RetrySafety, StopReason};

/// What an ingress does with a request.
#[derive(Clone)]
enum Does {
    /// Writes this, and goes on.
    Says(String),
    /// Writes this, and closes.
    Last(String),
    /// Nothing.
    Stalls,
}

/// An ingress that follows a script, a line for each request; the last line goes on for ever.
#[derive(Clone)]
struct Ingress {
    at: SocketAddr,
    got: Arc<Mutex<Vec<String>>>,
    connections: Arc<Mutex<usize>>,
}

impl Ingress {
    async fn new(script: Vec<Does>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let this =
            Self { at: listener.local_addr().unwrap(), got: Arc::default(), connections: Arc::default() };
        let (serving, script) = (this.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *serving.connections.lock().unwrap() += 1;
                tokio::spawn(serving.clone().serve(stream, script.clone()));
            }
        });
        this
    }

    async fn serve(self, mut stream: TcpStream, script: Arc<Vec<Does>>) {
        let (mut text, mut piece) = (String::new(), [0; 1024]);
        loop {
            while !text.contains("\r\n\r\n") {
                match stream.read(&mut piece).await {
                    Ok(n) if n > 0 => text.push_str(std::str::from_utf8(&piece[..n]).unwrap()),
                    _ => return,
                }
            }
            let n = {
                let mut got = self.got.lock().unwrap();
                got.push(std::mem::take(&mut text));
                got.len() - 1
            };
            match script.get(n).or(script.last()).unwrap() {
                Does::Says(said) => stream.write_all(said.as_bytes()).await.unwrap(),
                Does::Last(said) => {
                    stream.write_all(said.as_bytes()).await.unwrap();
                    return;
                }
                Does::Stalls => std::future::pending().await,
            }
        }
    }

    fn got(&self) -> Vec<String> {
        self.got.lock().unwrap().clone()
    }
}

fn ok(body: &str) -> Does {
    Does::Says(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

fn client(ingresses: &[&Ingress]) -> Client {
    let all: Vec<String> = ingresses.iter().map(|ingress| ingress.at.to_string()).collect();
    let mut config = Config::new(all.iter().map(String::as_str)).unwrap();
    (config.seed, config.most) = (7, 1000);
    Client::new(config).unwrap()
}

fn board(timeout: u32) -> Request {
    Request::get("/board-state/1").customer(0xb4d6_5521).plan("club").timeout_ms(timeout)
}

fn submit(retry_safety: RetrySafety, timeout: u32) -> Request {
    let request = Request::post("/move-submit/1", "e2e4").retry_safety(retry_safety).key("5c0f");
    request.customer(7).plan("club").units(2.0).timeout_ms(timeout)
}

#[tokio::test]
async fn a_request_says_all_that_an_ingress_needs_and_a_retry_that_it_is_one() {
    let refusal = "HTTP/1.1 429 No\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n";
    let ingress = Ingress::new(vec![Does::Says(refusal.into()), ok("done")]).await;
    let answer = client(&[&ingress]).ask(&submit(RetrySafety::Unsafe, 2000)).await.unwrap();
    assert_eq!((&answer.body[..], answer.tries), (&b"done"[..], 2));
    let got = ingress.got();
    let value = |i: usize, name: &str| {
        let line = got[i].lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.strip_prefix(": ")).map(str::to_owned)
    };
    assert!(got[0].starts_with("POST /move-submit/1?client=0000000000000007 HTTP/1.1\r\n"));
    assert!(got.iter().all(|text| text.ends_with("\r\n\r\ne2e4")));
    assert_eq!(value(0, "X-Call-Terms").as_deref(), Some("units=2,spread=1,first=0"));
    assert_eq!([0, 1].map(|i| value(i, "Idempotency-Key")), [0, 1].map(|_| Some("5c0f".to_owned())));
    assert_ne!(value(0, "Request-Id"), value(1, "Request-Id"));
    assert_eq!((value(0, "Client-Retry"), value(1, "Client-Retry").as_deref()), (None, Some("1")));
    let left = |i: usize| value(i, "Request-Timeout-Ms").unwrap().parse::<u32>().unwrap();
    assert!(left(0) <= 2000 && left(1) <= left(0) - 50, "the time left goes with each try");
    assert_eq!(*ingress.connections.lock().unwrap(), 1, "the connection is used again");
}

#[tokio::test]
async fn what_may_have_run_goes_again_only_where_the_class_allows() {
    let broken = || Does::Last("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf".into());
    let cases = [
        (RetrySafety::Safe, Ok(())),
        (RetrySafety::Keyed { window: 5000.0 }, Ok(())),
        (RetrySafety::Keyed { window: 0.01 }, Err(StopReason::DedupWindow)),
        (RetrySafety::Unsafe, Err(StopReason::UnsafeToRetry)),
    ];
    for (retry_safety, expected) in cases {
        let (one, two) = (Ingress::new(vec![broken()]).await, Ingress::new(vec![broken()]).await);
        let well = Ingress::new(vec![ok("x")]).await;
        let mut seen = None;
        // Which ingress comes first is chance: until one of the broken ones did.
        for _ in 0..20 {
            let before = one.got().len() + two.got().len();
            let asked = client(&[&one, &well, &two]);
            let result = asked.ask(&submit(retry_safety, 3000).set(3, 0)).await;
            if one.got().len() + two.got().len() > before {
                seen = Some(result);
                break;
            }
        }
        match (seen.unwrap(), expected) {
            (Ok(answer), Ok(())) => assert!(answer.tries > 1),
            (Err(e), Err(why)) => assert!(e.stop_reason == why && e.may_have_run && e.tries == 1, "{e}"),
            (result, _) => panic!("{retry_safety:?}: {result:?}"),
        }
    }
}

#[tokio::test]
async fn odd_answers_are_typed_errors_and_never_a_resend_of_what_must_not_run_twice() {
    let says = |text: &str| Does::Says(text.to_owned());
    let head = |rest: &str| Does::Says(format!("HTTP/1.1 200 OK\r\n{rest}"));
    let cases = [
        (says("\x00garbage\r\n\r\n"), Kind::Unreadable(AnswerError::Malformed)),
        (head(&"X: y\r\n".repeat(3000)), Kind::Unreadable(AnswerError::HeadTooLong)),
        (head("Content-Length: 3000000000\r\n\r\nx"), Kind::Unreadable(AnswerError::BodyTooLong)),
        (head("Content-Length: -4\r\n\r\n"), Kind::Unreadable(AnswerError::Malformed)),
        (
            head(&format!("Transfer-Encoding: chunked\r\n\r\n{}", "5\r\nabcde\r\n".repeat(300))),
            Kind::Unreadable(AnswerError::BodyTooLong),
        ),
        (Does::Last("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into()), Kind::Broken),
        (says("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), Kind::Failed(500)),
        (Does::Stalls, Kind::TimedOut),
        (head("Content-Length: 9\r\n\r\nhalf"), Kind::TimedOut),
    ];
    for (does, kind) in cases {
        let ingress = Ingress::new(vec![does]).await;
        let e = client(&[&ingress]).ask(&submit(RetrySafety::Unsafe, 300)).await.unwrap_err();
        assert!(e.kind == kind && e.may_have_run, "{e:?} for {kind:?}");
        assert_eq!(ingress.got().len(), 1);
    }
    // What tells no time is a refusal all the same.
    for after in ["-1", "soon", "99999999999999999999"] {
        let refusal = format!("HTTP/1.1 503 No\r\nRetry-After: {after}\r\nContent-Length: 0\r\n\r\n");
        let ingress = Ingress::new(vec![Does::Says(refusal)]).await;
        let e = client(&[&ingress]).ask(&board(800)).await.unwrap_err();
        assert!(e.kind == Kind::Refused(503) && !e.may_have_run, "{e:?}");
    }
}

#[tokio::test]
async fn a_deadline_that_would_end_in_a_back_off_ends_the_request_at_once() {
    let refusal = "HTTP/1.1 429 No\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
    let ingress = Ingress::new(vec![Does::Says(refusal.into())]).await;
    // It would take 20 s to its deadline; the test would not.
    let asked = client(&[&ingress]);
    let request = board(20_000);
    let e = tokio::time::timeout(Duration::from_secs(10), asked.ask(&request)).await.unwrap().unwrap_err();
    assert_eq!((e.stop_reason, e.tries, e.may_have_run), (StopReason::Deadline, 1, false));
}

#[tokio::test]
async fn connection_close_is_heeded_and_who_gives_up_closes() {
    let ingress = Ingress::new(vec![
        Does::Last("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx".into()),
        ok("y"),
        Does::Stalls,
    ])
    .await;
    let asked = client(&[&ingress]);
    assert!(asked.ask(&board(900)).await.is_ok());
    assert_eq!(asked.ask(&board(900)).await.unwrap().body, b"y");
    assert_eq!(*ingress.connections.lock().unwrap(), 2);
    let request = board(60_000);
    let given_up = asked.ask(&request);
    assert!(tokio::time::timeout(Duration::from_millis(100), given_up).await.is_err());
    // The connection went with it: the next request opens one.
    let request = board(200);
    let _ = asked.ask(&request).await;
    assert_eq!(*ingress.connections.lock().unwrap(), 3);
}

#[tokio::test]
async fn what_cannot_be_asked_is_an_error_before_anything_is_sent() {
    assert!(matches!(Config::new(["10.0.0.4"]).unwrap_err().kind, Kind::Invalid(_)));
    assert!(Client::new(Config::new([]).unwrap()).is_err());
    let ingress = Ingress::new(vec![ok("x")]).await;
    let asked = client(&[&ingress]);
    let bad = [
        board(900).set(2, 0),
        board(900).set(1, 1),
        board(900).set(0, 0),
        board(0),
        board(900).plan(""),
        board(900).plan("a\r\nb"),
        board(900).units(f64::NAN),
        board(900).customer(1 << 33),
        Request::get("no-slash").plan("club"),
        Request::get("/a b").plan("club"),
        Request::post("/m", "x").retry_safety(RetrySafety::Keyed { window: 1.0 }).plan("club"),
    ];
    for request in bad {
        let e = asked.ask(&request).await.unwrap_err();
        assert!(matches!(e.kind, Kind::Invalid(_)) && !e.may_have_run, "{e}");
    }
    assert!(ingress.got().is_empty());
}

#[cfg(feature = "tls")]
#[tokio::test]
async fn tls_is_spoken_with_whom_the_file_trusts_and_with_nobody_else() {
    use tokio_rustls::TlsAcceptor;
    use tokio_rustls::rustls::ServerConfig;
    use tokio_rustls::rustls::crypto::ring::default_provider;
    let signed = rcgen::generate_simple_self_signed(vec!["ingress.test".to_owned()]).unwrap();
    let file = std::env::temp_dir().join(format!("weldhub-client-{}.pem", std::process::id()));
    std::fs::write(&file, signed.cert.pem()).unwrap();
    let key = rustls_pki_types::PrivateKeyDer::try_from(signed.signing_key.serialize_der()).unwrap();
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![signed.cert.der().clone()], key)
        .unwrap();
    let acceptor = TlsAcceptor::from(Arc::new(config));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(mut stream) = acceptor.accept(stream).await else { continue };
            let mut piece = [0; 4096];
            while stream.read(&mut piece).await.is_ok_and(|n| n > 0) {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").await.unwrap();
            }
        }
    });
    for (name, served) in [("ingress.test", true), ("other.test", false)] {
        let mut config = Config::new([at.as_str()]).unwrap();
        config.tls = Some(weldhub_client::Tls::from_file(&file, name).unwrap());
        let result = Client::new(config).unwrap().ask(&board(900)).await;
        assert_eq!(result.is_ok(), served, "{result:?}");
    }
    std::fs::remove_file(&file).unwrap();
    assert!(weldhub_client::Tls::from_file(&file, "a").is_err());
}
