//! What crosses on sockets: bytes, ends and signals that come between two steps of an ingress. Each crossing is forced: the
//! stand-in writes, shuts or signals at a point that was seen, in the turn in which the ingress acts.

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
use weldhub::stats::Stats;

fn site() -> Site {
    let told = ingress_config("127.0.0.1:1".parse().unwrap(), vec![]).to_string();
    Config::read(&told, |_| None).unwrap().instance.site
}

/// Once it drains, all must be answered within this.
const LAST: Millis = 1000.0;

/// A server side alone: what it sends on is news to the test, which answers and signals in the very turn it wants to.
struct Side {
    at: SocketAddr,
    news: mpsc::UnboundedReceiver<EngineEvent<Question, Answer>>,
    phase: watch::Sender<Phase>,
    drain: watch::Sender<Drain>,
    _role: watch::Sender<Role>,
    running: JoinHandle<()>,
    deadlines: Deadlines,
}

impl Side {
    /// One that keeps so many idle connections; it sweeps its deadlines by itself, or the test does.
    async fn start(idle: usize, by_itself: bool) -> Self {
        Self::with_room((8, 2, idle), by_itself).await
    }

    async fn with_room(room: (usize, usize, usize), by_itself: bool) -> Self {
        Self::with_bytes(room, 1 << 20, by_itself).await
    }

    /// The same with so many bytes for messages.
    async fn with_bytes(
        (connections, turned_away, idle): (usize, usize, usize),
        bytes: usize,
        by_itself: bool,
    ) -> Self {
        let listener = listener().await;
        let at = listener.local_addr().unwrap();
        let (exchange, news) = Exchange::new();
        let deadlines = if by_itself { swept_deadlines() } else { Deadlines::new(Clock::new()) };
        let (phase, role, drain) = (
            watch::Sender::new(Phase::Serving),
            watch::Sender::new(Role::Active),
            watch::Sender::new(Drain::Inactive),
        );
        let signals = Signals { role: role.subscribe(), phase: phase.subscribe(), drain: drain.subscribe() };
        let budget = MemoryBudget::new(bytes, PredecessorConnections::default());
        let limits = ServerLimits {
            max_connections: connections,
            max_rejected_connections: turned_away,
            max_idle_connections: idle,
            memory_budget: budget,
            drain_timeout: LAST,
        };
        let (passing, _) = mpsc::unbounded_channel();
        let site = site();
        let stats = Stats::new(site.classes.iter().map(|class| class.name.as_str()));
        let read = move |head: &_, body, whole| platform::read(head, body, whole, &site);
        let side = ServerSide::new(
            read,
            exchange,
            deadlines.clone(),
            (signals, passing),
            stats,
            (limits, 700.0),
            discarding_logger(),
        );
        let running = spawn_local(side.run(listener, mpsc::unbounded_channel().1));
        Self { at, news, phase, drain, _role: role, running, deadlines }
    }

    /// The next request that is sent on.
    async fn sent_on(&mut self) -> oneshot::Sender<FinalAnswer<Answer>> {
        match self.news.recv().await.unwrap() {
            EngineEvent::RequestArrived(_, _, _, client) => client,
            other => panic!("{other:?}"),
        }
    }

    /// Answers a client's first request on a connection, which is idle then.
    async fn idle(&mut self) -> Crosser {
        let mut client = Crosser::new(self.at).await;
        client.write(&board("first", 900, 1));
        self.sent_on().await.send(served("1")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"1");
        client
    }
}

fn served(body: &str) -> FinalAnswer<Answer> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    FinalAnswer::Served(Answer { content_length: Some(body.len()), body, content_type: None, rest: None })
}

/// A client that writes at once, whether or not the runtime has a turn.
struct Crosser {
    at_once: std::net::TcpStream,
    reads: TcpStream,
    buffer: BytesMut,
}

impl Crosser {
    async fn new(at: SocketAddr) -> Self {
        let at_once = std::net::TcpStream::connect(at).unwrap();
        at_once.set_nodelay(true).unwrap();
        at_once.set_nonblocking(true).unwrap();
        let reads = TcpStream::from_std(at_once.try_clone().unwrap()).unwrap();
        Self { at_once, reads, buffer: BytesMut::new() }
    }

