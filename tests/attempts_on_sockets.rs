//! Attempts on real sockets where an answer, an end or a time-out crosses what the ingress does next. Each crossing is forced:
//! the stand-in acts at a point that was seen, in the turn in which the ingress acts.

mod stand_ins;

use bytes::{Bytes, BytesMut};
use serde_json::json;
use socket2::SockRef;
use stand_ins::full_backlog::FullBacklog;
use stand_ins::ingress::*;
use stand_ins::*;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use weldhub::config::Config;
use weldhub::deadlines::Clock;
use weldhub::entries::backend_id;
use weldhub::exchange::{ClientSideCommand, EngineEvent, Exchange};
use weldhub::interface::*;
use weldhub::net::body_channel::{self, BodyPiece, SingleUseBody};
use weldhub::net::budget::{MemoryBudget, PredecessorConnections};
use weldhub::net::client_side::{Answer, ClientSide, Question, UpgradeLinks};
use weldhub::net::http::{Message, MessageKind};
use weldhub::net::server_side::Role;
use weldhub::stats::Stats;

/// A client side alone: the test orders, and holds the only thread for as long as it likes.
struct Side {
    orders: mpsc::UnboundedSender<ClientSideCommand<Question>>,
    news: mpsc::UnboundedReceiver<EngineEvent<Question, Answer>>,
    clock: Clock,
    _role: watch::Sender<Role>,
}

impl Side {
    /// One that knows a real server there, and waits for connections for so long.
    fn start(server: SocketAddr, connect_timeout: Millis) -> Self {
        let told = ingress_config("127.0.0.1:1".parse().unwrap(), vec![]).to_string();
        let mut site = Config::read(&told, |_| None).unwrap().instance.site;
        site.connect_timeout = connect_timeout;
        let (exchange, news) = Exchange::new();
        let deadlines = swept_deadlines();
        let role = watch::Sender::new(Role::Active);
        let (passing, _) = mpsc::unbounded_channel();
        let (elsewhere, open) = (PredecessorConnections::default(), Rc::new(Cell::new(0)));
        let links = UpgradeLinks {
            role: role.subscribe(),
            idle_connections: passing,
            open_elsewhere: elsewhere.clone(),
            open_connections: open,
        };
        let stats = Stats::new([]);
        let bounds = (8, MemoryBudget::new(1 << 20, elsewhere));
        let clock = deadlines.clock();
        let side = ClientSide::new(exchange, deadlines, site, bounds, stats, links, discarding_logger());
        let (orders, ordered) = mpsc::unbounded_channel();
        let adopted = mpsc::unbounded_channel().1;
        spawn_local(side.run(ordered, adopted));
        orders.send(ClientSideCommand::BackendList(single_backend_list("s1", server))).unwrap();
        Self { orders, news, clock, _role: role }
    }

    /// Orders an attempt that must have left within this.
    fn order(&self, flow: u64, within: Option<Millis>) {
        let head = Bytes::from(format!("GET /board-state/1 HTTP/1.1\r\nRequest-Id: {flow}\r\n"));
        let question = Question {
            head,
            body: Bytes::new(),
            expects_no_body: false,
            content_length: Some(0),
            rest: None,
        };
        self.ask(flow, question, within);
    }

    fn ask(&self, flow: u64, question: Question, within: Option<Millis>) {
        let by = within.map(|within| self.clock.now() + within);
        let (flow, no, server) = (RequestId(flow), AttemptIndex(1), backend_id("s1"));
        self.orders
            .send(ClientSideCommand::Start {
                request: flow,
                attempt: no,
                backend: server,
                question,
                timeout: 5000.0,
                send_by: by,
            })
            .unwrap();
    }

