//! Several processes of the program that tell each other who lives, while some are killed, stopped, woken and started.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::*;
use stand_ins::ingress::*;
use stand_ins::program::Program;
use stand_ins::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;

struct Fleet {
    fleet: &'static str,
    /// Where each hears the others, and its door.
    at: Vec<(SocketAddr, SocketAddr)>,
    programs: Vec<Option<Program>>,
    agent: Agent,
    clients: Vec<SocketAddr>,
    /// What is kept over restarts, for each.
    folders: Vec<PathBuf>,
    known: Vec<serde_json::Value>,
}

impl Fleet {
    async fn new(fleet: &'static str, count: usize) -> Self {
        let free: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let mut at = Vec::new();
        for socket in &free {
            at.push((socket.local_addr().unwrap(), listener().await.local_addr().unwrap()));
        }
        let programs = (0..count).map(|_| None).collect();
        let (mut clients, mut folders) = (Vec::new(), Vec::new());
        for n in 0..count {
            clients.push(listener().await.local_addr().unwrap());
            folders.push(std::env::temp_dir().join(format!("{fleet}-{}-{n}", std::process::id())));
            std::fs::create_dir_all(&folders[n]).unwrap();
        }
        Self { fleet, at, programs, agent: Agent::start().await, clients, folders, known: Vec::new() }
    }

    async fn start(&mut self, n: usize) {
        let mut told = ingress_config(self.agent.at, self.known.clone());
        let (listen, door) = self.at[n];
        told["name"] = json!(format!("n{n}"));
        told["management"] = json!(door.to_string());
        told["listen"] = json!(self.clients[n].to_string());
        told["settings"]["balancers"] = json!(self.at.len());
        told["settings"]["myNumber"] = json!(n);
        let seeds = [0, (n + 1) % self.at.len()].map(|i| self.at[i].0.to_string());
        told["cluster"] = json!({"listen": listen.to_string(), "fleet": self.fleet, "seeds": seeds});
        let name = format!("{}-{n}", self.fleet);
        let folder = self.folders[n].display().to_string();
        let mut program = Program::start(&name, &told.to_string(), &[("TMPDIR", folder)], false);
        program.serving().await;
        self.programs[n] = Some(program);
    }

    /// The states at `n`'s door, by name.
    async fn seen(&self, n: usize) -> Vec<(String, String)> {
        let text = call(self.at[n].1, "members\n").await;
        let line = |line: &str| {
            let words: Vec<&str> = line.split(' ').collect();
            (words[0].to_owned(), [&words[3..4], &words[5..]].concat().join(" "))
        };
        let mut all: Vec<_> = text.strip_suffix("eof\n").unwrap().lines().map(line).collect();
        all.sort();
        all
    }

