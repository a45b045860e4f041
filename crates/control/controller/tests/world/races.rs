//! Orders on one version that race, each sent again and again: answers are lost, or nobody listens
//! for them.

use super::{clients::Put, Client, Event, World};
use controller::call::{Call, Response};

/// Times that an order is sent again, at most.
const AGAIN: u64 = 20;

/// One order, and who sends it.
pub struct Sender {
    pub put: Put,
    /// It is sent so many times more after a clear answer.
    left: u64,
    pause: u64,
    /// Clear answers that came.
    pub answered: u64,
}

impl World {
    /// So many orders on the newest version that was acknowledged, with numbers that are the same
    /// or not.
    pub fn race(&mut self, orders: usize, within: u64) {
        let base = self.checker.newest_acked();
        let gen = base + self.dice.between(1, 3);
        for _ in 0..orders {
            let gen = if self.dice.permille(500) {
                gen
            } else {
                base + self.dice.between(1, 3)
            };
            let put = self.draw_put_on(base, gen, true);
            self.checker.sent(&put);
            let left = if self.dice.permille(500) {
                1
            } else {
                self.dice.between(1, AGAIN)
            };
            self.senders.push(Sender {
                put,
                left,
                pause: 60,
                answered: 0,
            });
            let n = self.senders.len() - 1;
            let first = self.dice.below(within);
            self.after(
                first,
                Event::Wake {
                    client: Client::Race(n),
                    turn: 0,
                },
            );
            // Some go to two controllers at a time.
            if self.dice.permille(300) {
                let second = first + self.dice.below(40);
                self.after(
                    second,
                    Event::Wake {
                        client: Client::Race(n),
                        turn: 0,
                    },
                );
            }
        }
    }

    /// All orders once more, as if none had been answered.
    pub fn send_all_again(&mut self, within: u64) {
        for n in 0..self.senders.len() {
            let at = self.dice.below(within);
            self.senders[n].left += 1;
            self.after(
                at,
                Event::Wake {
                    client: Client::Race(n),
                    turn: 0,
                },
            );
        }
    }

    pub fn racer_sends(&mut self, n: usize) {
        let controller = self.any_controller();
        self.race_to(n, controller, 0);
    }

    fn race_to(&mut self, n: usize, controller: usize, hops: u64) {
        let put = self.senders[n].put.clone();
        self.send_call(
            Client::Race(n),
            hops,
            controller,
            Call::ReplaceConfig {
                base_version: put.base,
                body: put.body,
            },
        );
    }

    pub fn racer_receives(&mut self, n: usize, hops: u64, answer: Option<Response>) {
        let status = answer.as_ref().map_or(0, |a| a.status);
        if status == 307 && hops < 2 {
            if let Some(to) = answer
                .and_then(|a| a.location)
                .and_then(|l| super::clients::controller_of(&l))
            {
                return self.race_to(n, to, hops + 1);
            }
        }
        let put = self.senders[n].put.clone();
        let clear = matches!(status, 200 | 400 | 409 | 412 | 413 | 422);
        match status {
            200 => self.checker.acked(self.now, &put),
            _ if clear => {
                let (now, gen, base) = (self.now, put.gen, put.base);
                if status != 412 {
                    self.checker
                        .broke(now, format!("{gen} on {base} was refused with {status}"));
                }
                self.checker.refused(now, &put, status, false);
            }
            _ => {}
        }
        let sender = &mut self.senders[n];
        sender.answered += u64::from(clear);
        let pause = if clear {
            let Some(left) = sender.left.checked_sub(1) else {
                return;
            };
            sender.left = left;
            sender.pause = 60;
            let long = self.dice.permille(300);
            if long {
                self.dice.between(1_000, 15_000)
            } else {
                self.dice.below(500)
            }
        } else {
            sender.pause = (sender.pause * 3 / 2).min(700);
            sender.pause
        };
        self.after(
            pause,
            Event::Wake {
                client: Client::Race(n),
                turn: 0,
            },
        );
    }

    /// What a controller answers to an order must be so on the disks of others by then.
    pub fn answer_is_kept(&mut self, n: usize, put: &Put, status: u16) {
        if !matches!(status, 200 | 412) || self.controllers.iter().any(|k| !k.is_up()) {
            return;
        }
        let digest = controller::control_state::digest(&put.body);
        let kept = self.controllers.iter().enumerate().any(|(m, k)| {
            let control = k
                .core()
                .filter(|_| m != n)
                .map(|o| o.chain().state_machine());
            control.is_some_and(|c| match status {
                200 => c.accepted_version(put.base, &digest).is_some(),
                _ => c.config_version() != put.base,
            })
        });
        if !kept {
            let what = format!(
                "{} on {} was answered with {status}, which nobody else has",
                put.gen, put.base
            );
            self.checker.broke(self.now, what);
        }
    }
}

/// Troubles that a test of races brings about.
impl World {
    /// The controller that leads, as far as is known.
    pub fn head(&self) -> usize {
        let view = self.checker.view.as_ref();
        let head = view.and_then(|v| v.view.members.first());
        head.and_then(|m| self.controllers.iter().position(|k| k.is(m)))
            .unwrap_or(0)
    }

    /// It is killed within a tenth of a second.
    pub fn kill_soon(&mut self, n: usize, back: u64) {
        let then = self.now + self.dice.below(100);
        self.play(then);
        if self.controllers[n].is_up() {
            self.kill_controller(n, back);
        }
    }

    /// It loses power within a tenth of a second.
    pub fn power_off_soon(&mut self, n: usize, back: u64) {
        let then = self.now + self.dice.below(100);
        self.play(then);
        if self.controllers[n].is_up() {
            self.power_off(n, back);
        }
    }

    /// All disks take long to sync.
    pub fn slow_disks(&mut self) {
        let until = self.now + 1_500;
        for n in 0..self.controllers.len() {
            self.controllers[n].slow_until = until;
            self.slowed_until(n, until);
        }
    }
}
