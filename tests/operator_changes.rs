//! Operators' calls around upgrades, with processes of the program: what any process answers `ok` holds from then on,
//! whichever process serves and whichever ends, hangs or hands over next, and what is answered `fail` changes nothing.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::*;
use stand_ins::ingress::*;
use stand_ins::link_relay::{IsHeld, LinkRelay};
use stand_ins::program::Program;
use stand_ins::site::Site;
use stand_ins::*;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use weldhub::exchange::EngineState;
use weldhub::upgrade::frame::{BackendOperation, Frame, LAYOUT_VERSION, Revision};
use weldhub::upgrade::link::{Message, Reader, Writer, link};

/// How often a test looks which backends are used.
const ROUNDS: usize = 4;
/// The requests that come at once each time.
const REQUESTS: usize = 4;
/// The time that a backend takes over a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

async fn site(name: &str) -> Site {
    let mut site = Site::new(name).await;
    let plan = &mut site.config_json["settings"]["tariffs"][0];
    plan["perSecond"] = json!(1e5);
    plan["storeSize"] = json!(1e5);
    // Requests that come at once are spread over all backends.
    site.backends.iter().for_each(|backend| backend.behave(Serve::Late(SERVICE_TIME, "x".into())));
    site
}

/// Starts a process and waits until it answers operators, before it takes over.
async fn stand_by(site: &Site, i: usize) -> Program {
    let program = site.spawn(i);
    answers_operators(site.admin[i]).await;
    program
}