    /// Waits until each of these sees the others so.
    async fn agree(&self, by: &[usize], states: &[&str]) {
        for n in by {
            loop {
                let seen = self.seen(*n).await;
                let fits = |(i, want): (usize, &&str)| {
                    i == *n && seen.iter().any(|(name, s)| *name == format!("n{i}") && s == "self")
                        || i != *n && seen.iter().any(|(name, s)| *name == format!("n{i}") && s == want)
                };
                if states.iter().enumerate().all(fits) {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

#[test]
fn killed_stopped_woken_restarted_and_leaving_ones_are_seen_by_all() {
    local(async {
        let mut fleet = Fleet::new("almaty-test", 5).await;
        for n in [3, 1, 4, 0, 2] {
            fleet.start(n).await;
        }
        fleet.agree(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // What is missing is said; with discovery's word, and some time, nothing is.
        let back = async |n: usize| call(fleet.at[n].1, "recovery\n").await;
        assert!(back(2).await.contains("stage partial") && back(2).await.contains("missing list"));
        fleet.agent.say(42, true, Vec::new());
        while !back(2).await.contains("stage whole") {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        // Killed: known to all, and a restart at the same address is a newer one.
        let mut killed = fleet.programs[4].take().unwrap();
        killed.child.kill().unwrap();
        killed.child.wait().unwrap();
        fleet.agree(&[0, 1, 2, 3], &["alive", "alive", "alive", "alive", "dead"]).await;
        assert_eq!(figures(fleet.at[0].1).await["svc_cluster_dead"], 1);
        fleet.start(4).await;
        fleet.agree(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // Stopped for longer than any suspicion, and woken: it notices, asks, and all see all again.
        let stopped = fleet.programs[2].as_ref().unwrap();
        stopped.signal("STOP");
        fleet.agree(&[0, 1, 3, 4], &["alive", "alive", "dead", "alive", "alive"]).await;
        stopped.signal("CONT");
        // Until somebody has told it who lives, it has not come back whole.
        for line in ["this process stood still", "stage: partial", "stage: whole"] {
            fleet.programs[2].as_mut().unwrap().wait_for_log(line).await;
        }
        fleet.agree(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // Told to stop: it has left, and is never taken for dead.
        let leaving = fleet.programs[1].as_mut().unwrap();
        leaving.signal("TERM");
        leaving.wait_for_log("stopped").await;
        fleet.agree(&[0, 2, 3, 4], &["alive", "left", "alive", "alive", "alive"]).await;
        assert_eq!(figures(fleet.at[0].1).await["svc_cluster_dead"], 0);
        // Strangers and garbage are counted and change nothing.
        let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
        for _ in 0..50 {
            stranger.send_to(&[7; 300], fleet.at[0].0).unwrap();
        }
        while figures(fleet.at[0].1).await["svc_cluster_unreadable_total"] < 50 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(figures(fleet.at[0].1).await["svc_cluster_alive"], 4);
    });
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.programs.clear();
        self.folders.iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
    }
}

async fn out(door: SocketAddr, count: u64) {
    while figures(door).await["svc_members_unavailable"] != count {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[test]
fn what_operators_say_at_one_door_holds_at_all_until_it_ends_whoever_was_away() {
    local(async {
        let mut fleet = Fleet::new("almaty-words", 3).await;
        let server = Backend::start(ok("e4")).await;
        fleet.known = vec![
            service_entry("s1", server.at, 0, "in_service"),
            service_entry("s2", server.at, 0, "in_service"),
        ];
        for n in [0, 1, 2] {
            fleet.start(n).await;
        }
        fleet.agree(&[0, 1, 2], &["alive"; 3]).await;
        let doors: Vec<SocketAddr> = fleet.at.iter().map(|(_, door)| *door).collect();
        assert_eq!(call(doors[0], "disable-server s1\n").await, "ok\n");
        assert!(call(doors[1], "disable-server s9\n").await.starts_with("fail"));
        for door in &doors {
            out(*door, 1).await;
        }
        // An ingress is drained from another's door: its clients are sent away, and all see it.
        assert!(call(doors[0], "drain n7\n").await.starts_with("fail"));
        assert_eq!(call(doors[0], "drain n2\n").await, "ok\n");
        fleet.agree(&[0, 1], &["alive", "alive", "alive drained"]).await;
        while status(&get(fleet.clients[2], "/ready").await) == 200 {}
        // It dies, and so does another. Meanwhile the ban ends.
        for n in [1, 2] {
            let mut killed = fleet.programs[n].take().unwrap();
            killed.child.kill().unwrap();
            killed.child.wait().unwrap();
        }
        assert_eq!(call(doors[0], "enable-server s1\n").await, "ok\n");
        out(doors[0], 0).await;
        // Both come back with what they knew; one has lost its files besides. The ban stays ended, the drain holds.
        std::fs::remove_dir_all(&fleet.folders[2]).unwrap();
        std::fs::create_dir_all(&fleet.folders[2]).unwrap();
        fleet.start(1).await;
        fleet.start(2).await;
        fleet.agree(&[0, 1], &["alive", "alive", "alive drained"]).await;
        for door in &doors {
            out(*door, 0).await;
        }
        while status(&get(fleet.clients[2], "/ready").await) == 200 {}
        assert_eq!(call(doors[2], "resume\n").await, "ok\n");
        fleet.agree(&[0, 1, 2], &["alive"; 3]).await;
        while status(&get(fleet.clients[2], "/ready").await) != 200 {}
        let words = call(doors[1], "notices\n").await;
        assert!(words.contains("s1 server back") && words.contains("n2 ingress resumed"), "{words}");
        // All are restarted at once, with their files: what holds, holds.
        assert_eq!(call(doors[1], "disable-server s2\n").await, "ok\n");
        out(doors[0], 1).await;
        for n in [0, 1, 2] {
            let mut killed = fleet.programs[n].take().unwrap();
            killed.child.kill().unwrap();
            killed.child.wait().unwrap();
        }
        fleet.start(0).await;
        out(doors[0], 1).await;
    });
}

#[test]
fn what_cannot_be_a_fleet_ends_the_start_with_its_key() {
    let read = |cluster: serde_json::Value| {
        let mut told = ingress_config(SocketAddr::from(([127, 0, 0, 1], 9)), Vec::new());
        told["cluster"] = cluster;
        weldhub::config::Config::read(&told.to_string(), |_| None).map(drop).map_err(|e| e.to_string())
    };
    let at = "127.0.0.1:7946";
    for (cluster, key) in [
        (json!({"listen": at}), "cluster.fleet"),
        (json!({"fleet": "a", "listen": "0.0.0.0:7946"}), "cluster.listen"),
        (json!({"fleet": "a", "listen": at, "seeds": [at]}), "cluster.seeds"),
        (json!({"fleet": "a", "listen": at, "seeds": ["odd"]}), "cluster.seeds"),
    ] {
        assert!(read(cluster).unwrap_err().contains(key), "{key}");
    }
    assert_eq!(read(json!({"fleet": "a", "listen": at, "seeds": [at, "127.0.0.1:7947"]})), Ok(()));
}
