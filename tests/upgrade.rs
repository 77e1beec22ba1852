//! One process after the other at the same address, with the program itself: what is open, known and banned passes on,
//! whichever of them dies.

mod stand_ins;

use serde_json::{Value, json};
use stand_ins::admin::*;
use stand_ins::ingress::*;
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::net::TcpStream;

/// Two processes to come at one address, in a folder of their own.
struct Site {
    folder: PathBuf,
    told: Value,
    at: SocketAddr,
    doors: [SocketAddr; 3],
    servers: [Backend; 2],
    _agent: Agent,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    async fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("weldhub-{}-{name}.d", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let servers = [Backend::start(ok("1")).await, Backend::start(ok("2")).await];
        let agent = Agent::start().await;
        let entry = |name, server: &Backend| service_entry(name, server.at, 0, "in_service");
        let mut told = ingress_config(agent.at, vec![entry("s1", &servers[0]), entry("s2", &servers[1])]);
        let [at, d0, d1, d2] = [0; 4].map(|_| own_address());
        told["listen"] = json!(at.to_string());
        Self { folder, told, at, doors: [d0, d1, d2], servers, _agent: agent }
    }

    /// Starts a process with this door; it is ready when this returns.
    async fn start(&self, i: usize) -> Program {
        let mut program = self.spawn(i);
        program.serving().await;
        assert_eq!(call(self.doors[i], "ready\n").await, "ok ready\n");
        program
    }

    fn spawn(&self, i: usize) -> Program {
        let env =
            [("TMPDIR", self.folder.display().to_string()), ("RELAY_MANAGEMENT", self.doors[i].to_string())];
        let name = format!("{}-{i}", self.folder.file_name().unwrap().to_str().unwrap());
        Program::start(&name, &self.told.to_string(), &env, false)
    }
}

#[test]
fn connections_quotas_and_bans_pass_on_and_nothing_is_closed_or_left_unread() {
    local(async {
        let site = Site::new("all").await;
        let mut old = site.start(0).await;
        let (mut kept, mut half) = (Client::new(site.at).await, Client::new(site.at).await);
        let (mut busy, mut early) = (Client::new(site.at).await, Client::new(site.at).await);
        assert_eq!(status(&kept.ask(&board("a", 900, 6)).await), 200);
        assert_eq!(status(&kept.ask(&board("b", 900, 6)).await), 200);
        assert_eq!(call(site.doors[0], "disable-server s1\n").await, "ok\n");
        let text = board("c", 900, 1);
        half.send(&text[..40]).await;
        site.servers[1].behave(Serve::Stall);
        let before = site.servers[1].count();
        busy.send(&submit("d", 1400)).await;
        until(|| site.servers[1].count() > before).await;
        let new = site.start(1).await;
        assert_eq!(call(site.doors[0], "ready\n").await, "fail not ready\n");
        old.signal("TERM");
        site.servers[1].behave(ok("2"));
        // What came before and after, on the connections that were open: each has its answer.
        assert_eq!(status(&kept.ask(&board("e", 900, 1)).await), 200);
        half.send(&text[40..]).await;
        assert_eq!(status(&half.answer().await.unwrap()), 200);
        assert_eq!(status(&early.ask(&board("f", 900, 1)).await), 200);
        // The old process answers what it took, by a second attempt if there is still time.
        assert!(matches!(status(&busy.answer().await.unwrap()), 200 | 504));
        assert!(old.end().await.success());
        assert_eq!(status(&busy.ask(&board("g", 900, 1)).await), 200, "and passes the connection on then");
        // 27 units for good: 12 and 1 went before, 4 since.
        assert_eq!(status(&kept.ask(&board("h", 900, 6)).await), 200);
        assert_eq!(status(&kept.ask(&board("i", 900, 6)).await), 429, "the quota counts on");
        assert_eq!(figures(site.doors[1]).await["svc_members_unavailable"], 1);
        let banned = |id: &[u8]| {
            site.servers[0].got.borrow().iter().any(|(_, m)| m.head.get("request-id") == Some(id))
        };
        assert!(!b"cdefgh".chunks(1).any(banned));
        drop(new);
    });
}

#[test]
fn a_killed_process_leaves_its_bans_and_no_other_trace() {
    local(async {
        let site = Site::new("killed").await;
        let mut old = site.start(0).await;
        assert_eq!(call(site.doors[0], "disable-server s2\n").await, "ok\n");
        old.child.kill().unwrap();
        old.end().await;
        let mut new = site.start(1).await;
        assert_eq!(figures(site.doors[1]).await["svc_members_unavailable"], 1);
        assert_eq!(status(&ask(site.at, &board("a", 900, 1)).await), 200);
        assert_eq!(site.servers[1].count(), 0);
        new.child.kill().unwrap();
        new.end().await;
        // A file that is cut is passed over, and said so.
        let (address, port) = (site.at.ip(), site.at.port());
        let bans = site.folder.join(format!("weldhub-{address}-{port}.bans"));
        let text = std::fs::read_to_string(&bans).unwrap();
        std::fs::write(&bans, &text[..text.len() / 2]).unwrap();
        let env =
            [("TMPDIR", site.folder.display().to_string()), ("RELAY_MANAGEMENT", site.doors[2].to_string())];
        let mut third = Program::start("killed-3", &site.told.to_string(), &env, false);
        third.wait_for_log("a file of bans was passed over").await;
        third.serving().await;
        assert_eq!(figures(site.doors[2]).await["svc_members_unavailable"], 0);
    });
}

