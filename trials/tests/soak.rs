//! Plays a few seeds of the soak with the program as built from this tree.

use std::path::Path;
use std::process::Command;

/// Plays the soak of a seed, and fails if it breaks a rule.
fn play(seed: &str) {
    let folder = std::env::current_exe().unwrap();
    let folder = folder.parent().and_then(Path::parent).unwrap();
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "-p", "weldhub", "--bin", "weldhub"]);
    build.args(folder.ends_with("release").then_some("--release"));
    build.arg("--target-dir").arg(folder.parent().unwrap());
    assert!(build.current_dir(env!("CARGO_MANIFEST_DIR")).status().unwrap().success());
    let program = folder.join("weldhub");
    let mut command = Command::new(env!("CARGO_BIN_EXE_weldhub-trials"));
    command.arg("--program").arg(&program).args(["soak", "--first", seed, "--seeds", "1"]);
    let output = command.output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}{}", String::from_utf8_lossy(&output.stderr));
}

#[test]
fn soak_seed_2_passes() {
    play("2");
}

#[test]
fn soak_seed_3_passes() {
    play("3");
}

#[test]
fn soak_seed_7_passes() {
    play("7");
}

#[test]
fn soak_seed_15_passes() {
    play("15");
}
