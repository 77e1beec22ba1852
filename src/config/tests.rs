use super::*;

fn authz_error(text: &str) -> String {
    AuthzConfig::read(text, |_| None).map(drop).unwrap_err().to_string()
}

fn consul_error(text: &str) -> String {
    authz_error(&format!("name = \"a\"\nlisten = \"127.0.0.1:0\"\n{text}\n{SETTINGS}"))
}

const SETTINGS: &str = "[settings]\nbalancers = 1\nmyNumber = 0\nclasses = [{ aim = 0.9, effect = \"read_like\" }]\n\
    limits = { maxAttempts = 1 }\nrules = { coldFrom = 0.5, cold = 1000, fallMultiple = 2, overloadFor = 500 }\n";

#[test]
fn errors_name_the_invalid_key() {
    assert_eq!(authz_error(""), "configuration: settings is missing");
    assert_eq!(authz_error("[settings]"), "configuration: settings: classes.count is missing");
    assert!(authz_error("=").starts_with("configuration: not TOML: "));
    for (text, reason) in [
        ("", "consul.address is missing"),
        ("[consul]\nadress = 1", "consul.adress is no known key"),
        ("[consul]\naddress = 1", "cannot read consul.address=1"),
        (
            "[consul]\nservice = \"s\"\nservices = [{ name = \"s\" }]\naddress = \"127.0.0.1:1\"",
            "consul.service must not be set beside consul.services",
        ),
        ("[consul]\naddress = \"127.0.0.1:1\"", "consul.service is missing"),
        (
            "[consul]\naddress = \"127.0.0.1:1\"\nservices = [{ name = \"s\" }, { name = \"s\" }]",
            "consul.services.1.name=s is named twice",
        ),
        ("[consul]\nwithdrawal_share = 2", "consul.withdrawal_share must lie between 0 and 1"),
        ("[consul]\nunreachable_after = 0", "consul.unreachable_after must be above 0"),
        ("[consul]\nflap_memory_ms = 0", "consul.flap_memory_ms must be above 0"),
        (
            "[consul]\naddress = \"127.0.0.1:1\"\nservice = \"s\"\nserver_name = \"n\"",
            "consul.ca_file is missing beside consul.server_name",
        ),
        ("[limits]\nsockets = 3", "limits.sockets=3 is below the 64 that the program needs"),
        (
            "[cluster]\nlisten = \"0.0.0.0:7000\"\nfleet = \"f\"",
            "cluster.listen=0.0.0.0:7000 is no address that others can reach",
        ),
        ("[cluster]\nlisten = \"127.0.0.1:7000\"\nfleet = \"\"", "cluster.fleet is empty"),
    ] {
        assert_eq!(consul_error(text), format!("configuration: {reason}"), "{text}");
    }
}

#[test]
fn names_unreadable_file_and_its_key() {
    let text = "[consul]\naddress = \"127.0.0.1:1\"\nservice = \"s\"\ntoken_file = \"/nowhere/at/all\"";
    assert!(
        consul_error(text).starts_with("configuration: consul.token_file=/nowhere/at/all cannot be read: ")
    );
}
