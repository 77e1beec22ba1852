//! Asks the ingresses of a weldhub fleet, as playing apps and other programs should: one deadline over all tries,
//! retries only as far as the class of a request allows and as a bounded share of what is asked, refusals honoured,
//! and reconnects spread over time after an ingress has died.
//!
//! ```no_run
//! use weldhub_client::{Client, Config, RetrySafety, Request};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::new(Config::new(["10.0.0.4:8081", "10.0.0.5:8081", "10.0.0.6:8081"])?)?;
//! let board = Request::get("/board-state/17")
//!     .customer(0xb4d65521)
//!     .plan("club")
//!     .set(2, 1)
//!     .timeout_ms(900);
//! match client.ask(&board).await {
//!     Ok(answer) => println!("{} bytes after {} tries", answer.body.len(), answer.tries),
//!     Err(e) if e.may_have_run => eprintln!("perhaps: {e}"),
//!     Err(e) => eprintln!("never: {e}"),
//! }
//! let submit = Request::post("/move-submit/17", "e2e4")
//!     .retry_safety(RetrySafety::Keyed { window: 6000.0 })
//!     .key("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
//!     .customer(0xb4d65521)
//!     .plan("club")
//!     .set(2, 1)
//!     .timeout_ms(3000);
//! client.ask(&submit).await?;
//! # Ok(())
//! # }
//! ```
//!
//! What is decided, [`policy`] and [`ingresses`] decide, without I/O; a model can run them on a clock of its own.
//! Dropping the future of [`Client::ask`] gives the request up: its connection is closed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
pub mod ingresses;
pub mod policy;
#[cfg(feature = "tls")]
mod tls;
pub mod wire;

pub use client::{Answer, Client, Config, Counts, Error, Kind, Request};
pub use ingresses::IngressPolicy;
pub use policy::{RetryPolicy, RetrySafety, StopReason};
#[cfg(feature = "tls")]
pub use tls::Tls;
