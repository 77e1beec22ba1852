//! What the client sides of all fronts share: each scheduling ends once, none starts on a drained real server.

mod stand_ins;

use stand_ins::single_backend_list;
use std::cell::Cell;
use tokio::sync::{mpsc, oneshot};
use weldhub::entries::{BackendList, backend_id};
use weldhub::exchange::{ClientSideCommand, EngineEvent, Exchange};
use weldhub::interface::*;
use weldhub::net::attempts::{Attempts, Job, Stage};

fn list(state: BackendState) -> BackendList {
    let mut list = single_backend_list("s1", "127.0.0.1:1".parse().unwrap());
    list.entries[0].entry.state = state;
    list
}

/// Starts a scheduling that has come to this stage, then does what `then` orders.
async fn outcome(stage: Stage, then: ClientSideCommand<()>) -> (Option<Outcome>, bool) {
    let (exchange, mut news) = Exchange::<(), ()>::new();
    let attempts = Attempts::<(), (), ()>::new(exchange);
    let (orders, ordered) = mpsc::unbounded_channel();
    let start = ClientSideCommand::Start {
        request: RequestId(1),
        attempt: AttemptIndex(0),
        backend: backend_id("s1"),
        question: (),
        timeout: 9.0,
        send_by: None,
    };
    orders.send(ClientSideCommand::BackendList(list(BackendState::Ready))).unwrap();
    orders.send(start).unwrap();
    orders.send(then).unwrap();
    // A second word about the same scheduling must not be reported.
    orders.send(ClientSideCommand::GiveUp(RequestId(1), AttemptIndex(0), Outcome::Cancelled)).unwrap();
    drop(orders);
    let job = Cell::new(None);
    let take = |_, started: Job<()>| {
        started.stage.set(stage);
        job.set(Some(started));
    };
    attempts.run(ordered, take).await;
    let cancelled = job.into_inner().unwrap().cancelled.try_recv();
    let first = match news.try_recv() {
        Ok(EngineEvent::AttemptEnded(report)) => Some(report.outcome),
        _ => None,
    };
    assert!(news.try_recv().is_err(), "one end each");
    (first, cancelled == Err(oneshot::error::TryRecvError::Closed))
}

#[tokio::test]
async fn nothing_that_waits_starts_on_a_drained_real_server_and_what_was_written_goes_on() {
    let drain = || ClientSideCommand::BackendList(list(BackendState::Draining));
    assert_eq!(outcome(Stage::Connecting, drain()).await, (Some(Outcome::ConnectFailed), true));
    // The last order cancels it: the drain had left it alone.
    assert_eq!(outcome(Stage::Written, drain()).await, (Some(Outcome::Cancelled), true));
}

#[tokio::test]
async fn what_was_not_written_whole_has_never_run() {
    let time_out = || ClientSideCommand::GiveUp(RequestId(1), AttemptIndex(0), Outcome::TimedOut);
    assert_eq!(outcome(Stage::Connecting, time_out()).await.0, Some(Outcome::ConnectFailed));
    assert_eq!(outcome(Stage::Writing, time_out()).await.0, Some(Outcome::ConnectFailed));
    assert_eq!(outcome(Stage::Written, time_out()).await.0, Some(Outcome::TimedOut));
}
