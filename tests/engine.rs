//! The engine between exchange and decisions: each request gets one final answer, whatever arrives late or
//! never.

mod stand_ins;

use slog::Logger;
use stand_ins::single_backend_list;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use weldhub::Limiter;
use weldhub::config::{KeyValues, Site};
use weldhub::deadlines::{Clock, Deadlines};
use weldhub::engine::{Engine, EngineLimits, Outputs};
use weldhub::exchange::{
    AttemptReport, ClientSideCommand, CounterCall, EngineEvent, Exchange, FinalAnswer, PendingAnswer,
    RequestInfo,
};
use weldhub::interface::*;
use weldhub::maintenance::Maintenance;

/// An engine with one ready backend. Its commands and counter calls are received but not carried out.
struct EngineHarness {
    /// The exchange with the engine.
    exchange: Exchange<(), u32>,
    /// Commands of the engine to the client side.
    commands: mpsc::UnboundedReceiver<ClientSideCommand<()>>,
    /// The engine's counter calls.
    counter_calls: mpsc::UnboundedReceiver<CounterCall>,
}

/// Configuration of ingress 0 of two, with one class keyed by cell and one plan.
const CONFIG: &str = "balancers=2\nmyNumber=0\nlimits.maxAttempts=2\nlimits.cancelling=true\nclasses.count=1\n\
    classes.0.aim=500.0\nclasses.0.effect=idempotency_key\nclasses.0.group=cell\nclasses.0.window=4000.0\n\
    tariffs.count=1\ntariffs.0.perSecond=10.0\ntariffs.0.storeSize=20.0\ntariffs.0.atOnce=0\n\
    tariffs.0.ceilingRate=0\ntariffs.0.neverOverDepth=0\nrules.cold=1\nrules.coldFrom=1\n\
    rules.fallMultiple=2\nrules.overloadFor=1\nfamilyInfo.largest=4\nfamilyInfo.counterTimeout=10";

/// Starts an engine for at most `max_requests` requests at a time, with settings in addition to [`CONFIG`].
fn start(more_config: &str, max_requests: usize) -> EngineHarness {
    let settings = Site::read(&KeyValues::from_text(&format!("{CONFIG}\n{more_config}")))
        .unwrap()
        .with_retry_after()
        .settings;
    let limiter = Limiter::new(settings, 7).unwrap();
    let (exchange, engine_events) = Exchange::new();
    let (command_sender, commands) = mpsc::unbounded_channel();
    let (call_sender, counter_calls) = mpsc::unbounded_channel();
    let successor = mpsc::unbounded_channel().0;
    let outlets = Outputs {
        commands: command_sender,
        counter: Some(call_sender),
        successor,
        peers: None,
        local_notices: None,
        witness: None,
    };
    let bounds = EngineLimits { max_requests, max_attempts: 2, counter_timeout: 10.0, retry_after: 700.0 };
    let log = Logger::root(slog::Discard, slog::o!());
    let engine = Engine::new(
        (limiter, Maintenance::default()),
        Deadlines::new(Clock::new()),
        engine_events,
        outlets,
        bounds,
        log,
    );
    spawn_local(engine.run(Some(single_backend_list("s1", "127.0.0.1:1".parse().unwrap()))));
    EngineHarness { exchange, commands, counter_calls }
}

