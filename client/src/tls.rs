//! TLS connections to ingresses, with rustls.

use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, ServerName};
use std::io;
use std::path::Path;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// The TLS configuration: the trusted certificate authorities and the name that ingresses must prove.
#[derive(Clone)]
pub struct Tls {
    connector: TlsConnector,
    name: ServerName<'static>,
}

impl std::fmt::Debug for Tls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tls").field("name", &self.name).finish()
    }
}

impl Tls {
    /// Trusts the certificate authorities in a PEM file. The certificate of each ingress must be valid for
    /// the server name `name`. Fails if the file cannot be read, holds no certificate, or `name` is not a
    /// valid server name.
    pub fn from_file(authorities: &Path, name: &str) -> io::Result<Self> {
        let mut roots = RootCertStore::empty();
        for certificate in CertificateDer::pem_file_iter(authorities).map_err(io::Error::other)? {
            roots.add(certificate.map_err(io::Error::other)?).map_err(io::Error::other)?;
        }
        if roots.is_empty() {
            return Err(io::Error::other("the file contains no certificate"));
        }
        let config = ClientConfig::builder_with_provider(Arc::new(default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(io::Error::other)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from(name.to_owned()).map_err(io::Error::other)?;
        Ok(Self { connector: TlsConnector::from(Arc::new(config)), name })
    }

    /// Performs the TLS handshake on a connected socket.
    pub(crate) async fn connect(&self, stream: TcpStream) -> io::Result<TlsStream<TcpStream>> {
        self.connector.connect(self.name.clone(), stream).await
    }
}
