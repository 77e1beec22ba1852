//! Upgrades with the program itself: a new process takes over the address of a running one, with its connections, its
//! quotas and its disabled backends, and an address stays served whichever of the two processes dies.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::*;
use stand_ins::ingress::*;
use stand_ins::program::Program;
use stand_ins::site::Site;
use stand_ins::*;
use std::time::Duration;
use tokio::net::TcpStream;

#[test]
fn connections_quotas_and_disabled_backends_pass_to_the_new_process_and_every_request_is_answered() {
    local(async {
        let site = Site::new("all").await;
        let mut old = site.start(0).await;
        let (mut kept, mut half) = (Client::new(site.at).await, Client::new(site.at).await);
        let (mut busy, mut early) = (Client::new(site.at).await, Client::new(site.at).await);
        assert_eq!(status(&kept.ask(&board("a", 900, 6)).await), 200);
        assert_eq!(status(&kept.ask(&board("b", 900, 6)).await), 200);
        assert_eq!(call(site.admin[0], "disable-server s1\n").await, "ok\n");
        let text = board("c", 900, 1);
        half.send(&text[..40]).await;
        site.backends[1].behave(Serve::Stall);
        let before = site.backends[1].count();
        busy.send(&submit("d", 1400)).await;
        until(|| site.backends[1].count() > before).await;
        let new = site.start(1).await;
        assert_eq!(call(site.admin[0], "ready\n").await, "fail not ready\n");
        old.signal("TERM");
        site.backends[1].behave(ok("2"));
        // Requests sent before and after the handover, on the open connections: each is answered.
        assert_eq!(status(&kept.ask(&board("e", 900, 1)).await), 200);
        half.send(&text[40..]).await;
        assert_eq!(status(&half.answer().await.unwrap()), 200);
        assert_eq!(status(&early.ask(&board("f", 900, 1)).await), 200);
        // The old process answers the request that it accepted, by a second attempt if there is still time.
        assert!(matches!(status(&busy.answer().await.unwrap()), 200 | 504));
        assert!(old.end().await.success());
        assert_eq!(
            status(&busy.ask(&board("g", 900, 1)).await),
            200,
            "the connection passes to the new process after its answer"
        );
        // The plan has 27 units that are not refilled in time: 13 were used before the handover and 4 since.
        assert_eq!(status(&kept.ask(&board("h", 900, 6)).await), 200);
        assert_eq!(status(&kept.ask(&board("i", 900, 6)).await), 429, "the quota passes on");
        assert_eq!(figures(site.admin[1]).await["svc_members_unavailable"], 1);
        let reached_disabled = |id: &[u8]| {
            site.backends[0]
                .got
                .borrow()
                .iter()
                .any(|(_, request)| request.head.get("request-id") == Some(id))
        };
        assert!(!b"cdefgh".chunks(1).any(reached_disabled));
        drop(new);
    });
}

#[test]
fn a_killed_process_leaves_only_its_list_of_disabled_backends() {
    local(async {
        let site = Site::new("killed").await;
        let mut old = site.start(0).await;
        assert_eq!(call(site.admin[0], "disable-server s2\n").await, "ok\n");
        old.child.kill().unwrap();
        old.end().await;
        let mut new = site.start(1).await;
        assert_eq!(figures(site.admin[1]).await["svc_members_unavailable"], 1);
        assert_eq!(status(&ask(site.at, &board("a", 900, 1)).await), 200);
        assert_eq!(site.backends[1].count(), 0);
        new.child.kill().unwrap();
        new.end().await;
        // A truncated file is ignored, and the log says so.
        let (address, port) = (site.at.ip(), site.at.port());
        let disabled_file = site.folder.join(format!("weldhub-{address}-{port}.bans"));
        let text = std::fs::read_to_string(&disabled_file).unwrap();
        std::fs::write(&disabled_file, &text[..text.len() / 2]).unwrap();
        let env =
            [("TMPDIR", site.folder.display().to_string()), ("RELAY_MANAGEMENT", site.admin[2].to_string())];
        let mut third = Program::start("killed-3", &site.config_json.to_string(), &env, false);
        third.wait_for_log("a file of bans was passed over").await;
        third.serving().await;
        assert_eq!(figures(site.admin[2]).await["svc_members_unavailable"], 0);
    });
}

