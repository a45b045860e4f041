//! The fleet on loopback sockets: boxes that speak HTTP/1.1 around the model of [`crate::engine`], and a discovery
//! that answers watches, late. All of it on one thread.

use crate::checker::Checker;
use crate::cut::Cutter;
use crate::engine::{Engine, Health, Task, Word};
use crate::scenario::{Fault, Scenario};
use bytes::Bytes;
use dispatch_api::Micros;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

/// Largest job that a box reads.
const LARGEST_JOB: usize = 64 * 1024;

/// What the body of a job says to the stand-in boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobBody {
    /// The client's job, the same for all its tries.
    pub job: u64,
    /// Its class.
    pub class: usize,
    /// Slots.
    pub slots: f64,
    /// Standard work, microseconds.
    pub work: Micros,
    /// What it needs at a box.
    pub key: Option<u64>,
}

/// What all stand-ins of one fleet share.
pub struct World {
    /// What is played.
    pub scenario: Scenario,
    /// Sees everything.
    pub checker: RefCell<Checker>,
    /// Cuts connections of clients and of boxes.
    pub cutter: Rc<Cutter>,
    start: Instant,
}

impl World {
    /// A world whose time starts now, in which no connection is cut.
    pub fn new(scenario: Scenario) -> Rc<Self> {
        World::with_cuts(scenario, Cutter::new(0.0, 0))
    }

    /// ... in which some are.
    pub fn with_cuts(scenario: Scenario, cutter: Rc<Cutter>) -> Rc<Self> {
        let checker = RefCell::new(Checker::new(&scenario.classes));
        Rc::new(World {
            scenario,
            checker,
            cutter,
            start: Instant::now(),
        })
    }

    /// Microseconds since its start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// When a time of it comes.
    pub fn at(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros(time)
    }
}

type Reply = Response<Either<Full<Bytes>, Lines>>;

/// What a box says about a task, until its last word. Dropped before that, nobody waits for it any more.
struct Lines {
    owner: Rc<EngineBox>,
    number: u64,
    receiver: mpsc::UnboundedReceiver<Bytes>,
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.receiver
            .poll_recv(cx)
            .map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

impl Drop for Lines {
    fn drop(&mut self) {
        self.owner.cancel(self.number);
    }
}

fn whole(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(text.into())));
    *reply.status_mut() = status;
    reply
}

/// One box.
pub struct EngineBox {
    world: Rc<World>,
    number: usize,
    /// One for each dispatcher: so it is known which of them sends.
    addrs: Vec<SocketAddr>,
    engine: RefCell<Engine>,
    /// Who waits for words on a task; dropped, the connection ends before its last line.
    waiters: RefCell<HashMap<u64, Waiter>>,
    changed: Notify,
    health: watch::Sender<Health>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
    conns: RefCell<Vec<JoinHandle<()>>>,
    tasks: Rc<Cell<u64>>,
}

struct Waiter {
    lines: mpsc::UnboundedSender<Bytes>,
    /// The request's id, as it came.
    id: String,
    try_id: u64,
    job: u64,
}

/// A job as a dispatcher sent it.
struct ReceivedJob {
    id: String,
    try_id: u64,
    body: JobBody,
}

impl ReceivedJob {
    /// Reads a request; none if it is no job.
    async fn read(request: Request<Incoming>) -> Option<Self> {
        let id = request.headers().get("req-id");
        let id = id.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
        let body = http_body_util::Limited::new(request.into_body(), LARGEST_JOB);
        let body = body.collect().await.ok()?.to_bytes();
        Some(ReceivedJob {
            try_id: u64::from_str_radix(&id, 16).ok()?,
            body: serde_json::from_slice(&body).ok()?,
            id,
        })
    }
}

