//! A relay on the link between two processes at one address, which can hold a frame back or cut the link.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use weldhub::upgrade::frame::Frame;
use weldhub::upgrade::link::{Reader, Writer, link};

/// Tells whether a frame is to be held back.
pub type IsHeld = fn(&Frame) -> bool;

/// A relay of the links of next processes, one after the other.
pub struct LinkRelay {
    held: Rc<Held>,
    cut: Rc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Default)]
struct Held {
    is_held: Cell<bool>,
    is_released: Cell<bool>,
    changed: Notify,
}

impl Held {
    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            self.changed.notified().await;
        }
    }
}

impl LinkRelay {
    /// Listens at `at` for the next process and connects it to the one that listens at `to`. The first frame of either
    /// that `is_held` names, and all behind it, wait until they are released.
    pub fn start(at: &Path, to: &Path, is_held: IsHeld) -> Self {
        let listener = UnixListener::bind(at).unwrap();
        let (held, cut, to) = (Rc::<Held>::default(), Rc::<Notify>::default(), to.to_owned());
        let (shared, cuts) = (held.clone(), cut.clone());
        let task = spawn_local(async move {
            loop {
                let (next, _) = listener.accept().await.unwrap();
                let (next_reader, next_writer) = link(next);
                let (old_reader, old_writer) = link(UnixStream::connect(&to).await.unwrap());
                tokio::select! {
                    () = pass(next_reader, old_writer, is_held, &shared) => {}
                    () = pass(old_reader, next_writer, is_held, &shared) => {}
                    () = cuts.notified() => {}
                }
            }
        });
        Self { held, cut, task }
    }

    /// Takes the place of the process that listens at `path`, in the same folder.
    pub fn in_place_of(path: &Path, is_held: IsHeld) -> Self {
        let moved = path.with_extension("relayed");
        std::fs::rename(path, &moved).unwrap();
        Self::start(path, &moved, is_held)
    }

    /// Waits until a frame is held back.
    pub async fn holds(&self) {
        self.held.wait_until(|held| held.is_held.get()).await;
    }

    /// Lets everything pass from now on.
    pub fn release(&self) {
        self.held.is_released.set(true);
        self.held.changed.notify_waiters();
    }

    /// Cuts the present link.
    pub fn cut(&self) {
        self.cut.notify_one();
    }
}

async fn pass(mut from: Reader, mut to: Writer, is_held: IsHeld, held: &Held) {
    while let Ok(Some(message)) = from.next().await {
        if is_held(&message.frame) && !held.is_released.get() {
            held.is_held.set(true);
            held.changed.notify_waiters();
            held.wait_until(|held| held.is_released.get()).await;
        }
        if to.write(&message).await.is_err() {
            return;
        }
    }
}
