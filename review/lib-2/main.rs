//! The cases of the second review. `review-2 CASE ROOT FOLDER` runs one, writes FOLDER/record.txt, and exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run.

mod authz;
mod backends;
mod common;
mod consul_return;
mod grpc;
mod slow_upload;
mod upgrade_ban;

use common::{Case, Verdict};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = &arguments[..] else { return ExitCode::from(2) };
    let run: fn(&Case) -> Verdict = match name.as_str() {
        "authz-half" => authz::half,
        "authz-memory" => authz::memory,
        "consul-return" => consul_return::run,
        "slow-upload" => slow_upload::run,
        "upgrade-ban" => upgrade_ban::run,
        _ => return ExitCode::from(2),
    };
    let Ok(case) = Case::new(root, folder) else { return ExitCode::from(2) };
    let case = Arc::new(case);
    let watched = case.clone();
    // A run takes 120 s at most, whatever happens.
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(115));
        watched.record.line("the case took too long");
        watched.end();
        std::process::exit(2);
    });
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&case)));
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("the rule was broken", 1),
        Ok(Verdict::CouldNotRun) | Err(_) => ("the case could not run", 2),
    };
    case.end();
    case.record.line(text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
