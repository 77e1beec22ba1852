//! A client library for the ingresses of a weldhub fleet. It keeps one deadline over all tries of a request,
//! retries only as far as the request's class allows and as a bounded fraction of all requests, waits for
//! `Retry-After` after a rejection, and spreads reconnects over time after an ingress has died.
//!
//! ```no_run
//! use weldhub_client::{Client, Config, Request, RetrySafety};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let client = Client::new(Config::new(["10.0.0.4:8081", "10.0.0.5:8081", "10.0.0.6:8081"])?)?;
//! let board = Request::get("/board-state/17")
//!     .customer(0xb4d65521)
//!     .plan("club")
//!     .ingress_set(2, 1)
//!     .timeout_ms(900);
//! match client.send(&board).await {
//!     Ok(answer) => println!("{} bytes after {} tries", answer.body.len(), answer.tries),
//!     Err(e) if e.may_have_run => eprintln!("failed, but may have run: {e}"),
//!     Err(e) => eprintln!("did not run: {e}"),
//! }
//! let submit = Request::post("/move-submit/17", "e2e4")
//!     .retry_safety(RetrySafety::Keyed { window: 6000.0 })
//!     .idempotency_key("5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
//!     .customer(0xb4d65521)
//!     .plan("club")
//!     .ingress_set(2, 1)
//!     .timeout_ms(3000);
//! client.send(&submit).await?;
//! # Ok(())
//! # }
//! ```
//!
//! [`policy`] and [`ingresses`] make all decisions without I/O, so a simulation can run them on its own
//! clock. Dropping the future of [`Client::send`] cancels the request and closes its connection.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
pub mod ingresses;
pub mod policy;
#[cfg(feature = "tls")]
mod tls;
pub mod wire;

pub use client::{Answer, Client, Config, Counts, Error, ErrorKind, Request};
pub use ingresses::IngressPolicy;
pub use policy::{RetryPolicy, RetrySafety, StopReason};
#[cfg(feature = "tls")]
pub use tls::Tls;
