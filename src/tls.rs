//! TLS for connections as a client, by rustls. Certificates and keys are read once and shared by all
//! connections.

use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// The contents of the PEM files that configure a connection, and the server's name.
#[derive(Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificates of the authorities that are trusted.
    pub authorities: Vec<u8>,
    /// The client's certificate chain and private key, or `None` without client authentication.
    pub client_identity: Option<(Vec<u8>, Vec<u8>)>,
    /// The name that the server's certificate must hold, or `None` for its IP address.
    pub server_name: Option<String>,
}

/// A TLS configuration for connections as a client.
#[derive(Clone)]
pub struct Tls {
    files: TlsFiles,
    config: Arc<ClientConfig>,
    server_name: Option<ServerName<'static>>,
}

impl fmt::Debug for Tls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Leaves out the private key.
        f.debug_struct("Tls").field("name", &self.files.server_name).finish()
    }
}

impl PartialEq for Tls {
    fn eq(&self, other: &Self) -> bool {
        self.files == other.files
    }
}

/// An invalid [`TlsFiles`] field, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TlsError {
    /// The authorities' certificates.
    Authorities(String),
    /// The client's certificates.
    Certificate(String),
    /// The client's key, or a key that does not match the certificates.
    Key(String),
    /// The server's name.
    ServerName(String),
}

impl Tls {
    /// Creates a configuration from the contents of PEM files.
    ///
    /// # Errors
    /// [`TlsError`] if a certificate, the key or the name is invalid.
    pub fn new(files: TlsFiles) -> Result<Self, TlsError> {
        let certificates = |pem: &[u8]| -> Result<Vec<CertificateDer<'static>>, String> {
            let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
            let read = read.map_err(|e| e.to_string())?;
            if read.is_empty() { Err("it holds no certificate".into()) } else { Ok(read) }
        };
        let mut roots = RootCertStore::empty();
        for authority in certificates(&files.authorities).map_err(TlsError::Authorities)? {
            roots.add(authority).map_err(|e| TlsError::Authorities(e.to_string()))?;
        }
        let builder = ClientConfig::builder_with_provider(Arc::new(default_provider()))
            .with_safe_default_protocol_versions()
            .map_err(|e| TlsError::Authorities(e.to_string()))?
            .with_root_certificates(roots);
        let config = match &files.client_identity {
            None => builder.with_no_client_auth(),
            Some((chain, key)) => {
                let chain = certificates(chain).map_err(TlsError::Certificate)?;
                let key = PrivateKeyDer::from_pem_slice(key).map_err(|e| TlsError::Key(e.to_string()))?;
                builder.with_client_auth_cert(chain, key).map_err(|e| TlsError::Key(e.to_string()))?
            }
        };
        let server_name = files.server_name.clone().map(ServerName::try_from).transpose();
        let server_name = server_name.map_err(|e| TlsError::ServerName(e.to_string()))?;
        Ok(Self { files, config: Arc::new(config), server_name })
    }

    /// Returns a connector, and the name that the certificate of the server at this address must hold.
    pub fn connector_for(&self, address: IpAddr) -> (TlsConnector, ServerName<'static>) {
        let name = self.server_name.clone().unwrap_or_else(|| ServerName::IpAddress(address.into()));
        (TlsConnector::from(self.config.clone()), name)
    }
}
