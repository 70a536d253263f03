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
use crate::entry::dispatch::IncomingMessage;
use crate::peers::Outgoing;
use crate::stop::Stop;
use crate::{Clock, Duty, DutyError};

/// Tick interval: below a quarter of the ledger's heartbeat, and below the time after which
/// it resends unacknowledged messages.
const TICK: Duration = Duration::from_millis(50);
/// Maximum number of commands handled in a row before messages and ticks are checked.
const MAX_BURST: usize = 64;
/// Retry-After of refusals that come from the duty and not from the ledger.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Inputs and outputs of the duty.
pub(crate) struct LedgerDuty {
    /// This entry.
    pub(crate) me: MemberInfo,
    /// Limits and durations of the ledger.
    pub(crate) cfg: Config,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The live entries, and the address of the control leader.
    pub(crate) cluster: ClusterReader,
    /// Received messages of other entries' ledgers and of control.
    pub(crate) rx: Receiver<IncomingMessage>,
    /// Messages to be sent.
    pub(crate) out: Sender<Outgoing>,
    /// Whether a planned stop has begun.
    pub(crate) leaving: watch::Receiver<bool>,
    /// Set once a planned stop no longer needs to wait for the ledger.
    pub(crate) handed_over: watch::Sender<bool>,
    /// Rings to the journal's thread; unused without a data folder.
    pub(crate) journal: JournalSide,
    /// Homes that an earlier process left in the data folder.
    pub(crate) recovered: Vec<Recovered>,
    /// Channels of the requests' handle.
    pub(crate) side: DutySide,
}

/// Starts the duty.
pub(crate) fn spawn(duty: LedgerDuty, stop: Stop) -> Result<Duty, DutyError> {
    Duty::spawn("ledger", move || run(duty, stop))
}

/// A request to run that the ledger hasn't decided on yet.
struct PendingBegin {
    admission: OwnedSemaphorePermit,
    reply: oneshot::Sender<Reply>,
}

/// State of the duty's thread.
struct State {
    ledger: Ledger,
    clock: Clock,
    cluster: Arc<Cluster>,
    out: Sender<Outgoing>,
    commands: Sender<Command>,
    journal: Sender<JournalWrite>,
    /// Writes that didn't fit into the journal's ring, in order.
    unwritten: VecDeque<JournalWrite>,
    waiting: HashMap<Token, PendingBegin>,
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
                Some(command) => state.handle_burst(command, &mut commands),
                None => return,
            },
            message = rx.recv() => match message {
                Some(message) => state.receive(message),
                None => return,
            },
            Some(JournalSynced { home, number }) = synced.recv() => {
                state.step(Event::Synced { home, number });
            }
            _ = tick.tick() => {
                state.flush_unwritten();
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
        prefix.send_if_modified(|current| update(current, state.ledger.prefix()));
    }
}

/// Sets a watched value; returns whether it changed.
fn update<T: PartialEq>(current: &mut T, new: T) -> bool {
    let changed = *current != new;
    *current = new;
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
    fn handle_burst(&mut self, first: Command, commands: &mut Receiver<Command>) {
        self.handle(first);
        for _ in 1..MAX_BURST {
            let Some(command) = commands.try_recv() else {
                return;
            };
            self.handle(command);
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Begin(begin) => self.begin(begin),
            Command::End(end) => self.end(end),
        }
    }

    fn begin(&mut self, begin: BeginCommand) {
        let token = Token(self.next_token);
        self.next_token += 1;
        let waiting = PendingBegin {
            admission: begin.admission,
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

    fn receive(&mut self, incoming: IncomingMessage) {
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

    /// Cancels the requests whose task no longer waits for the reply.
    fn cancel_abandoned(&mut self) {
        let abandoned = |(token, waiting): (&Token, &PendingBegin)| {
            let closed = waiting.reply.is_closed();
            closed.then_some(*token)
        };
        let tokens: Vec<Token> = self.waiting.iter().filter_map(abandoned).collect();
        for token in tokens {
            self.waiting.remove(&token);
            self.step(Event::Cancel { token });
        }
    }

    /// Whether a planned stop no longer needs to wait for the ledger.
    fn is_handed_over(&self) -> bool {
        self.ledger.is_handed_over() && self.waiting.is_empty()
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.ledger.step(now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Decide { token, decision } => self.reply_decision(token, decision),
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
                // The leader may be unknown or outdated: a claim is resent until its
                // result arrives.
                if let Some(to) = self.cluster.control {
                    let body = Body::Ledger(Message::Claim(claim));
                    let _ = self.out.push(Outgoing { to, body });
                }
            }
        }
    }

    fn write(&mut self, write: JournalWrite) {
        self.unwritten.push_back(write);
        self.flush_unwritten();
    }

    /// Passes queued writes to the journal until its ring is full.
    fn flush_unwritten(&mut self) {
        while let Some(write) = self.unwritten.pop_front() {
            match self.journal.push(write) {
                Ok(()) => {}
                Err(PushError::Full(write)) => return self.unwritten.push_front(write),
                // The journal duty has failed; the supervisor ends this process.
                Err(PushError::Closed(_)) => return,
            }
        }
    }

    fn send(&self, to: &NodeName, message: Message) {
        if let Some(to) = self.cluster.peer_addr(to) {
            let body = Body::Ledger(message);
            // A full ring drops the message; the ledger resends it until it is answered.
            let _ = self.out.push(Outgoing { to, body });
        }
    }

    fn reply_decision(&mut self, token: Token, decision: Decision) {
        let Some(waiting) = self.waiting.remove(&token) else {
            warn!(pass = token.0; "the ledger decided on a request that isn't waiting");
            return;
        };
        let reply = match decision {
            Decision::Start => {
                let commands = self.commands.clone();
                Reply::Start(Grant::new(token, waiting.admission, commands))
            }
            Decision::Replay(answer) => Reply::Replay(answer),
            Decision::Refuse { code, retry_after } => Reply::Refuse { code, retry_after },
            Decision::Forward { entry } => self.forward(entry),
        };
        // The request may be gone; the grant is then dropped and ends as not run.
        let _ = waiting.reply.send(reply);
    }

    /// The reply for a key whose home is `entry`; a refusal if that entry isn't live.
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
