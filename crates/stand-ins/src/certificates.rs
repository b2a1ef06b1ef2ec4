//! A small certificate authority that issues certificates for hosts. Only for
//! tests and the playground.

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair,
};

/// A certificate authority with its private key.
pub struct TestAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

/// A certificate with its private key, both in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedIdentity {
    /// Certificate of the authority that issued the certificate.
    pub authority: String,
    /// The issued certificate.
    pub certificate: String,
    /// Private key of the certificate.
    pub key: String,
}

impl TestAuthority {
    /// Creates an authority with a new key and a self-signed certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate can't be generated.
    pub fn generate() -> anyhow::Result<TestAuthority> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer =
            CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(TestAuthority { issuer })
    }

    /// Issues a certificate with a new key for the given subject names.
    ///
    /// # Errors
    ///
    /// Returns an error if a name isn't valid in a certificate.
    pub fn issue(&self, names: &[&str]) -> anyhow::Result<IssuedIdentity> {
        let names: Vec<String> =
            names.iter().map(|name| (*name).to_owned()).collect();
        let params = CertificateParams::new(names)?;
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(IssuedIdentity {
            authority: self.issuer.pem(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}