#[test]
fn a_new_process_that_dies_leaves_the_old_one_serving_with_what_was_called_in_between() {
    local(async {
        let site = Site::new("back").await;
        let mut old = site.start(0).await;
        let mut client = Client::new(site.at).await;
        assert_eq!(status(&client.ask(&board("a", 900, 1)).await), 200);
        let mut new = site.start(1).await;
        assert_eq!(call(site.doors[1], "disable-server s1\n").await, "ok\n");
        assert_eq!(call(site.doors[0], "disable-server s2\n").await, "ok\n", "either door reaches both");
        assert_eq!(figures(site.doors[1]).await["svc_members_unavailable"], 2);
        assert_eq!(call(site.doors[1], "enable-server s2\n").await, "ok\n");
        new.child.kill().unwrap();
        old.wait_for_log("serving again").await;
        let before = site.servers[0].count();
        assert_eq!(status(&ask(site.at, &board("b", 900, 1)).await), 200);
        assert_eq!(site.servers[0].count(), before, "the ban that was called at the new one holds");
        // The next one gets all the same.
        let third = site.start(2).await;
        assert_eq!(status(&ask(site.at, &board("c", 900, 1)).await), 200);
        assert_eq!(figures(site.doors[2]).await["svc_members_unavailable"], 1);
        drop(third);
    });
}

#[test]
fn an_upgrade_during_a_drain_goes_on_draining_and_a_hanging_old_process_keeps_no_one_out() {
    local(async {
        let site = Site::new("drained").await;
        let mut old = site.start(0).await;
        assert_eq!(call(site.doors[0], "drain\n").await, "ok draining\n");
        let second = site.start(1).await;
        old.signal("TERM");
        assert!(old.end().await.success());
        assert_eq!(status(&get(site.at, "/ready").await), 503);
        assert_eq!(call(site.doors[1], "resume\n").await, "ok\n");
        assert_eq!(status(&get(site.at, "/ready").await), 200);
        second.signal("STOP");
        let third = site.start(2).await;
        second.signal("KILL");
        drop(second);
        assert_eq!(status(&ask(site.at, &board("a", 900, 1)).await), 200);
        drop(third);
    });
}

/// The new one takes over some 1 s after its start, when it has waited for a list: before, then and after.
#[test]
fn whichever_dies_at_any_moment_the_other_serves() {
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
fn drains_resumes_and_signals_come_in_any_order() {
    local(async {
        let site = Site::new("order").await;
        let mut program = site.start(0).await;
        let ready = async || status(&get(site.at, "/ready").await);
        for calls in [["drain", "HUP", "resume"], ["HUP", "drain", "resume"], ["drain", "resume", "HUP"]] {
            for what in calls {
                match what {
                    "HUP" => program.signal("HUP"),
                    call_out => {
                        assert!(call(site.doors[0], &format!("{call_out}\n")).await.starts_with("ok"))
                    }
                }
            }
            assert_eq!((ready().await, call(site.doors[0], "resume\n").await.as_str()), (200, "ok\n"));
        }
        assert_eq!(call(site.doors[0], "drain\n").await, "ok draining\n");
        let mut client = Client::new(site.at).await;
        assert_eq!(status(&client.ask(&board("a", 900, 1)).await), 200);
        program.signal("TERM");
        program.signal("HUP");
        program.wait_for_log("stopping").await;
        assert_eq!(call(site.doors[0], "resume\n").await, "ok\n");
        assert_eq!(ready().await, 503, "it ends all the same");
        assert!(program.end().await.success());
    });
}

#[test]
fn once_it_drains_nobody_comes_in_by_the_copy_of_the_listener_that_is_kept_for_the_next_process() {
    local(async {
        let site = Site::new("copy").await;
        let mut program = site.start(0).await;
        site.servers.iter().for_each(|server| server.behave(Serve::Stall));
        let mut busy = Client::new(site.at).await;
        busy.send(&submit("a", 3000)).await;
        until(|| site.servers.iter().any(|server| server.count() > 0)).await;
        program.signal("TERM");
        program.wait_for_log("draining").await;
        // It would wait in the backlog of a listener that nobody accepts from.
        let refused = async { while TcpStream::connect(site.at).await.is_ok() {} };
        tokio::select! {
            biased;
            () = refused => {}
            _ = busy.answer() => panic!("clients are let in until the last flow has ended"),
        }
        assert!(program.end().await.success());
    });
}
