//! A small authority that makes certificates for hosts, for tests and the
//! playground only.

use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair,
};

/// An authority with its key.
pub struct TestAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

/// A certificate with its key, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedIdentity {
    /// The authority's certificate.
    pub authority: String,
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl TestAuthority {
    /// Makes a new authority.
    ///
    /// # Errors
    ///
    /// Returns an error where no key can be made.
    pub fn generate() -> anyhow::Result<TestAuthority> {
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let issuer =
            CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
        Ok(TestAuthority { issuer })
    }

    /// Issues a certificate for the given names.
    ///
    /// # Errors
    ///
    /// Returns an error where a name can't be in a certificate.
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
