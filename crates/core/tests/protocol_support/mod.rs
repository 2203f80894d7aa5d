//! Actors of the protocol between entries, owners and a standby, driven through
//! the real transitions.
//!
//! A message that was sent once may be delivered at any later time, any number
//! of times, or never. So loss, duplication, reordering, a crash and a pause of
//! any actor are all among the walks, without a transition of their own.
//!
//! An actor's state is known by its fingerprint and rebuilt from one sequence of
//! inputs that leads to it; the results of steps are kept.
#![allow(clippy::unwrap_used)]

mod actor;

use std::{collections::HashMap, hash::Hash, time::Duration};

use comfreyway_core::{
    cluster::ClaimSource,
    entry::{Entry, EntryAction, EntryInput, OwnerView},
    ids::{Epoch, RequestId},
    owner::{CommitCondition, OwnerAction, OwnerInput, PoolRole, StandbyEvent},
    request::DispatchEnd,
    time::MonoTime,
};

use self::actor::{Actor, begin_term, epoch, host, hosts, pool, submission, time};

/// Entries A and B, then the hosts X (first owner) and Y (standby, next owner).
const A: usize = 0;
const B: usize = 1;
const X: usize = 2;
const Y: usize = 3;
const ACTORS: usize = 4;
const LATER_MS: u64 = 1_400;
const MESSAGE_WORDS: usize = 8;

/// A message or an event of the environment for one actor.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Input {
    Receive,
    End,
    Entry(EntryInput),
    Owner(OwnerInput),
    Replicate { epoch: Epoch, event: StandbyEvent },
    TakeOver,
}

/// What an actor did in one step.
#[derive(Clone, Debug, Default)]
struct Output {
    sent: Vec<u32>,
    dispatches: u8,
    not_run: u8,
}

/// One step of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// An event of the environment, which happens once.
    Event(usize),
    /// The delivery of a message that was sent.
    Message(u32),
    /// Every grant that was sent so far becomes too old.
    Later,
}

/// The messages that were sent, by number.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Messages([u64; MESSAGE_WORDS]);

impl Messages {
    fn add(&mut self, number: u32) {
        self.0[number as usize / 64] |= 1 << (number % 64);
    }

    fn has(&self, number: u32) -> bool {
        self.0[number as usize / 64] & (1 << (number % 64)) != 0
    }
}

/// State of the whole model. Actors and messages are numbers of [`Model`].
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct State {
    actors: [u32; ACTORS],
    messages: Messages,
    environment: u32,
    later: bool,
    pub(crate) dispatched: [bool; 2],
    not_run: [bool; 2],
    /// The other entry had dispatched before this one received the request.
    repeats_a_run: [bool; 2],
}

/// Everything that was found of actors and messages so far.
pub(crate) struct Model {
    idempotent: bool,
    environment: Vec<(usize, u32)>,
    inputs: Vec<(usize, Input)>,
    input_numbers: HashMap<String, u32>,
    logs: Vec<Vec<(bool, u32)>>,
    actor_numbers: HashMap<(usize, u64), u32>,
    steps: HashMap<(u32, bool, u32), (u32, Output)>,
}

impl Model {
    pub(crate) fn new(idempotent: bool) -> Self {
        let mut model = Self {
            idempotent,
            environment: Vec::new(),
            inputs: Vec::new(),
            input_numbers: HashMap::new(),
            logs: Vec::new(),
            actor_numbers: HashMap::new(),
            steps: HashMap::new(),
        };
        let view = OwnerView { owner: Some(hosts()[Y].clone()), epoch: epoch(2) };
        let changed = Input::Entry(EntryInput::OwnerChanged { pool: pool(), view });
        let gone = Input::Owner(OwnerInput::EntryDown(hosts()[A].clone()));
        let events = [
            (A, Input::Receive),
            (B, Input::Receive),
            (Y, Input::TakeOver),
            (A, changed.clone()),
            (B, changed),
            (X, gone.clone()),
            (Y, gone),
            (A, Input::End),
        ];
        for (ix, input) in events {
            let number = model.intern(ix, input);
            model.environment.push((ix, number));
        }
        model
    }

