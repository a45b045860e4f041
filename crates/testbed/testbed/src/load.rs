//! Clients on sockets: they submit, wait, try again when they are told that it is harmless, and some leave.

use crate::checker::Reply;
use crate::fleet::{JobBody, World};
use crate::scenario::Arrival;
use bytes::Bytes;
use dispatch_api::Micros;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::sleep_until;

/// How long a client waits before it asks again where it was told nothing.
const RETRY: Micros = 100_000;
/// How much longer than its deadline a client listens: what comes then is a broken rule.
const LISTEN: Duration = Duration::from_millis(500);

/// A connection, and whether it has been cut.
struct Kept {
    sender: SendRequest<Full<Bytes>>,
    cut: Rc<Cell<bool>>,
}

/// All clients of one run.
pub struct Clients {
    world: Rc<World>,
    /// Where each dispatcher listens.
    dispatchers: Vec<SocketAddr>,
    /// Kept connections, by dispatcher.
    kept: Vec<RefCell<Vec<Kept>>>,
    next_try: Cell<u64>,
    /// How late the latest client asked: a machine that is too busy shows here.
    latest: Cell<Micros>,
    /// A connection lost before an answer is counted and breaks no rule: processes are killed.
    forgives: Cell<bool>,
    lost: Cell<u64>,
    /// Requests whose connection was cut here before an answer.
    cut: Cell<u64>,
    turned_back: Cell<u64>,
    /// How often each dispatcher was stopped or went on; who waits for one that is can't be answered in time.
    stops: RefCell<Vec<u64>>,
    stalled: Cell<u64>,
    /// The last answer, and the longest time without one and when it ended.
    answered: Cell<(Micros, (Micros, Micros))>,
}

/// How one request ended.
enum Ended {
    Answered(StatusCode, Option<Micros>),
    Broken,
    Cut,
}

impl Clients {
    /// Clients of dispatchers at these addresses.
    pub fn new(world: Rc<World>, dispatchers: Vec<SocketAddr>) -> Rc<Self> {
        let kept = dispatchers.iter().map(|_| RefCell::default()).collect();
        let (next_try, latest, forgives, lost, cut, turned_back) = Default::default();
        let answered = Cell::new((world.now(), (0, 0)));
        let (stops, stalled) = (RefCell::new(vec![0; dispatchers.len()]), Cell::default());
        Rc::new(Clients {
            world,
            dispatchers,
            kept,
            next_try,
            latest,
            forgives,
            lost,
            cut,
            turned_back,
            stops,
            stalled,
            answered,
        })
    }

    /// How late the latest client asked.
    pub fn latest(&self) -> Micros {
        self.latest.get()
    }

    /// From now on a connection lost before an answer is counted only.
    pub fn counts_lost(&self) {
        self.forgives.set(true);
    }

    /// Requests that lost their connection before an answer.
    pub fn lost(&self) -> u64 {
        self.lost.get()
    }

    /// Requests whose connection was cut on the clients' side before an answer.
    pub fn cut(&self) -> u64 {
        self.cut.get()
    }

    /// This dispatcher's process is stopped now, or goes on: what it has taken is late, and breaks no rule.
    pub fn stops_or_goes_on(&self, dispatcher: usize) {
        self.stops
            .borrow_mut()
            .get_mut(dispatcher)
            .into_iter()
            .for_each(|stops| *stops += 1);
    }

    /// Requests that were with a process when it was stopped.
    pub fn stalled(&self) -> u64 {
        self.stalled.get()
    }

    fn stops(&self, dispatcher: usize) -> u64 {
        self.stops.borrow().get(dispatcher).copied().unwrap_or(0)
    }

    /// Requests that were sent again since their kept connection had ended, unheard.
    pub fn turned_back(&self) -> u64 {
        self.turned_back.get()
    }

    /// The longest time between two answers, and when it ended.
    pub fn longest_gap(&self) -> (Micros, Micros) {
        self.answered.get().1
    }

