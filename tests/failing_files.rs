//! A folder whose writes fail for a while: what an operator was promised is kept all the same.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::{call, figures};
use stand_ins::ingress::*;
use stand_ins::paced::{Pace, PacedBackend};
use stand_ins::program::Program;
use stand_ins::*;
use std::path::PathBuf;
use std::time::Duration;

/// The time within which a file must be written once that is possible again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn ban_outlives_a_crash_though_its_file_could_not_be_written_at_first() {
    local(async {
        let (backend, agent) = (PacedBackend::start(Pace::default()).await, Agent::start().await);
        let folder = std::env::temp_dir().join(format!("weldhub-failing-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let env = [("TMPDIR", folder.to_str().unwrap().to_owned())];
        let (listen, admin) = (own_address(), own_address());
        let mut config = ingress_config(agent.at, vec![service_entry("s1", backend.at, 0, "in_service")]);
        config["listen"] = json!(listen.to_string());
        config["management"] = json!(admin.to_string());
        let mut program = Program::start("failing-1", &config.to_string(), &env, false);
        program.serving().await;
        let file = folder.join(format!("weldhub-{}-{}.bans", listen.ip(), listen.port()));
        // A folder stands where the new content is written, so that each write fails.
        let obstacle = PathBuf::from(format!("{}.part", file.display()));
        std::fs::create_dir(&obstacle).unwrap();
        assert_eq!(call(admin, "disable-server s1\n").await, "ok\n");
        assert!(!file.exists());
        std::fs::remove_dir(&obstacle).unwrap();
        let written = async {
            while !file.exists() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        assert!(tokio::time::timeout(WRITE_TIMEOUT, written).await.is_ok(), "the ban was not written");
        program.signal("KILL");
        let _ = program.end().await;
        let mut program = Program::start("failing-2", &config.to_string(), &env, false);
        program.serving().await;
        assert_eq!(figures(admin).await["svc_members_unavailable"], 1);
        let _ = std::fs::remove_dir_all(folder);
    });
}