    fn write(&mut self, text: &str) {
        self.at_once.write_all(text.as_bytes()).unwrap();
    }

    async fn answer(&mut self) -> Option<weldhub::net::http::Message> {
        message(&mut self.reads, &mut self.buffer, weldhub::net::http::MessageKind::Response).await
    }

    /// The connection's end as the client sees it: nothing more, and no reset.
    async fn ends_well(&mut self) {
        let mut rest = Vec::new();
        self.reads.read_to_end(&mut rest).await.expect("it is not reset");
        assert_eq!(rest, b"", "{}", String::from_utf8_lossy(&rest));
    }
}

// Shutdown and close.

#[test]
fn a_request_that_comes_as_it_begins_to_drain_is_answered_whole() {
    local(async {
        let mut side = Side::start(8, true).await;
        let mut client = side.idle().await;
        // In one turn: nobody has told the ingress of these bytes when it closes what is idle.
        client.write(&board("crosses", 900, 1));
        side.phase.send_replace(Phase::Draining);
        side.sent_on().await.send(served("2")).unwrap();
        let answer = client.answer().await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"2"[..], true));
        client.ends_well().await;
        drop(client);
        side.running.await.unwrap();
    });
}

/// The operators' drain: connections are closed after their answers, and the process stays.
#[test]
fn a_request_that_comes_as_an_operators_drain_closes_connections_is_answered_whole() {
    local(async {
        let mut side = Side::start(8, true).await;
        let (mut client, mut half) = (side.idle().await, side.idle().await);
        let text = board("half", 900, 1);
        // In one turn: a whole request on one, half of one on the other.
        client.write(&board("crosses", 900, 1));
        half.write(&text[..30]);
        side.drain.send_replace(Drain::Closing);
        side.sent_on().await.send(served("2")).unwrap();
        half.write(&text[30..]);
        side.sent_on().await.send(served("3")).unwrap();
        for (mut client, body) in [(client, "2"), (half, "3")] {
            let answer = client.answer().await.unwrap();
            assert_eq!((&answer.body[..], answer.head.close), (body.as_bytes(), true));
            client.ends_well().await;
        }
        // Called off, connections stay open again.
        side.drain.send_replace(Drain::Inactive);
        let mut stays = side.idle().await;
        stays.write(&board("more", 900, 1));
        side.sent_on().await.send(served("4")).unwrap();
        assert!(!stays.answer().await.unwrap().head.close);
    });
}

#[test]
fn half_a_request_that_comes_as_it_begins_to_drain_is_heard_to_its_end() {
    local(async {
        let mut side = Side::start(8, true).await;
        let (mut client, text) = (side.idle().await, board("crosses", 1400, 1));
        client.write(&text[..30]);
        side.phase.send_replace(Phase::Draining);
        // It has closed what is idle once this one is told so.
        let mut other = Crosser::new(side.at).await;
        assert!(other.answer().await.is_none());
        client.write(&text[30..]);
        let EngineEvent::RequestArrived(_, terms, _, verdict) = side.news.recv().await.unwrap() else {
            panic!("it arrives")
        };
        // It ends before the process does, however long its client would wait.
        assert!(terms.time_left < LAST, "{}", terms.time_left);
        verdict.send(served("2")).unwrap();
        let answer = client.answer().await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"2"[..], true));
    });
}

#[test]
fn a_request_on_a_connection_that_the_system_has_accepted_as_it_drains_is_answered_whole() {
    local(async {
        let mut side = Side::start(8, true).await;
        side.idle().await;
        let mut client = Crosser::new(side.at).await;
        client.write(&board("crosses", 900, 1));
        side.phase.send_replace(Phase::Draining);
        side.sent_on().await.send(served("2")).unwrap();
        let answer = client.answer().await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"2"[..], true));
        client.ends_well().await;
    });
}

