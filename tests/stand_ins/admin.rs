//! Commands to the admin interface of an ingress.

use super::*;

/// Reads an answer to the end of the connection.
pub async fn answer_of(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Sends one command line to the admin interface at `address` and returns the whole answer.
pub async fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(line.as_bytes()).await.unwrap();
    answer_of(stream).await
}

/// Returns the metrics of `show-stat`, by name with labels.
pub async fn figures(address: SocketAddr) -> BTreeMap<String, u64> {
    let text = call(address, "show-stat\n").await;
    let metrics = text.strip_suffix("eof\n").expect("the metrics end with eof");
    metrics
        .lines()
        .map(|line| line.rsplit_once(' ').unwrap())
        .map(|(name, value)| (name.into(), value.parse().unwrap()))
        .collect()
}
