//! Calls at the operators' door.

use super::*;

pub async fn answer_of(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

pub async fn call(door: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(door).await.unwrap();
    stream.write_all(line.as_bytes()).await.unwrap();
    answer_of(stream).await
}

pub async fn figures(door: SocketAddr) -> BTreeMap<String, u64> {
    let text = call(door, "show-stat\n").await;
    let figures = text.strip_suffix("eof\n").expect("the figures end with eof");
    figures
        .lines()
        .map(|line| line.rsplit_once(' ').unwrap())
        .map(|(k, v)| (k.into(), v.parse().unwrap()))
        .collect()
}
