//! Cluster membership among several processes of the program, while some are killed, paused, resumed and
//! restarted.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::*;
use stand_ins::ingress::*;
use stand_ins::program::Program;
use stand_ins::*;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;

/// A fleet of processes, with a stand-in of discovery.
struct Fleet {
    /// The fleet's name.
    name: &'static str,
    /// The addresses of each process for cluster datagrams and for its admin interface.
    addresses: Vec<(SocketAddr, SocketAddr)>,
    /// The processes; `None` before the start and after a kill.
    programs: Vec<Option<Program>>,
    agent: Agent,
    /// The address of each process for clients.
    client_addresses: Vec<SocketAddr>,
    /// The folder of each process for files that outlive a restart.
    folders: Vec<PathBuf>,
    /// The backends in the configuration of each process.
    known: Vec<serde_json::Value>,
}

impl Fleet {
    async fn new(name: &'static str, count: usize) -> Self {
        let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let mut addresses = Vec::new();
        for socket in &sockets {
            addresses.push((socket.local_addr().unwrap(), listener().await.local_addr().unwrap()));
        }
        let programs = (0..count).map(|_| None).collect();
        let (mut client_addresses, mut folders) = (Vec::new(), Vec::new());
        for n in 0..count {
            client_addresses.push(listener().await.local_addr().unwrap());
            folders.push(std::env::temp_dir().join(format!("{name}-{}-{n}", std::process::id())));
            std::fs::create_dir_all(&folders[n]).unwrap();
        }
        Self {
            name,
            addresses,
            programs,
            agent: Agent::start().await,
            client_addresses,
            folders,
            known: Vec::new(),
        }
    }

    /// Starts process `n` and waits until it serves.
    async fn start(&mut self, n: usize) {
        let mut config = ingress_config(self.agent.at, self.known.clone());
        let (listen, admin) = self.addresses[n];
        config["name"] = json!(format!("n{n}"));
        config["management"] = json!(admin.to_string());
        config["listen"] = json!(self.client_addresses[n].to_string());
        config["settings"]["balancers"] = json!(self.addresses.len());
        config["settings"]["myNumber"] = json!(n);
        let seeds = [0, (n + 1) % self.addresses.len()].map(|i| self.addresses[i].0.to_string());
        config["cluster"] = json!({"listen": listen.to_string(), "fleet": self.name, "seeds": seeds});
        let name = format!("{}-{n}", self.name);
        let folder = self.folders[n].display().to_string();
        let mut program = Program::start(&name, &config.to_string(), &[("TMPDIR", folder)], false);
        program.serving().await;
        self.programs[n] = Some(program);
    }

    /// Returns each member's name and state as the admin interface of process `n` reports them.
    async fn members_seen_by(&self, n: usize) -> Vec<(String, String)> {
        let text = call(self.addresses[n].1, "members\n").await;
        let parse = |line: &str| {
            let words: Vec<&str> = line.split(' ').collect();
            (words[0].to_owned(), [&words[3..4], &words[5..]].concat().join(" "))
        };
        let mut all: Vec<_> = text.strip_suffix("eof\n").unwrap().lines().map(parse).collect();
        all.sort();
        all
    }

