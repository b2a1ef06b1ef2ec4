//! How a host that leaves releases its lease and hands its parts of the
//! customers' rates over.

use super::{MemberTask, decode_share_rows};
use crate::{
    customer::{PartBalance, share::ShareClaim},
    membership::{HostLease, LeasePhase},
    platform::{
        CommitRequest, SHARES_HEAD, SHARES_PREFIX, host_key, share_key,
    },
    tasks::shares::ShareEvent,
    wire::peer::PeerRequest,
};

/// Attempts to write the release of the lease; another host may write its own
/// row or claim a part at the same time.
const MAX_RELEASE_ATTEMPTS: usize = 4;

impl MemberTask {
    /// Gives up the lease and the parts, and hands the parts over to the hosts
    /// that are preferred next. If that fails, these hosts find the parts
    /// vacant once the lease has lapsed.
    pub(super) async fn release(&mut self) {
        self.retired = true;
        let balances =
            crate::tasks::ask(&self.setup.shares, ShareEvent::GiveUp).await;
        let balances = balances.unwrap_or_default();
        let Some(own) = self.own_lease.take() else { return };
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            match self.write_release(&own, &balances).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => {
                    // The shutdown doesn't wait for a table service that is
                    // away.
                    self.record_failure(&error);
                    return;
                }
            }
        }
    }

    /// Writes the release of the lease together with the next holders of the
    /// parts, and tells these holders. Returns whether it was written: it
    /// isn't if a row has changed meanwhile.
    async fn write_release(
        &self,
        own: &HostLease,
        balances: &[PartBalance],
    ) -> anyhow::Result<bool> {
        let mut request = self.read_request(true);
        request.prefixes.push(SHARES_PREFIX.to_owned());
        let answer = self.setup.table.read(&request).await?;
        let leases = self.decode_leases(&answer)?;
        let identity = &self.setup.identity;
        let key = host_key(&identity.zone, &identity.host);
        let lease = HostLease { phase: LeasePhase::Released, ..own.clone() };
        let mut request = CommitRequest::default()
            .check(&key, answer.version(&key))
            .write(&key, &lease);
        let now = self.setup.clock.bound();
        let claims: Vec<ShareClaim> = decode_share_rows(&answer)?
            .iter()
            .filter_map(|row| row.hand_over(&own.tag, &leases, now))
            .collect();
        let mut heirs: Vec<&String> =
            claims.iter().flat_map(|claim| &claim.depends_on).collect();
        heirs.sort();
        heirs.dedup();
        for heir in &heirs {
            let key = host_key(&identity.zone, heir);
            request = request.check(&key, answer.version(&key));
        }
        for claim in &claims {
            let key = share_key(&claim.row.customer);
            request = request
                .check(&key, answer.version(&key))
                .write(&key, &claim.row);
        }
        if !claims.is_empty() {
            let head = answer.version(SHARES_HEAD);
            request =
                request.check(SHARES_HEAD, head).write(SHARES_HEAD, &head);
        }
        let committed = self.setup.table.commit(&request).await?.committed;
        tracing::info!(
            event = "host_released",
            committed,
            handed_over = claims.len(),
        );
        if committed {
            for heir in heirs.iter().filter_map(|heir| leases.get(*heir)) {
                let is_theirs = |balance: &&PartBalance| {
                    claims.iter().any(|claim| {
                        claim.gives(balance, &identity.zone, &heir.tag)
                    })
                };
                let balances = balances.iter().filter(is_theirs).cloned();
                let request = PeerRequest::PartsHandedOver {
                    balances: balances.collect(),
                };
                self.setup.peers.ask(&heir.peer_address, &request).await;
            }
        }
        Ok(committed)
    }
}
