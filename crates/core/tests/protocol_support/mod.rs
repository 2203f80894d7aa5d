//! Model of the protocol between entries, owners and a standby, built on the real
//! state machines.
//!
//! A message that was sent may be delivered at any later time, any number of
//! times, or never. This covers loss, duplication and reordering of messages, and
//! crashes and pauses of actors, without steps for them.
//!
//! An actor's state is identified by its fingerprint and rebuilt by replaying one
//! sequence of inputs that leads to it. The results of transitions are cached.
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
const TIME_ADVANCE_MS: u64 = 1_400;
const MESSAGE_WORDS: usize = 8;

/// A message or an environment event for one actor.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Input {
    Receive,
    End,
    Entry(EntryInput),
    Owner(OwnerInput),
    Replicate { epoch: Epoch, event: StandbyEvent },
    TakeOver,
}

/// Output of an actor in one transition.
#[derive(Clone, Debug, Default)]
struct Output {
    sent: Vec<u32>,
    dispatches: u8,
    not_run: u8,
}

/// One step of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// An environment event, which occurs at most once.
    Event(usize),
    /// Delivery of a sent message.
    Message(u32),
    /// Advances the time, so that every grant sent so far expires.
    AdvanceTime,
}

/// Set of the sent messages, by number.
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

/// State of the whole model. Actor states and messages are numbered by [`Model`].
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct State {
    actors: [u32; ACTORS],
    messages: Messages,
    environment: u32,
    time_advanced: bool,
    pub(crate) dispatched: [bool; 2],
    not_run: [bool; 2],
    /// Whether the other entry had dispatched before this one received the request.
    received_after_dispatch: [bool; 2],
}

/// The actor states, messages and transitions found so far.
pub(crate) struct Model {
    idempotent: bool,
    environment: Vec<(usize, u32)>,
    inputs: Vec<(usize, Input)>,
    input_numbers: HashMap<String, u32>,
    histories: Vec<Vec<(bool, u32)>>,
    actor_numbers: HashMap<(usize, u64), u32>,
    transitions: HashMap<(u32, bool, u32), (u32, Output)>,
}

impl Model {
    pub(crate) fn new(idempotent: bool) -> Self {
        let mut model = Self {
            idempotent,
            environment: Vec::new(),
            inputs: Vec::new(),
            input_numbers: HashMap::new(),
            histories: Vec::new(),
            actor_numbers: HashMap::new(),
            transitions: HashMap::new(),
        };
        let view = OwnerView { owner: Some(hosts()[Y].clone()), epoch: epoch(2) };
        let owner_changed = Input::Entry(EntryInput::OwnerChanged { pool: pool(), view });
        let entry_down = Input::Owner(OwnerInput::EntryDown(hosts()[A].clone()));
        let events = [
            (A, Input::Receive),
            (B, Input::Receive),
            (Y, Input::TakeOver),
            (A, owner_changed.clone()),
            (B, owner_changed),
            (X, entry_down.clone()),
            (Y, entry_down),
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

    fn intern_actor(&mut self, ix: usize, fingerprint: u64, history: Vec<(bool, u32)>) -> u32 {
        let next = self.histories.len() as u32;
        let number = *self.actor_numbers.entry((ix, fingerprint)).or_insert(next);
        if number == next {
            self.histories.push(history);
        }
        number
    }

    /// Returns the steps that are possible in `state`.
    pub(crate) fn steps(&self, state: &State) -> Vec<Step> {
        let open = |bit: &usize| state.environment & (1 << bit) == 0;
        let events = (0..self.environment.len()).filter(open).map(Step::Event);
        let sent = |number: &u32| state.messages.has(*number);
        let messages = (0..self.inputs.len() as u32).filter(sent).map(Step::Message);
        let time_advanced = (!state.time_advanced).then_some(Step::AdvanceTime);
        events.chain(messages).chain(time_advanced).collect()
    }

    /// Returns the state after a step, or the violated invariant.
    pub(crate) fn apply(&mut self, state: &State, step: Step) -> Result<State, &'static str> {
        let mut after = state.clone();
        match step {
            Step::Event(bit) => {
                after.environment |= 1 << bit;
                let (to, input) = self.environment[bit];
                if matches!(self.inputs[input as usize].1, Input::Receive) {
                    after.received_after_dispatch[to] = state.dispatched[1 - to];
                }
                self.deliver(after, to, input)
            }
            Step::Message(input) => self.deliver(after, self.inputs[input as usize].0, input),
            Step::AdvanceTime => {
                after.time_advanced = true;
                Ok(after)
            }
        }
    }

    /// Describes a step for failure messages.
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
            Step::AdvanceTime => "time passes".to_owned(),
        }
    }

    fn deliver(&mut self, mut state: State, to: usize, input: u32) -> Result<State, &'static str> {
        let key = (state.actors[to], state.time_advanced, input);
        if !self.transitions.contains_key(&key) {
            let transition = self.transition(to, key);
            self.transitions.insert(key, transition);
        }
        let (actor, output) = &self.transitions[&key];
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

    /// Checks the output of an entry against the state before the step.
    fn check(&self, before: &State, entry: usize, output: &Output) -> Result<(), &'static str> {
        let other = before.dispatched[1 - entry];
        let invariants = [
            (output.dispatches > 1, "dispatched twice in one step"),
            (output.dispatches > 0 && before.dispatched[entry], "request dispatched twice"),
            (output.dispatches > 0 && before.not_run[entry], "dispatched after `not-run`"),
            (output.not_run > 0 && before.dispatched[entry], "`not-run` of a dispatched request"),
            (output.dispatches > 0 && other && !self.idempotent, "identity dispatched twice"),
            (
                output.not_run > 0 && before.received_after_dispatch[entry] && !self.idempotent,
                "`not-run` of the repeat of a dispatched request",
            ),
        ];
        invariants
            .iter()
            .find(|(violated, _)| *violated)
            .map_or(Ok(()), |(_, invariant)| Err(*invariant))
    }

    /// Rebuilds an actor's state and handles one more input.
    fn transition(
        &mut self,
        ix: usize,
        (actor, time_advanced, input): (u32, bool, u32),
    ) -> (u32, Output) {
        let mut history = self.histories[actor as usize].clone();
        let mut rebuilt = Actor::new(ix);
        for &(time_advanced, input) in &history {
            self.handle_input(ix, &mut rebuilt, time_advanced, input);
        }
        let output = self.handle_input(ix, &mut rebuilt, time_advanced, input);
        history.push((time_advanced, input));
        (self.intern_actor(ix, rebuilt.fingerprint(), history), output)
    }

    fn handle_input(
        &mut self,
        ix: usize,
        actor: &mut Actor,
        time_advanced: bool,
        input: u32,
    ) -> Output {
        let input = self.inputs[input as usize].1.clone();
        match actor {
            Actor::Entry(entry) => self.handle_entry_input(ix, entry, time(time_advanced), input),
            Actor::Role(role) => self.handle_role_input(ix, role, time(time_advanced), input),
        }
    }

    fn handle_entry_input(
        &mut self,
        ix: usize,
        entry: &mut Entry,
        now: MonoTime,
        input: Input,
    ) -> Output {
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

    fn handle_role_input(
        &mut self,
        ix: usize,
        role: &mut PoolRole,
        now: MonoTime,
        input: Input,
    ) -> Output {
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
