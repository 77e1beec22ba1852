//! Plays a few seeds of the soak with the program as built from this tree for release: a test build's own pages would count
//! as memory of the process.

#[path = "../../tests/stand_ins/build.rs"]
mod build;

use std::path::Path;
use std::process::Command;

/// Plays the soak of a seed, and fails if it breaks a rule.
fn play(seed: &str) {
    let exe = std::env::current_exe().unwrap();
    let target = exe.ancestors().nth(3).map(Path::to_owned).unwrap();
    let program = build::build_program(&target, true);
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

/// Guards against operators' calls that are lost around an upgrade.
#[test]
fn soak_seed_1438_passes() {
    play("1438");
}

/// Guards against late answers to long bodies in chunks whose backend holds little and reads slowly.
#[test]
fn soak_seed_10_passes() {
    play("10");
}
