//! The command line: `weldhub-load run` on sockets, `weldhub-load model` in simulated time.

use clap::{Args, Parser, Subcommand};
use std::process::ExitCode;
use weldhub_client::{IngressPolicy, RetryPolicy};
use weldhub_load::model::{Fleet, Outage, play, settings};
use weldhub_load::report::Report;
use weldhub_load::run::run;
use weldhub_load::work::{Class, Step, Work};

/// Loads ingresses of a weldhub fleet on loopback, open loop, or models the same.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Ask ingresses on loopback addresses.
    Run {
        /// The ingresses by their numbers, as ADDRESS:PORT.
        #[arg(long, value_delimiter = ',', required = true)]
        ingresses: Vec<String>,
        /// Clients with connections of their own.
        #[arg(long, default_value_t = 8)]
        clients: usize,
        #[command(flatten)]
        work: Asked,
    },
    /// Play the same in simulated time.
    Model {
        /// How many ingresses there are.
        #[arg(long, default_value_t = 3)]
        ingresses: u16,
        /// How many real servers.
        #[arg(long, default_value_t = 10)]
        servers: u64,
        /// Requests that one works on at once.
        #[arg(long, default_value_t = 4)]
        cores: usize,
        /// The mean time that it needs for a unit, in milliseconds.
        #[arg(long, default_value_t = 80.0)]
        service: f64,
        /// Units a second that each customer may use, and at once.
        #[arg(long, value_delimiter = ',', default_values_t = [1e6, 1e6], num_args = 2)]
        quota: Vec<f64>,
        /// Clients with connections of their own.
        #[arg(long, default_value_t = 100)]
        clients: usize,
        /// An outage of an ingress, as NUMBER:FROM:UNTIL in seconds.
        #[arg(long, value_parser = outage)]
        down: Vec<Outage>,
        /// Clients that know no chance and retry as they like.
        #[arg(long)]
        naive: bool,
        #[command(flatten)]
        work: Asked,
    },
}

#[derive(Args)]
struct Asked {
    /// The schedule, as SECONDSxRATE: at most an hour and two million arrivals.
    #[arg(long, value_delimiter = ',', default_value = "10x100")]
    schedule: Vec<Step>,
    /// A class, as NAME:SHARE:safe|unsafe|keyed=WINDOW:TIMEOUT, times in milliseconds.
    #[arg(long = "class", default_values = ["board-state:0.9:safe:1500", "move-submit:0.1:keyed=6000:3000"])]
    classes: Vec<Class>,
    /// How many customers ask.
    #[arg(long, default_value_t = 100)]
    customers: u64,
    /// Their plan.
    #[arg(long, default_value = "club")]
    plan: String,
    /// Over how many ingresses each is spread.
    #[arg(long, default_value_t = 2)]
    spread: usize,
    /// Units of a request: one to so many.
    #[arg(long, default_value_t = 1)]
    units: u32,
    /// For chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// JSON in place of a table.
    #[arg(long)]
    json: bool,
}

fn outage(text: &str) -> Result<Outage, String> {
    let parts: Vec<f64> =
        text.split(':').map(str::parse).collect::<Result<_, _>>().map_err(|_| "not NUMBER:FROM:UNTIL")?;
    match parts[..] {
        [ingress, from, until] if ingress >= 0.0 && from < until => {
            Ok(Outage { ingress: ingress as usize, from: from * 1000.0, until: until * 1000.0 })
        }
        _ => Err("not NUMBER:FROM:UNTIL".into()),
    }
}

impl Asked {
    fn work(&self) -> Work {
        Work {
            seed: self.seed,
            steps: self.schedule.clone(),
            classes: self.classes.clone(),
            customers: self.customers,
            plan: self.plan.clone(),
            spread: self.spread,
            units: self.units,
        }
    }
}

fn carried_out(command: Command) -> Result<(Report, bool), String> {
    match command {
        Command::Run { ingresses, clients, work } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let asked = work.work();
            let running = run(&asked, &ingresses, clients);
            Ok((runtime.map_err(|e| e.to_string())?.block_on(running)?, work.json))
        }
        Command::Model { ingresses, servers, cores, service, quota, clients, down, naive, work } => {
            if let Some(odd) = down.iter().find(|outage| outage.ingress >= usize::from(ingresses)) {
                return Err(format!("there is no ingress {}", odd.ingress));
            }
            let asked = work.work();
            let hasty = RetryPolicy {
                max_tries: 100,
                budget_ratio: 1e6,
                budget_capacity: 1e6,
                ..RetryPolicy::default()
            };
            let (retry_policy, ingress_policy) = match naive {
                true => (
                    hasty,
                    IngressPolicy {
                        reconnect_spread: 1000.0,
                        connect_rate: 1e6,
                        connect_burst: 1e6,
                        ..IngressPolicy::default()
                    },
                ),
                false => (RetryPolicy::default(), IngressPolicy::default()),
            };
            let fleet = Fleet {
                settings: settings(ingresses, &quota, &asked),
                servers,
                cores,
                service,
                hop: 0.3,
                outages: down,
                clients,
                retry_policy,
                ingress_policy,
                naive,
            };
            Ok((play(&asked, &fleet)?, work.json))
        }
    }
}

fn main() -> ExitCode {
    match carried_out(Cli::parse().command) {
        Ok((report, true)) => println!("{}", report.json()),
        Ok((report, false)) => print!("{report}"),
        Err(e) => {
            eprintln!("weldhub-load: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