    pub(crate) fn start(&mut self) -> State {
        let mut state = State::default();
        for ix in 0..ACTORS {
            let actor = Actor::new(ix);
            state.actors[ix] = self.intern_actor(ix, actor.fingerprint(), Vec::new());
        }
        let snapshot = StandbyEvent::Snapshot {
            number: 1,
            claims: Vec::new(),
            incomplete_for: Duration::ZERO,
        };
        let message = Input::Replicate { epoch: epoch(1), event: snapshot };
        state.messages.add(self.intern(Y, message));
        state
    }

    fn intern(&mut self, to: usize, input: Input) -> u32 {
        let next = self.inputs.len() as u32;
        let number = *self.input_numbers.entry(format!("{to} {input:?}")).or_insert(next);
        if number == next {
            self.inputs.push((to, input));
        }
        number
    }

    fn intern_actor(&mut self, ix: usize, print: u64, log: Vec<(bool, u32)>) -> u32 {
        let next = self.logs.len() as u32;
        let number = *self.actor_numbers.entry((ix, print)).or_insert(next);
        if number == next {
            self.logs.push(log);
        }
        number
    }

    /// Every step that is possible in `state`.
    pub(crate) fn steps(&self, state: &State) -> Vec<Step> {
        let open = |bit: &usize| state.environment & (1 << bit) == 0;
        let events = (0..self.environment.len()).filter(open).map(Step::Event);
        let sent = |number: &u32| state.messages.has(*number);
        let messages = (0..self.inputs.len() as u32).filter(sent).map(Step::Message);
        let later = (!state.later).then_some(Step::Later);
        events.chain(messages).chain(later).collect()
    }

