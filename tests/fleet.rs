//! Several processes of the program that tell each other who lives, while some are killed, stopped, woken and started.

mod stand_ins;

use serde_json::json;
use stand_ins::door::*;
use stand_ins::ingress::*;
use stand_ins::program::Program;
use stand_ins::*;
use std::net::{SocketAddr, UdpSocket};

struct Fleet {
    fleet: &'static str,
    /// Where each hears the others, and its door.
    at: Vec<(SocketAddr, SocketAddr)>,
    programs: Vec<Option<Program>>,
    agent: Agent,
}

impl Fleet {
    async fn new(fleet: &'static str, count: usize) -> Self {
        let free: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let mut at = Vec::new();
        for socket in &free {
            at.push((socket.local_addr().unwrap(), listener().await.local_addr().unwrap()));
        }
        let programs = (0..count).map(|_| None).collect();
        Self { fleet, at, programs, agent: Agent::start().await }
    }

    async fn start(&mut self, n: usize) {
        let mut told = told(self.agent.at, Vec::new());
        let (listen, door) = self.at[n];
        told["name"] = json!(format!("n{n}"));
        told["management"] = json!(door.to_string());
        told["settings"]["balancers"] = json!(self.at.len());
        told["settings"]["myNumber"] = json!(n);
        let seeds = [0, (n + 1) % self.at.len()].map(|i| self.at[i].0.to_string());
        told["cluster"] = json!({"listen": listen.to_string(), "fleet": self.fleet, "seeds": seeds});
        let name = format!("{}-{n}", self.fleet);
        let folder = std::env::temp_dir().display().to_string();
        let mut program = Program::start(&name, &told.to_string(), &[("TMPDIR", folder)], false);
        program.serving().await;
        self.programs[n] = Some(program);
    }

    /// The states at `n`'s door, by name.
    async fn seen(&self, n: usize) -> Vec<(String, String)> {
        let text = call(self.at[n].1, "members\n").await;
        let line = |line: &str| {
            let words: Vec<&str> = line.split(' ').collect();
            (words[0].to_owned(), words[3].to_owned())
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
        fleet.programs[2].as_mut().unwrap().says("this process stood still").await;
        fleet.agree(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // Told to stop: it has left, and is never taken for dead.
        let leaving = fleet.programs[1].as_mut().unwrap();
        leaving.signal("TERM");
        leaving.says("stopped").await;
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

#[test]
fn what_cannot_be_a_fleet_ends_the_start_with_its_key() {
    let read = |cluster: serde_json::Value| {
        let mut told = told(SocketAddr::from(([127, 0, 0, 1], 9)), Vec::new());
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