#[test]
fn a_connection_that_waits_for_room_as_it_drains_is_taken_in_once_there_is_some() {
    local(async {
        let mut side = Side::with_room((2, 0, 2), true).await;
        let mut open = Vec::new();
        for i in 0..2 {
            let mut client = Crosser::new(side.at).await;
            client.write(&board(&format!("{i}"), 1400, 1));
            open.push((client, side.sent_on().await));
        }
        let mut waits = Crosser::new(side.at).await;
        waits.write(&board("waits", 900, 1));
        side.phase.send_replace(Phase::Draining);
        for (mut client, verdict) in open {
            verdict.send(served("1")).unwrap();
            assert_eq!(status(&client.answer().await.unwrap()), 200);
        }
        side.sent_on().await.send(served("2")).unwrap();
        assert_eq!(&waits.answer().await.unwrap().body[..], b"2");
        drop(waits);
        side.running.await.unwrap();
    });
}

#[test]
fn a_request_that_comes_after_the_write_side_is_shut_is_never_sent_on_and_resets_nothing() {
    local(async {
        let mut side = Side::start(8, true).await;
        let mut client = side.idle().await;
        side.phase.send_replace(Phase::Draining);
        // The end of what the ingress says is seen: from now on it may not read a request.
        client.ends_well().await;
        for i in 0..3 {
            client.write(&board(&format!("late{i}"), 900, 1));
            assert!(client.at_once.take_error().unwrap().is_none());
        }
        client.ends_well().await;
        drop(client);
        side.running.await.unwrap();
        assert!(side.news.try_recv().is_err(), "nothing was sent on");
    });
}

#[test]
fn a_request_that_comes_as_its_idle_connection_has_been_idle_for_too_long_is_answered_whole() {
    local(async {
        let mut side = Side::start(8, false).await;
        let mut client = side.idle().await;
        // Nobody sweeps: it is still open when its time is up, and is closed in the turn in which the bytes come.
        tokio::time::sleep(Duration::from_millis(5100)).await;
        client.write(&board("crosses", 900, 1));
        side.deadlines.take_expired(side.deadlines.clock().now());
        side.sent_on().await.send(served("2")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"2");
    });
}

#[test]
fn a_request_that_comes_as_its_idle_connection_is_closed_for_a_newer_one_is_answered_whole() {
    local(async {
        let mut side = Side::start(1, true).await;
        let mut client = side.idle().await;
        let mut newer = Crosser::new(side.at).await;
        newer.write(&board("newer", 900, 1));
        let verdict = side.sent_on().await;
        // The newer one is idle with its answer, and only one may be.
        client.write(&board("crosses", 900, 1));
        verdict.send(served("1")).unwrap();
        assert_eq!(status(&newer.answer().await.unwrap()), 200);
        side.sent_on().await.send(served("2")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"2");
    });
}

// Clients.

/// A client whose request waits for its first attempt.
async fn waits(side: &mut Side, id: &str) -> (Crosser, oneshot::Sender<FinalAnswer<Answer>>) {
    let mut client = Crosser::new(side.at).await;
    client.write(&board(id, 1400, 1));
    let verdict = side.sent_on().await;
    (client, verdict)
}

/// A client that has gone is known to have within this: no attempt begins later.
const GONE: Duration = Duration::from_millis(100);

async fn left(side: &mut Side) {
    let since = ThreadTimer::start();
    let news = side.news.recv().await.unwrap();
    assert!(matches!(news, EngineEvent::ClientLeft(_)), "{news:?}");
    assert!(since.elapsed() < GONE, "known after {:?}", since.elapsed());
}

#[test]
fn a_client_that_has_sent_much_ahead_of_its_end_is_seen_to_leave() {
    local(async {
        let mut side = Side::start(8, true).await;
        for much in [0, 9_000, 100_000, 1_000_000] {
            let (mut client, _verdict) = waits(&mut side, &format!("{much}")).await;
            client.reads.write_all(&vec![b'x'; much]).await.unwrap();
            drop(client);
            left(&mut side).await;
        }
    });
}

/// A request whose body is to have so many bytes, without them.
fn long_submit(length: usize) -> String {
    let text = submit("a", 1400).replace("Content-Length: 4", &format!("Content-Length: {length}"));
    text.strip_suffix("e2e4").unwrap().to_owned()
}

