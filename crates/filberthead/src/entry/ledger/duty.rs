//! The thread that owns the entry's ledger.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use filberthead_ledger::{Action, Config, Decision, Event, Ledger, Member, Message, Token};
use filberthead_peer::Body;
use filberthead_ring::{PushError, Receiver, Sender};
use filberthead_spread::MemberInfo;
use filberthead_types::{NodeName, ResultCode};
use log::warn;
use tokio::sync::{OwnedSemaphorePermit, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::handle::{BeginCommand, Command, DutySide, End, EndCommand, Grant, Reply};
use super::journal::{JournalSide, JournalSynced, JournalWrite, Recovered};
use crate::entry::cluster::{Cluster, ClusterReader};
use crate::entry::incoming::Incoming;
use crate::peers::Outgoing;
use crate::stop::Stop;
use crate::{Clock, Duty, DutyError};

/// Below a quarter of the ledger's heartbeat, and below the time after which it sends
/// again what isn't acknowledged.
const TICK: Duration = Duration::from_millis(50);
/// Commands taken in before messages and ticks get their turn.
const BURST: usize = 64;
/// When a refused caller may come back if the duty itself refuses.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the duty is made of.
pub(crate) struct LedgerDuty {
    /// This entry.
    pub(crate) me: MemberInfo,
    /// Times and bounds.
    pub(crate) cfg: Config,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The live entries, and where control is.
    pub(crate) cluster: ClusterReader,
    /// Messages of other ledgers and of control.
    pub(crate) rx: Receiver<Incoming>,
    /// Messages out.
    pub(crate) out: Sender<Outgoing>,
    /// Whether this entry is on its planned stop.
    pub(crate) leaving: watch::Receiver<bool>,
    /// Set once a planned stop needs to wait for the ledger no more.
    pub(crate) handed_over: watch::Sender<bool>,
    /// The disk; nothing is written to it unless the settings name a data folder.
    pub(crate) journal: JournalSide,
    /// Homes that a predecessor left on it.
    pub(crate) recovered: Vec<Recovered>,
    /// Requests.
    pub(crate) side: DutySide,
}

/// Starts the duty.
pub(crate) fn spawn(duty: LedgerDuty, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("ledger", move || run(duty, stop))
}

/// A pass whose answer the ledger owes.
struct Waiting {
    open: OwnedSemaphorePermit,
    reply: oneshot::Sender<Reply>,
}

struct State {
    ledger: Ledger,
    clock: Clock,
    cluster: Arc<Cluster>,
    out: Sender<Outgoing>,
    commands: Sender<Command>,
    journal: Sender<JournalWrite>,
    /// Writes that found the disk's ring full.
    unwritten: VecDeque<JournalWrite>,
    waiting: HashMap<Token, Waiting>,
    next_token: u64,
}

async fn run(duty: LedgerDuty, mut stop: Stop) {
    let LedgerDuty {
        me,
        cfg,
        clock,
        mut cluster,
        mut rx,
        out,
        mut leaving,
        handed_over,
        journal,
        recovered,
        side,
    } = duty;
    let JournalSide {
        tx: writes,
        rx: mut synced,
    } = journal;
    let DutySide {
        rx: mut commands,
        tx,
        prefix,
    } = side;
    let mut state = State {
        ledger: Ledger::new(clock.now(), cfg, member(&me)),
        clock,
        cluster: Arc::clone(&cluster.borrow_and_update()),
        out,
        commands: tx,
        journal: writes,
        unwritten: VecDeque::new(),
        waiting: HashMap::new(),
        next_token: 0,
    };
    for Recovered { home, ops } in recovered {
        state.ledger.recover(clock.now(), home, ops);
    }
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => state.take_burst(command, &mut commands),
                None => return,
            },
            message = rx.recv() => match message {
                Some(message) => state.received(message),
                None => return,
            },
            Some(JournalSynced { home, number }) = synced.recv() => {
                state.step(Event::Synced { home, number });
            }
            _ = tick.tick() => {
                state.write_on();
                state.cancel_abandoned();
                state.step(Event::Tick);
                handed_over.send_if_modified(|done| update(done, state.is_handed_over()));
            }
            Ok(()) = cluster.changed() => {
                state.cluster_changed(Arc::clone(&cluster.borrow_and_update()));
            }
            Ok(()) = leaving.changed() => if *leaving.borrow_and_update() {
                state.step(Event::Stop);
            },
            () = stop.wait() => return,
        }
        prefix.send_if_modified(|known| update(known, state.ledger.prefix()));
    }
}

/// Sets a watched value; whether it is another one.
fn update<T: PartialEq>(known: &mut T, new: T) -> bool {
    let changed = *known != new;
    *known = new;
    changed
}

