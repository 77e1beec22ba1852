//! The client against scripted ingresses on loopback: the requests that it sends, its errors for invalid
//! answers, its timeouts, and that it repeats no request that must not run twice.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use weldhub_client::wire::AnswerError;
use weldhub_client::{Client, Config, ErrorKind, Request, RetrySafety, StopReason};

/// How an ingress reacts to a request.
#[derive(Clone)]
enum Reaction {
    /// Writes this text and keeps the connection open.
    Answer(String),
    /// Writes this text and closes the connection.
    AnswerAndClose(String),
    /// Never answers.
    Stall,
}

/// An ingress that follows a script, one reaction per request. The last one is repeated.
#[derive(Clone)]
struct Ingress {
    address: SocketAddr,
    /// The requests received, as text.
    received: Arc<Mutex<Vec<String>>>,
    /// The number of connections accepted.
    connections: Arc<Mutex<usize>>,
}

impl Ingress {
    async fn new(script: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let ingress = Self {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            connections: Arc::default(),
        };
        let (serving, script) = (ingress.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *serving.connections.lock().unwrap() += 1;
                tokio::spawn(serving.clone().serve(stream, script.clone()));
            }
        });
        ingress
    }

    async fn serve(self, mut stream: TcpStream, script: Arc<Vec<Reaction>>) {
        let (mut text, mut chunk) = (String::new(), [0; 1024]);
        loop {
            while !text.contains("\r\n\r\n") {
                match stream.read(&mut chunk).await {
                    Ok(n) if n > 0 => text.push_str(std::str::from_utf8(&chunk[..n]).unwrap()),
                    _ => return,
                }
            }
            let n = {
                let mut received = self.received.lock().unwrap();
                received.push(std::mem::take(&mut text));
                received.len() - 1
            };
            match script.get(n).or(script.last()).unwrap() {
                Reaction::Answer(answer) => stream.write_all(answer.as_bytes()).await.unwrap(),
                Reaction::AnswerAndClose(answer) => {
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    return;
                }
                Reaction::Stall => std::future::pending().await,
            }
        }
    }

    fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }
}

