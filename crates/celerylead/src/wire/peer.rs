//! Messages between hosts: postcard over QUIC, one stream for each message.
//!
//! Both ends present a certificate issued by the fleet's own certificate
//! authority. The handshake fails for a peer without one.

use std::{sync::Arc, time::Duration};

use anyhow::Context as _;
use quinn::{
    ClientConfig, Endpoint, IdleTimeout, ServerConfig, TransportConfig,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
    server::WebPkiClientVerifier,
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::EpochMillis,
    customer::{PartBalance, PartTokens, share::PartKind},
    settings::SettingsState,
    usage::UsageBatch,
};

/// Name in the certificate of every host.
pub const PEER_NAME: &str = "celerylead-host";
/// ALPN protocol name. It has to change whenever the messages change, unless
/// hosts that don't know a new message can do without it.
const PEER_PROTOCOL: &[u8] = b"celerylead-peer/1";
/// Time without a packet after which a connection is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between keep-alive packets on an idle connection.
const PEER_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Size limit of a message.
pub(crate) const MAX_PEER_BYTES: usize = 16 << 20;

/// Request from one host to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerRequest {
    /// Asks for up to this many tokens of a customer's rate.
    Grant { customer: String, tokens: u64 },
    /// Settles a grant: `ended` of the granted tokens are spent or will never
    /// be spent, and `spare` tokens weren't needed.
    SettleGrant { customer: String, kind: PartKind, ended: u64, spare: u64 },
    /// Asks for the settings if they are newer than revision `above`.
    Settings { above: u64 },
    /// Asks the peer to keep a copy of usage records until they are confirmed.
    KeepUsage { batch: UsageBatch },
    /// States that the usage records of this name are in the object store.
    ConfirmUsage { name: String },
    /// States that the sender, which is leaving, has handed parts of rates
    /// over to the peer. A peer that doesn't know this message finds the parts
    /// with its next poll.
    PartsHandedOver { balances: Vec<PartBalance> },
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerResponse {
    /// The tokens granted.
    Granted(PartTokens),
    /// The request was handled; there is no result.
    Done,
    /// The settings in force on the responding host.
    Settings(PeerSettings),
    /// No tokens are granted, as the responding host is leaving and has given
    /// up its parts; their next holders are known to the table.
    HandedOver,
}

/// The settings in force on another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PeerSettings {
    /// Revision of the settings.
    pub(crate) revision: u64,
    /// The settings state, if it is newer than the revision in the request.
    pub(crate) state: Option<SettingsState>,
    /// Time at which the platform last confirmed that the revision is the
    /// newest.
    pub(crate) confirmed: EpochMillis,
}

/// Certificate, private key and certificate authority of a host, in PEM.
#[derive(Clone)]
pub struct PeerIdentity {
    /// The certificate authority whose certificates are accepted.
    pub authority: String,
    /// This host's certificate.
    pub certificate: String,
    /// This host's private key.
    pub key: String,
}

impl PeerIdentity {
    /// Opens the QUIC endpoint, which both accepts connections from other
    /// hosts and connects to them.
    pub(crate) fn endpoint(&self, listen: &str) -> anyhow::Result<Endpoint> {
        let address = listen.parse().context("peer address is not IP:PORT")?;
        let mut endpoint = Endpoint::server(self.server()?, address)
            .with_context(|| format!("step=listen peer={listen}"))?;
        endpoint.set_default_client_config(self.client()?);
        Ok(endpoint)
    }

    fn server(&self) -> anyhow::Result<ServerConfig> {
        let roots = Arc::new(self.roots()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(
            roots,
            crypto_provider(),
        )
        .build()?;
        let mut config =
            rustls::ServerConfig::builder_with_provider(crypto_provider())
                .with_protocol_versions(&[&rustls::version::TLS13])?
                .with_client_cert_verifier(verifier)
                .with_single_cert(self.chain()?, self.private_key()?)?;
        config.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
        let crypto = QuicServerConfig::try_from(config)?;
        let mut server = ServerConfig::with_crypto(Arc::new(crypto));
        server.transport_config(transport());
        Ok(server)
    }

    fn client(&self) -> anyhow::Result<ClientConfig> {
        let mut config =
            rustls::ClientConfig::builder_with_provider(crypto_provider())
                .with_protocol_versions(&[&rustls::version::TLS13])?
                .with_root_certificates(self.roots()?)
                .with_client_auth_cert(self.chain()?, self.private_key()?)?;
        config.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
        let crypto = QuicClientConfig::try_from(config)?;
        let mut client = ClientConfig::new(Arc::new(crypto));
        client.transport_config(transport());
        Ok(client)
    }

    fn roots(&self) -> anyhow::Result<RootCertStore> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&self.authority)? {
            roots.add(certificate)?;
        }
        Ok(roots)
    }

    fn chain(&self) -> anyhow::Result<Vec<CertificateDer<'static>>> {
        certificates(&self.certificate)
    }

    fn private_key(&self) -> anyhow::Result<PrivateKeyDer<'static>> {
        private_key(&self.key)
    }
}

/// Parses the certificates in a PEM text.
pub(crate) fn certificates(
    pem: &str,
) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let read = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .context("certificate is not PEM")?;
    if read.is_empty() {
        anyhow::bail!("there is no certificate in the PEM text");
    }
    Ok(read)
}

/// Parses the private key in a PEM text.
pub(crate) fn private_key(
    pem: &str,
) -> anyhow::Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_slice(pem.as_bytes())
        .context("private key is not PEM")
}

/// Returns the cryptography provider that all TLS of the host uses.
pub(crate) fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::try_from(PEER_IDLE_TIMEOUT);
    transport.max_idle_timeout(idle.ok());
    transport.keep_alive_interval(Some(PEER_KEEP_ALIVE_INTERVAL));
    Arc::new(transport)
}