    async fn ended(&mut self) -> (RequestId, Outcome) {
        match self.news.recv().await.unwrap() {
            EngineEvent::AttemptEnded(report) => (report.request, report.outcome),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_never_written() {
    local(async {
        let server = FullBacklog::new().await;
        let mut side = Side::start(server.at(), 5000.0);
        side.order(1, Some(200.0));
        let saying = spawn_local(async {
            // The window is over, and the system has not yet tried again to connect.
            tokio::time::sleep(Duration::from_millis(600)).await;
            server.accept_and_read_text().await
        });
        assert_eq!(side.ended().await, (RequestId(1), Outcome::ConnectFailed));
        assert_eq!(saying.await.unwrap(), "");
    });
}

#[test]
fn what_is_given_up_while_its_connection_comes_up_is_never_written() {
    local(async {
        let server = FullBacklog::new().await;
        let mut side = Side::start(server.at(), 5000.0);
        side.order(1, None);
        side.orders
            .send(ClientSideCommand::GiveUp(RequestId(1), AttemptIndex(1), Outcome::Cancelled))
            .unwrap();
        assert_eq!(side.ended().await, (RequestId(1), Outcome::Cancelled));
        assert_eq!(server.accept_and_read_text().await, "");
    });
}

#[test]
fn what_is_withdrawn_ends_only_where_nothing_of_it_was_written() {
    local(async {
        let server = FullBacklog::new().await;
        let mut side = Side::start(server.at(), 5000.0);
        side.order(1, None);
        side.orders.send(ClientSideCommand::Withdraw(RequestId(1), AttemptIndex(1))).unwrap();
        assert_eq!(side.ended().await, (RequestId(1), Outcome::Cancelled));
        assert_eq!(server.accept_and_read_text().await, "");
        // This one is out: whoever may not cancel it lets it run.
        let listener = listener().await;
        let mut side = Side::start(listener.local_addr().unwrap(), 5000.0);
        side.order(2, None);
        let (mut server, _) = listener.accept().await.unwrap();
        request(&mut server).await;
        side.orders.send(ClientSideCommand::Withdraw(RequestId(2), AttemptIndex(1))).unwrap();
        server.write_all(&good("one")).await.unwrap();
        assert_eq!(side.ended().await, (RequestId(2), Outcome::Served));
    });
}

#[test]
fn a_repeat_whose_window_ends_between_its_order_and_its_turn_is_never_written() {
    local(async {
        let server = Backend::start(ok("x")).await;
        let mut side = Side::start(server.at, 5000.0);
        side.order(1, None);
        assert_eq!(side.ended().await, (RequestId(1), Outcome::Served));
        wait_until_reusable().await;
        // The thread has other things to do: the idle connection has its turn 20 ms too late.
        side.order(2, Some(30.0));
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(side.ended().await, (RequestId(2), Outcome::ConnectFailed));
        side.order(3, Some(2000.0));
        assert_eq!(side.ended().await, (RequestId(3), Outcome::Served));
        let got = server.got.borrow();
        let ids: Vec<_> = got.iter().map(|(_, m)| header(m, "request-id").unwrap()).collect();
        assert_eq!(ids, ["1", "3"]);
    });
}

/// The only real server has a request, resets its connection and takes no other for some time: the class may be repeated
/// within 400 ms, and the connection for that comes up a second later.
#[test]
fn a_keyed_request_is_not_repeated_on_a_connection_that_comes_up_after_the_window() {
    local(async {
        let mut server = FullBacklog::new().await;
        let agent = Agent::start().await;
        let mut told = ingress_config(agent.at, vec![service_entry("s1", server.at(), 0, "in_service")]);
        told["settings"]["classes"][1]["window"] = json!(400.0);
        told["settings"]["limits"]["connectTimeout"] = json!(2500.0);
        let ingress = start(&told).await;
        // Its first attempt is let in.
        drop(std::mem::take(&mut server.fill));
        drop(server.listener.accept().await.unwrap());
        let mut client = Client::new(ingress.at).await;
        client.send(&submit("a", 2900)).await;
        let (mut stream, _) = server.listener.accept().await.unwrap();
        message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.unwrap();
        server.fill_up().await;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        let began = Instant::now();
        let saying = spawn_local(async {
            // The window is over, and the system has not yet tried again to connect.
            tokio::time::sleep(Duration::from_millis(600)).await;
            server.accept_and_read_text().await
        });
        assert_eq!(status(&client.answer().await.unwrap()), 502);
        assert!(began.elapsed() < Duration::from_millis(900), "it is failed at once: {:?}", began.elapsed());
        ingress.stop.send(()).unwrap();
        ingress.running.await.unwrap().unwrap();
        assert_eq!(saying.await.unwrap(), "", "no second request");
    });
}

/// The whole of a body has gone, and nobody has said yet that this was the last of it.
#[test]
fn a_body_whose_last_byte_has_gone_may_have_run() {
    local(async {
        let listener = listener().await;
        let mut side = Side::start(listener.local_addr().unwrap(), 5000.0);
        let (pieces, rest) = body_channel::channel();
        let head = Bytes::from_static(b"POST /move-submit/1 HTTP/1.1\r\nContent-Length: 4\r\n");
        let rest = Some(SingleUseBody::new(rest));
        side.ask(
            1,
            Question { head, body: Bytes::new(), expects_no_body: false, content_length: Some(4), rest },
            None,
        );
        pieces.send(BodyPiece::Data(Bytes::from_static(b"e2e4"))).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        assert_eq!(&request(&mut server).await.body[..], b"e2e4");
        side.orders
            .send(ClientSideCommand::GiveUp(RequestId(1), AttemptIndex(1), Outcome::TimedOut))
            .unwrap();
        assert_eq!(side.ended().await, (RequestId(1), Outcome::TimedOut));
    });
}

/// A real server that the test plays by hand.
async fn by_hand() -> (TcpListener, Ingress, Agent) {
    let (listener, agent) = (listener().await, Agent::start().await);
    let told =
        ingress_config(agent.at, vec![service_entry("s1", listener.local_addr().unwrap(), 0, "in_service")]);
    let ingress = start(&told).await;
    (listener, ingress, agent)
}

async fn request(stream: &mut TcpStream) -> Message {
    message(stream, &mut BytesMut::new(), MessageKind::Request).await.unwrap()
}

fn good(body: &str) -> Vec<u8> {
    match ok(body) {
        Serve::Bytes(bytes) => bytes,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_second_answer_that_comes_while_the_next_request_is_out_is_not_taken_for_its_answer() {
    local(async {
        let listener = listener().await;
        let mut side = Side::start(listener.local_addr().unwrap(), 5000.0);
        side.order(1, None);
        let (mut first, _) = listener.accept().await.unwrap();
        request(&mut first).await;
        first.write_all(&good("one")).await.unwrap();
        assert_eq!(side.ended().await, (RequestId(1), Outcome::Served));
        side.order(2, None);
        // The next request is out, wherever; now the second answer to the one before comes.
        let mut next = tokio::select! {
            _ = request(&mut first) => None,
            accepted = listener.accept() => Some(accepted.unwrap().0),
        };
        first.write_all(&good("one")).await.unwrap();
        if let Some(next) = &mut next {
            request(next).await;
        }
        next.as_mut().unwrap_or(&mut first).write_all(&good("two")).await.unwrap();
        let EngineEvent::AttemptEnded(report) = side.news.recv().await.unwrap() else { panic!("it ends") };
        assert_eq!(&report.answer.unwrap().body[..], b"two");
    });
}

#[test]
fn an_idle_connection_that_ends_or_speaks_in_the_turn_in_which_a_request_comes_carries_it_no_more() {
    local(async {
        let listener = listener().await;
        let mut side = Side::start(listener.local_addr().unwrap(), 5000.0);
        side.order(0, None);
        let (mut idle, _) = listener.accept().await.unwrap();
        for (i, speaks) in
            [&b""[..], b"HTTP/1.1 200 O", &good("odd"), b"HTTP/1.1 408 x\r\n\r\n"].into_iter().enumerate()
        {
            assert_eq!(header(&request(&mut idle).await, "request-id"), Some(i.to_string()));
            idle.write_all(&good("one")).await.unwrap();
            assert_eq!(side.ended().await, (RequestId(i as u64), Outcome::Served));
            wait_until_reusable().await;
            // In one turn: the system knows what the runtime has not been told when the connection is picked.
            let mut idle_now = idle.into_std().unwrap();
            if speaks.is_empty() {
                idle_now.shutdown(std::net::Shutdown::Write).unwrap();
            } else {
                idle_now.write_all(speaks).unwrap();
            }
            side.order(i as u64 + 1, None);
            idle = listener.accept().await.unwrap().0;
            let mut said = Vec::new();
            assert!(idle_now.read_to_end(&mut said).is_err() || said.is_empty(), "nothing was written there");
        }
        assert_eq!(header(&request(&mut idle).await, "request-id").as_deref(), Some("4"));
    });
}

#[test]
fn an_answer_that_comes_in_the_turn_of_its_time_out_is_the_only_one() {
    local(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (got, gets) = tokio::sync::oneshot::channel();
        let (answer, answers) = std::sync::mpsc::channel::<()>();
        // On a thread of its own: the ingress's has no turn while the answer comes and the time runs out.
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut bytes = [0; 4096];
            assert!(stream.read(&mut bytes).unwrap() > 0);
            got.send(()).unwrap();
            answers.recv().unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nin").unwrap();
            stream
        });
        let agent = Agent::start().await;
        let ingress = start(&ingress_config(agent.at, vec![service_entry("s1", at, 0, "in_service")])).await;
        let (mut client, asked) = (Client::new(ingress.at).await, Instant::now());
        client.send(&board("a", 500, 1)).await;
        gets.await.unwrap();
        answer.send(()).unwrap();
        let stream = server.join().unwrap();
        std::thread::sleep(Duration::from_millis(510).saturating_sub(asked.elapsed()));
        let answer = client.answer().await.unwrap();
        assert_eq!((status(&answer), &answer.body[..]), (200, &b"in"[..]));
        // Nothing else follows on that connection.
        client.0.shutdown().await.unwrap();
        assert!(client.answer().await.is_none() && client.1.is_empty());
        drop(stream);
    });
}

#[test]
fn an_answer_without_a_length_that_is_reset_is_no_whole_answer() {
    local(async {
        for passes_on in [false, true] {
            let (listener, ingress, _agent) = by_hand().await;
            let mut client = Client::new(ingress.at).await;
            client.send(&submit("a", 1400)).await;
            let (mut server, _) = listener.accept().await.unwrap();
            request(&mut server).await;
            server.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await.unwrap();
            let mut seen = Vec::new();
            while passes_on && !seen.ends_with(b"4\r\nhalf\r\n") {
                // Its client has begun to read it when it breaks off.
                assert!(client.0.read_buf(&mut seen).await.unwrap() > 0);
            }
            SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
            drop(server);
            // Its class may be repeated: what follows is answered by nobody.
            drop(listener);
            if passes_on {
                let _ = client.0.read_to_end(&mut seen).await;
                assert!(seen.ends_with(b"half\r\n"), "{}", String::from_utf8_lossy(&seen));
            } else {
                assert_ne!(status(&client.answer().await.unwrap()), 200);
            }
        }
    });
}

/// A class that is unsafe to repeat: again only where it never ran, and only one attempt out at a time.
#[test]
fn unsafe_work_is_sent_again_only_where_it_never_ran() {
    local(async {
        let agent = Agent::start().await;
        let (one, two) = (listener().await, listener().await);
        let entry = |name, at: &TcpListener| service_entry(name, at.local_addr().unwrap(), 0, "in_service");
        let mut told = ingress_config(agent.at, vec![entry("s1", &one), entry("s2", &two)]);
        told["settings"]["classes"][1]["effect"] = json!("non_idempotent");
        let ingress = start(&told).await;
        let text = submit("a", 900).replace("Idempotency-Key: 5c0f6e\r\n", "");
        let taken = async || {
            let (stream, other) = tokio::select! {
                accepted = one.accept() => (accepted.unwrap().0, &two),
                accepted = two.accept() => (accepted.unwrap().0, &one),
            };
            let mut stream = stream;
            let id = header(&request(&mut stream).await, "request-id").unwrap();
            (stream, other, id)
        };
        // Turned away unseen: once more, to the other one, when this one's answer is there.
        let mut client = Client::new(ingress.at).await;
        client.send(&text).await;
        let (mut first, other, _) = taken().await;
        first
            .write_all(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            .await
            .unwrap();
        let (mut second, _) = other.accept().await.unwrap();
        assert_eq!(header(&request(&mut second).await, "request-id").as_deref(), Some("a"));
        second.write_all(&good("once")).await.unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"once");
        drop(second);
        // It may have run: ended, reset, garbled or never answered.
        for how in ["end", "reset", "garbage", "silence"] {
            client.send(&text.replace("Request-Id: a", &format!("Request-Id: {how}"))).await;
            let (mut first, _, id) = taken().await;
            assert_eq!(id, how);
            match how {
                "end" => drop(first),
                "reset" => {
                    SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
                    drop(first);
                }
                "garbage" => first.write_all(b"\0\0\r\n\r\n").await.unwrap(),
                _ => {
                    // Never two out: its connection ends before anything else is said.
                    let mut rest = Vec::new();
                    first.read_to_end(&mut rest).await.unwrap();
                    assert!(rest.is_empty());
                }
            }
            let answer = client.answer().await.unwrap();
            assert!(matches!(status(&answer), 502 | 504), "{how}: {}", status(&answer));
            if answer.head.close {
                client = Client::new(ingress.at).await;
            }
        }
        // No other request has come to either.
        ingress.stop.send(()).unwrap();
        tokio::select! {
            biased;
            (_, _, id) = taken() => panic!("{id} was sent again"),
            ended = ingress.running => ended.unwrap().unwrap(),
        }
    });
}