    /// Plays all arrivals, and waits for the last answer.
    pub async fn play(self: &Rc<Self>, arrivals: Vec<Arrival>) {
        let mut open = JoinSet::new();
        for (job, arrival) in (0..).zip(arrivals) {
            sleep_until(self.world.at(arrival.at)).await;
            let late = self.world.now().saturating_sub(arrival.at);
            self.latest.set(self.latest.get().max(late));
            open.spawn_local(Rc::clone(self).job(job, arrival));
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    /// One job, with all its tries.
    async fn job(self: Rc<Self>, job: u64, arrival: Arrival) {
        self.world.checker.borrow_mut().asked(&arrival);
        let terms = &self.world.scenario.classes[arrival.class];
        let deadline = arrival.at + terms.give_up;
        let leaves = arrival.leaves.map_or(deadline, |after| arrival.at + after);
        for tries in 0..=self.world.scenario.habits.retries {
            let now = self.world.now();
            if now + 1_000 >= deadline.min(leaves) {
                return;
            }
            let id = self.next_try.get() + 1;
            self.next_try.set(id);
            self.world
                .checker
                .borrow_mut()
                .taken(id, arrival.class, deadline);
            let dispatcher = (arrival.dispatcher + tries) as usize % self.dispatchers.len();
            let stops = self.stops(dispatcher);
            let answer = tokio::select! {
                biased;
                answer = self.ask(dispatcher, id, job, &arrival, deadline) => answer,
                () = sleep_until(self.world.at(leaves)), if arrival.leaves.is_some() => {
                    return self.world.checker.borrow_mut().left(id);
                }
                () = sleep_until(self.world.at(deadline) + LISTEN) => {
                    // It stays open with the checker, which counts it as lost.
                    if self.stops(dispatcher) != stops || !stops.is_multiple_of(2) {
                        self.stalled.set(self.stalled.get() + 1);
                        self.world.checker.borrow_mut().left(id);
                    }
                    return;
                }
            };
            if self.stops(dispatcher) != stops {
                self.stalled.set(self.stalled.get() + 1);
                return self.world.checker.borrow_mut().left(id);
            }
            let now = self.world.now();
            let Some(wait) = self.note(now, id, &arrival, &answer) else {
                return;
            };
            sleep_until(self.world.at(now + wait)).await;
        }
    }

    /// Notes how a try ended. When to try again, if that is harmless.
    fn note(&self, now: Micros, id: u64, arrival: &Arrival, answer: &Ended) -> Option<Micros> {
        let mut checker = self.world.checker.borrow_mut();
        let (reply, wait) = match answer {
            Ended::Answered(StatusCode::OK, _) => (Reply::Served, None),
            Ended::Answered(
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
                wait,
            ) => (Reply::Refused, Some((*wait).unwrap_or(RETRY))),
            Ended::Answered(..) => (Reply::Failed, None),
            Ended::Cut => {
                self.cut.set(self.cut.get() + 1);
                checker.left(id);
                return None;
            }
            Ended::Broken if self.forgives.get() => {
                self.lost.set(self.lost.get() + 1);
                checker.left(id);
                return None;
            }
            Ended::Broken => {
                checker.other(
                    now,
                    &format!("try {id} lost its connection before an answer"),
                );
                checker.left(id);
                return None;
            }
        };
        let (last, longest) = self.answered.get();
        self.answered
            .set((now, longest.max((now.saturating_sub(last), now))));
        checker.answered(now, id, reply, arrival.at, arrival.work);
        wait
    }

    /// One request; a kept connection that was closed meanwhile is no answer, and it is sent on a new one.
    async fn ask(
        &self,
        dispatcher: usize,
        id: u64,
        job: u64,
        arrival: &Arrival,
        deadline: Micros,
    ) -> Ended {
        let kept = self.kept[dispatcher].borrow_mut().pop();
        if let Some(kept) = kept.filter(|kept| !kept.sender.is_closed() && !kept.cut.get()) {
            let cut = Rc::clone(&kept.cut);
            match self
                .exchange(kept, dispatcher, id, job, arrival, deadline)
                .await
            {
                Ok(ended) => return ended,
                Err(_) if cut.get() => return Ended::Cut,
                // Of a process that was killed it may have been heard: only what is safe to repeat is sent again.
                Err(e) if e.is_incomplete_message() && self.once(arrival) => return Ended::Broken,
                Err(e) if e.is_canceled() || e.is_closed() || e.is_incomplete_message() => {
                    self.turned_back.set(self.turned_back.get() + 1);
                }
                Err(_) => return Ended::Broken,
            }
        }
        let Ok(stream) = TcpStream::connect(self.dispatchers[dispatcher]).await else {
            return Ended::Broken;
        };
        let _ = stream.set_nodelay(true);
        let stream = self.world.cutter.wrap(stream);
        let cut = stream.was_cut();
        let Ok((sender, conn)) = http1::handshake(TokioIo::new(stream)).await else {
            return Ended::Broken;
        };
        spawn_local(async move {
            let _ = conn.await;
        });
        let fresh = Kept {
            sender,
            cut: Rc::clone(&cut),
        };
        let ended = self
            .exchange(fresh, dispatcher, id, job, arrival, deadline)
            .await;
        ended.unwrap_or(if cut.get() { Ended::Cut } else { Ended::Broken })
    }

    fn once(&self, arrival: &Arrival) -> bool {
        self.forgives.get() && self.world.scenario.classes[arrival.class].effect != "pure"
    }

    async fn exchange(
        &self,
        mut kept: Kept,
        dispatcher: usize,
        id: u64,
        job: u64,
        arrival: &Arrival,
        deadline: Micros,
    ) -> Result<Ended, hyper::Error> {
        kept.sender.ready().await?;
        let response = kept
            .sender
            .send_request(self.request(id, job, arrival, deadline))
            .await?;
        let status = response.status();
        let wait = response
            .headers()
            .get("retry-after")
            .and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let closes = response
            .headers()
            .get("connection")
            .is_some_and(|v| v.as_bytes() == b"close");
        response.into_body().collect().await?;
        if !closes {
            self.kept[dispatcher].borrow_mut().push(kept);
        }
        Ok(Ended::Answered(status, wait.map(|s| (s * 1.0e6) as Micros)))
    }

    fn request(
        &self,
        id: u64,
        job: u64,
        arrival: &Arrival,
        deadline: Micros,
    ) -> Request<Full<Bytes>> {
        let terms = &self.world.scenario.classes[arrival.class];
        let body = JobBody {
            job,
            class: arrival.class,
            slots: arrival.slots,
            work: arrival.work,
            key: arrival.key,
        };
        let wait = deadline.saturating_sub(self.world.now()) as f64 / 1.0e6;
        let path = arrival
            .key
            .map_or("/api".to_owned(), |key| format!("/api?sid={key:x}"));
        let request = Request::post(path)
            .header("host", "lab")
            .header("req-id", format!("{id:x}"))
            .header("req-kind", terms.name)
            .header("req-deadline", format!("{wait:.3}"))
            .header("req-extra", format!("slots={}", arrival.slots));
        let request = if terms.effect == "token" {
            request.header("idempotency-key", format!("{job:x}"))
        } else {
            request
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        request
            .body(Full::new(Bytes::from(text)))
            .unwrap_or_default()
    }
}
