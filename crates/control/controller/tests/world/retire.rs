//! An operator that has a store machine emptied, and asks how far that is.

use super::{Client, Event, World};
use controller::call::{Call, Response};

/// Between questions, in ms.
const EVERY: u64 = 400;

/// How far it is.
#[derive(Default)]
pub struct Retirement {
    pub node: String,
    pub begun: bool,
    pub complete: bool,
}

impl World {
    pub fn retirer_goes_on(&mut self) {
        if self.closed {
            return;
        }
        if self.retirement.node.is_empty() {
            let n = self.dice.below(self.stores.len() as u64) as usize;
            self.retirement.node = self.stores[n].node.clone();
        }
        let controller = self.any_controller();
        self.retirer_asks(controller, 0);
    }

    fn retirer_asks(&mut self, controller: usize, hops: u64) {
        let node = self.retirement.node.clone();
        let ask = if self.retirement.begun {
            Call::GetRetirement { node }
        } else {
            Call::RetireStore { node }
        };
        self.send_call(Client::Retirer, hops, controller, ask);
    }

    pub fn retirer_receives(&mut self, hops: u64, answer: Option<Response>) {
        let status = answer.as_ref().map_or(0, |a| a.status);
        let location = answer.as_ref().and_then(|a| a.location.as_deref());
        if let Some(to) = location
            .and_then(super::clients::controller_of)
            .filter(|_| status == 307 && hops < 2)
        {
            return self.retirer_asks(to, hops + 1);
        }
        let now = self.now;
        let complete = answer.is_some_and(|a| a.body.windows(8).any(|w| w == b"complete"));
        if self.retirement.begun {
            if status == 404 {
                self.checker
                    .broke(now, "a machine that is being emptied was denied".to_owned());
            }
            if status == 200 && self.retirement.complete && !complete {
                self.checker.broke(
                    now,
                    "a machine that was emptied is being emptied again".to_owned(),
                );
            }
            let newly = status == 200 && complete && !self.retirement.complete;
            self.retirement.complete |= newly;
            if newly {
                self.nothing_is_left_on_it();
            }
        } else if status == 200 {
            self.note(|| "retire begun".to_owned());
            self.retirement.begun = true;
        }
        self.after(
            EVERY,
            Event::Wake {
                client: Client::Retirer,
                turn: 0,
            },
        );
    }

    fn nothing_is_left_on_it(&mut self) {
        let (Some(map), node) = (&self.checker.newest_map, &self.retirement.node) else {
            return;
        };
        let Some(store) = self.stores.iter().find(|s| s.node == *node) else {
            return;
        };
        let left = map
            .partitions
            .iter()
            .any(|view| view.members.iter().any(|m| m.addr == store.addr));
        if left {
            let what = format!("{node} is said to be emptied, and a partition is on it");
            self.checker.broke(self.now, what);
        }
    }
}
