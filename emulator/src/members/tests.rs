use super::*;

fn setup() -> MembershipSetup {
    let (pause_every, pause) = (0.0, 0.0);
    MembershipSetup {
        instances: 60,
        loss: 0.05,
        delay: 5.0,
        pause_every,
        pause,
        kill_every: 10.0,
        kill: 1,
        seconds: 30.0,
        seed: 3,
    }
}

#[test]
fn all_survivors_learn_of_kills_and_the_same_seed_gives_the_same_outcome() {
    let outcome = run(&setup()).unwrap();
    assert_eq!(outcome, run(&setup()).unwrap());
    assert_eq!((outcome.unknown, outcome.wrong), (0, 0));
    assert!(outcome.known[0] > 500.0 && outcome.known[2] < 8000.0, "{outcome:?}");
    assert!(outcome.bytes[0] < 1000.0, "{outcome:?}");
}

#[test]
fn counts_pauses_longer_than_the_suspicion_timeout_as_wrong_deaths() {
    let outcome =
        run(&MembershipSetup { kill_every: 0.0, pause_every: 30.0, pause: 6000.0, ..setup() }).unwrap();
    assert!(outcome.wrong > 0, "{outcome:?}");
    assert!(run(&MembershipSetup { instances: 1, ..setup() }).is_err());
}
