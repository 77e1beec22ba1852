//! Races on client connections: bytes, connection ends and signals that arrive between two steps of an
//! ingress. Each race is forced: the test writes, closes or signals at an observed point, before the
//! ingress's thread runs again.

mod stand_ins;

use bytes::{Bytes, BytesMut};
use serde_json::json;
use socket2::SockRef;
use stand_ins::ingress::*;
use stand_ins::thread_timer::ThreadTimer;
use stand_ins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use weldhub::config::{Config, Site};
use weldhub::deadlines::{Clock, Deadlines};
use weldhub::exchange::{EngineEvent, Exchange, FinalAnswer};
use weldhub::fronts::platform;
use weldhub::interface::Millis;
use weldhub::net::body_channel::BodyPiece;
use weldhub::net::budget::{MemoryBudget, PredecessorConnections};
use weldhub::net::client_side::{Answer, Question};
use weldhub::net::server_side::{Drain, Phase, Role, ServerLimits, ServerSide, Signals};
use weldhub::net::socket_buffers::SocketBuffers;
use weldhub::stats::Stats;

/// The site part of a minimal configuration.
fn site() -> Site {
    let config = ingress_config("127.0.0.1:1".parse().unwrap(), vec![]).to_string();
    Config::read(&config, |_| None).unwrap().instance.site
}

/// All requests must be answered within this time after a drain begins.
const DRAIN_TIMEOUT: Millis = 1000.0;

/// A server side without the rest of an ingress. The test receives its events in place of the engine, and
/// decides when it answers and signals.
struct ServerSideFixture {
    at: SocketAddr,
    events: mpsc::UnboundedReceiver<EngineEvent<Question, Answer>>,
    phase: watch::Sender<Phase>,
    drain: watch::Sender<Drain>,
    _role: watch::Sender<Role>,
    running: JoinHandle<()>,
    deadlines: Deadlines,
}

impl ServerSideFixture {
    /// Starts a server side that keeps up to `max_idle` idle connections. Its deadlines expire by themselves
    /// if `auto_expire`; otherwise the test expires them.
    async fn start(max_idle: usize, auto_expire: bool) -> Self {
        Self::with_connection_limits((8, 2, max_idle), auto_expire).await
    }

    /// Starts a server side with these limits of accepted, rejected and idle connections.
    async fn with_connection_limits(limits: (usize, usize, usize), auto_expire: bool) -> Self {
        Self::with_memory_budget(limits, 1 << 20, auto_expire).await
    }

    /// Like `with_connection_limits`, with a memory budget of this many bytes for messages.
    async fn with_memory_budget(
        (max_connections, max_rejected_connections, max_idle_connections): (usize, usize, usize),
        budget_bytes: usize,
        auto_expire: bool,
    ) -> Self {
        let listener = listener().await;
        let at = listener.local_addr().unwrap();
        let (exchange, events) = Exchange::new();
        let deadlines = if auto_expire { swept_deadlines() } else { Deadlines::new(Clock::new()) };
        let (phase, role, drain) = (
            watch::Sender::new(Phase::Serving),
            watch::Sender::new(Role::Active),
            watch::Sender::new(Drain::Inactive),
        );
        let (role_signal, phase_signal) = (role.subscribe(), phase.subscribe());
        let (drain_signal, predecessor) = (drain.subscribe(), watch::channel(false).1);
        let signals = Signals { role: role_signal, phase: phase_signal, drain: drain_signal, predecessor };
        let budget = MemoryBudget::new(budget_bytes, PredecessorConnections::default());
        let limits = ServerLimits {
            max_connections,
            max_rejected_connections,
            max_idle_connections,
            socket_buffers: SocketBuffers::new(128 << 10, budget.clone()),
            urgent_budget: budget.clone(),
            memory_budget: budget,
            drain_timeout: DRAIN_TIMEOUT,
        };
        let (idle_connections, _) = mpsc::unbounded_channel();
        let site = site();
        let stats = Stats::new(site.classes.iter().map(|class| class.name.as_str()));
        let read = move |head: &_, body, whole| platform::read(head, body, whole, &site);
        let side = ServerSide::new(
            read,
            exchange,
            deadlines.clone(),
            (signals, idle_connections),
            stats,
            (limits, 700.0),
            discarding_logger(),
        );
        let running = spawn_local(side.run(listener, mpsc::unbounded_channel().1));
        Self { at, events, phase, drain, _role: role, running, deadlines }
    }