impl EngineHarness {
    /// Submits a request with this time left.
    fn request(&self, time_left: Millis, units: f64) -> PendingAnswer<(), u32> {
        let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(5));
        let first_ingress = IngressId(0);
        self.exchange.submit(
            RequestInfo {
                class,
                plan,
                customer,
                time_left,
                units,
                spread: 2,
                first_ingress,
                is_retry: false,
                identity: None,
                body_pending: false,
            },
            (),
        )
    }

    /// Returns the next command other than a backend list.
    async fn next_command(&mut self) -> ClientSideCommand<()> {
        loop {
            match self.commands.recv().await.unwrap() {
                ClientSideCommand::BackendList(_) => {}
                command => return command,
            }
        }
    }

    /// Returns the next attempt that is started.
    async fn next_attempt(&mut self) -> (RequestId, AttemptIndex) {
        loop {
            match self.next_command().await {
                ClientSideCommand::Start { request, attempt, .. } => return (request, attempt),
                // An attempt that was cancelled is also withdrawn, which has no effect.
                ClientSideCommand::Withdraw(..) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Reports the end of an attempt.
    fn end_attempt(
        &self,
        (request, attempt): (RequestId, AttemptIndex),
        outcome: Outcome,
        answer: Option<u32>,
    ) {
        let load = Load::default();
        self.exchange.send(EngineEvent::AttemptEnded(AttemptReport {
            request,
            attempt,
            outcome,
            load,
            answer,
        }));
    }
}

/// Runs a test to its end on the current thread.
fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn first_answer_is_final_and_later_ones_change_nothing() {
    on_one_thread(async {
        let mut engine = start("", 10);
        let pending = engine.request(2000.0, 1.0);
        let id = engine.next_attempt().await;
        engine.end_attempt(id, Outcome::Served, Some(42));
        engine.end_attempt(id, Outcome::Served, Some(43));
        assert_eq!(pending.await, FinalAnswer::Served(42));
        // An attempt that is reported as served without an answer is no success.
        let pending = engine.request(2000.0, 1.0);
        let id = engine.next_attempt().await;
        engine.end_attempt(id, Outcome::Served, None);
        let retry = engine.next_attempt().await;
        engine.end_attempt(retry, Outcome::Error, None);
        assert_eq!(pending.await, FinalAnswer::Failed { timed_out: false });
    });
}

#[test]
fn request_is_answered_before_its_deadline_though_its_attempt_never_ends() {
    on_one_thread(async {
        let mut engine = start("", 10);
        let pending = engine.request(80.0, 1.0);
        let (request, attempt) = engine.next_attempt().await;
        assert!(matches!(
            engine.next_command().await,
            ClientSideCommand::GiveUp(r, a, Outcome::TimedOut) if (r, a) == (request, attempt)
        ));
        assert_eq!(pending.await, FinalAnswer::Failed { timed_out: true });
    });
}

#[test]
fn attempt_of_a_client_that_left_is_cancelled_and_a_full_table_rejects() {
    on_one_thread(async {
        let mut engine = start("", 1);
        let pending = engine.request(2000.0, 1.0);
        let id = engine.next_attempt().await;
        assert_eq!(engine.request(2000.0, 1.0).await, FinalAnswer::NoRoom(700.0));
        drop(pending);
        assert!(matches!(
            engine.next_command().await,
            ClientSideCommand::GiveUp(r, a, Outcome::Cancelled) if (r, a) == id
        ));
        engine.end_attempt(id, Outcome::Cancelled, None);
        let pending = engine.request(2000.0, 1.0);
        let id = engine.next_attempt().await;
        engine.end_attempt(id, Outcome::Served, Some(1));
        assert_eq!(pending.await, FinalAnswer::Served(1));
    });
}

#[test]
fn unsent_attempt_of_a_client_that_left_is_withdrawn_if_cancellation_is_off() {
    on_one_thread(async {
        let mut engine = start("limits.cancelling=false", 1);
        let pending = engine.request(2000.0, 1.0);
        let id = engine.next_attempt().await;
        drop(pending);
        assert!(matches!(engine.next_command().await, ClientSideCommand::Withdraw(r, a) if (r, a) == id));
    });
}

#[test]
fn unanswered_counter_call_is_unknown_and_a_late_answer_is_ignored() {
    on_one_thread(async {
        let mut engine = start("familyInfo.hasCounter=true", 10);
        let pending = engine.request(2000.0, 1.0);
        let call = engine.counter_calls.recv().await.unwrap();
        assert_eq!((call.name, call.amount), (CounterName(5), 1.0));
        // There is no answer: after the time-out the request is decided on the evidence of the even slice.
        let id = engine.next_attempt().await;
        engine.exchange.send(EngineEvent::CounterAnswered(call.seq, CounterAnswer::Total(1e6)));
        engine.end_attempt(id, Outcome::Served, Some(1));
        assert_eq!(pending.await, FinalAnswer::Served(1));
        let pending = engine.request(2000.0, 1.0);
        let id = engine.next_attempt().await;
        engine.end_attempt(id, Outcome::Served, Some(2));
        assert_eq!(pending.await, FinalAnswer::Served(2), "the late total is not used for this request");
    });
}
