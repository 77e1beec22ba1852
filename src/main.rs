//! The `weldhub` program, which runs one ingress.

use std::process::ExitCode;

fn main() -> ExitCode {
    weldhub::cli::main()
}