/// Its body is long and its first attempt waits for a connection. The system holds some 100 kB of it for the ingress and up
/// to 4 MiB for the client; the client's end is behind all of that.
#[test]
fn a_client_whose_long_body_waits_is_seen_to_leave_behind_it() {
    local(async {
        let mut side = Side::with_bytes((8, 2, 8), 32 << 20, true).await;
        for (length, sent) in [
            (120_000, 120_000),
            (120_000, 100_000),
            (80_000, 80_000),
            (3_000_000, 3_000_000),
            (20_000_000, 2_500_000),
            (30_000_000, 30_000_000),
        ] {
            let mut client = Crosser::new(side.at).await;
            client.write(&long_submit(length));
            let body = vec![b'x'; sent];
            // The system may not take all of it.
            let writing = tokio::time::timeout(Duration::from_millis(200), client.reads.write_all(&body));
            let EngineEvent::RequestArrived(_, terms, question, _verdict) = (tokio::select! {
                news = side.news.recv() => news.unwrap(),
                _ = async { let _ = writing.await; std::future::pending::<()>().await } => unreachable!(),
            }) else {
                panic!("it arrives");
            };
            assert!(terms.body_pending && question.rest.is_some());
            drop(client);
            left(&mut side).await;
        }
    });
}

/// There is no room for reading the body ahead: it is sent on from the client's end, and never whole.
#[test]
fn a_long_body_whose_client_has_left_is_never_sent_on_whole() {
    local(async {
        let mut side = Side::start(8, true).await;
        let mut client = Crosser::new(side.at).await;
        let length = 3_000_000;
        client.write(&long_submit(length));
        client.reads.write_all(&vec![b'x'; length]).await.unwrap();
        let EngineEvent::RequestArrived(_, _, question, _verdict) = side.news.recv().await.unwrap() else {
            panic!("it arrives");
        };
        drop(client);
        let (mut rest, mut came) = (question.rest.unwrap().take().unwrap(), question.body.len());
        while let Some(piece) = rest.recv().await {
            let BodyPiece::Data(data) = piece else { panic!("it is whole") };
            came += data.len();
        }
        assert!((1_000_000..length).contains(&came), "{came} of {length}");
        left(&mut side).await;
    });
}

#[test]
fn a_client_that_resets_its_connection_behind_what_it_sent_is_seen_to_leave() {
    local(async {
        let mut side = Side::start(8, true).await;
        let (mut client, _verdict) = waits(&mut side, "a").await;
        client.write(&"x".repeat(20_000));
        SockRef::from(&client.reads).set_linger(Some(Duration::ZERO)).unwrap();
        drop(client);
        left(&mut side).await;
    });
}

#[test]
fn many_that_leave_in_one_turn_are_all_seen_to_leave() {
    local(async {
        let mut side = Side::with_bytes((220, 2, 70), 32 << 20, true).await;
        let mut all = Vec::new();
        for i in 0..200 {
            let mut one = waits(&mut side, &format!("{i}")).await;
            if i % 2 == 0 {
                one.0.write(&board("ahead", 900, 1).repeat(100));
            }
            all.push(one);
        }
        let since = ThreadTimer::start();
        let verdicts: Vec<_> = all.into_iter().map(|(_, verdict)| verdict).collect();
        for _ in 0..verdicts.len() {
            let news = side.news.recv().await.unwrap();
            assert!(matches!(news, EngineEvent::ClientLeft(_)), "{news:?}");
        }
        assert!(since.elapsed() < GONE, "known after {:?}", since.elapsed());
    });
}

