//! The short trial, with the program as it is built here, and proof that the rig ends what it started.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The program beside this test; it is built where it is not there yet.
fn program() -> PathBuf {
    let exe = std::env::current_exe().unwrap();
    let folder = exe.parent().and_then(Path::parent).unwrap().to_owned();
    let release = folder.ends_with("release");
    let mut build = Command::new(env!("CARGO"));
    build
        .args(["build", "--locked", "-p", "weldhub", "--bin", "weldhub"])
        .args(release.then_some("--release"));
    build.arg("--target-dir").arg(folder.parent().unwrap());
    assert!(build.current_dir(env!("CARGO_MANIFEST_DIR")).status().unwrap().success());
    folder.join("weldhub")
}

#[test]
fn the_short_trial_holds_and_leaves_nothing_behind() {
    let rig = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_weldhub-trials"));
        command.arg("--program").arg(program()).args(args).output().unwrap()
    };
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/short.toml");
    let done = rig(&["play", script]);
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(
        done.status.success() && said.contains("  holds"),
        "{said}{}",
        String::from_utf8_lossy(&done.stderr)
    );
    let odd = rig(&["play", "/no/such/script"]);
    assert!(!odd.status.success() && String::from_utf8_lossy(&odd.stderr).contains("/no/such/script"));
}

#[test]
fn a_rig_that_is_told_to_end_ends_its_processes() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_weldhub-trials"))
        .arg("--program")
        .arg(program())
        .args(["fleet", "--ingresses", "2", "--servers", "1"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut said = std::io::BufReader::new(child.stdout.take().unwrap());
    let (mut text, mut door) = (String::new(), None);
    while door.is_none() {
        text.clear();
        assert!(std::io::BufRead::read_line(&mut said, &mut text).unwrap() > 0, "it ended");
        let at = text.split("the door of n1: ").nth(1).and_then(|rest| rest.split(',').next());
        door = at.map(|at| at.parse::<std::net::SocketAddr>().unwrap());
    }
    let door = door.unwrap();
    assert!(std::net::TcpStream::connect(door).is_ok());
    let kill = format!("kill -TERM {}", child.id());
    assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    assert!(child.wait().unwrap().success());
    assert!(std::net::TcpStream::connect(door).is_err(), "the process still listens");
}