fn ok(body: &str) -> Reaction {
    Reaction::Answer(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

fn client(ingresses: &[&Ingress]) -> Client {
    let addresses: Vec<String> = ingresses.iter().map(|ingress| ingress.address.to_string()).collect();
    let mut config = Config::new(addresses.iter().map(String::as_str)).unwrap();
    (config.seed, config.max_body_bytes) = (7, 1000);
    Client::new(config).unwrap()
}

fn board_state(timeout: u32) -> Request {
    Request::get("/board-state/1").customer(0xb4d6_5521).plan("club").timeout_ms(timeout)
}

fn move_submit(retry_safety: RetrySafety, timeout: u32) -> Request {
    let request = Request::post("/move-submit/1", "e2e4").retry_safety(retry_safety).idempotency_key("5c0f");
    request.customer(7).plan("club").units(2.0).timeout_ms(timeout)
}

#[tokio::test]
async fn request_carries_its_terms_and_a_retry_is_marked() {
    let rejection = "HTTP/1.1 429 No\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n";
    let ingress = Ingress::new(vec![Reaction::Answer(rejection.into()), ok("done")]).await;
    let answer = client(&[&ingress]).send(&move_submit(RetrySafety::Unsafe, 2000)).await.unwrap();
    assert_eq!((&answer.body[..], answer.tries), (&b"done"[..], 2));
    let received = ingress.received();
    let value = |i: usize, name: &str| {
        let line = received[i].lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.strip_prefix(": ")).map(str::to_owned)
    };
    assert!(received[0].starts_with("POST /move-submit/1?client=0000000000000007 HTTP/1.1\r\n"));
    assert!(received.iter().all(|text| text.ends_with("\r\n\r\ne2e4")));
    assert_eq!(value(0, "X-Call-Terms").as_deref(), Some("units=2,spread=1,first=0"));
    assert_eq!([0, 1].map(|i| value(i, "Idempotency-Key")), [0, 1].map(|_| Some("5c0f".to_owned())));
    assert_ne!(value(0, "Request-Id"), value(1, "Request-Id"));
    assert_eq!((value(0, "Client-Retry"), value(1, "Client-Retry").as_deref()), (None, Some("1")));
    let time_left = |i: usize| value(i, "Request-Timeout-Ms").unwrap().parse::<u32>().unwrap();
    assert!(
        time_left(0) <= 2000 && time_left(1) <= time_left(0) - 50,
        "each try carries the time that is left"
    );
    assert_eq!(*ingress.connections.lock().unwrap(), 1, "the retry uses the same connection");
}

#[tokio::test]
async fn retries_what_may_have_run_only_as_the_retry_safety_allows() {
    let broken = || Reaction::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf".into());
    let cases = [
        (RetrySafety::Safe, Ok(())),
        (RetrySafety::Keyed { window: 5000.0 }, Ok(())),
        (RetrySafety::Keyed { window: 0.01 }, Err(StopReason::DedupWindow)),
        (RetrySafety::Unsafe, Err(StopReason::UnsafeToRetry)),
    ];
    for (retry_safety, expected) in cases {
        let (broken_one, broken_two) =
            (Ingress::new(vec![broken()]).await, Ingress::new(vec![broken()]).await);
        let healthy = Ingress::new(vec![ok("x")]).await;
        let mut broken_first = None;
        // The first ingress is random: repeats until it is one of the broken ones.
        for _ in 0..20 {
            let before = broken_one.received().len() + broken_two.received().len();
            let client = client(&[&broken_one, &healthy, &broken_two]);
            let result = client.send(&move_submit(retry_safety, 3000).ingress_set(3, 0)).await;
            if broken_one.received().len() + broken_two.received().len() > before {
                broken_first = Some(result);
                break;
            }
        }
        match (broken_first.unwrap(), expected) {
            (Ok(answer), Ok(())) => assert!(answer.tries > 1),
            (Err(e), Err(reason)) => {
                assert!(e.stop_reason == reason && e.may_have_run && e.tries == 1, "{e}")
            }
            (result, _) => panic!("{retry_safety:?}: {result:?}"),
        }
    }
}

#[tokio::test]
async fn invalid_answers_are_typed_errors_and_an_unsafe_request_is_not_sent_again() {
    let answer = |text: &str| Reaction::Answer(text.to_owned());
    let head = |rest: &str| Reaction::Answer(format!("HTTP/1.1 200 OK\r\n{rest}"));
    let cases = [
        (answer("\x00garbage\r\n\r\n"), ErrorKind::InvalidAnswer(AnswerError::Malformed)),
        (head(&"X: y\r\n".repeat(3000)), ErrorKind::InvalidAnswer(AnswerError::HeadTooLong)),
        (head("Content-Length: 3000000000\r\n\r\nx"), ErrorKind::InvalidAnswer(AnswerError::BodyTooLong)),
        (head("Content-Length: -4\r\n\r\n"), ErrorKind::InvalidAnswer(AnswerError::Malformed)),
        (
            head(&format!("Transfer-Encoding: chunked\r\n\r\n{}", "5\r\nabcde\r\n".repeat(300))),
            ErrorKind::InvalidAnswer(AnswerError::BodyTooLong),
        ),
        (
            Reaction::AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into()),
            ErrorKind::ConnectionLost,
        ),
        (answer("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), ErrorKind::Failed(500)),
        (Reaction::Stall, ErrorKind::TimedOut),
        (head("Content-Length: 9\r\n\r\nhalf"), ErrorKind::TimedOut),
    ];
    for (reaction, kind) in cases {
        let ingress = Ingress::new(vec![reaction]).await;
        let e = client(&[&ingress]).send(&move_submit(RetrySafety::Unsafe, 300)).await.unwrap_err();
        assert!(e.kind == kind && e.may_have_run, "{e:?} for {kind:?}");
        assert_eq!(ingress.received().len(), 1);
    }
    // With an invalid or excessive Retry-After the answer is still a rejection.
    for retry_after in ["-1", "soon", "99999999999999999999"] {
        let rejection = format!("HTTP/1.1 503 No\r\nRetry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n");
        let ingress = Ingress::new(vec![Reaction::Answer(rejection)]).await;
        let e = client(&[&ingress]).send(&board_state(800)).await.unwrap_err();
        assert!(e.kind == ErrorKind::Rejected(503) && !e.may_have_run, "{e:?}");
    }
}

#[tokio::test]
async fn fails_at_once_if_retry_after_exceeds_the_deadline() {
    let rejection = "HTTP/1.1 429 No\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
    let ingress = Ingress::new(vec![Reaction::Answer(rejection.into())]).await;
    // The deadline is 20 s away; waiting for it would exceed the 10 s that the test allows.
    let client = client(&[&ingress]);
    let request = board_state(20_000);
    let e = tokio::time::timeout(Duration::from_secs(10), client.send(&request)).await.unwrap().unwrap_err();
    assert_eq!((e.stop_reason, e.tries, e.may_have_run), (StopReason::Deadline, 1, false));
}

#[tokio::test]
async fn honours_connection_close_and_a_cancelled_request_closes_its_connection() {
    let ingress = Ingress::new(vec![
        Reaction::AnswerAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx".into()),
        ok("y"),
        Reaction::Stall,
    ])
    .await;
    let client = client(&[&ingress]);
    assert!(client.send(&board_state(900)).await.is_ok());
    assert_eq!(client.send(&board_state(900)).await.unwrap().body, b"y");
    assert_eq!(*ingress.connections.lock().unwrap(), 2);
    let request = board_state(60_000);
    let cancelled = client.send(&request);
    assert!(tokio::time::timeout(Duration::from_millis(100), cancelled).await.is_err());
    // Its connection was closed, so the next request opens a new one.
    let request = board_state(200);
    let _ = client.send(&request).await;
    assert_eq!(*ingress.connections.lock().unwrap(), 3);
}

#[tokio::test]
async fn invalid_requests_and_configurations_fail_before_anything_is_sent() {
    assert!(matches!(Config::new(["10.0.0.4"]).unwrap_err().kind, ErrorKind::Invalid(_)));
    assert!(Client::new(Config::new([]).unwrap()).is_err());
    let ingress = Ingress::new(vec![ok("x")]).await;
    let client = client(&[&ingress]);
    let invalid = [
        board_state(900).ingress_set(2, 0),
        board_state(900).ingress_set(1, 1),
        board_state(900).ingress_set(0, 0),
        board_state(0),
        board_state(900).plan(""),
        board_state(900).plan("a\r\nb"),
        board_state(900).units(f64::NAN),
        board_state(900).customer(1 << 33),
        Request::get("no-slash").plan("club"),
        Request::get("/a b").plan("club"),
        Request::post("/m", "x").retry_safety(RetrySafety::Keyed { window: 1.0 }).plan("club"),
    ];
    for request in invalid {
        let e = client.send(&request).await.unwrap_err();
        assert!(matches!(e.kind, ErrorKind::Invalid(_)) && !e.may_have_run, "{e}");
    }
    assert!(ingress.received().is_empty());
}

#[cfg(feature = "tls")]
#[tokio::test]
async fn tls_accepts_only_a_trusted_certificate_with_the_expected_name() {
    use tokio_rustls::TlsAcceptor;
    use tokio_rustls::rustls::ServerConfig;
    use tokio_rustls::rustls::crypto::ring::default_provider;
    let certificate = rcgen::generate_simple_self_signed(vec!["ingress.test".to_owned()]).unwrap();
    let file = std::env::temp_dir().join(format!("weldhub-client-{}.pem", std::process::id()));
    std::fs::write(&file, certificate.cert.pem()).unwrap();
    let key = rustls_pki_types::PrivateKeyDer::try_from(certificate.signing_key.serialize_der()).unwrap();
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![certificate.cert.der().clone()], key)
        .unwrap();
    let acceptor = TlsAcceptor::from(Arc::new(config));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(mut stream) = acceptor.accept(stream).await else { continue };
            let mut chunk = [0; 4096];
            while stream.read(&mut chunk).await.is_ok_and(|n| n > 0) {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").await.unwrap();
            }
        }
    });
    for (name, served) in [("ingress.test", true), ("other.test", false)] {
        let mut config = Config::new([address.as_str()]).unwrap();
        config.tls = Some(weldhub_client::Tls::from_file(&file, name).unwrap());
        let result = Client::new(config).unwrap().send(&board_state(900)).await;
        assert_eq!(result.is_ok(), served, "{result:?}");
    }
    std::fs::remove_file(&file).unwrap();
    assert!(weldhub_client::Tls::from_file(&file, "a").is_err());
}
