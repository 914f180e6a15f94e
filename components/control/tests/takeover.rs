//! Tests of takeovers: no leaf may be taken over from an instance that may still be covered by a
//! session or a promise.

mod common;

use {
    common::{SESSION, document, id, sessions},
    indexmap::IndexMap,
    std::fmt::Write,
    wigeonramp_config::Document,
    wigeonramp_control::{
        assignment::{
            AssignInput, AssignStep, Assigner, AssignerSettings, Assignment, AssignmentVersion,
            Holding, NamedAssigner,
        },
        membership::{ListedHost, Membership},
        promise::PromiseIssuer,
    },
    wigeonramp_units::{Epoch, InstanceId, Instant, Span},
};

const HORIZON: Span = Span::secs(30);
const T0: Instant = Instant(1_000_000_000);

/// The assigner `h0@1` among `h0@1` to `h3@1`; `h3@1` and `h2@1` hold a leaf each.
struct Case {
    assigner: Assigner,
    issuer: PromiseIssuer,
    membership: Membership,
    document: Document,
    current: Assignment,
    table: String,
    last: String,
}

impl Case {
    fn new(assigners: &[(&str, u64)], disputed: &[&str]) -> Self {
        let settings =
            AssignerSettings { session_time: SESSION, max_handovers: 2, promise_horizon: HORIZON };
        let assigner: InstanceId = id("h0@1");
        let named = |(instance, since): &(&str, u64)| NamedAssigner {
            instance: id(instance),
            since: AssignmentVersion(*since),
        };
        let document = document(1);
        let holding = |holder| Holding {
            instance: id(holder),
            epoch: Epoch(1),
            from: None,
            taken_over: false,
            since_version: AssignmentVersion(1),
        };
        let current = Assignment {
            version: AssignmentVersion(9),
            op: id("op-9"),
            assigners: assigners.iter().map(named).collect(),
            disputed: disputed.iter().map(|text| id(text)).collect(),
            holdings: [("leaf-0", "h3@1"), ("leaf-1", "h2@1")]
                .map(|(leaf, holder)| (id(leaf), holding(holder)))
                .into(),
        };
        Self {
            assigner: Assigner::new(assigner.clone(), settings),
            issuer: PromiseIssuer::new(assigner, SESSION, HORIZON),
            membership: Membership::new(SESSION, T0),
            document,
            current,
            table: String::new(),
            last: String::new(),
        }
    }

    /// Runs one step per second. The instance `missing` has no session object, and those in
    /// `silent` do not renew theirs.
    fn run(&mut self, seconds: std::ops::Range<u64>, missing: &str, silent: &[&str]) {
        for second in seconds {
            let now = T0 + Span::secs(second);
            let mut listed = sessions(4, second + 1);
            listed.retain(|session| session.record.instance.as_str() != missing);
            let is_silent = |instance: &InstanceId| silent.contains(&instance.as_str());
            let silent_sessions =
                listed.iter_mut().filter(|session| is_silent(&session.record.instance));
            for session in silent_sessions {
                session.record.counter = 1;
            }
            self.membership.on_session_list(now, listed, now);
            let view = &self.membership.view(now);
            let op = id("op-10");
            let input = AssignInput {
                current: Some(&self.current),
                view,
                document: &self.document,
                op,
                now,
            };
            let step = self.assigner.step(&input, &mut self.issuer);
            self.add_row(second, &step);
        }
    }

    fn add_row(&mut self, second: u64, step: &AssignStep) {
        let text = match step {
            AssignStep::Nothing => "nothing".to_owned(),
            AssignStep::Fence(fences) => format!("fence {}", fences[0].instance),
            AssignStep::Write(next) => written("write", next),
            AssignStep::TakeRole(next) => written("take role", next),
        };
        if text != self.last {
            writeln!(self.table, "{second:>3}s {text}").unwrap();
        }
        self.last = text;
    }
}

fn written(kind: &str, next: &Assignment) -> String {
    let names: Vec<_> = next.assigner_ids().map(InstanceId::as_str).collect();
    let taken = next.holdings.values().filter(|holding| holding.taken_over).count();
    let disputed: Vec<_> = next.disputed.iter().map(InstanceId::as_str).collect();
    format!("{kind}: assigners {names:?}, {taken} taken over, disputed {disputed:?}")
}

const ALL: [(&str, u64); 4] = [("h0@1", 1), ("h1@1", 1), ("h2@1", 1), ("h3@1", 1)];

#[test]
fn takeovers_wait_for_fence_role_promises_and_turn() {
    let mut tables = IndexMap::new();
    let mut case = Case::new(&ALL[..3], &[]);
    case.run(0..8, "", &["h3@1"]);
    case.run(8..10, "h3@1", &[]);
    tables.insert("silent: fenced first, leaves moved when the session is gone", case.table);

    let mut case = Case::new(&ALL[..3], &[]);
    case.run(0..8, "h3@1", &[]);
    tables.insert("session missing from the start: waits as for a silent instance", case.table);

    let mut case = Case::new(&ALL[..3], &[]);
    case.run(0..4, "h3@1", &[]);
    case.current.assigners[0].since = AssignmentVersion(8);
    case.run(4..12, "h3@1", &[]);
    tables.insert("made an assigner again at 4s: waits again", case.table);

    let mut case = Case::new(&ALL[..3], &["h9@1"]);
    case.run(0..40, "", &["h3@1"]);
    tables.insert(
        "a replaced assigner may still give promises: waits for the promise horizon",
        case.table,
    );

    let mut case = Case::new(&[ALL[1], ALL[0], ALL[2]], &[]);
    case.run(0..14, "", &["h3@1"]);
    tables.insert("second in the list: waits for one more session time", case.table);

    let mut case = Case::new(&ALL[1..2], &[]);
    case.run(0..20, "", &["h1@1"]);
    tables.insert("standby instance: takes the role after twice the takeover time", case.table);

    let text: Vec<_> = tables.iter().map(|(case, table)| format!("{case}\n{table}")).collect();
    insta::assert_snapshot!(text.join("\n"));
}

#[test]
fn a_list_from_before_the_assignment_was_read_is_not_used() {
    let mut case = Case::new(&ALL[..3], &[]);
    case.run(0..8, "h3@1", &[]);
    case.current.version = AssignmentVersion(10);
    let now = T0 + Span::secs(8);
    let view = &case.membership.view(now);
    let current = Some(&case.current);
    let input = AssignInput { current, view, document: &case.document, op: id("op-11"), now };
    assert_eq!(case.assigner.step(&input, &mut case.issuer), AssignStep::Nothing);
}

#[test]
fn only_a_host_that_was_listed_before_counts_as_ended() {
    let mut membership = Membership::new(SESSION, T0);
    let row = |host: &str| ListedHost { host: id(host), leaving: false };
    membership.on_host_list(vec![row("h1")]);
    membership.on_host_list(vec![row("h2")]);
    let ended = ["h1@1", "h2@1", "h3@1"].map(|text| membership.view(T0).has_ended(&id(text)));
    assert_eq!(ended, [true, false, false]);
}