    /// Waits for the next request that the server side passes to the engine; returns the channel for its
    /// answer.
    async fn next_request(&mut self) -> oneshot::Sender<FinalAnswer<Answer>> {
        match self.events.recv().await.unwrap() {
            EngineEvent::RequestArrived(_, _, _, answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    /// Connects a client and answers its first request, so that its connection is idle.
    async fn idle_client(&mut self) -> RacingClient {
        let mut client = RacingClient::new(self.at).await;
        client.write(&board("first", 900, 1));
        self.next_request().await.send(served("1")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"1");
        client
    }
}

/// The final answer of a request that was served with this body.
fn served(body: &str) -> FinalAnswer<Answer> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    FinalAnswer::Served(Answer {
        content_length: Some(body.len()),
        body,
        content_type: None,
        reservation: None,
        rest: None,
    })
}

/// A client that writes synchronously, without yielding to the runtime.
struct RacingClient {
    /// Writes without the runtime.
    sync_stream: std::net::TcpStream,
    /// The same socket for asynchronous reads and writes.
    stream: TcpStream,
    buffer: BytesMut,
}

impl RacingClient {
    async fn new(at: SocketAddr) -> Self {
        let sync_stream = std::net::TcpStream::connect(at).unwrap();
        sync_stream.set_nodelay(true).unwrap();
        sync_stream.set_nonblocking(true).unwrap();
        let stream = TcpStream::from_std(sync_stream.try_clone().unwrap()).unwrap();
        Self { sync_stream, stream, buffer: BytesMut::new() }
    }

    fn write(&mut self, text: &str) {
        self.sync_stream.write_all(text.as_bytes()).unwrap();
    }

    async fn answer(&mut self) -> Option<weldhub::net::http::Message> {
        message(&mut self.stream, &mut self.buffer, weldhub::net::http::MessageKind::Response).await
    }

    /// Checks that the connection ends without further bytes and without a reset.
    async fn assert_clean_end(&mut self) {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).await.expect("the connection was reset");
        assert_eq!(rest, b"", "{}", String::from_utf8_lossy(&rest));
    }
}

// Races with shutdown and with the closing of connections.

#[test]
fn request_that_arrives_as_draining_begins_is_answered() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let mut client = side.idle_client().await;
        // Without yielding: the ingress has not been notified of these bytes when it closes idle connections.
        client.write(&board("crosses", 900, 1));
        side.phase.send_replace(Phase::Draining);
        side.next_request().await.send(served("2")).unwrap();
        let answer = client.answer().await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"2"[..], true));
        client.assert_clean_end().await;
        drop(client);
        side.running.await.unwrap();
    });
}

/// A drain by an operator: connections are closed after their answers, and the process stays.
#[test]
fn request_that_arrives_as_operators_drain_closes_connections_is_answered() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let (mut client, mut half) = (side.idle_client().await, side.idle_client().await);
        let text = board("half", 900, 1);
        // Without yielding: a whole request on one connection, half of a request on the other.
        client.write(&board("crosses", 900, 1));
        half.write(&text[..30]);
        side.drain.send_replace(Drain::Closing);
        side.next_request().await.send(served("2")).unwrap();
        half.write(&text[30..]);
        side.next_request().await.send(served("3")).unwrap();
        for (mut client, body) in [(client, "2"), (half, "3")] {
            let answer = client.answer().await.unwrap();
            assert_eq!((&answer.body[..], answer.head.close), (body.as_bytes(), true));
            client.assert_clean_end().await;
        }
        // After the end of the drain, connections stay open again.
        side.drain.send_replace(Drain::Inactive);
        let mut later = side.idle_client().await;
        later.write(&board("more", 900, 1));
        side.next_request().await.send(served("4")).unwrap();
        assert!(!later.answer().await.unwrap().head.close);
    });
}

#[test]
fn half_request_that_arrives_as_draining_begins_is_read_to_its_end() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let (mut client, text) = (side.idle_client().await, board("crosses", 1400, 1));
        client.write(&text[..30]);
        side.phase.send_replace(Phase::Draining);
        // Once this connection is closed, the ingress has closed all idle connections.
        let mut other = RacingClient::new(side.at).await;
        assert!(other.answer().await.is_none());
        client.write(&text[30..]);
        let EngineEvent::RequestArrived(_, terms, _, answer_sender) = side.events.recv().await.unwrap()
        else {
            panic!("the request has not arrived")
        };
        // The request ends before the process does, however long its client would wait.
        assert!(terms.time_left < DRAIN_TIMEOUT, "{}", terms.time_left);
        answer_sender.send(served("2")).unwrap();
        let answer = client.answer().await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"2"[..], true));
    });
}

