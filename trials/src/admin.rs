//! Calls to the admin interfaces of ingresses, and their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends a line to an admin interface and returns its answer; `None` if there is none within two seconds.
pub async fn admin_call(address: SocketAddr, line: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(line.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    timeout(Duration::from_secs(2), exchange).await.ok().flatten()
}

/// Parses the answer to `members` to the state of each member by its number; `None` if it is incomplete or
/// malformed.
pub fn parse_members(text: &str) -> Option<BTreeMap<usize, String>> {
    let lines = text.strip_suffix("eof\n")?.lines();
    let member = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        Some((words.get(1)?.parse().ok()?, (*words.get(3)?).to_owned()))
    };
    lines.map(member).collect()
}

/// Parses the answer to `notices`, and leaves out the age of each; `None` if it is incomplete or malformed.
pub fn parse_notices(text: &str) -> Option<Vec<String>> {
    let lines = text.strip_suffix("eof\n")?.lines();
    let notice = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        Some(format!("{} {} {} by {}", words.first()?, words.get(1)?, words.get(2)?, words.last()?))
    };
    lines.map(notice).collect()
}

/// Parses the answer to `recovery` to the stage and the milliseconds from the start until it was first whole;
/// `None` if there is no stage.
pub fn parse_recovery(text: &str) -> Option<(String, Option<u64>)> {
    let value = |key: &str| text.lines().find_map(|line| line.strip_prefix(key)?.split(' ').nth(1));
    Some((value("stage")?.to_owned(), value("whole_after").and_then(|span| span.parse().ok())))
}
