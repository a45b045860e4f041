//! Cuts of twenty seconds and more: of the head, the middle, the tail, a whole zone, one way, both,
//! several in a row; and a controller that stands still for so long.

use super::{Event, Machine, World, SYNC};

/// Shortest and longest span, in ms.
const SPAN: (u64, u64) = (20_000, 24_000);
/// In so many of a thousand the next begins soon after the end of the one before, before it is
/// settled.
const UNSETTLED: u64 = 300;
/// In so many of a thousand the next begins while the one before lasts: then no side may have a
/// majority.
const WITHIN: u64 = 200;

impl World {
    /// One of the cuts, at a member of the chain mostly.
    pub fn long_cut(&mut self) {
        let members: Vec<usize> = self
            .checker
            .view
            .iter()
            .flat_map(|v| &v.view.members)
            .collect::<Vec<_>>()
            .into_iter()
            .filter_map(|m| self.controllers.iter().position(|k| k.is_up() && k.is(m)))
            .collect();
        let up: Vec<usize> = (0..self.controllers.len())
            .filter(|n| self.controllers[*n].is_up())
            .collect();
        let n = if members.is_empty() || self.dice.permille(150) {
            *self.dice.pick(&up)
        } else {
            *self.dice.pick(&members)
        };
        let span = self.dice.between(SPAN.0, SPAN.1);
        let how = self.plan.kind.unwrap_or_else(|| self.dice.below(7));
        self.cut_off(n, how, span);
        if self.plan.disks {
            self.disk_fault_during_cut(n, span);
        }
        let last = self.faults_left == 0;
        let next = if !last && self.dice.permille(WITHIN) {
            self.dice.between(2_000, span)
        } else if !last && self.dice.permille(UNSETTLED) {
            span + self.dice.between(100, 2_000)
        } else {
            span + SYNC + self.dice.between(500, 3_000)
        };
        self.after(next, Event::Fault);
    }

    /// While the cut lasts, a disk is full or stalls: that of the one that is cut off, or, where
    /// two may be lost, another's.
    fn disk_fault_during_cut(&mut self, n: usize, span: u64) {
        let others: Vec<usize> = (0..self.controllers.len())
            .filter(|m| *m != n && self.controllers[*m].is_up())
            .collect();
        let m = if self.plan.budget.nodes > 1 {
            *self.dice.pick(&others)
        } else {
            n
        };
        let (full, after) = (self.dice.permille(500), self.dice.below(span / 2));
        let lasts = self.dice.between(3_000, span / 2);
        self.after(
            after,
            Event::DiskFault {
                controller: m,
                span: lasts,
                full,
            },
        );
    }

    /// Cuts this controller off in one of seven ways.
    pub fn cut_off(&mut self, n: usize, how: u64, span: u64) {
        let until = self.now + span;
        self.note(|| format!("controller {n} is cut off ({how}) for {span}"));
        match how {
            0 => self.cut_around(n, until, (true, true), false),
            1 => self.cut_around(n, until, (true, false), false),
            2 => self.cut_around(n, until, (false, true), false),
            3 => self.cut_around(n, until, (true, true), true),
            4 => return self.cut_zone(n, until),
            5 => {
                self.freeze(n, span);
                self.controllers[n].troubled_at = until;
            }
            _ => self.cut_around(n, until, (true, false), true),
        }
        self.controllers[n].cut = Some((self.now, until));
    }

    /// Everything in the zone of this controller loses everything outside of it. The side that has
    /// over half of the core goes on; what is on the other side is lost, and both are if neither
    /// has.
    pub fn cut_zone(&mut self, n: usize, until: u64) {
        let zone = self.controllers[n].zone.clone();
        let is_inside = |own: &str| own == zone;
        let core = |inside: bool| {
            let side = |k: &&Machine| k.has_disk && !k.removed && is_inside(&k.zone) == inside;
            self.controllers.iter().filter(side).count()
        };
        let (inner, outer) = (core(true), core(false));
        let loses = |inside: bool| {
            if inside {
                inner <= outer
            } else {
                outer <= inner
            }
        };
        let mut sides = [Vec::new(), Vec::new()];
        let mut lost = Vec::new();
        for (m, controller) in self.controllers.iter_mut().enumerate() {
            let inside = is_inside(&controller.zone);
            sides[usize::from(inside)].push(controller.addr);
            if loses(inside) && controller.is_up() {
                controller.troubled_at = until;
                controller.cut = Some((self.now, until));
                lost.push(m);
            }
        }
        for dispatcher in &mut self.dispatchers {
            let inside = is_inside(&dispatcher.zone);
            sides[usize::from(inside)].push(dispatcher.addr);
            if loses(inside) && dispatcher.is_up() {
                dispatcher.troubled_at = until;
            }
        }
        for store in &mut self.stores {
            let inside = is_inside(&store.zone);
            sides[usize::from(inside)].push(store.addr);
            if loses(inside) && store.is_up() {
                store.troubled_at = until;
                store.cut = Some((self.now, until));
            }
        }
        lost.into_iter().for_each(|m| self.loses_until(m, until));
        let [outside, inside] = sides;
        for a in &inside {
            for b in &outside {
                self.network.cut(*a, *b, self.now, until);
                self.network.cut(*b, *a, self.now, until);
            }
        }
    }

    /// Since when a machine's trouble has been over for the others; a long cut troubles them as it
    /// begins and as it ends.
    pub fn calm_for_others(&self, cut: Option<(u64, u64)>, ends: u64) -> u64 {
        match cut {
            Some((from, until)) if until == ends && self.now < until => from,
            _ => ends,
        }
    }
}

/// What dispatchers hold of runners while nobody has a majority.
impl World {
    /// The runners that every dispatcher holds for up.
    pub fn runners_held_up(&self) -> Vec<String> {
        let up = |id: &String| {
            self.dispatchers
                .iter()
                .all(|d| d.runner(id) == Some(runner_registry::RunnerState::Up))
        };
        self.runners.iter().map(|r| r.id()).filter(up).collect()
    }

    /// Of these, whoever has said nothing else since is still held for up by every dispatcher.
    pub fn runners_that_go_on_are_held(&mut self, ids: &[String]) {
        for runner in &self.runners {
            let id = runner.id();
            if !ids.contains(&id) || !runner.is_settled(self.now) {
                continue;
            }
            for (n, dispatcher) in self.dispatchers.iter().enumerate() {
                let state = dispatcher.runner(&id);
                if state != Some(runner_registry::RunnerState::Up) {
                    self.checker
                        .broken
                        .get_or_insert_with(|| format!("dispatcher {n} holds {id} for {state:?}"));
                }
            }
        }
    }
}
