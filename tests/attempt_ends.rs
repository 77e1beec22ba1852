//! The attempt handling shared by the client sides of all fronts: each attempt reports exactly one end, and
//! no attempt starts on a draining backend.

mod stand_ins;

use stand_ins::single_backend_list;
use std::cell::Cell;
use tokio::sync::{mpsc, oneshot};
use weldhub::entries::{BackendList, backend_id};
use weldhub::exchange::{ClientSideCommand, EngineEvent, Exchange};
use weldhub::interface::*;
use weldhub::net::attempts::{Attempts, Job, Stage};

fn list_with_state(state: BackendState) -> BackendList {
    let mut list = single_backend_list("s1", "127.0.0.1:1".parse().unwrap());
    list.entries[0].entry.state = state;
    list
}

/// Starts an attempt, moves it to `stage` and sends `command`. Returns the reported outcome and whether the
/// job's `cancelled` channel has been closed.
async fn outcome_after(stage: Stage, command: ClientSideCommand<()>) -> (Option<Outcome>, bool) {
    let (exchange, mut events) = Exchange::<(), ()>::new();
    let attempts = Attempts::<(), (), ()>::new(exchange);
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let start = ClientSideCommand::Start {
        request: RequestId(1),
        attempt: AttemptIndex(0),
        backend: backend_id("s1"),
        question: (),
        timeout: 9.0,
        send_by: None,
    };
    commands.send(ClientSideCommand::BackendList(list_with_state(BackendState::Ready))).unwrap();
    commands.send(start).unwrap();
    commands.send(command).unwrap();
    // A second command for the same attempt must not produce a second report.
    commands.send(ClientSideCommand::GiveUp(RequestId(1), AttemptIndex(0), Outcome::Cancelled)).unwrap();
    drop(commands);
    let job = Cell::new(None);
    let store_job = |_, started: Job<()>| {
        started.stage.set(stage);
        job.set(Some(started));
    };
    attempts.run(command_receiver, store_job).await;
    let cancelled = job.into_inner().unwrap().cancelled.try_recv();
    let outcome = match events.try_recv() {
        Ok(EngineEvent::AttemptEnded(report)) => Some(report.outcome),
        _ => None,
    };
    assert!(events.try_recv().is_err(), "an attempt reported more than one end");
    (outcome, cancelled == Err(oneshot::error::TryRecvError::Closed))
}

#[tokio::test]
async fn draining_backend_fails_connecting_attempt_and_keeps_written_attempt() {
    let drain = || ClientSideCommand::BackendList(list_with_state(BackendState::Draining));
    assert_eq!(outcome_after(Stage::Connecting, drain()).await, (Some(Outcome::ConnectFailed), true));
    // Cancelled by the last command of `outcome_after`: the drain itself did not end it.
    assert_eq!(outcome_after(Stage::Written, drain()).await, (Some(Outcome::Cancelled), true));
}

#[tokio::test]
async fn timeout_before_request_is_fully_written_reports_connect_failure() {
    let timeout = || ClientSideCommand::GiveUp(RequestId(1), AttemptIndex(0), Outcome::TimedOut);
    assert_eq!(outcome_after(Stage::Connecting, timeout()).await.0, Some(Outcome::ConnectFailed));
    assert_eq!(outcome_after(Stage::Writing, timeout()).await.0, Some(Outcome::ConnectFailed));
    assert_eq!(outcome_after(Stage::Written, timeout()).await.0, Some(Outcome::TimedOut));
}