#[test]
fn request_on_connection_in_the_accept_queue_as_draining_begins_is_answered() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        side.idle_client().await;
        let mut client = RacingClient::new(side.at).await;
        client.write(&board("crosses", 900, 1));
        side.phase.send_replace(Phase::Draining);
        side.next_request().await.send(served("2")).unwrap();
        let answer = client.answer().await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"2"[..], true));
        client.assert_clean_end().await;
    });
}

#[test]
fn connection_over_the_limit_as_draining_begins_is_accepted_once_another_ends() {
    local(async {
        let mut side = ServerSideFixture::with_connection_limits((2, 0, 2), true).await;
        let mut open = Vec::new();
        for i in 0..2 {
            let mut client = RacingClient::new(side.at).await;
            client.write(&board(&format!("{i}"), 1400, 1));
            open.push((client, side.next_request().await));
        }
        let mut waiting = RacingClient::new(side.at).await;
        waiting.write(&board("waits", 900, 1));
        side.phase.send_replace(Phase::Draining);
        for (mut client, answer_sender) in open {
            answer_sender.send(served("1")).unwrap();
            assert_eq!(status(&client.answer().await.unwrap()), 200);
        }
        side.next_request().await.send(served("2")).unwrap();
        assert_eq!(&waiting.answer().await.unwrap().body[..], b"2");
        drop(waiting);
        side.running.await.unwrap();
    });
}

#[test]
fn request_that_arrives_after_write_shutdown_is_dropped_without_reset() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let mut client = side.idle_client().await;
        side.phase.send_replace(Phase::Draining);
        // The client has seen the end of the stream: from now on the ingress must not read a request.
        client.assert_clean_end().await;
        for i in 0..3 {
            client.write(&board(&format!("late{i}"), 900, 1));
            assert!(client.sync_stream.take_error().unwrap().is_none());
        }
        client.assert_clean_end().await;
        drop(client);
        side.running.await.unwrap();
        assert!(side.events.try_recv().is_err(), "a request was passed on");
    });
}

#[test]
fn request_that_arrives_as_its_connection_reaches_the_idle_timeout_is_answered() {
    local(async {
        let mut side = ServerSideFixture::start(8, false).await;
        let mut client = side.idle_client().await;
        // Deadlines are not expired meanwhile: the connection is still open after its idle timeout, and its
        // deadline expires just after the bytes have arrived.
        tokio::time::sleep(Duration::from_millis(5100)).await;
        client.write(&board("crosses", 900, 1));
        side.deadlines.take_expired(side.deadlines.clock().now());
        side.next_request().await.send(served("2")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"2");
    });
}

#[test]
fn request_that_arrives_as_its_connection_is_evicted_for_a_newer_one_is_answered() {
    local(async {
        let mut side = ServerSideFixture::start(1, true).await;
        let mut client = side.idle_client().await;
        let mut newer = RacingClient::new(side.at).await;
        newer.write(&board("newer", 900, 1));
        let answer_sender = side.next_request().await;
        // The newer connection becomes idle with its answer, and only one may be idle.
        client.write(&board("crosses", 900, 1));
        answer_sender.send(served("1")).unwrap();
        assert_eq!(status(&newer.answer().await.unwrap()), 200);
        side.next_request().await.send(served("2")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"2");
    });
}

// Clients that leave or send ahead.

/// Connects a client whose request waits for its first attempt.
async fn waiting_client(
    side: &mut ServerSideFixture,
    id: &str,
) -> (RacingClient, oneshot::Sender<FinalAnswer<Answer>>) {
    let mut client = RacingClient::new(side.at).await;
    client.write(&board(id, 1400, 1));
    let answer_sender = side.next_request().await;
    (client, answer_sender)
}

/// The departure of a client must be noticed within this time: no attempt for it begins later.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks that the next event, apart from the progress of its body, is the departure of a client, within
/// `DEPARTURE_TIMEOUT`.
async fn assert_client_left(side: &mut ServerSideFixture) {
    let since = ThreadTimer::start();
    let mut event = side.events.recv().await.unwrap();
    while matches!(event, EngineEvent::BodyProgress(..)) {
        event = side.events.recv().await.unwrap();
    }
    assert!(matches!(event, EngineEvent::ClientLeft(_)), "{event:?}");
    assert!(since.elapsed() < DEPARTURE_TIMEOUT, "noticed after {:?}", since.elapsed());
}