impl EngineBox {
    async fn start(
        world: Rc<World>,
        number: usize,
        tasks: Rc<Cell<u64>>,
    ) -> std::io::Result<Rc<Self>> {
        let mut sockets = vec![];
        for _ in 0..world.scenario.dispatchers {
            sockets.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let shape = world.scenario.boxes[number].clone();
        let this = Rc::new(EngineBox {
            world,
            number,
            addrs: sockets
                .iter()
                .map(TcpListener::local_addr)
                .collect::<Result<_, _>>()?,
            engine: RefCell::new(Engine::new(shape)),
            waiters: RefCell::default(),
            changed: Notify::new(),
            health: watch::channel(Health::Up).0,
            accepting: RefCell::default(),
            conns: RefCell::default(),
            tasks,
        });
        this.listen(sockets);
        spawn_local(Rc::clone(&this).work());
        Ok(this)
    }

    fn listen(self: &Rc<Self>, sockets: Vec<TcpListener>) {
        for (dispatcher, socket) in (0..).zip(sockets) {
            let accepting = spawn_local(Rc::clone(self).accept(dispatcher, socket));
            self.accepting.borrow_mut().push(accepting);
        }
    }

    async fn accept(self: Rc<Self>, dispatcher: u32, socket: TcpListener) {
        while let Ok((stream, _)) = socket.accept().await {
            let _ = stream.set_nodelay(true);
            let serving = Rc::clone(&self);
            let stream = self.world.cutter.wrap(stream);
            let served = spawn_local(async move {
                let service =
                    service_fn(|request| Rc::clone(&serving).respond(dispatcher, request));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            let mut conns = self.conns.borrow_mut();
            conns.retain(|c| !c.is_finished());
            conns.push(served);
        }
    }

    /// Lets the engine's time pass.
    async fn work(self: Rc<Self>) {
        loop {
            let now = self.world.now();
            let words = self.engine.borrow_mut().advance(now);
            self.say(words);
            let next = self.engine.borrow().next();
            tokio::select! {
                () = self.changed.notified() => {}
                () = tokio::time::sleep_until(self.world.at(next.unwrap_or(Micros::MAX / 2))), if next.is_some() => {}
            }
        }
    }

    fn say(&self, words: Vec<Word>) {
        let now = self.world.now();
        for word in words {
            let (Word::Started(n)
            | Word::Running(n, _)
            | Word::Done(n)
            | Word::Declined(n)
            | Word::Lost(n)) = word;
            let mut waiters = self.waiters.borrow_mut();
            let Some(waiter) = waiters.get(&n) else {
                continue;
            };
            let line = |state: &str, more: &str| {
                let (id, from) = (&waiter.id, crate::scenario::name(self.number));
                Bytes::from(format!(
                    "{{\"id\":\"{id}\",\"from\":\"{from}\",\"state\":\"{state}\"{more}}}\n"
                ))
            };
            let text = match word {
                Word::Started(_) => {
                    self.world
                        .checker
                        .borrow_mut()
                        .ran(now, waiter.try_id, waiter.job);
                    line("started", "")
                }
                Word::Running(_, share) => line("running", &format!(",\"share\":{share:.3}")),
                Word::Done(_) => {
                    let (free, held) = self.engine.borrow().load();
                    line(
                        "done",
                        &format!(
                            ",\"result\":\"r\",\"load\":{{\"x0\":{free:.2},\"inflight\":{held}}}"
                        ),
                    )
                }
                Word::Declined(_) => line("returned", ""),
                Word::Lost(_) => line("lost", ""),
            };
            let last = !matches!(word, Word::Started(_) | Word::Running(..));
            let down = !self.engine.borrow().reachable();
            if !down {
                let _ = waiter.lines.send(text);
            }
            if last {
                self.world.checker.borrow_mut().back(waiter.try_id, n);
                waiters.remove(&n);
            }
        }
    }

    async fn respond(
        self: Rc<Self>,
        dispatcher: u32,
        request: Request<Incoming>,
    ) -> Result<Reply, Infallible> {
        // A box that hangs reads, and says nothing until it is up again.
        let mut health = self.health.subscribe();
        let _ = health.wait_for(|h| *h != Health::Hung).await;
        Ok(match (request.method(), request.uri().path()) {
            (&Method::GET, "/status/load" | "/health") => {
                let words = self.engine.borrow_mut().probed(self.world.now());
                self.say(words);
                self.changed.notify_one();
                let (free, held) = self.engine.borrow().load();
                whole(
                    StatusCode::OK,
                    format!("{{\"x0\":{free:.2},\"inflight\":{held}}}"),
                )
            }
            (&Method::POST, _) => self.job(dispatcher, request).await,
            _ => whole(StatusCode::NOT_FOUND, "nothing is here"),
        })
    }

    async fn job(self: Rc<Self>, dispatcher: u32, request: Request<Incoming>) -> Reply {
        let Some(ReceivedJob { id, try_id, body }) = ReceivedJob::read(request).await else {
            return whole(StatusCode::BAD_REQUEST, "no job that this box can use");
        };
        let Some(terms) = self.world.scenario.classes.get(body.class) else {
            return whole(StatusCode::BAD_REQUEST, "no such class");
        };
        let number = self.tasks.get() + 1;
        self.tasks.set(number);
        let task = Task {
            id: number,
            class: body.class,
            kind: u32::try_from(terms.kind).ok(),
            priority: terms.priority,
            slots: body.slots,
            work: body.work,
            key: body.key,
            informed: true,
        };
        let now = self.world.now();
        self.world
            .checker
            .borrow_mut()
            .sent(now, try_id, number, self.number, dispatcher);
        let (lines, receiver) = mpsc::unbounded_channel();
        self.waiters.borrow_mut().insert(
            number,
            Waiter {
                lines,
                id,
                try_id,
                job: body.job,
            },
        );
        let words = self.arrive(now, task);
        let declined = words.contains(&Word::Declined(number));
        self.say(words);
        self.changed.notify_one();
        if declined {
            let mut reply = whole(StatusCode::SERVICE_UNAVAILABLE, "");
            reply
                .headers_mut()
                .insert("srv-declined", hyper::header::HeaderValue::from_static("1"));
            return reply;
        }
        Response::new(Either::Right(Lines {
            owner: self,
            number,
            receiver,
        }))
    }

    /// The engine takes a task; one that is pushed over by it breaks a rule.
    fn arrive(&self, now: Micros, task: Task) -> Vec<Word> {
        let mut engine = self.engine.borrow_mut();
        let stood = engine.reachable();
        let words = engine.arrive(now, task);
        if stood && engine.health() == Health::Fallen {
            let what = format!("box {} was pushed over while it was cold", self.number);
            self.world.checker.borrow_mut().other(now, &what);
        }
        words
    }

    /// Nobody waits for it any more.
    fn cancel(&self, number: u64) {
        // Nothing may be borrowed while others are told what starts in its place.
        let waiter = self.waiters.borrow_mut().remove(&number);
        if let Some(waiter) = waiter {
            self.world.checker.borrow_mut().back(waiter.try_id, number);
            let words = self.engine.borrow_mut().cancel(self.world.now(), number);
            self.say(words);
            self.changed.notify_one();
        }
    }
}

impl EngineBox {
    /// Its process ends: its connections with it, and new ones are refused.
    fn go_down(&self) {
        self.accepting
            .borrow_mut()
            .drain(..)
            .for_each(|a| a.abort());
        self.conns.borrow_mut().drain(..).for_each(|c| c.abort());
    }

    /// Its process starts again, at the same addresses.
    async fn come_back(self: &Rc<Self>) -> std::io::Result<()> {
        let mut sockets = vec![];
        for addr in &self.addrs {
            sockets.push(TcpListener::bind(addr).await?);
        }
        self.engine.borrow_mut().start(self.world.now());
        self.listen(sockets);
        Ok(())
    }

    async fn suffer(self: &Rc<Self>, fault: Fault) -> std::io::Result<()> {
        let now = self.world.now();
        let words = match fault {
            Fault::Kill => {
                let words = self.engine.borrow_mut().kill(now);
                self.go_down();
                words
            }
            Fault::Start => {
                self.come_back().await?;
                vec![]
            }
            Fault::Hang => self.engine.borrow_mut().set_health(now, Health::Hung),
            Fault::Mend => self.engine.borrow_mut().set_health(now, Health::Up),
            Fault::Slow(share) => self
                .engine
                .borrow_mut()
                .set_health(now, Health::Slow(share)),
            Fault::Drain => self.engine.borrow_mut().drain(now),
            Fault::Cut | Fault::Join => {
                return Err(std::io::Error::other("only the model cuts a box off"))
            }
        };
        self.say(words);
        self.health.send_replace(self.engine.borrow().health());
        self.changed.notify_one();
        Ok(())
    }
}

/// One line of discovery's list, and since which version it stands so.
#[derive(Debug, Clone)]
struct Line {
    since: u64,
    state: &'static str,
    started_ms: u64,
}

/// The boxes and their discovery.
pub struct Fleet {
    world: Rc<World>,
    boxes: Vec<Rc<EngineBox>>,
    lines: RefCell<Vec<Line>>,
    version: watch::Sender<u64>,
    /// Discovery, one address for each dispatcher.
    discovery: Vec<SocketAddr>,
    /// Discovery answers no call, at any of its addresses.
    silent: Cell<bool>,
}

impl Fleet {
    /// Starts all boxes and their discovery.
    ///
    /// # Errors
    /// No address could be had.
    pub async fn start(world: Rc<World>) -> std::io::Result<Rc<Self>> {
        let tasks = Rc::new(Cell::new(0));
        let mut boxes = vec![];
        for number in 0..world.scenario.boxes.len() {
            boxes.push(EngineBox::start(Rc::clone(&world), number, Rc::clone(&tasks)).await?);
        }
        let mut sockets = vec![];
        for _ in 0..world.scenario.dispatchers {
            sockets.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let lines = boxes
            .iter()
            .map(|_| Line {
                since: 1,
                state: "ready",
                started_ms: 0,
            })
            .collect();
        let fleet = Rc::new(Fleet {
            world,
            boxes,
            lines: RefCell::new(lines),
            version: watch::channel(1).0,
            discovery: sockets
                .iter()
                .map(TcpListener::local_addr)
                .collect::<Result<_, _>>()?,
            silent: Cell::new(false),
        });
        for (dispatcher, socket) in (0..).zip(sockets) {
            spawn_local(Rc::clone(&fleet).discover(dispatcher, socket));
        }
        Ok(fleet)
    }

    /// Where a dispatcher asks for the list.
    pub fn discovery(&self, dispatcher: u32) -> Option<SocketAddr> {
        self.discovery.get(dispatcher as usize).copied()
    }

    /// Discovery at one more address, as the operators would move it to, for this dispatcher.
    ///
    /// # Errors
    /// No address could be had.
    pub async fn another_discovery(
        self: &Rc<Self>,
        dispatcher: u32,
    ) -> std::io::Result<SocketAddr> {
        let socket = TcpListener::bind("127.0.0.1:0").await?;
        let addr = socket.local_addr()?;
        spawn_local(Rc::clone(self).discover(dispatcher, socket));
        Ok(addr)
    }

    /// Discovery is lost, or back: while it is, every call gets 503, also one that waits for news.
    pub fn silence(&self, silent: bool) {
        self.silent.set(silent);
    }

    /// Where a dispatcher reaches the boxes.
    pub fn boxes(&self, dispatcher: u32) -> Vec<String> {
        self.boxes
            .iter()
            .filter_map(|b| b.addrs.get(dispatcher as usize))
            .map(ToString::to_string)
            .collect()
    }

    /// How the boxes are, in words, a line each.
    pub fn show(&self) -> String {
        let line = |b: &Rc<EngineBox>| {
            let engine = b.engine.borrow();
            let ((free, held), warmth) = (engine.load(), engine.warmth(self.world.now()));
            let kind = self.world.scenario.kinds[engine.shape().kind as usize];
            let state = if engine.draining() {
                "draining".into()
            } else {
                format!("{:?}", engine.health()).to_lowercase()
            };
            format!(
                "box {} {kind} {state} warm {warmth:.2} free {free} holds {held}\n",
                b.number
            )
        };
        self.boxes.iter().map(line).collect()
    }

    /// Something happens to a box; discovery tells of it later, if it is one that it knows of.
    ///
    /// # Errors
    /// There is no such box, or its addresses are taken.
    pub async fn suffer(self: &Rc<Self>, number: usize, fault: Fault) -> std::io::Result<()> {
        let missing = || std::io::Error::other(format!("there is no box {number}"));
        let engine = self.boxes.get(number).ok_or_else(missing)?;
        engine.suffer(fault).await?;
        let (state, started_ms) = match fault {
            Fault::Kill => ("gone", 0),
            Fault::Start => ("ready", unix_ms()),
            Fault::Drain => ("draining", 0),
            _ => return Ok(()),
        };
        let fleet = Rc::clone(self);
        let (least, most) = self.world.scenario.lag;
        let lag = least + (number as u64 * 7_919 % 97) * (most - least) / 97;
        spawn_local(async move {
            tokio::time::sleep(Duration::from_micros(lag)).await;
            let version = *fleet.version.borrow() + 1;
            if let Some(line) = fleet.lines.borrow_mut().get_mut(number) {
                *line = Line {
                    since: version,
                    state,
                    started_ms: started_ms.max(line.started_ms),
                };
            }
            fleet.version.send_replace(version);
        });
        Ok(())
    }

    /// What goes wrong by the scenario, when it does; its times count from `began`.
    ///
    /// # Errors
    /// A stand-in could not listen again.
    pub async fn faults_from(self: Rc<Self>, began: Micros) -> std::io::Result<()> {
        let mut faults = self.world.scenario.faults.clone();
        faults.sort_by_key(|(at, ..)| *at);
        for (at, number, fault) in faults {
            tokio::time::sleep_until(self.world.at(began + at)).await;
            self.suffer(number, fault).await?;
        }
        Ok(())
    }

    async fn discover(self: Rc<Self>, dispatcher: u32, socket: TcpListener) {
        while let Ok((stream, _)) = socket.accept().await {
            let _ = stream.set_nodelay(true);
            let fleet = Rc::clone(&self);
            spawn_local(async move {
                let service = service_fn(|request| fleet.list(dispatcher, request));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn list(
        &self,
        dispatcher: u32,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let query = request.uri().query().unwrap_or("").to_owned();
        let figure = |key: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let after = figure("index").filter(|after| *after > 0);
        if let Some(after) = after {
            let wait = Duration::from_millis(figure("wait").unwrap_or(0).min(60_000));
            let mut version = self.version.subscribe();
            let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > after)).await;
        }
        if self.silent.get() {
            let mut lost = Response::new(Full::new(Bytes::from_static(b"lost")));
            *lost.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(lost);
        }
        let lines = self.lines.borrow();
        let new = lines
            .iter()
            .enumerate()
            .filter(|(_, line)| after.is_none_or(|after| line.since > after));
        let addrs = self.boxes(dispatcher);
        let servers: Vec<_> = new
            .map(|(number, line)| {
                let ready = line.state == "ready";
                self.world
                    .checker
                    .borrow_mut()
                    .told(self.world.now(), number, dispatcher, ready);
                self.world
                    .scenario
                    .entry(number, &addrs[number], line.state, line.started_ms)
            })
            .collect();
        let version = *self.version.borrow();
        let text =
            serde_json::json!({"version": version, "full": after.is_none(), "servers": servers})
                .to_string();
        Ok(Response::new(Full::new(Bytes::from(text))))
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
