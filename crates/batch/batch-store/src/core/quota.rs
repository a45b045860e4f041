//! Words about reservations, handed to the partition that they concern.

use super::{Odd, Store};
use crate::answer::Answer;
use batch::wire::{
    AuditRequest, AuditResponse, Message, PlacementMap, ReserveProgress, ReserveRequest,
    ReserveResponse, AUDIT, AUDIT_RESPONSE, RESERVE, RESERVE_PROGRESS, RESERVE_RESPONSE,
};
use bytes::Bytes;
use chain_replication::Millis;

impl<R: Answer> Store<R> {
    /// A word that is for a head which is another one now is dropped: who sent it asks again.
    pub(super) fn quota_word(&mut self, now: Millis, kind: u16, body: &Bytes) -> Result<(), Odd> {
        if self.closed || !self.persistence.is_writable() {
            return Ok(());
        }
        let turn = self.turn(now);
        let number = match kind {
            RESERVE => {
                let call = ReserveRequest::decode(body)?;
                let Some(home) = self.map.as_ref().map(|map| map.home_partition(&call.host)) else {
                    return Ok(());
                };
                if let Some(part) = self.head(home) {
                    part.reserve_asked(turn, call);
                }
                home
            }
            RESERVE_PROGRESS => {
                let note = ReserveProgress::decode(body)?;
                let number = usize::from(note.partition);
                if let Some(part) = self.head(number) {
                    part.reserve_noted(turn, &note);
                }
                number
            }
            RESERVE_RESPONSE => {
                let word = ReserveResponse::decode(body)?;
                let number = usize::from(word.partition);
                if let Some(part) = self.head(number) {
                    part.granted(turn, &word);
                }
                number
            }
            AUDIT => {
                let call = AuditRequest::decode(body)?;
                let number = usize::from(call.partition);
                if let Some(part) = self.head(number) {
                    part.audited(turn, &call);
                }
                number
            }
            AUDIT_RESPONSE => {
                let word = AuditResponse::decode(body)?;
                let number = usize::from(word.home);
                if let Some(part) = self.head(number) {
                    part.left(turn, &word);
                }
                number
            }
            _ => return Err(Odd::Kind),
        };
        self.after(turn, number);
        Ok(())
    }

    /// A map with other heads is in force: what was asked of the heads before them is asked again.
    pub(super) fn heads_changed(&mut self, before: Option<&PlacementMap>) {
        let (Some(before), Some(map)) = (before, self.map.as_ref()) else {
            return;
        };
        let head = |map: &PlacementMap, number: usize| {
            map.partitions.get(number)?.members.first().map(|m| m.addr)
        };
        let changed = |number: &u16| head(before, (*number).into()) != head(map, (*number).into());
        let changed: Vec<u16> = (0u16..)
            .take(map.partitions.len())
            .filter(changed)
            .collect();
        for part in self.parts.iter_mut().flatten() {
            part.heads_changed(&changed);
        }
    }
}
