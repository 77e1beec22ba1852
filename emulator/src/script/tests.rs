use super::*;

const GOOD: &str = include_str!("../../scripts/calm.toml");

#[test]
fn rejects_invalid_script_with_one_line_that_names_the_key() {
    let good = Script::read(GOOD).unwrap();
    for (old, new, key) in [
        ("length =", "lenght = 1\nlength =", "lenght"),
        ("[load]", "[load]\nspeed = 1", "speed"),
        ("level = 0.5", "level = -0.5", "load.level"),
        ("count = 3", "count = 0", "ingresses.count"),
        ("count = 3", "count = 60000", "ingresses.count"),
        ("length = 30000.0", "length = 1e12", "length"),
        ("name = \"board-state\"", "name = \"game-record\"", "named twice"),
    ] {
        assert!(GOOD.contains(old), "{old}");
        let why = Script::read(&GOOD.replacen(old, new, 1)).unwrap_err().to_string();
        assert!(why.contains(key) && !why.contains('\n'), "{why}");
    }
    for (path, value, key) in [
        ("load.level", "0", "load.level"),
        ("load.levle", "0.5", "levle"),
        ("load.level", "much", "load.level"),
        ("kinds.0.speed", "[2.0, 1.0]", "kinds.0.speed"),
        ("peers.loss", "1.5", "peers.loss"),
    ] {
        let why = good.with_value(path, value).unwrap_err().to_string();
        assert!(why.contains(key), "{why}");
    }
    let trouble = "\n[[troubles]]\nat = -1.0\ndo = { cut = { hall = 1, lasting = 5.0 } }\n";
    assert!(Script::read(&format!("{GOOD}{trouble}")).unwrap_err().0.contains("troubles.0.at"));
    let trouble = trouble.replace("-1.0", "1.0").replace("hall = 1", "hall = 9");
    assert!(Script::read(&format!("{GOOD}{trouble}")).unwrap_err().0.contains("troubles.0.hall"));
    let restart = "share = 0.5, at_once = 0.1, over = 0.0, down = [1.0, 2.0], told = [2.0, 1.0]";
    let trouble = format!("\n[[troubles]]\nat = 1.0\ndo = {{ restart = {{ {restart} }} }}\n");
    assert!(Script::read(&format!("{GOOD}{trouble}")).unwrap_err().0.contains("troubles.0.told"));
    assert_eq!(good.with_value("load.level", "0.75").unwrap().load.level, 0.75);
}
