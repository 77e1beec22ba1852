//! How the new process finds the old one and gets its sockets: over a Unix socket in a directory that both
//! share.

use super::frame::{Frame, LAYOUT_VERSION, REVISION, Revision};
use super::link::{Message, Reader, Writer, link};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};

/// The time within which the old process must answer; after it, the new one starts without it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the path of a file for the processes that listen at this address, or `None` if `TMPDIR` is not
/// set. `kind` is the extension.
pub fn path(listen: SocketAddr, kind: &str) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    Some(PathBuf::from(directory).join(format!("weldhub-{}-{}.{kind}", listen.ip(), listen.port())))
}

/// A link to the old process.
#[derive(Debug)]
pub struct PredecessorLink {
    /// The reading end of the link.
    pub reader: Reader,
    /// The writing end of the link.
    pub writer: Writer,
    /// What the old process understands; of the first revision until it has told.
    pub revision: Revision,
}

/// The sockets that the new process takes over, and the link to the old one.
#[derive(Debug)]
pub struct InheritedSockets {
    /// The clients' listener.
    pub listener: OwnedFd,
    /// The peers' socket, or `None` if there is none.
    pub peers: Option<OwnedFd>,
    /// The link to the old process.
    pub link: PredecessorLink,
}

/// What a new process finds at its address.
#[derive(Debug)]
pub enum Found {
    /// No process.
    Nobody,
    /// A process that gave its sockets.
    Sockets(InheritedSockets),
    /// A process that does not answer, and the link to it.
    Silent(PredecessorLink),
}

/// Requests the sockets of the old process.
///
/// # Errors
/// Errors of the link, and an error if the old process answers with another frame.
pub async fn request_sockets(path: &Path) -> io::Result<Found> {
    let stream = match UnixStream::connect(path).await {
        Ok(stream) => stream,
        Err(e) if is_nobody(&e) => return Ok(Found::Nobody),
        Err(e) => return Err(e),
    };
    let (mut reader, mut writer) = link(stream);
    let reply = async {
        writer.write(&Frame::Hello(LAYOUT_VERSION, REVISION).into()).await?;
        reader.next().await
    };
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, reply).await;
    let link = |revision| PredecessorLink { reader, writer, revision };
    match reply {
        Ok(Ok(Some(Message { frame: Frame::Sockets { revision, .. }, descriptors }))) => {
            let mut descriptors = descriptors.into_iter();
            let listener = descriptors
                .next()
                .ok_or_else(|| io::Error::other("the descriptor of the listener is missing"))?;
            Ok(Found::Sockets(InheritedSockets { listener, peers: descriptors.next(), link: link(revision) }))
        }
        Ok(Err(e)) => Err(e),
        Ok(Ok(_)) => Err(io::Error::other("the old process sent no sockets")),
        Err(_) => Ok(Found::Silent(link(Revision::FIRST))),
    }
}

/// Returns whether an attempt to connect failed because no process listens.
fn is_nobody(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
}

/// Returns whether a process listens at `path`, whether or not it answers.
async fn is_served(path: &Path) -> bool {
    UnixStream::connect(path).await.is_ok()
}

/// The place where the next process finds this one.
#[derive(Debug)]
pub struct Rendezvous {
    /// Accepts the links of next processes.
    pub listener: UnixListener,
    claim: Claim,
}

/// The file by which the next process finds this one. Another process replaces it by its own.
#[derive(Debug, Clone)]
pub struct Claim {
    path: PathBuf,
    inode: u64,
}

impl Claim {
    /// Returns whether a next process that starts now finds this one.
    pub fn is_found(&self) -> bool {
        std::fs::metadata(&self.path).is_ok_and(|file| file.ino() == self.inode)
    }

    /// Returns whether another process that listens is found in place of this one.
    pub async fn is_lost(&self) -> bool {
        !self.is_found() && is_served(&self.path).await
    }
}

impl Rendezvous {
    /// Listens for the next process at `path`, in place of any earlier process that listened there.
    ///
    /// # Errors
    /// Errors of the file system and of the socket.
    pub fn listen(path: &Path) -> io::Result<Self> {
        let temporary = path.with_extension("next.part");
        match std::fs::remove_file(&temporary) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&temporary)?;
        let inode = std::fs::metadata(&temporary)?.ino();
        std::fs::rename(&temporary, path)?;
        Ok(Self { listener, claim: Claim { path: path.to_owned(), inode } })
    }

    /// Returns the file by which the next process finds this one.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }
}
