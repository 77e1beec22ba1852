//! The engine between exchange and decisions: one final answer a flow, whatever comes late or never.

mod stand_ins;

use slog::Logger;
use stand_ins::one_ready;
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

/// An engine with one ready real server, its orders and its calls; nobody carries them out.
struct Bed {
    exchange: Exchange<(), u32>,
    orders: mpsc::UnboundedReceiver<ClientSideCommand<()>>,
    calls: mpsc::UnboundedReceiver<CounterCall>,
}

const FACTS: &str = "balancers=2\nmyNumber=0\nlimits.maxAttempts=2\nlimits.cancelling=true\nclasses.count=1\n\
    classes.0.aim=500.0\nclasses.0.effect=idempotency_key\nclasses.0.group=cell\nclasses.0.window=4000.0\n\
    tariffs.count=1\ntariffs.0.perSecond=10.0\ntariffs.0.storeSize=20.0\ntariffs.0.atOnce=0\n\
    tariffs.0.ceilingRate=0\ntariffs.0.neverOverDepth=0\nrules.cold=1\nrules.coldFrom=1\n\
    rules.fallMultiple=2\nrules.overloadFor=1\nfamilyInfo.largest=4\nfamilyInfo.counterTimeout=10";

fn start(more: &str, flows: usize) -> Bed {
    let settings =
        Site::read(&KeyValues::from_text(&format!("{FACTS}\n{more}"))).unwrap().with_retry_after().settings;
    let limiter = Limiter::new(settings, 7).unwrap();
    let (exchange, news) = Exchange::new();
    let (order, orders) = mpsc::unbounded_channel();
    let (call, calls) = mpsc::unbounded_channel();
    let successor = mpsc::unbounded_channel().0;
    let outlets = Outputs {
        commands: order,
        counter: Some(call),
        successor,
        peers: None,
        local_notices: None,
        witness: None,
    };
    let bounds =
        EngineLimits { max_requests: flows, max_attempts: 2, counter_timeout: 10.0, retry_after: 700.0 };
    let log = Logger::root(slog::Discard, slog::o!());
    let engine = Engine::new(
        (limiter, Maintenance::default()),
        Deadlines::new(Clock::new()),
        news,
        outlets,
        bounds,
        log,
    );
    spawn_local(engine.run(Some(one_ready("s1", "127.0.0.1:1".parse().unwrap()))));
    Bed { exchange, orders, calls }
}

impl Bed {
    fn ask(&self, left: Millis, units: f64) -> PendingAnswer<(), u32> {
        let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(5));
        let first = IngressId(0);
        self.exchange.submit(
            RequestInfo {
                class,
                plan,
                customer,
                time_left: left,
                units,
                spread: 2,
                first_ingress: first,
                is_retry: false,
                body_pending: false,
            },
            (),
        )
    }

    /// The next order that is no list.
    async fn order(&mut self) -> ClientSideCommand<()> {
        loop {
            match self.orders.recv().await.unwrap() {
                ClientSideCommand::BackendList(_) => {}
                order => return order,
            }
        }
    }

    async fn started(&mut self) -> (RequestId, AttemptIndex) {
        loop {
            match self.order().await {
                ClientSideCommand::Start { request: flow, attempt: no, .. } => return (flow, no),
                // Of one that was cancelled nothing is left to withdraw.
                ClientSideCommand::Withdraw(..) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    fn ended(&self, (flow, no): (RequestId, AttemptIndex), outcome: Outcome, answer: Option<u32>) {
        let load = Load::default();
        self.exchange.send(EngineEvent::AttemptEnded(AttemptReport {
            request: flow,
            attempt: no,
            outcome,
            load,
            answer,
        }));
    }
}

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn an_answer_is_the_flows_only_one_and_what_comes_later_changes_nothing() {
    on_one_thread(async {
        let mut bed = start("", 10);
        let waiting = bed.ask(2000.0, 1.0);
        let id = bed.started().await;
        bed.ended(id, Outcome::Served, Some(42));
        bed.ended(id, Outcome::Served, Some(43));
        assert_eq!(waiting.await, FinalAnswer::Served(42));
        // A flow that is served with nothing is no success.
        let waiting = bed.ask(2000.0, 1.0);
        let id = bed.started().await;
        bed.ended(id, Outcome::Served, None);
        let again = bed.started().await;
        bed.ended(again, Outcome::Error, None);
        assert_eq!(waiting.await, FinalAnswer::Failed { timed_out: false });
    });
}

#[test]
fn a_flow_is_answered_before_its_deadline_though_its_scheduling_never_ends() {
    on_one_thread(async {
        let mut bed = start("", 10);
        let waiting = bed.ask(80.0, 1.0);
        let (flow, no) = bed.started().await;
        assert!(matches!(
            bed.order().await,
            ClientSideCommand::GiveUp(f, n, Outcome::TimedOut) if (f, n) == (flow, no)
        ));
        assert_eq!(waiting.await, FinalAnswer::Failed { timed_out: true });
    });
}

#[test]
fn who_leaves_is_cancelled_and_a_full_table_turns_away() {
    on_one_thread(async {
        let mut bed = start("", 1);
        let waiting = bed.ask(2000.0, 1.0);
        let id = bed.started().await;
        assert_eq!(bed.ask(2000.0, 1.0).await, FinalAnswer::NoRoom(700.0));
        drop(waiting);
        assert!(
            matches!(bed.order().await, ClientSideCommand::GiveUp(f, n, Outcome::Cancelled) if (f, n) == id)
        );
        bed.ended(id, Outcome::Cancelled, None);
        let waiting = bed.ask(2000.0, 1.0);
        let id = bed.started().await;
        bed.ended(id, Outcome::Served, Some(1));
        assert_eq!(waiting.await, FinalAnswer::Served(1));
    });
}

#[test]
fn what_waits_for_who_has_left_is_withdrawn_where_it_may_not_be_cancelled() {
    on_one_thread(async {
        let mut bed = start("limits.cancelling=false", 1);
        let waiting = bed.ask(2000.0, 1.0);
        let id = bed.started().await;
        drop(waiting);
        assert!(matches!(bed.order().await, ClientSideCommand::Withdraw(f, n) if (f, n) == id));
    });
}

#[test]
fn a_call_without_an_answer_is_unknown_and_a_late_one_is_nobodys() {
    on_one_thread(async {
        let mut bed = start("familyInfo.hasCounter=true", 10);
        let waiting = bed.ask(2000.0, 1.0);
        let call = bed.calls.recv().await.unwrap();
        assert_eq!((call.name, call.amount), (CounterName(5), 1.0));
        // No answer: the flow is judged by the even slice, once the time-out has passed.
        let id = bed.started().await;
        bed.exchange.send(EngineEvent::CounterAnswered(call.seq, CounterAnswer::Total(1e6)));
        bed.ended(id, Outcome::Served, Some(1));
        assert_eq!(waiting.await, FinalAnswer::Served(1));
        let waiting = bed.ask(2000.0, 1.0);
        let id = bed.started().await;
        bed.ended(id, Outcome::Served, Some(2));
        assert_eq!(waiting.await, FinalAnswer::Served(2), "the late total is not taken for this one's");
    });
}