#[test]
fn notices_departure_behind_unread_bytes() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        for extra_bytes in [0, 9_000, 100_000, 1_000_000] {
            let (mut client, _answer_sender) = waiting_client(&mut side, &format!("{extra_bytes}")).await;
            client.stream.write_all(&vec![b'x'; extra_bytes]).await.unwrap();
            drop(client);
            assert_client_left(&mut side).await;
        }
    });
}

/// The body is long and the first attempt waits for a connection. The kernel buffers some 100 kB of the body
/// on the ingress's side and up to 4 MiB on the client's side; the end of the connection is behind all of
/// that.
#[test]
fn notices_departure_behind_unread_long_body() {
    local(async {
        let mut side = ServerSideFixture::with_memory_budget((8, 2, 8), 32 << 20, true).await;
        for (length, sent) in [
            (120_000, 120_000),
            (120_000, 100_000),
            (80_000, 80_000),
            (3_000_000, 3_000_000),
            (20_000_000, 2_500_000),
            (30_000_000, 30_000_000),
        ] {
            let mut client = RacingClient::new(side.at).await;
            client.write(&submit_head("a", 1400, &format!("Content-Length: {length}")));
            let body = vec![b'x'; sent];
            // The kernel may not accept all of it.
            let writing = tokio::time::timeout(Duration::from_millis(200), client.stream.write_all(&body));
            let EngineEvent::RequestArrived(_, terms, question, _answer_sender) = (tokio::select! {
                event = side.events.recv() => event.unwrap(),
                _ = async { let _ = writing.await; std::future::pending::<()>().await } => unreachable!(),
            }) else {
                panic!("the request has not arrived");
            };
            assert!(terms.body_pending && question.rest.is_some());
            drop(client);
            assert_client_left(&mut side).await;
        }
    });
}

/// The memory budget leaves no room to read the body ahead: it is passed on only after the client has left,
/// and must not be passed on whole.
#[test]
fn long_body_of_client_that_left_is_not_passed_on_whole() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let mut client = RacingClient::new(side.at).await;
        let length = 3_000_000;
        client.write(&submit_head("a", 1400, &format!("Content-Length: {length}")));
        client.stream.write_all(&vec![b'x'; length]).await.unwrap();
        let EngineEvent::RequestArrived(_, _, question, _answer_sender) = side.events.recv().await.unwrap()
        else {
            panic!("the request has not arrived");
        };
        drop(client);
        let mut body = question.rest.unwrap().take().unwrap();
        let mut received = body.first.len();
        while let Some(piece) = body.rest.recv().await {
            let BodyPiece::Data(data) = piece else { panic!("the body is whole") };
            received += data.len();
        }
        assert!((1_000_000..length).contains(&received), "{received} of {length}");
        assert_client_left(&mut side).await;
    });
}

#[test]
fn notices_connection_reset_behind_unread_bytes() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let (mut client, _answer_sender) = waiting_client(&mut side, "a").await;
        client.write(&"x".repeat(20_000));
        SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(client);
        assert_client_left(&mut side).await;
    });
}

#[test]
fn notices_departure_of_many_clients_at_once() {
    local(async {
        let mut side = ServerSideFixture::with_memory_budget((220, 2, 70), 32 << 20, true).await;
        let mut clients = Vec::new();
        for i in 0..200 {
            let mut client = waiting_client(&mut side, &format!("{i}")).await;
            if i % 2 == 0 {
                client.0.write(&board("ahead", 900, 1).repeat(100));
            }
            clients.push(client);
        }
        let since = ThreadTimer::start();
        let answer_senders: Vec<_> = clients.into_iter().map(|(_, answer_sender)| answer_sender).collect();
        for _ in 0..answer_senders.len() {
            let event = side.events.recv().await.unwrap();
            assert!(matches!(event, EngineEvent::ClientLeft(_)), "{event:?}");
        }
        assert!(since.elapsed() < DEPARTURE_TIMEOUT, "noticed after {:?}", since.elapsed());
    });
}

