//! One runner: slots, a queue, prompts read one after the other, a cache of parts that forgets the oldest.

use std::collections::{HashMap, VecDeque};

#[derive(Debug, Clone)]
pub struct Job {
    pub id: u64,
    pub prefix: Vec<(u64, u32)>,
    pub tokens_in: u32,
    pub tokens_out: u32,
}

#[derive(Debug, Clone, Copy)]
pub struct Make {
    pub slots: usize,
    pub queue: usize,
    /// Tokens read in a millisecond.
    pub reads: f64,
    /// Milliseconds for a token, and what each request beside it adds.
    pub step: f64,
    pub step_each: f64,
    pub kv: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    First(u64),
    Done(u64),
}

#[derive(Debug)]
pub struct Model {
    pub make: Make,
    /// Takes requests and says nothing.
    pub dark: bool,
    waiting: VecDeque<Job>,
    reading: VecDeque<(Job, f64)>,
    running: Vec<(Job, f64)>,
    cache: HashMap<u64, (u64, u32)>,
    cached: u64,
    clock: u64,
    pub told: VecDeque<(u32, u32)>,
    /// Tokens of long shared parts asked for, and those of them that were in memory.
    pub shared: (u64, u64),
    pub received: u64,
    pub most_waiting: usize,
}

impl Model {
    pub fn new(make: Make) -> Self {
        Model {
            make,
            dark: false,
            waiting: VecDeque::new(),
            reading: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            cached: 0,
            clock: 0,
            told: VecDeque::new(),
            shared: (0, 0),
            received: 0,
            most_waiting: 0,
        }
    }

    pub fn load(&self) -> (u32, u32) {
        (
            self.running.len() as u32,
            (self.reading.len() + self.waiting.len()) as u32,
        )
    }

    /// As `/-/report` tells it: of a hundred milliseconds ago.
    pub fn lagged(&self) -> (u32, u32) {
        self.told.front().copied().unwrap_or((0, 0))
    }

    pub fn kv_in_use(&self) -> u64 {
        let jobs = self
            .running
            .iter()
            .map(|(j, _)| j)
            .chain(self.reading.iter().map(|(j, _)| j));
        jobs.map(|j| u64::from(j.tokens_in + j.tokens_out)).sum()
    }

    /// False: full.
    pub fn push(&mut self, job: Job) -> bool {
        self.received += 1;
        if self.dark {
            return true;
        }
        if self.waiting.len() >= self.make.queue {
            return false;
        }
        self.waiting.push_back(job);
        self.most_waiting = self.most_waiting.max(self.waiting.len());
        true
    }

    pub fn drop_all(&mut self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.waiting.drain(..).map(|j| j.id).collect();
        ids.extend(self.reading.drain(..).map(|(j, _)| j.id));
        ids.extend(self.running.drain(..).map(|(j, _)| j.id));
        ids
    }

    /// Removes one that its caller gave up.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|j| j.id != id);
        self.reading.retain(|(j, _)| j.id != id);
        self.running.retain(|(j, _)| j.id != id);
    }

    fn unread(&mut self, job: &Job) -> f64 {
        let mut hit = true;
        let mut unread = 0;
        for (n, (id, tokens)) in job.prefix.iter().enumerate() {
            self.clock += 1;
            let known = self
                .cache
                .get_mut(id)
                .map(|(used, _)| *used = self.clock)
                .is_some();
            hit &= known;
            if !known {
                self.cache.insert(*id, (self.clock, *tokens));
                self.cached += u64::from(*tokens);
            }
            if n + 1 < job.prefix.len() && *tokens >= 2_000 {
                self.shared.0 += u64::from(*tokens);
                self.shared.1 += u64::from(if hit { *tokens } else { 0 });
            }
            unread += if hit { 0 } else { *tokens };
        }
        let room = self.make.kv.saturating_sub(self.kv_in_use());
        if self.cached > room {
            let mut oldest: Vec<(u64, u64, u32)> = self
                .cache
                .iter()
                .map(|(id, (u, t))| (*u, *id, *t))
                .collect();
            oldest.sort_unstable();
            for (_, id, tokens) in oldest {
                if self.cached <= room * 9 / 10 {
                    break;
                }
                self.cache.remove(&id);
                self.cached -= u64::from(tokens);
            }
        }
        f64::from(unread)
    }

    /// A millisecond.
    pub fn tick(&mut self, out: &mut Vec<Event>) {
        self.told.push_back(self.load());
        if self.told.len() > 100 {
            self.told.pop_front();
        }
        if self.dark {
            return;
        }
        while self.running.len() + self.reading.len() < self.make.slots {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            let unread = self.unread(&job);
            self.reading.push_back((job, unread));
        }
        let mut budget = self.make.reads;
        while let Some((_, left)) = self.reading.front_mut() {
            if *left > budget {
                *left -= budget;
                break;
            }
            budget -= *left;
            let (job, _) = self.reading.pop_front().unwrap();
            out.push(Event::First(job.id));
            let tokens = f64::from(job.tokens_out);
            self.running.push((job, tokens));
        }
        // Reading takes from what runs beside it.
        let share = if budget < self.make.reads { 0.5 } else { 1.0 };
        let tokens = share / (self.make.step + self.make.step_each * self.running.len() as f64);
        self.running
            .iter_mut()
            .for_each(|(_, left)| *left -= tokens);
        out.extend(
            self.running
                .iter()
                .filter(|(_, left)| *left <= 0.0)
                .map(|(job, _)| Event::Done(job.id)),
        );
        self.running.retain(|(_, left)| *left > 0.0);
    }
}
