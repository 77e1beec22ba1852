//! Calls at the operators' address.

use super::*;

pub async fn answer_of(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

pub async fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(line.as_bytes()).await.unwrap();
    answer_of(stream).await
}

pub async fn figures(address: SocketAddr) -> BTreeMap<String, u64> {
    let text = call(address, "show-stat\n").await;
    let figures = text.strip_suffix("eof\n").expect("the figures end with eof");
    figures
        .lines()
        .map(|line| line.rsplit_once(' ').unwrap())
        .map(|(k, v)| (k.into(), v.parse().unwrap()))
        .collect()
}