#[test]
fn client_that_floods_while_waiting_is_answered_and_not_read_further() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let (client, answer_sender) = waiting_client(&mut side, "a").await;
        let RacingClient { stream, mut buffer, .. } = client;
        let (mut reader, mut writer) = stream.into_split();
        let flood = spawn_local(async move {
            let (bytes, mut written) = (vec![b'x'; 1 << 20], 0);
            while written < 64 && writer.write_all(&bytes).await.is_ok() {
                written += 1;
            }
            written
        });
        // Other clients are served meanwhile.
        side.idle_client().await;
        answer_sender.send(served("1")).unwrap();
        let answer =
            message(&mut reader, &mut buffer, weldhub::net::http::MessageKind::Response).await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"1"[..], true));
        let written = flood.await.unwrap();
        assert!(written < 64, "{written} MiB were accepted from one client");
        while let Ok(event) = side.events.try_recv() {
            assert!(!matches!(event, EngineEvent::RequestArrived(..)), "{event:?}");
        }
    });
}

#[test]
fn bytes_that_arrive_before_the_answer_are_the_next_request() {
    local(async {
        let mut side = ServerSideFixture::start(8, true).await;
        let (mut client, answer_sender) = waiting_client(&mut side, "a").await;
        client.write(&board("b", 900, 1));
        // A client that connected later has its answer: by now these bytes have been read ahead.
        side.idle_client().await;
        answer_sender.send(served("1")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"1");
        side.next_request().await.send(served("2")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"2");
    });
}

// Plans and quotas.

/// Starts an ingress with two plans whose token buckets hold 27 and 6 units and practically never refill.
async fn start_with_two_plans() -> (Backend, Ingress, Agent) {
    let (backend, agent) = (Backend::start(ok("x")).await, Agent::start().await);
    let mut config = ingress_config(agent.at, vec![service_entry("s1", backend.at, 0, "in_service")]);
    let mut small = config["settings"]["tariffs"][0].clone();
    (small["name"], small["storeSize"]) = (json!("guest"), json!(6.0));
    config["settings"]["tariffs"].as_array_mut().unwrap().push(small);
    let ingress = start(&config).await;
    (backend, ingress, agent)
}

/// A request of this customer under this plan.
fn request_under_plan(plan: &str, customer: u8, id: &str, units: u32) -> String {
    let text = board(id, 900, units).replace("X-Tier: club", &format!("X-Tier: {plan}"));
    text.replace("client=0000000000000007", &format!("client=00000000000000{customer:02x}"))
}

#[test]
fn two_customers_on_one_connection_have_separate_plans_and_quotas() {
    local(async {
        let (_backend, ingress, _agent) = start_with_two_plans().await;
        let mut client = Client::new(ingress.at).await;
        let mut statuses = [Vec::new(), Vec::new()];
        for i in 0..6 {
            for (k, plan) in ["club", "guest"].into_iter().enumerate() {
                let text =
                    request_under_plan(plan, 7 + k as u8, &format!("{i}{k}"), if k == 0 { 5 } else { 2 });
                statuses[k].push(status(&client.ask(&text).await));
            }
        }
        assert_eq!(statuses, [[200, 200, 200, 200, 200, 429], [200, 200, 200, 429, 429, 429]]);
    });
}

#[test]
fn plan_change_of_customer_applies_at_once_and_grants_no_new_units() {
    local(async {
        let (_backend, ingress, _agent) = start_with_two_plans().await;
        let mut client = Client::new(ingress.at).await;
        let mut statuses = Vec::new();
        for (plan, units) in
            [("club", 5), ("guest", 4), ("guest", 4), ("guest", 2), ("club", 1), ("guest", 1)]
        {
            let id = statuses.len().to_string();
            statuses.push(status(&client.ask(&request_under_plan(plan, 7, &id, units)).await));
        }
        assert_eq!(statuses, [200, 200, 429, 200, 429, 429]);
    });
}

// Startup.

#[test]
fn ingress_is_ready_in_time_while_discovery_never_responds() {
    local(async {
        for known in [true, false] {
            let (backend, agent) = (Backend::start(ok("x")).await, listener().await);
            let known = known.then(|| service_entry("s1", backend.at, 0, "in_service"));
            let config = ingress_config(agent.local_addr().unwrap(), known.clone().into_iter().collect());
            let started = Instant::now();
            let ingress = start(&config).await;
            assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
            let answer = ask(ingress.at, &board("a", 900, 1)).await;
            assert_eq!(status(&answer) == 200, known.is_some(), "{}", status(&answer));
        }
    });
}
