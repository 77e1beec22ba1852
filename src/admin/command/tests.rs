use super::*;

#[test]
fn parses_commands_with_either_line_ending_and_rejects_other_lines() {
    let change = |change| Ok(Command::Change(change));
    assert_eq!(Command::parse(b"ready"), Ok(Command::Ready));
    assert_eq!(Command::parse(b" show-stat \r"), Ok(Command::ShowStat));
    assert_eq!(Command::parse(b"disable-server s-1\r"), change(Change::DisableBackend("s-1".into())));
    assert_eq!(Command::parse(b"enable-server s-1"), change(Change::EnableBackend("s-1".into())));
    assert_eq!(
        (Command::parse(b"drain"), Command::parse(b"resume\r")),
        (change(Change::Drain), change(Change::Resume))
    );
    let invalid: [&[u8]; 7] =
        [b"", b"\r", b"READY", b"ready now", b"disable-server", b"enable-server a b", b"\xff\xfe"];
    assert_eq!(Command::parse(b"drain n3"), change(Change::DrainIngress("n3".into(), true)));
    assert!(Command::parse(b"drain n3 n4").is_err());
    assert!(invalid.iter().all(|line| Command::parse(line).is_err()));
}

#[test]
fn rejects_garbage_without_panic() {
    fn garbage(line: Vec<u8>) -> bool {
        Command::parse(&line).is_err() || line.is_ascii()
    }
    let gen_ = quickcheck::Gen::from_size_and_seed(200, 11);
    quickcheck::QuickCheck::new().rng(gen_).tests(400).quickcheck(garbage as fn(Vec<u8>) -> bool);
}