#[test]
fn an_old_process_serves_on_with_the_commands_of_a_new_one_that_died() {
    local(async {
        let site = Site::new("back").await;
        let mut old = site.start(0).await;
        let mut client = Client::new(site.at).await;
        assert_eq!(status(&client.ask(&board("a", 900, 1)).await), 200);
        let mut new = site.start(1).await;
        assert_eq!(call(site.admin[1], "disable-server s1\n").await, "ok\n");
        assert_eq!(
            call(site.admin[0], "disable-server s2\n").await,
            "ok\n",
            "a command at the old process reaches the new one"
        );
        assert_eq!(figures(site.admin[1]).await["svc_members_unavailable"], 2);
        assert_eq!(call(site.admin[1], "enable-server s2\n").await, "ok\n");
        new.child.kill().unwrap();
        old.wait_for_log("serving again").await;
        let before = site.backends[0].count();
        assert_eq!(status(&ask(site.at, &board("b", 900, 1)).await), 200);
        assert_eq!(
            site.backends[0].count(),
            before,
            "the backend disabled at the new process stays disabled"
        );
        // The next one gets all the same.
        let third = site.start(2).await;
        assert_eq!(status(&ask(site.at, &board("c", 900, 1)).await), 200);
        assert_eq!(figures(site.admin[2]).await["svc_members_unavailable"], 1);
        drop(third);
    });
}

#[test]
fn an_upgrade_keeps_a_drain_and_a_stopped_old_process_does_not_block_the_next() {
    local(async {
        let site = Site::new("drained").await;
        let mut old = site.start(0).await;
        assert_eq!(call(site.admin[0], "drain\n").await, "ok draining\n");
        let second = site.start(1).await;
        old.signal("TERM");
        assert!(old.end().await.success());
        assert_eq!(status(&get(site.at, "/ready").await), 503);
        assert_eq!(call(site.admin[1], "resume\n").await, "ok\n");
        assert_eq!(status(&get(site.at, "/ready").await), 200);
        second.signal("STOP");
        let third = site.start(2).await;
        second.signal("KILL");
        drop(second);
        assert_eq!(status(&ask(site.at, &board("a", 900, 1)).await), 200);
        drop(third);
    });
}

/// The new process takes over about 1 s after its start, once it has waited for a list. The pauses before one process
/// is killed lie before, around and after that moment.
#[test]
fn either_process_may_die_at_any_moment_and_the_other_serves() {
    local(async {
        for (i, pause) in [0, 3, 10, 40, 400, 1010, 1030, 1060, 1100, 1300].into_iter().enumerate() {
            let site = Site::new(&format!("any{i}")).await;
            let mut old = site.start(0).await;
            assert_eq!(status(&ask(site.at, &board("a", 900, 1)).await), 200);
            let mut new = site.spawn(1);
            tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
            if i % 2 == 0 {
                new.child.kill().unwrap();
                new.end().await;
            } else {
                old.child.kill().unwrap();
                old.end().await;
                new.serving().await;
            }
            assert_eq!(status(&ask(site.at, &board("b", 900, 1)).await), 200, "after {pause} ms");
        }
    });
}

