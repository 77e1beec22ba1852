//! One address for several processes of the program in turn.

use super::admin::call;
use super::ingress::ingress_config;
use super::program::Program;
use super::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// One address for up to three processes in turn, with a temporary folder of their own, two backends and discovery.
pub struct Site {
    /// The folder that the processes share.
    pub folder: PathBuf,
    /// The configuration of every process.
    pub config_json: Value,
    /// The address where clients connect.
    pub at: SocketAddr,
    /// The admin interface of each process.
    pub admin: [SocketAddr; 3],
    /// The backends `s1` and `s2`.
    pub backends: [Backend; 2],
    /// Discovery, which says nothing by itself.
    pub agent: Agent,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Starts the backends and discovery.
    pub async fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("weldhub-{}-{name}.d", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let backends = [Backend::start(ok("1")).await, Backend::start(ok("2")).await];
        let agent = Agent::start().await;
        let entry = |name, backend: &Backend| service_entry(name, backend.at, 0, "in_service");
        let mut config_json =
            ingress_config(agent.at, vec![entry("s1", &backends[0]), entry("s2", &backends[1])]);
        let [at, admin0, admin1, admin2] = [0; 4].map(|_| own_address());
        config_json["listen"] = json!(at.to_string());
        Self { folder, config_json, at, admin: [admin0, admin1, admin2], backends, agent }
    }

    /// Starts a process with admin interface `i` and waits until it is ready.
    pub async fn start(&self, i: usize) -> Program {
        let mut program = self.spawn(i);
        program.serving().await;
        assert_eq!(call(self.admin[i], "ready\n").await, "ok ready\n");
        program
    }

    /// Starts a process with admin interface `i` and returns at once.
    pub fn spawn(&self, i: usize) -> Program {
        self.spawn_in(&self.folder, i)
    }

    /// Starts a process with admin interface `i` that looks for the others in this folder, and returns at once.
    pub fn spawn_in(&self, folder: &Path, i: usize) -> Program {
        let env = [("TMPDIR", folder.display().to_string()), ("RELAY_MANAGEMENT", self.admin[i].to_string())];
        let name = format!("{}-{i}", self.folder.file_name().unwrap().to_str().unwrap());
        Program::start(&name, &self.config_json.to_string(), &env, false)
    }

    /// Returns the path of a file that the processes share.
    pub fn file(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("weldhub-{}-{}.{kind}", self.at.ip(), self.at.port()))
    }
}