fn member(info: &MemberInfo) -> Member {
    Member {
        name: info.name.clone(),
        incarnation: info.incarnation,
        failure_domain: info.failure_domain.clone(),
        leaving: info.leaving,
    }
}

impl State {
    fn take_burst(&mut self, first: Command, commands: &mut Receiver<Command>) {
        self.take(first);
        for _ in 1..BURST {
            let Some(command) = commands.try_recv() else {
                return;
            };
            self.take(command);
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Begin(begin) => self.begin(begin),
            Command::End(end) => self.end(end),
        }
    }

    fn begin(&mut self, begin: BeginCommand) {
        let token = Token(self.next_token);
        self.next_token += 1;
        let waiting = Waiting {
            open: begin.open,
            reply: begin.reply,
        };
        self.waiting.insert(token, waiting);
        self.step(Event::Begin {
            token,
            key: begin.key,
            digest: begin.digest,
            deadline: begin.deadline,
            hops: begin.hops,
            failed: begin.failed,
        });
    }

    fn end(&mut self, end: EndCommand) {
        let token = end.token;
        self.step(match end.end {
            End::Finished(answer) => Event::Finished { token, answer },
            End::Unknown => Event::Unknown { token },
            End::NotRun(code) => Event::NotRun { token, code },
        });
    }

    fn received(&mut self, incoming: Incoming) {
        if let Body::Ledger(message) = incoming.body {
            let from = incoming.origin.name;
            self.step(Event::Received { from, message });
        }
    }

    fn cluster_changed(&mut self, cluster: Arc<Cluster>) {
        let members = cluster.entries.iter().map(member).collect();
        self.cluster = cluster;
        self.step(Event::Members(members));
    }

    /// Takes back what nobody waits for any more.
    fn cancel_abandoned(&mut self) {
        let abandoned = |(token, waiting): (&Token, &Waiting)| {
            let closed = waiting.reply.is_closed();
            closed.then_some(*token)
        };
        let tokens: Vec<Token> = self.waiting.iter().filter_map(abandoned).collect();
        for token in tokens {
            self.waiting.remove(&token);
            self.step(Event::Cancel { token });
        }
    }

    /// Whether a planned stop needs to wait no more.
    fn is_handed_over(&self) -> bool {
        self.ledger.is_handed_over() && self.waiting.is_empty()
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.ledger.step(now, event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Decide { token, decision } => self.decided(token, decision),
            Action::Send { to, message } => self.send(&to, message),
            Action::Sync {
                home,
                number,
                ops,
                rewrite,
                retire,
            } => self.write(JournalWrite {
                home,
                number,
                ops,
                rewrite,
                retire,
            }),
            Action::Claim(claim) => {
                // Unknown or wrong, the claim is repeated until its verdict has come.
                if let Some(to) = self.cluster.control {
                    let body = Body::Ledger(Message::Claim(claim));
                    let _ = self.out.push(Outgoing { to, body });
                }
            }
        }
    }

    fn write(&mut self, write: JournalWrite) {
        self.unwritten.push_back(write);
        self.write_on();
    }

    fn write_on(&mut self) {
        while let Some(write) = self.unwritten.pop_front() {
            match self.journal.push(write) {
                Ok(()) => {}
                Err(PushError::Full(back)) => return self.unwritten.push_front(back),
                // The disk's duty has failed; the supervisor ends this process.
                Err(PushError::Closed(_)) => return,
            }
        }
    }

    fn send(&self, to: &NodeName, message: Message) {
        if let Some(to) = self.cluster.peer_addr(to) {
            let body = Body::Ledger(message);
            // A full ring drops the message; it is repeated until it is answered.
            let _ = self.out.push(Outgoing { to, body });
        }
    }

    fn decided(&mut self, token: Token, decision: Decision) {
        let Some(waiting) = self.waiting.remove(&token) else {
            warn!(pass = token.0; "an answer for a pass that doesn't wait");
            return;
        };
        let reply = match decision {
            Decision::Start => {
                let commands = self.commands.clone();
                Reply::Start(Grant::new(token, waiting.open, commands))
            }
            Decision::Replay(answer) => Reply::Replay(answer),
            Decision::Refuse { code, retry_after } => Reply::Refuse { code, retry_after },
            Decision::Forward { entry } => self.forward(entry),
        };
        // Whoever asked may be gone; a grant that comes back ends as not run.
        let _ = waiting.reply.send(reply);
    }

    fn forward(&self, entry: NodeName) -> Reply {
        let mut entries = self.cluster.entries.iter();
        match entries.find(|member| member.name == entry) {
            Some(member) => Reply::Forward {
                entry,
                addr: member.caller_addr,
            },
            None => Reply::Refuse {
                code: ResultCode::HomeUnreachable,
                retry_after: RETRY_AFTER,
            },
        }
    }
}