#[test]
fn drain_resume_and_signals_work_in_any_order() {
    local(async {
        let site = Site::new("order").await;
        let mut program = site.start(0).await;
        let ready = async || status(&get(site.at, "/ready").await);
        for steps in [["drain", "HUP", "resume"], ["HUP", "drain", "resume"], ["drain", "resume", "HUP"]] {
            for step in steps {
                match step {
                    "HUP" => program.signal("HUP"),
                    command => {
                        assert!(call(site.admin[0], &format!("{command}\n")).await.starts_with("ok"))
                    }
                }
            }
            assert_eq!((ready().await, call(site.admin[0], "resume\n").await.as_str()), (200, "ok\n"));
        }
        assert_eq!(call(site.admin[0], "drain\n").await, "ok draining\n");
        let mut client = Client::new(site.at).await;
        assert_eq!(status(&client.ask(&board("a", 900, 1)).await), 200);
        program.signal("TERM");
        program.signal("HUP");
        program.wait_for_log("stopping").await;
        assert_eq!(call(site.admin[0], "resume\n").await, "ok\n");
        assert_eq!(ready().await, 503, "a resume does not keep it from ending");
        assert!(program.end().await.success());
    });
}

#[test]
fn a_draining_process_refuses_connections_though_it_keeps_a_copy_of_the_listener() {
    local(async {
        let site = Site::new("copy").await;
        let mut program = site.start(0).await;
        site.backends.iter().for_each(|backend| backend.behave(Serve::Stall));
        let mut busy = Client::new(site.at).await;
        busy.send(&submit("a", 3000)).await;
        until(|| site.backends.iter().any(|backend| backend.count() > 0)).await;
        program.signal("TERM");
        program.wait_for_log("draining").await;
        // Otherwise a connection would wait in the backlog of a listener that nobody accepts from.
        let refused = async { while TcpStream::connect(site.at).await.is_ok() {} };
        tokio::select! {
            biased;
            () = refused => {}
            _ = busy.answer() => panic!("connections are accepted until the last request has ended"),
        }
        assert!(program.end().await.success());
    });
}

/// Upgrades twice in a row while the first process still waits for the answers to two requests. The second process
/// gets `signal` once the third serves. The client whose answer comes first asks again, on its connection unless
/// that answer ends it. Returns whether it does, and the status of the second answer.
async fn ask_after_two_upgrades(signal: &str) -> Option<(bool, u16)> {
    let mut site = Site::new(&format!("twice-{signal}")).await;
    site.config_json["settings"]["classes"][1]["giveUp"] = json!(8000.0);
    site.config_json["settings"]["limits"]["maxAttempts"] = json!(1);
    let first = site.start(0).await;
    let (mut client, mut waiting) = (Client::new(site.at).await, Client::new(site.at).await);
    let received = || site.backends.iter().map(Backend::count).sum::<usize>();
    let manners = [Serve::Late(Duration::from_secs(4), "late".into()), Serve::Stall];
    for (i, (client, manner)) in [&mut client, &mut waiting].into_iter().zip(manners).enumerate() {
        site.backends.iter().for_each(|backend| backend.behave(manner.clone()));
        client.send(&submit(&format!("{i}"), 8000)).await;
        until(|| received() == i + 1).await;
    }
    site.backends.iter().for_each(|backend| backend.behave(ok("soon")));
    let second = site.start(1).await;
    first.signal("TERM");
    let _third = site.start(2).await;
    second.signal(signal);
    let late = client.answer().await?;
    assert_eq!(&late.body[..], b"late");
    if late.head.close {
        client = Client::new(site.at).await;
    }
    client.send(&board("next", 900, 1)).await;
    let next = tokio::time::timeout(Duration::from_millis(1500), client.answer()).await.ok()??;
    Some((late.head.close, status(&next)))
}

/// Guards against a connection that nobody serves: it can no longer pass from the first process to the second, which
/// ended while the first still had requests.
#[test]
fn connection_of_the_first_process_is_served_after_two_upgrades_in_a_row() {
    local(async {
        for (signal, closes) in [("TERM", false), ("KILL", true)] {
            assert_eq!(ask_after_two_upgrades(signal).await, Some((closes, 200)), "SIG{signal}");
        }
    });
}