    /// The state that follows, or the invariant that is broken.
    pub(crate) fn take(&mut self, state: &State, step: Step) -> Result<State, &'static str> {
        let mut after = state.clone();
        match step {
            Step::Event(bit) => {
                after.environment |= 1 << bit;
                let (to, input) = self.environment[bit];
                if matches!(self.inputs[input as usize].1, Input::Receive) {
                    after.repeats_a_run[to] = state.dispatched[1 - to];
                }
                self.deliver(after, to, input)
            }
            Step::Message(input) => self.deliver(after, self.inputs[input as usize].0, input),
            Step::Later => {
                after.later = true;
                Ok(after)
            }
        }
    }

    /// A step in words.
    pub(crate) fn describe(&self, step: Step) -> String {
        match step {
            Step::Event(bit) => {
                let (to, input) = self.environment[bit];
                format!("event at {to}: {:?}", self.inputs[input as usize].1)
            }
            Step::Message(input) => {
                let (to, input) = &self.inputs[input as usize];
                format!("message to {to}: {input:?}")
            }
            Step::Later => "time passes".to_owned(),
        }
    }

    fn deliver(&mut self, mut state: State, to: usize, input: u32) -> Result<State, &'static str> {
        let key = (state.actors[to], state.later, input);
        if !self.steps.contains_key(&key) {
            let step = self.step(to, key);
            self.steps.insert(key, step);
        }
        let (actor, output) = &self.steps[&key];
        state.actors[to] = *actor;
        for &number in &output.sent {
            state.messages.add(number);
        }
        if to < X {
            self.check(&state, to, output)?;
            state.dispatched[to] |= output.dispatches > 0;
            state.not_run[to] |= output.not_run > 0;
        }
        Ok(state)
    }

    /// Checks what an entry did against what was done before.
    fn check(&self, before: &State, entry: usize, output: &Output) -> Result<(), &'static str> {
        let other = before.dispatched[1 - entry];
        let rules = [
            (output.dispatches > 1, "dispatched twice in one step"),
            (output.dispatches > 0 && before.dispatched[entry], "request dispatched twice"),
            (output.dispatches > 0 && before.not_run[entry], "dispatched after `not-run`"),
            (output.not_run > 0 && before.dispatched[entry], "`not-run` of a dispatched request"),
            (output.dispatches > 0 && other && !self.idempotent, "identity dispatched twice"),
            (
                output.not_run > 0 && before.repeats_a_run[entry] && !self.idempotent,
                "`not-run` of the repeat of a dispatched request",
            ),
        ];
        rules.iter().find(|(broken, _)| *broken).map_or(Ok(()), |(_, rule)| Err(*rule))
    }

    /// Rebuilds an actor and lets it take one more input.
    fn step(&mut self, ix: usize, (actor, later, input): (u32, bool, u32)) -> (u32, Output) {
        let mut log = self.logs[actor as usize].clone();
        let mut rebuilt = Actor::new(ix);
        for &(later, input) in &log {
            self.act(ix, &mut rebuilt, later, input);
        }
        let output = self.act(ix, &mut rebuilt, later, input);
        log.push((later, input));
        (self.intern_actor(ix, rebuilt.fingerprint(), log), output)
    }

    fn act(&mut self, ix: usize, actor: &mut Actor, later: bool, input: u32) -> Output {
        let input = self.inputs[input as usize].1.clone();
        match actor {
            Actor::Entry(entry) => self.act_entry(ix, entry, time(later), input),
            Actor::Role(role) => self.act_role(ix, role, time(later), input),
        }
    }

    fn act_entry(&mut self, ix: usize, entry: &mut Entry, now: MonoTime, input: Input) -> Output {
        let id = RequestId::new(ix as u128 + 1);
        let input = match input {
            Input::Receive => {
                EntryInput::Received { submission: submission(ix, self.idempotent), pool: pool() }
            }
            Input::End => EntryInput::Ended { id, end: DispatchEnd::Failed },
            Input::Entry(input) => input,
            _ => return Output::default(),
        };
        let mut actions = Vec::new();
        entry.handle(now, input, &mut actions);
        entry.handle(now, EntryInput::Tick, &mut actions);
        let mut output = Output::default();
        for action in actions {
            match action {
                EntryAction::SendToOwner { owner, sent_at, event, .. } => {
                    let to = hosts().iter().position(|host| *host == owner).unwrap();
                    let entry = hosts()[ix].clone();
                    let input = Input::Owner(OwnerInput::EntryEvent { entry, sent_at, event });
                    output.sent.push(self.intern(to, input));
                }
                EntryAction::Dispatch { .. } => output.dispatches += 1,
                EntryAction::RespondNotRun { .. } => output.not_run += 1,
                _ => {}
            }
        }
        output
    }

    fn act_role(&mut self, ix: usize, role: &mut PoolRole, now: MonoTime, input: Input) -> Output {
        let mut output = Output::default();
        let mut actions = Vec::new();
        match input {
            Input::Owner(input) => role.handle(now, input, &mut actions),
            Input::Replicate { epoch, event } => {
                let reply = role.handle_standby_event(now, &host("x"), epoch, event);
                let to_owner = |reply| OwnerInput::StandbyReply { host: host("y"), reply };
                if let Some(reply) = reply {
                    output.sent.push(self.intern(X, Input::Owner(to_owner(reply))));
                }
            }
            Input::TakeOver => {
                let claim_source = ClaimSource::StandbyCopy { owner: host("x"), epoch: epoch(1) };
                begin_term(role, now, 2, &claim_source);
                let until = MonoTime::from_millis(u64::MAX / 1_000);
                let condition = OwnerInput::CommitCondition(CommitCondition::LeaseOnly { until });
                role.handle(now, condition, &mut actions);
            }
            _ => {}
        }
        role.handle(now, OwnerInput::Tick, &mut actions);
        let Some(term) = role.owner().map(|owner| owner.epoch()) else { return output };
        for action in actions {
            match action {
                OwnerAction::SendToEntry { entry, event } => {
                    let to = hosts().iter().position(|host| *host == entry).unwrap();
                    let owner = hosts()[ix].clone();
                    let input = EntryInput::OwnerEvent { owner, pool: pool(), epoch: term, event };
                    output.sent.push(self.intern(to, Input::Entry(input)));
                }
                OwnerAction::Replicate { event, .. } => {
                    let input = Input::Replicate { epoch: term, event };
                    output.sent.push(self.intern(Y, input));
                }
                _ => {}
            }
        }
        output
    }
}
