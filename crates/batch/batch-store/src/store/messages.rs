//! Frames without a response: messages of chains, leases, and messages about reservations, handed
//! to the partition that they concern.

use super::{FrameError, Lifecycle, Store};
use crate::responder::Responder;
use batch::wire::{
    AuditRequest, AuditResponse, ChainFrame, DecodeError, LeaseGrant, Message as _,
    ReserveProgress, ReserveRequest, ReserveResponse, AUDIT, AUDIT_RESPONSE, CHAIN, LEASE_GRANT,
    RESERVE, RESERVE_PROGRESS, RESERVE_RESPONSE,
};
use bytes::Bytes;
use chain_replication::{Message as ChainMessage, Millis};
use std::net::SocketAddr;

impl<R: Responder> Store<R> {
    /// A frame that needs no response.
    ///
    /// # Errors
    /// The frame can't be read, or is a lease that no controller grants. The store's state is as
    /// before.
    pub fn handle_message(
        &mut self,
        now: Millis,
        from: SocketAddr,
        kind: u16,
        body: &Bytes,
    ) -> Result<(), FrameError> {
        match kind {
            CHAIN => self.handle_chain_frame(now, from, body),
            LEASE_GRANT => self.handle_grant(now, from, &LeaseGrant::decode(body)?),
            RESERVE | RESERVE_PROGRESS | RESERVE_RESPONSE | AUDIT | AUDIT_RESPONSE => {
                self.handle_quota_message(now, kind, body)
            }
            _ => Err(FrameError::UnknownKind),
        }
    }

    fn handle_chain_frame(
        &mut self,
        now: Millis,
        from: SocketAddr,
        body: &Bytes,
    ) -> Result<(), FrameError> {
        let (number, body) = ChainFrame::split(body)
            .ok_or_else(|| DecodeError::Malformed("a chain frame of another length".into()))?;
        let message = ChainMessage::decode(&body)?;
        if !self.health.is_writable() {
            return Ok(());
        }
        let context = self.context(now);
        let number = usize::from(number);
        if let Some(partition) = self.partition_mut(number) {
            partition.handle_chain_message(context, from, message);
            self.collect_effects(context, number);
            self.serve_fetches(context);
        }
        Ok(())
    }

    /// A message about reservations. One for a head that is another one by now is dropped: its
    /// sender sends it again.
    pub(super) fn handle_quota_message(
        &mut self,
        now: Millis,
        kind: u16,
        body: &Bytes,
    ) -> Result<(), FrameError> {
        if self.lifecycle == Lifecycle::Closed || !self.health.is_writable() {
            return Ok(());
        }
        let context = self.context(now);
        let number = match kind {
            RESERVE => {
                let request = ReserveRequest::decode(body)?;
                let Some(map) = self.map.as_ref() else {
                    return Ok(());
                };
                let home = map.home_partition(&request.job.host);
                if let Some(partition) = self.head_mut(home) {
                    partition.handle_reserve_request(context, &request);
                }
                home
            }
            RESERVE_PROGRESS => {
                let progress = ReserveProgress::decode(body)?;
                let number = usize::from(progress.attempt.partition);
                if let Some(partition) = self.head_mut(number) {
                    partition.handle_reserve_progress(context, &progress);
                }
                number
            }
            RESERVE_RESPONSE => {
                let response = ReserveResponse::decode(body)?;
                let number = usize::from(response.attempt.partition);
                if let Some(partition) = self.head_mut(number) {
                    partition.handle_reserve_response(context, &response);
                }
                number
            }
            AUDIT => {
                let request = AuditRequest::decode(body)?;
                let number = usize::from(request.partition);
                if let Some(partition) = self.head_mut(number) {
                    partition.handle_audit_request(context, &request);
                }
                number
            }
            AUDIT_RESPONSE => {
                let response = AuditResponse::decode(body)?;
                let number = usize::from(response.home);
                if let Some(partition) = self.head_mut(number) {
                    partition.handle_audit_response(context, &response);
                }
                number
            }
            _ => return Err(FrameError::UnknownKind),
        };
        self.collect_effects(context, number);
        Ok(())
    }
}
