//! Frames without a response: messages of chains, leases, and messages about reservations, handed
//! to the partition that they concern.

use super::{FrameError, Lifecycle, Store};
use crate::partition::{Context, Partition};
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
        let ChainFrame { partition, body } = ChainFrame::decode_shared(body)
            .ok_or_else(|| DecodeError::Malformed("a chain frame of another length".into()))?;
        let message = ChainMessage::decode(&body)?;
        if !self.health.is_writable() {
            return Ok(());
        }
        let context = self.context(now);
        let number = usize::from(partition);
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
        match kind {
            RESERVE => {
                let request = ReserveRequest::decode(body)?;
                let Some(map) = self.map.as_ref() else {
                    return Ok(());
                };
                let home = map.home_partition(&request.job.host);
                self.with_head(context, home, |partition| {
                    partition.handle_reserve_request(context, &request);
                });
            }
            RESERVE_PROGRESS => {
                let progress = ReserveProgress::decode(body)?;
                self.with_head(context, progress.attempt.partition.into(), |partition| {
                    partition.handle_reserve_progress(context, &progress);
                });
            }
            RESERVE_RESPONSE => {
                let response = ReserveResponse::decode(body)?;
                self.with_head(context, response.attempt.partition.into(), |partition| {
                    partition.handle_reserve_response(context, &response);
                });
            }
            AUDIT => {
                let request = AuditRequest::decode(body)?;
                self.with_head(context, request.partition.into(), |partition| {
                    partition.handle_audit_request(context, &request);
                });
            }
            AUDIT_RESPONSE => {
                let response = AuditResponse::decode(body)?;
                self.with_head(context, response.home.into(), |partition| {
                    partition.handle_audit_response(context, &response);
                });
            }
            _ => return Err(FrameError::UnknownKind),
        }
        Ok(())
    }

    /// Hands a message to a partition if this store is its head, and takes over the effects.
    fn with_head(
        &mut self,
        context: Context,
        number: usize,
        handle: impl FnOnce(&mut Partition<R>),
    ) {
        if let Some(partition) = self.head_mut(number) {
            handle(partition);
        }
        self.collect_effects(context, number);
    }
}
