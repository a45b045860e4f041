//! A model of one engine box, without I/O: slots, cores that are shared, a queue, a cold start, keys that are kept,
//! and the ways in which boxes fail. The stand-in on sockets and the emulator in virtual time drive the same one.

use dispatch_api::Micros;
use std::collections::VecDeque;

/// In which order a box starts what waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The first waits until it fits, and all others behind it.
    Fifo,
    /// The first that fits.
    Backfill,
    /// By class, the highest first; the head waits until it fits.
    Priority,
}

/// What a box is like.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Its machine kind, by number.
    pub kind: u32,
    /// Its zone, by number.
    pub zone: u32,
    /// Cores.
    pub cores: f64,
    /// Standard work done by a core in its time.
    pub speed: f64,
    /// Slots.
    pub slots: f64,
    /// Jobs that may wait.
    pub queue: usize,
    /// How they are started.
    pub order: Order,
    /// A cold box is warm after this.
    pub cold_for: Micros,
    /// Share of its capacity that it starts with.
    pub start_capacity: f64,
    /// More than this multiple of its present capacity, sent ...
    pub tip_multiple: f64,
    /// ... within this, pushes a cold box over.
    pub tip_window: Micros,
    /// Keys that it keeps what they need for.
    pub kept_keys: usize,
    /// How long it takes to fetch what a key needs.
    pub fetch: Micros,
    /// Standard work that one probe takes from it.
    pub probe_work: Micros,
    /// How often it tells how far a job is.
    pub note_every: Micros,
    /// Running jobs stop when they are called off.
    pub stops_running: bool,
    /// Connections that may be open together, where they are modelled.
    pub connections: usize,
    /// Standard work that one new connection takes from it, likewise.
    pub handshake_work: Micros,
}

/// One attempt, as it reaches a box.
#[derive(Debug, Clone, PartialEq)]
pub struct Task {
    /// A number that never returns.
    pub id: u64,
    /// The class, by number.
    pub class: usize,
    /// The only kind of box that runs it.
    pub kind: Option<u32>,
    /// Its class's priority.
    pub priority: u32,
    /// Slots.
    pub slots: f64,
    /// Standard work of a core on each slot.
    pub work: Micros,
    /// What it needs there.
    pub key: Option<u64>,
    /// Who sent it had been told of the box's last start.
    pub informed: bool,
}

/// What a box says about a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Word {
    /// It has begun.
    Started(u64),
    /// So large a share of it is done.
    Running(u64, f64),
    /// It is done.
    Done(u64),
    /// It was turned away unstarted.
    Declined(u64),
    /// It was killed; it may have run.
    Lost(u64),
}

/// How a box is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    /// It works.
    Up,
    /// It takes work, and neither does nor says anything.
    Hung,
    /// It works at this share of its speed.
    Slow(f64),
    /// Its process is gone: connections are refused.
    Down,
    /// It was pushed over while it was cold, and stays down.
    Fallen,
}

#[derive(Debug)]
struct Running {
    task: Task,
    left: f64,
    whole: f64,
    note_at: Micros,
}

/// One box.
#[derive(Debug)]
pub struct Engine {
    shape: Shape,
    health: Health,
    /// When it last started; none for long ago.
    started: Option<Micros>,
    now: Micros,
    waiting: VecDeque<Task>,
    running: Vec<Running>,
    /// The latest used are at the back.
    kept: VecDeque<u64>,
    /// Work sent lately, while it is cold, and whether by those who had been told of its start.
    pressed: VecDeque<(Micros, f64, bool)>,
    draining: bool,
}

impl Engine {
    /// A box that has been up for long.
    pub fn new(shape: Shape) -> Self {
        let (waiting, running, kept, pressed) = Default::default();
        Engine {
            shape,
            health: Health::Up,
            started: None,
            now: 0,
            waiting,
            running,
            kept,
            pressed,
            draining: false,
        }
    }

    /// What it is like.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// How it is.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether it can be connected to.
    pub fn reachable(&self) -> bool {
        !matches!(self.health, Health::Down | Health::Fallen)
    }

    /// When it last started; none for long ago.
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// Whether it drains.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// It finishes what it has and hands back what has not started; what still comes is turned away.
    pub fn drain(&mut self, now: Micros) -> Vec<Word> {
        let mut words = self.advance(now);
        self.draining = true;
        words.extend(self.waiting.drain(..).map(|t| Word::Declined(t.id)));
        words
    }