    /// Waits until each of these processes reports these states of the others.
    async fn until_agreed(&self, observers: &[usize], states: &[&str]) {
        for n in observers {
            loop {
                let members = self.members_seen_by(*n).await;
                let matches = |(i, want): (usize, &&str)| {
                    i == *n && members.iter().any(|(name, s)| *name == format!("n{i}") && s == "self")
                        || i != *n && members.iter().any(|(name, s)| *name == format!("n{i}") && s == want)
                };
                if states.iter().enumerate().all(matches) {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

#[test]
fn all_members_see_kills_pauses_restarts_and_departures() {
    local(async {
        let mut fleet = Fleet::new("almaty-test", 5).await;
        for n in [3, 1, 4, 0, 2] {
            fleet.start(n).await;
        }
        fleet.until_agreed(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // `recovery` names the missing backend list; once discovery has sent one, the recovery completes.
        let recovery = async |n: usize| call(fleet.addresses[n].1, "recovery\n").await;
        assert!(recovery(2).await.contains("stage partial") && recovery(2).await.contains("missing list"));
        fleet.agent.say(42, true, Vec::new());
        while !recovery(2).await.contains("stage whole") {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        // A killed process is known to be dead; a restart at the same address supersedes it.
        let mut killed = fleet.programs[4].take().unwrap();
        killed.child.kill().unwrap();
        killed.child.wait().unwrap();
        fleet.until_agreed(&[0, 1, 2, 3], &["alive", "alive", "alive", "alive", "dead"]).await;
        assert_eq!(figures(fleet.addresses[0].1).await["svc_cluster_dead"], 1);
        fleet.start(4).await;
        fleet.until_agreed(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // A process that was paused for longer than the suspicion period notices it, queries the others, and
        // is alive again.
        let paused = fleet.programs[2].as_ref().unwrap();
        paused.signal("STOP");
        fleet.until_agreed(&[0, 1, 3, 4], &["alive", "alive", "dead", "alive", "alive"]).await;
        paused.signal("CONT");
        // Its recovery is partial until it has received a view from another member.
        for line in ["this process stood still", "stage: partial", "stage: whole"] {
            fleet.programs[2].as_mut().unwrap().wait_for_log(line).await;
        }
        fleet.until_agreed(&[0, 1, 2, 3, 4], &["alive"; 5]).await;
        // A process that is stopped in order leaves the fleet and is never reported dead.
        let leaving = fleet.programs[1].as_mut().unwrap();
        leaving.signal("TERM");
        leaving.wait_for_log("stopped").await;
        fleet.until_agreed(&[0, 2, 3, 4], &["alive", "left", "alive", "alive", "alive"]).await;
        assert_eq!(figures(fleet.addresses[0].1).await["svc_cluster_dead"], 0);
        // Garbage from an unknown address is counted and changes nothing.
        let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
        for _ in 0..50 {
            stranger.send_to(&[7; 300], fleet.addresses[0].0).unwrap();
        }
        while figures(fleet.addresses[0].1).await["svc_cluster_unreadable_total"] < 50 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(figures(fleet.addresses[0].1).await["svc_cluster_alive"], 4);
    });
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.programs.clear();
        self.folders.iter().for_each(|folder| drop(std::fs::remove_dir_all(folder)));
    }
}

/// Waits until this number of backends is unavailable.
async fn until_unavailable(admin: SocketAddr, count: u64) {
    while figures(admin).await["svc_members_unavailable"] != count {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[test]
fn operators_notices_hold_on_all_members_until_they_end_despite_restarts() {
    local(async {
        let mut fleet = Fleet::new("almaty-words", 3).await;
        let backend = Backend::start(ok("e4")).await;
        fleet.known = vec![
            service_entry("s1", backend.at, 0, "in_service"),
            service_entry("s2", backend.at, 0, "in_service"),
        ];
        for n in [0, 1, 2] {
            fleet.start(n).await;
        }
        fleet.until_agreed(&[0, 1, 2], &["alive"; 3]).await;
        let admins: Vec<SocketAddr> = fleet.addresses.iter().map(|(_, admin)| *admin).collect();
        assert_eq!(call(admins[0], "disable-server s1\n").await, "ok\n");
        assert!(call(admins[1], "disable-server s9\n").await.starts_with("fail"));
        for admin in &admins {
            until_unavailable(*admin, 1).await;
        }
        // An ingress is drained through the admin interface of another one: it is no longer ready, and all
        // members see it.
        assert!(call(admins[0], "drain n7\n").await.starts_with("fail"));
        assert_eq!(call(admins[0], "drain n2\n").await, "ok\n");
        fleet.until_agreed(&[0, 1], &["alive", "alive", "alive drained"]).await;
        while status(&get(fleet.client_addresses[2], "/ready").await) == 200 {}
        // The drained ingress and another one are killed. Meanwhile the backend is enabled again.
        for n in [1, 2] {
            let mut killed = fleet.programs[n].take().unwrap();
            killed.child.kill().unwrap();
            killed.child.wait().unwrap();
        }
        assert_eq!(call(admins[0], "enable-server s1\n").await, "ok\n");
        until_unavailable(admins[0], 0).await;
        // Both restart, one with its stored notices and one without. The backend stays enabled, and the drain
        // still holds.
        std::fs::remove_dir_all(&fleet.folders[2]).unwrap();
        std::fs::create_dir_all(&fleet.folders[2]).unwrap();
        fleet.start(1).await;
        fleet.start(2).await;
        fleet.until_agreed(&[0, 1], &["alive", "alive", "alive drained"]).await;
        for admin in &admins {
            until_unavailable(*admin, 0).await;
        }
        while status(&get(fleet.client_addresses[2], "/ready").await) == 200 {}
        assert_eq!(call(admins[2], "resume\n").await, "ok\n");
        fleet.until_agreed(&[0, 1, 2], &["alive"; 3]).await;
        while status(&get(fleet.client_addresses[2], "/ready").await) != 200 {}
        let notices = call(admins[1], "notices\n").await;
        assert!(notices.contains("s1 server back") && notices.contains("n2 ingress resumed"), "{notices}");
        // All are killed at once; one that restarts with its files still has the backend disabled.
        assert_eq!(call(admins[1], "disable-server s2\n").await, "ok\n");
        until_unavailable(admins[0], 1).await;
        for n in [0, 1, 2] {
            let mut killed = fleet.programs[n].take().unwrap();
            killed.child.kill().unwrap();
            killed.child.wait().unwrap();
        }
        fleet.start(0).await;
        until_unavailable(admins[0], 1).await;
    });
}

#[test]
fn invalid_cluster_configuration_names_the_faulty_key() {
    let read = |cluster: serde_json::Value| {
        let mut config = ingress_config(SocketAddr::from(([127, 0, 0, 1], 9)), Vec::new());
        config["cluster"] = cluster;
        weldhub::config::Config::read(&config.to_string(), |_| None).map(drop).map_err(|e| e.to_string())
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
