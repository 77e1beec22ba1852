//! The command line: `weldhub-load run` loads ingresses on loopback, `weldhub-load model` simulates the same
//! load.

use clap::{Args, Parser, Subcommand};
use std::process::ExitCode;
use weldhub_client::{IngressPolicy, RetryPolicy};
use weldhub_load::model::{Fleet, Outage, settings, simulate};
use weldhub_load::report::Report;
use weldhub_load::run::run;
use weldhub_load::work::{Class, Step, Workload};

/// Generates open-loop load for the ingresses of a weldhub fleet on loopback, or simulates it.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Load ingresses on loopback addresses.
    Run {
        /// The addresses of the ingresses, as IP:PORT, in the order of their numbers.
        #[arg(long, value_delimiter = ',', required = true)]
        ingresses: Vec<String>,
        /// The number of clients, each with its own connections.
        #[arg(long, default_value_t = 8)]
        clients: usize,
        #[command(flatten)]
        workload: WorkloadArgs,
    },
    /// Simulate the load.
    Model {
        /// The number of ingresses.
        #[arg(long, default_value_t = 3)]
        ingresses: u16,
        /// The number of backends.
        #[arg(long = "servers", value_name = "SERVERS", default_value_t = 10)]
        backends: u64,
        /// The number of requests that a backend works on at once.
        #[arg(long, default_value_t = 4)]
        cores: usize,
        /// The mean time that a backend needs for one unit, in milliseconds.
        #[arg(long = "service", value_name = "SERVICE", default_value_t = 80.0)]
        service_time: f64,
        /// Each customer's quota: the rate in units per second, and the burst in units.
        #[arg(long, value_delimiter = ',', default_values_t = [1e6, 1e6], num_args = 2)]
        quota: Vec<f64>,
        /// The number of clients, each with its own connections.
        #[arg(long, default_value_t = 100)]
        clients: usize,
        /// An outage of an ingress, as NUMBER:FROM:UNTIL with times in seconds.
        #[arg(long = "down", value_name = "DOWN", value_parser = parse_outage)]
        outages: Vec<Outage>,
        /// Clients without jitter and practically without limits on retries and connections.
        #[arg(long)]
        naive: bool,
        #[command(flatten)]
        workload: WorkloadArgs,
    },
}

#[derive(Args)]
struct WorkloadArgs {
    /// The schedule, as SECONDSxRATE steps: at most one hour and two million arrivals.
    #[arg(long, value_delimiter = ',', default_value = "10x100")]
    schedule: Vec<Step>,
    /// A class, as NAME:SHARE:safe|unsafe|keyed=WINDOW:TIMEOUT with times in milliseconds.
    #[arg(long = "class", default_values = ["board-state:0.9:safe:1500", "move-submit:0.1:keyed=6000:3000"])]
    classes: Vec<Class>,
    /// The number of customers.
    #[arg(long, default_value_t = 100)]
    customers: u64,
    /// The plan of all customers.
    #[arg(long, default_value = "club")]
    plan: String,
    /// The number of ingresses that serve each customer.
    #[arg(long, default_value_t = 2)]
    spread: usize,
    /// The maximum units of a request; they are uniformly distributed from 1.
    #[arg(long = "units", value_name = "UNITS", default_value_t = 1)]
    max_units: u32,
    /// The seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

fn parse_outage(text: &str) -> Result<Outage, String> {
    let parts: Vec<f64> = text
        .split(':')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .map_err(|_| "an outage must have the form NUMBER:FROM:UNTIL")?;
    match parts[..] {
        [ingress, from, until] if ingress >= 0.0 && from < until => {
            Ok(Outage { ingress: ingress as usize, from: from * 1000.0, until: until * 1000.0 })
        }
        _ => Err("an outage must have the form NUMBER:FROM:UNTIL, with FROM before UNTIL".into()),
    }
}

impl WorkloadArgs {
    fn workload(&self) -> Workload {
        Workload {
            seed: self.seed,
            steps: self.schedule.clone(),
            classes: self.classes.clone(),
            customers: self.customers,
            plan: self.plan.clone(),
            spread: self.spread,
            max_units: self.max_units,
        }
    }
}

/// Carries out a command. Returns its report and whether to print it as JSON.
fn execute(command: Command) -> Result<(Report, bool), String> {
    match command {
        Command::Run { ingresses, clients, workload: args } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let workload = args.workload();
            let running = run(&workload, &ingresses, clients);
            Ok((runtime.map_err(|e| e.to_string())?.block_on(running)?, args.json))
        }
        Command::Model {
            ingresses,
            backends,
            cores,
            service_time,
            quota,
            clients,
            outages,
            naive,
            workload: args,
        } => {
            if let Some(invalid) = outages.iter().find(|outage| outage.ingress >= usize::from(ingresses)) {
                return Err(format!(
                    "ingress {} of an outage does not exist: there are {ingresses} ingresses",
                    invalid.ingress
                ));
            }
            let workload = args.workload();
            let unlimited_retries = RetryPolicy {
                max_tries: 100,
                budget_ratio: 1e6,
                budget_capacity: 1e6,
                ..RetryPolicy::default()
            };
            let unlimited_connects = IngressPolicy {
                reconnect_spread: 1000.0,
                connect_rate: 1e6,
                connect_burst: 1e6,
                ..IngressPolicy::default()
            };
            let (retry_policy, ingress_policy) = match naive {
                true => (unlimited_retries, unlimited_connects),
                false => (RetryPolicy::default(), IngressPolicy::default()),
            };
            let fleet = Fleet {
                settings: settings(ingresses, &quota, &workload),
                backends,
                cores,
                service_time,
                network_delay: 0.3,
                outages,
                clients,
                retry_policy,
                ingress_policy,
                naive,
            };
            Ok((simulate(&workload, &fleet)?, args.json))
        }
    }
}

fn main() -> ExitCode {
    match execute(Cli::parse().command) {
        Ok((report, true)) => println!("{}", report.json()),
        Ok((report, false)) => print!("{report}"),
        Err(e) => {
            eprintln!("weldhub-load: {e}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