async fn answers_operators(admin: SocketAddr) {
    while TcpStream::connect(admin).await.is_err() {
        sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(call(admin, "ready\n").await, "fail not ready\n");
}

/// Waits until the process with this admin interface serves.
async fn ready(admin: SocketAddr) {
    while call(admin, "ready\n").await != "ok ready\n" {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Makes a call that must be answered `ok`.
async fn ok_call(admin: SocketAddr, line: &str) {
    let answer = call(admin, &format!("{line}\n")).await;
    assert!(answer.starts_with("ok"), "{line}: {answer}");
}

/// Returns which of the backends `s1` and `s2` are used now, by requests that come at once.
async fn used(site: &Site) -> [bool; 2] {
    let counts = || [0, 1].map(|n: usize| site.backends[n].count());
    let before = counts();
    for _ in 0..ROUNDS {
        let asked = (0..REQUESTS).map(|n| {
            let (at, request) = (site.at, board(&format!("x{n}"), 900, 1));
            spawn_local(async move { status(&ask(at, &request).await) })
        });
        for answer in asked.collect::<Vec<_>>() {
            assert_eq!(answer.await.unwrap(), 200);
        }
    }
    let after = counts();
    [0, 1].map(|n| after[n] > before[n])
}

/// Returns whether `GET /ready` says yes.
async fn is_in_rotation(site: &Site) -> bool {
    status(&get(site.at, "/ready").await) == 200
}

/// Returns which backends are used, and whether `GET /ready` says yes.
async fn seen(site: &Site) -> ([bool; 2], bool) {
    (used(site).await, is_in_rotation(site).await)
}

/// Starts process 1 in a folder of its own, with a relay on its link to process 0.
fn spawn_relayed(site: &Site, is_held: IsHeld) -> (Program, LinkRelay) {
    let folder = site.folder.join("new");
    std::fs::create_dir(&folder).unwrap();
    let at = folder.join(site.file("next").file_name().unwrap());
    let relay = LinkRelay::start(&at, &site.file("next"), is_held);
    (site.spawn_in(&folder, 1), relay)
}

/// Guards against the loss of a call that the new process answered `ok` before it took over (`review/9`).
#[test]
fn calls_at_the_new_process_before_it_takes_over_hold_from_their_answer_on() {
    local(async {
        let site = site("early").await;
        let old = site.start(0).await;
        assert_eq!(used(&site).await, [true, true]);
        ok_call(site.admin[0], "disable-server s2").await;
        ok_call(site.admin[0], "drain").await;
        let _new = stand_by(&site, 1).await;
        let new = site.admin[1];
        ok_call(new, "disable-server s1").await;
        ok_call(new, "enable-server s2").await;
        ok_call(new, "resume").await;
        assert_eq!(call(new, "disable-server nobody\n").await, "fail no such server\n");
        assert_eq!(call(new, "ready\n").await, "fail not ready\n", "all calls came before the takeover");
        assert_eq!(seen(&site).await, ([false, true], true), "the old one");
        ready(new).await;
        assert_eq!(seen(&site).await, ([false, true], true), "the new one");
        old.signal("TERM");
        drop(old);
        ok_call(new, "drain").await;
        assert_eq!(seen(&site).await, ([false, true], false));
    });
}

/// Guards against a new process that takes over with what the old one had told it at its start.
#[test]
fn calls_at_an_old_process_that_is_killed_before_it_hands_over_hold_at_the_new_one() {
    local(async {
        let site = site("killed-early").await;
        let mut old = site.start(0).await;
        ok_call(site.admin[0], "disable-server s1").await;
        let _new = stand_by(&site, 1).await;
        ok_call(site.admin[0], "enable-server s1").await;
        ok_call(site.admin[0], "disable-server s2").await;
        ok_call(site.admin[1], "drain").await;
        old.child.kill().unwrap();
        old.end().await;
        ready(site.admin[1]).await;
        assert_eq!(seen(&site).await, ([true, false], false));
    });
}

/// Guards against a call that neither process carries out as the state is on its way from one to the other.
#[test]
fn calls_at_both_processes_in_the_instant_of_the_takeover_hold_whichever_serves() {
    local(async {
        let site = site("instant").await;
        let mut old = site.start(0).await;
        ok_call(site.admin[0], "drain").await;
        let (mut new, relay) = spawn_relayed(&site, |frame| matches!(frame, Frame::State { .. }));
        relay.holds().await;
        let calls = [
            (0, "disable-server s1\n"),
            (1, "resume\n"),
            (1, "disable-server s2\n"),
            (0, "enable-server s2\n"),
        ];
        let mut answers = Vec::new();
        for (i, line) in calls {
            let admin = site.admin[i];
            answers.push(spawn_local(async move { call(admin, line).await }));
            sleep(Duration::from_millis(10)).await;
        }
        relay.release();
        for answer in answers {
            assert_eq!(answer.await.unwrap(), "ok\n");
        }
        ready(site.admin[1]).await;
        assert_eq!(seen(&site).await, ([false, true], true));
        // What is called once the new process serves reaches an old one that serves again.
        ok_call(site.admin[0], "drain").await;
        ok_call(site.admin[1], "enable-server s1").await;
        ok_call(site.admin[0], "disable-server s2").await;
        new.child.kill().unwrap();
        new.end().await;
        old.wait_for_log("serving again").await;
        assert_eq!(seen(&site).await, ([true, false], false));
    });
}

/// Guards against a call that is told to have failed and is carried out later, by a process that had hung.
#[test]
fn a_call_that_a_hung_process_cannot_confirm_fails_and_changes_nothing_once_it_goes_on() {
    local(async {
        let site = site("hung").await;
        let mut old = site.start(0).await;
        let mut new = stand_by(&site, 1).await;
        old.signal("STOP");
        let began = Instant::now();
        let answer = call(site.admin[1], "disable-server s1\n").await;
        assert_eq!(answer, "fail no answer in time from the process that serves\n");
        assert!(began.elapsed() < Duration::from_secs(1), "operators are owed an answer within 1 s");
        let stopped = site.admin[0];
        let called = spawn_local(async move { call(stopped, "drain\n").await });
        // The new process goes on without the old one, and decides.
        new.serving().await;
        ok_call(site.admin[1], "disable-server s2").await;
        old.signal("CONT");
        old.wait_for_log("a change of the process that leads is followed").await;
        assert!(called.await.unwrap().starts_with("ok"), "it reaches the process that leads");
        ready(site.admin[1]).await;
        assert_eq!(seen(&site).await, ([true, false], false));
        // The old one follows, so it goes on with what the new one had, should that end.
        ok_call(site.admin[1], "resume").await;
        new.child.kill().unwrap();
        new.end().await;
        old.wait_for_log("serving again").await;
        assert_eq!(seen(&site).await, ([true, false], true));
    });
}

/// Guards against an old process that hung before the new one started, and then serves on with what it knew.
#[test]
fn an_old_process_that_hung_when_the_new_one_started_follows_it_once_it_goes_on() {
    local(async {
        let site = site("silent").await;
        let mut old = site.start(0).await;
        ok_call(site.admin[0], "disable-server s1").await;
        ok_call(site.admin[0], "drain").await;
        old.signal("STOP");
        let stopped = site.admin[0];
        let called = spawn_local(async move { call(stopped, "enable-server s1\n").await });
        let mut new = site.spawn(1);
        new.serving().await;
        assert_eq!(figures(site.admin[1]).await["svc_members_unavailable"], 1);
        ok_call(site.admin[1], "disable-server s2").await;
        old.signal("CONT");
        new.wait_for_log("the old process answers late").await;
        // It was called while it hung: either it was too late, or the process that leads did it.
        let answer = called.await.unwrap();
        let is_enabled = answer == "ok\n";
        assert!(is_enabled || answer.starts_with("fail another process serves"), "{answer}");
        let unavailable = if is_enabled { 1 } else { 2 };
        for admin in [site.admin[0], site.admin[1]] {
            let mut seen = 9;
            for _ in 0..50 {
                seen = figures(admin).await["svc_members_unavailable"];
                if seen == unavailable {
                    break;
                }
                sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(seen, unavailable);
        }
        assert!(!is_in_rotation(&site).await, "the drain holds at the new process");
        ok_call(site.admin[0], "resume").await;
        assert!(is_in_rotation(&site).await);
        ok_call(site.admin[1], "enable-server s2").await;
        new.child.kill().unwrap();
        new.end().await;
        let next = site.start(2).await;
        assert_eq!(figures(site.admin[2]).await["svc_members_unavailable"], unavailable - 1);
        drop((next, old.child.kill()));
    });
}

/// Guards against a call that reaches nobody as the process that serves hangs, and is made once that goes on.
#[test]
fn a_call_at_the_old_process_fails_while_the_new_one_hangs_and_changes_nothing() {
    local(async {
        let site = site("hung-new").await;
        let mut old = site.start(0).await;
        let mut new = site.start(1).await;
        new.signal("STOP");
        for line in ["disable-server s1\n", "drain\n"] {
            let answer = call(site.admin[0], line).await;
            assert_eq!(answer, "fail no answer in time from the process that serves\n");
        }
        new.signal("CONT");
        assert_eq!(seen(&site).await, ([true, true], true));
        new.signal("STOP");
        let called = tokio::join!(call(site.admin[0], "disable-server s1\n"), async {
            sleep(Duration::from_millis(100)).await;
            new.child.kill().unwrap();
        });
        assert_eq!(called.0, "ok\n", "the old process leads again in time");
        old.wait_for_log("serving again").await;
        assert_eq!(seen(&site).await, ([false, true], true));
    });
}

/// Guards against a notice to the fleet that waits at a process that does not serve.
#[test]
fn calls_about_an_ingress_by_its_name_are_made_by_the_process_that_serves() {
    local(async {
        let mut site = site("by-name").await;
        let listen = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        site.config_json["cluster"] = json!({"listen": listen.to_string(), "fleet": "site"});
        let mut old = site.start(0).await;
        let mut new = stand_by(&site, 1).await;
        ok_call(site.admin[1], "drain n0").await;
        assert!(!is_in_rotation(&site).await, "the old process serves, and is drained");
        assert_eq!(call(site.admin[1], "drain n7\n").await, "fail no such ingress\n");
        ready(site.admin[1]).await;
        assert!(!is_in_rotation(&site).await, "the new process is drained");
        ok_call(site.admin[0], "resume n0").await;
        let resumed = async { while !is_in_rotation(&site).await {} };
        timeout(Duration::from_secs(2), resumed).await.expect("resumed by a call at the old process");
        ok_call(site.admin[0], "disable-server s1").await;
        ok_call(site.admin[1], "drain").await;
        new.child.kill().unwrap();
        new.end().await;
        old.wait_for_log("serving again").await;
        assert_eq!(seen(&site).await, ([false, true], false));
    });
}

/// Guards against calls that reach only one neighbour of the middle one of three processes.
#[test]
fn calls_at_any_of_three_processes_hold_at_all_of_them() {
    local(async {
        let site = site("three").await;
        let mut first = site.start(0).await;
        let mut second = site.start(1).await;
        let mut third = stand_by(&site, 2).await;
        ok_call(site.admin[0], "disable-server s1").await;
        ok_call(site.admin[2], "drain").await;
        let agree = async |unavailable: u64| {
            for admin in site.admin {
                assert_eq!(figures(admin).await["svc_members_unavailable"], unavailable);
            }
        };
        agree(1).await;
        ready(site.admin[2]).await;
        assert_eq!(seen(&site).await, ([false, true], false));
        ok_call(site.admin[0], "enable-server s1").await;
        ok_call(site.admin[0], "resume").await;
        ok_call(site.admin[1], "disable-server s2").await;
        agree(1).await;
        assert_eq!(seen(&site).await, ([true, false], true));
        // The middle one hangs: the one that serves decides all the same.
        second.signal("STOP");
        ok_call(site.admin[2], "drain").await;
        second.signal("CONT");
        third.child.kill().unwrap();
        third.end().await;
        second.wait_for_log("serving again").await;
        assert_eq!(seen(&site).await, ([true, false], false));
        ok_call(site.admin[0], "enable-server s2").await;
        ok_call(site.admin[0], "disable-server s1").await;
        second.child.kill().unwrap();
        second.end().await;
        first.wait_for_log("serving again").await;
        assert_eq!(seen(&site).await, ([false, true], false));
    });
}

/// Guards against two processes that each keep the other's call of two that cross.
#[test]
fn opposite_calls_at_both_processes_at_once_leave_both_with_the_same() {
    local(async {
        let site = site("crossing").await;
        let mut old = site.start(0).await;
        let mut new = site.start(1).await;
        for round in 0..40 {
            let [first, second] = if round % 2 == 0 { ["disable", "enable"] } else { ["enable", "disable"] };
            let lines = [first, second].map(|word| format!("{word}-server s1\n"));
            let answers = tokio::join!(call(site.admin[0], &lines[0]), call(site.admin[1], &lines[1]));
            assert_eq!(answers, ("ok\n".into(), "ok\n".into()));
            let [at_old, at_new] = [figures(site.admin[0]).await, figures(site.admin[1]).await]
                .map(|figures| figures["svc_members_unavailable"]);
            assert_eq!(at_old, at_new, "round {round}");
        }
        let disabled = figures(site.admin[1]).await["svc_members_unavailable"] > 0;
        new.child.kill().unwrap();
        new.end().await;
        old.wait_for_log("serving again").await;
        assert_eq!(used(&site).await, [!disabled, true]);
        // What a start after a kill of both finds.
        old.child.kill().unwrap();
        old.end().await;
        let third = site.start(2).await;
        assert_eq!(used(&site).await, [!disabled, true]);
        drop(third);
    });
}

/// Guards against an old process that serves again beside the new one, or is not found by the next, after its link broke.
#[test]
fn an_old_process_whose_link_breaks_leaves_the_address_to_the_new_one_and_serves_once_that_has_ended() {
    local(async {
        let site = site("cut").await;
        let mut old = site.start(0).await;
        let relay = LinkRelay::in_place_of(&site.file("next"), |_| false);
        let mut new = site.start(1).await;
        relay.cut();
        old.wait_for_log("another process serves at this address").await;
        ok_call(site.admin[1], "disable-server s1").await;
        let answer = call(site.admin[0], "disable-server s2\n").await;
        assert_eq!(answer, "fail another process serves at this address; call that one\n");
        assert_eq!(used(&site).await, [false, true]);
        let follows = async { while figures(site.admin[0]).await["svc_members_unavailable"] != 1 {} };
        timeout(Duration::from_secs(2), follows).await.expect("the old process follows the file");
        new.child.kill().unwrap();
        new.end().await;
        old.wait_for_log("serving again").await;
        assert_eq!(used(&site).await, [false, true]);
        ok_call(site.admin[0], "enable-server s1").await;
        ok_call(site.admin[0], "disable-server s2").await;
        let third = site.start(2).await;
        assert_eq!(call(site.admin[0], "ready\n").await, "fail not ready\n", "the third has taken over");
        drop((third, old.end()));
    });
}

/// Guards against a new process that serves beside the old one, with other settings, as its link broke too early.
#[test]
fn a_new_process_whose_link_breaks_before_it_takes_over_finds_the_old_one_again() {
    local(async {
        let site = site("cut-early").await;
        let old = site.start(0).await;
        let (new, relay) = spawn_relayed(&site, |_| false);
        answers_operators(site.admin[1]).await;
        relay.cut();
        ok_call(site.admin[1], "disable-server s1").await;
        ok_call(site.admin[0], "drain").await;
        ready(site.admin[1]).await;
        assert_eq!(call(site.admin[0], "ready\n").await, "fail not ready\n", "one process serves");
        ok_call(site.admin[0], "resume").await;
        assert_eq!(seen(&site).await, ([false, true], true));
        drop((old, new));
    });
}

/// Guards against a process that hangs for good and is to miss more than its link can hold.
#[test]
fn changes_are_refused_before_they_overflow_the_link_to_a_process_that_hangs() {
    local(async {
        let site = site("unconfirmed").await;
        let old = site.start(0).await;
        let mut new = site.start(1).await;
        old.signal("STOP");
        let mut refused = 0;
        for _ in 0..21 {
            let calls = (0..4).map(|_| {
                let admin = site.admin[1];
                spawn_local(async move { call(admin, "disable-server s1\n").await })
            });
            for answer in calls.collect::<Vec<_>>() {
                match answer.await.unwrap().as_str() {
                    "ok\n" => {}
                    answer => {
                        assert!(
                            answer.starts_with("fail another process at this address confirms"),
                            "{answer}"
                        );
                        refused += 1;
                    }
                }
            }
        }
        assert!((15..25).contains(&refused), "{refused} refused");
        assert!(call(site.admin[1], "enable-server s1\n").await.starts_with("fail"));
        assert_eq!(used(&site).await, [false, true], "what is refused changes nothing");
        old.signal("KILL");
        new.wait_for_log("the old process is gone").await;
        ok_call(site.admin[1], "enable-server s1").await;
    });
}

/// A process of the version before, as far as its link goes.
struct FirstRevision {
    reader: Reader,
    writer: Writer,
}

impl FirstRevision {
    async fn expect(&mut self) -> Frame {
        timeout(Duration::from_secs(5), self.reader.next()).await.unwrap().unwrap().unwrap().frame
    }

    async fn send(&mut self, frame: Frame) {
        self.writer.write(&frame.into()).await.unwrap();
    }
}

/// Guards against an upgrade from the version before that loses calls, or hands over nothing.
#[test]
fn an_upgrade_from_the_version_before_answers_no_call_before_it_takes_over_and_shares_those_after_it() {
    local(async {
        let site = site("from").await;
        let listener = UnixListener::bind(site.file("next")).unwrap();
        let mut new = site.spawn(1);
        let (reader, writer) = link(listener.accept().await.unwrap().0);
        let mut old = FirstRevision { reader, writer };
        assert!(matches!(old.expect().await, Frame::Hello(LAYOUT_VERSION, _)));
        let clients = std::net::TcpListener::bind(site.at).unwrap();
        let frame = Frame::Sockets { peers: false, revision: Revision::FIRST };
        old.writer.write(&Message { frame, descriptors: vec![OwnedFd::from(clients)] }).await.unwrap();
        answers_operators(site.admin[1]).await;
        let answer = call(site.admin[1], "disable-server s1\n").await;
        assert_eq!(answer, "fail not ready: an upgrade is under way; call again\n");
        assert_eq!(old.expect().await, Frame::TakeOver, "nothing else before it");
        let engine = EngineState { disabled: vec!["s2".into()], ..EngineState::default() };
        old.send(Frame::State { engine, drained: true, backend_connections: 0 }).await;
        new.serving().await;
        assert_eq!(seen(&site).await, ([true, false], false));
        let admin = site.admin[1];
        let called = spawn_local(async move { call(admin, "enable-server s2\n").await });
        let Frame::Operate(number, operation) = old.expect().await else { panic!("another frame") };
        assert_eq!(operation, BackendOperation::Enable("s2".into()));
        old.send(Frame::OperationDone(number)).await;
        assert_eq!(called.await.unwrap(), "ok\n");
        ok_call(admin, "resume").await;
        assert_eq!(old.expect().await, Frame::Drain(false));
        old.send(Frame::Operate(7, BackendOperation::Disable("s1".into()))).await;
        while old.expect().await != Frame::OperationDone(7) {}
        assert_eq!(seen(&site).await, ([false, true], true));
    });
}

/// Guards against a way back to the version before that loses calls.
#[test]
fn an_upgrade_back_to_the_version_before_shares_the_calls_after_it() {
    local(async {
        let site = site("back-to").await;
        let mut old = site.start(0).await;
        let admin = site.admin[0];
        let (reader, writer) = link(UnixStream::connect(site.file("next")).await.unwrap());
        let mut new = FirstRevision { reader, writer };
        new.send(Frame::Hello(LAYOUT_VERSION, Revision::FIRST)).await;
        assert!(matches!(new.expect().await, Frame::Sockets { .. }));
        ok_call(admin, "drain").await;
        new.send(Frame::TakeOver).await;
        assert!(matches!(new.expect().await, Frame::State { drained: true, .. }), "nothing else before it");
        let called = spawn_local(async move { call(admin, "disable-server s1\n").await });
        let Frame::Operate(number, operation) = new.expect().await else { panic!("another frame") };
        assert_eq!(operation, BackendOperation::Disable("s1".into()));
        new.send(Frame::OperationDone(number)).await;
        assert_eq!(called.await.unwrap(), "ok\n");
        // It is not told whether the new process hangs.
        let answer = call(admin, "enable-server s1\n").await;
        assert_eq!(answer, "fail no answer in time from the process that serves\n");
        new.send(Frame::Operate(1, BackendOperation::Disable("s2".into()))).await;
        new.send(Frame::Drain(false)).await;
        let frames = [new.expect().await, new.expect().await];
        assert!(matches!(frames, [Frame::Operate(..), Frame::OperationDone(1)]), "{frames:?}");
        drop(new);
        old.wait_for_log("serving again").await;
        assert!(is_in_rotation(&site).await);
        assert_eq!(figures(admin).await["svc_members_unavailable"], 2);
    });
}
