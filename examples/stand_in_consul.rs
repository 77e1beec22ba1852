//! Runs the stand-in for a Consul agent on loopback with a script, for demonstrations:
//! `cargo run --example stand_in_consul -- SCRIPT`.

#[path = "../tests/stand_ins/consul.rs"]
#[allow(dead_code)]
mod consul;

use consul::{Consul, Script};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::args().nth(1).ok_or("usage: stand_in_consul SCRIPT")?;
    let script = Script::read(&std::fs::read_to_string(path)?)?;
    if !script.listen.ip().is_loopback() {
        return Err("listen must be a loopback address".into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(script.listen).await?;
        let agent = Consul::new(listener.local_addr()?, Vec::new());
        println!("Consul agent at {}, for {} ms", agent.at, script.end_ms);
        let serving = agent.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        agent.max_wait.set(std::time::Duration::from_secs(600));
        agent.play(&script).await;
        println!("{} queries, {} bytes", agent.asked.borrow().len(), agent.bytes.get());
        Ok(())
    })
}