#[test]
fn who_floods_while_it_waits_is_answered_and_read_no_further() {
    local(async {
        let mut side = Side::start(8, true).await;
        let (client, verdict) = waits(&mut side, "a").await;
        let Crosser { reads, mut buffer, .. } = client;
        let (mut reads, mut writes) = reads.into_split();
        let flood = spawn_local(async move {
            let (bytes, mut all) = (vec![b'x'; 1 << 20], 0);
            while all < 64 && writes.write_all(&bytes).await.is_ok() {
                all += 1;
            }
            all
        });
        // Others are served meanwhile.
        side.idle().await;
        verdict.send(served("1")).unwrap();
        let answer =
            message(&mut reads, &mut buffer, weldhub::net::http::MessageKind::Response).await.unwrap();
        assert_eq!((&answer.body[..], answer.head.close), (&b"1"[..], true));
        let taken = flood.await.unwrap();
        assert!(taken < 64, "{taken} MiB were taken from one client");
        while let Ok(news) = side.news.try_recv() {
            assert!(!matches!(news, EngineEvent::RequestArrived(..)), "{news:?}");
        }
    });
}

#[test]
fn what_comes_ahead_of_an_answer_is_the_next_request() {
    local(async {
        let mut side = Side::start(8, true).await;
        let (mut client, verdict) = waits(&mut side, "a").await;
        client.write(&board("b", 900, 1));
        // Another one, who came later, has its answer: these bytes have been read ahead.
        side.idle().await;
        verdict.send(served("1")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"1");
        side.sent_on().await.send(served("2")).unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"2");
    });
}

// State.

/// An ingress with two plans: one of 27 units and one of 6, which never fill again.
async fn two_plans() -> (Backend, Ingress, Agent) {
    let (server, agent) = (Backend::start(ok("x")).await, Agent::start().await);
    let mut told = ingress_config(agent.at, vec![service_entry("s1", server.at, 0, "in_service")]);
    let mut small = told["settings"]["tariffs"][0].clone();
    (small["name"], small["storeSize"]) = (json!("guest"), json!(6.0));
    told["settings"]["tariffs"].as_array_mut().unwrap().push(small);
    let ingress = start(&told).await;
    (server, ingress, agent)
}

/// A request of that customer under this plan.
fn under(plan: &str, customer: u8, id: &str, units: u32) -> String {
    let text = board(id, 900, units).replace("X-Tier: club", &format!("X-Tier: {plan}"));
    text.replace("client=0000000000000007", &format!("client=00000000000000{customer:02x}"))
}

#[test]
fn two_customers_on_one_connection_have_each_their_own_plan_and_units() {
    local(async {
        let (_server, ingress, _agent) = two_plans().await;
        let mut client = Client::new(ingress.at).await;
        let mut statuses = [Vec::new(), Vec::new()];
        for i in 0..6 {
            for (k, plan) in ["club", "guest"].into_iter().enumerate() {
                let text = under(plan, 7 + k as u8, &format!("{i}{k}"), if k == 0 { 5 } else { 2 });
                statuses[k].push(status(&client.ask(&text).await));
            }
        }
        assert_eq!(statuses, [[200, 200, 200, 200, 200, 429], [200, 200, 200, 429, 429, 429]]);
    });
}

#[test]
fn a_customer_whose_plan_changes_goes_by_the_new_one_at_once_and_is_given_nothing_anew() {
    local(async {
        let (_server, ingress, _agent) = two_plans().await;
        let mut client = Client::new(ingress.at).await;
        let mut asks = Vec::new();
        for (plan, units) in
            [("club", 5), ("guest", 4), ("guest", 4), ("guest", 2), ("club", 1), ("guest", 1)]
        {
            let id = asks.len().to_string();
            asks.push(status(&client.ask(&under(plan, 7, &id, units)).await));
        }
        assert_eq!(asks, [200, 200, 429, 200, 429, 429]);
    });
}

// Start.

#[test]
fn it_is_ready_in_time_though_discovery_accepts_and_never_says_a_word() {
    local(async {
        for known in [true, false] {
            let (server, agent) = (Backend::start(ok("x")).await, listener().await);
            let known = known.then(|| service_entry("s1", server.at, 0, "in_service"));
            let told = ingress_config(agent.local_addr().unwrap(), known.clone().into_iter().collect());
            let began = Instant::now();
            let ingress = start(&told).await;
            assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
            let answer = ask(ingress.at, &board("a", 900, 1)).await;
            assert_eq!(status(&answer) == 200, known.is_some(), "{}", status(&answer));
        }
    });
}