    /// It gets better or worse; what it holds stays. For its process's end see [`Engine::kill`].
    pub fn set_health(&mut self, now: Micros, health: Health) -> Vec<Word> {
        let words = self.advance(now);
        self.health = health;
        words
    }

    /// Its process ends, and with it all that it holds.
    pub fn kill(&mut self, now: Micros) -> Vec<Word> {
        let mut words = self.advance(now);
        self.health = Health::Down;
        words.extend(self.drop_all());
        words
    }

    fn drop_all(&mut self) -> Vec<Word> {
        self.kept.clear();
        let running = self.running.drain(..).map(|r| r.task.id);
        running
            .chain(self.waiting.drain(..).map(|t| t.id))
            .map(Word::Lost)
            .collect()
    }

    /// Its process starts, cold; also one that drained or had fallen.
    pub fn start(&mut self, now: Micros) {
        self.advance(now);
        self.drop_all();
        self.pressed.clear();
        (self.health, self.started, self.draining) = (Health::Up, Some(now), false);
    }

    /// The share of its capacity that it has by now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / self.shape.cold_for.max(1) as f64;
        (self.shape.start_capacity + (1.0 - self.shape.start_capacity) * age).min(1.0)
    }

    fn used(&self) -> f64 {
        self.running.iter().map(|r| r.task.slots).sum()
    }

    /// Slots that are free, and jobs that are held.
    pub fn load(&self) -> (f64, usize) {
        (
            (self.shape.slots - self.used()).max(0.0),
            self.running.len() + self.waiting.len(),
        )
    }

    /// Standard work done in a microsecond on each slot that is taken.
    fn rate(&self) -> f64 {
        let health = match self.health {
            Health::Up => 1.0,
            Health::Slow(share) => share,
            Health::Hung | Health::Down | Health::Fallen => 0.0,
        };
        let shared = (self.shape.cores / self.used().max(1.0e-9)).min(1.0);
        self.shape.speed * health * self.warmth(self.now) * shared
    }

    /// When [`Engine::advance`] is wanted next.
    pub fn next(&self) -> Option<Micros> {
        let rate = self.rate();
        if rate <= 0.0 {
            return None;
        }
        let done = self
            .running
            .iter()
            .map(|r| self.now + ((r.left / rate).ceil() as Micros).max(1));
        let note = self.running.iter().map(|r| r.note_at.max(self.now + 1));
        // While it warms up its rate changes: it is taken anew now and then.
        let warmer =
            (self.warmth(self.now) < 1.0 && !self.running.is_empty()).then_some(self.now + 50_000);
        done.chain(note).chain(warmer).min()
    }

    /// Lets the time pass, and returns what it says by then.
    pub fn advance(&mut self, now: Micros) -> Vec<Word> {
        let mut words = Vec::new();
        while let Some(at) = self.next().filter(|at| *at <= now) {
            self.work_until(at);
            self.finish_done(&mut words);
            self.note(&mut words);
            self.start_waiting(&mut words);
        }
        self.work_until(now);
        words
    }

    fn work_until(&mut self, at: Micros) {
        let done = self.rate() * at.saturating_sub(self.now) as f64;
        self.running.iter_mut().for_each(|r| r.left -= done);
        self.now = self.now.max(at);
    }

    fn finish_done(&mut self, words: &mut Vec<Word>) {
        self.running.retain(|r| {
            let done = r.left <= 1.0e-6;
            if done {
                words.push(Word::Done(r.task.id));
            }
            !done
        });
    }

    fn note(&mut self, words: &mut Vec<Word>) {
        let (now, every) = (self.now, self.shape.note_every.max(1));
        for r in self.running.iter_mut().filter(|r| r.note_at <= now) {
            r.note_at = now + every;
            words.push(Word::Running(
                r.task.id,
                (1.0 - r.left / r.whole).clamp(0.0, 1.0),
            ));
        }
    }

    /// A probe takes a little of what all running jobs would have had.
    pub fn probed(&mut self, now: Micros) -> Vec<Word> {
        self.spends(now, self.shape.probe_work)
    }

    /// A new connection takes a little, likewise.
    pub fn connected(&mut self, now: Micros) -> Vec<Word> {
        self.spends(now, self.shape.handshake_work)
    }

    fn spends(&mut self, now: Micros, work: Micros) -> Vec<Word> {
        let words = self.advance(now);
        let each = work as f64 / self.shape.cores.max(1.0);
        self.running.iter_mut().for_each(|r| r.left += each);
        words
    }

    /// A task arrives.
    pub fn arrive(&mut self, now: Micros, task: Task) -> Vec<Word> {
        let mut words = self.advance(now);
        if !self.reachable() {
            words.push(Word::Lost(task.id));
            return words;
        }
        if self.pressed_over(&task) {
            self.health = Health::Fallen;
            words.push(Word::Lost(task.id));
            words.extend(self.drop_all());
            return words;
        }
        let fits = task.slots <= self.shape.slots && task.kind.is_none_or(|k| k == self.shape.kind);
        if self.health != Health::Hung
            && (!fits || self.draining || self.waiting.len() >= self.shape.queue)
        {
            words.push(Word::Declined(task.id));
            return words;
        }
        self.waiting.push_back(task);
        self.start_waiting(&mut words);
        words
    }

    /// Whatever reaches a cold box presses on it, also what it turns away.
    fn pressed_over(&mut self, task: &Task) -> bool {
        let warmth = self.warmth(self.now);
        if warmth >= 1.0 {
            self.pressed.clear();
            return false;
        }
        let (now, window) = (self.now, self.shape.tip_window);
        while self
            .pressed
            .front()
            .is_some_and(|(at, ..)| at + window < now)
        {
            self.pressed.pop_front();
        }
        // What one job can load it with in the window: nobody is told how long it runs.
        let work = (task.work as f64).min(window as f64 * self.shape.speed);
        self.pressed
            .push_back((now, task.slots * work, task.informed));
        let stands =
            self.shape.cores * self.shape.speed * warmth * window as f64 * self.shape.tip_multiple;
        self.pressed.iter().map(|(_, work, _)| work).sum::<f64>() > stands
    }

    /// Of the work that pressed on it last, the share sent by those who had been told of its start.
    pub fn pressed_knowingly(&self) -> f64 {
        let sum = |knowingly: bool| {
            self.pressed
                .iter()
                .filter(|(.., k)| *k || !knowingly)
                .map(|(_, work, _)| work)
                .sum::<f64>()
        };
        sum(true) / sum(false).max(1.0)
    }

    /// Nobody waits for a task any more.
    pub fn cancel(&mut self, now: Micros, id: u64) -> Vec<Word> {
        let mut words = self.advance(now);
        self.waiting.retain(|t| t.id != id);
        if self.shape.stops_running {
            self.running.retain(|r| r.task.id != id);
        }
        self.start_waiting(&mut words);
        words
    }

    fn start_waiting(&mut self, words: &mut Vec<Word>) {
        if matches!(self.health, Health::Hung | Health::Down | Health::Fallen) {
            return;
        }
        while let Some(at) = self.next_waiting() {
            let Some(task) = self.waiting.remove(at) else {
                return;
            };
            let fetch = match task.key {
                Some(key) if !self.keep(key) => self.shape.fetch as f64 * self.shape.speed,
                _ => 0.0,
            };
            let whole = (task.work as f64 + fetch).max(1.0);
            words.push(Word::Started(task.id));
            self.running.push(Running {
                task,
                left: whole,
                whole,
                note_at: self.now + self.shape.note_every,
            });
        }
    }

    /// The place in the queue of what starts now, if anything does.
    fn next_waiting(&self) -> Option<usize> {
        let free = self.shape.slots - self.used() + 1.0e-9;
        let fits = |t: &Task| t.slots <= free;
        match self.shape.order {
            Order::Fifo => self.waiting.front().filter(|t| fits(t)).map(|_| 0),
            Order::Backfill => self.waiting.iter().position(fits),
            Order::Priority => {
                let head = (0..self.waiting.len())
                    .max_by_key(|at| (self.waiting[*at].priority, usize::MAX - at))?;
                fits(&self.waiting[head]).then_some(head)
            }
        }
    }

    /// Whether what a key needs was there; it is afterwards.
    fn keep(&mut self, key: u64) -> bool {
        let there = self
            .kept
            .iter()
            .position(|k| *k == key)
            .map(|at| self.kept.remove(at))
            .is_some();
        self.kept.push_back(key);
        while self.kept.len() > self.shape.kept_keys.max(1) {
            self.kept.pop_front();
        }
        there
    }
}
