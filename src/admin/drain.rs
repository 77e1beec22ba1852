//! The two steps of a drain: it is first announced by the readiness check, and connections are closed later.

use crate::deadlines::Deadlines;
use crate::interface::Millis;
use crate::net::server_side::Drain;
use tokio::sync::watch;

/// The time between the announcement of a drain and the closing of connections, in milliseconds. The load
/// balancer in front needs this time to notice that the instance is not ready.
const ANNOUNCEMENT_TIME: Millis = 550.0;

/// Begins or ends the drain of this instance. One that has begun already stays as it is.
pub fn set_drained(drain: &watch::Sender<Drain>, drained: bool) {
    drain.send_if_modified(|drain| {
        let changes = (*drain != Drain::Inactive) != drained;
        if changes {
            *drain = if drained { Drain::Announced } else { Drain::Inactive };
        }
        changes
    });
}

/// Starts the second step of each drain `ANNOUNCEMENT_TIME` after its announcement. Runs until the process
/// ends.
pub async fn close_after_announcement(drain: watch::Sender<Drain>, deadlines: Deadlines) {
    let mut drains = drain.subscribe();
    while drains.wait_for(|drain| *drain == Drain::Announced).await.is_ok() {
        tokio::select! {
            () = deadlines.sleep(ANNOUNCEMENT_TIME) => {
                drain.send_if_modified(|drain| {
                    let due = *drain == Drain::Announced;
                    *drain = if due { Drain::Closing } else { *drain };
                    due
                });
            }
            _ = drains.wait_for(|drain| *drain != Drain::Announced) => {}
        }
    }
}
