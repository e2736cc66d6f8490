//! Settings of the engine, and the tunables of each decision.
//!
//! A tunable is an integer with a default, a range and a line of documentation, all in one place:
//! the settings file, docs/SETTINGS.md and the reducer use the same table. The suffix of its name
//! gives its unit.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use hazeltiller_wire::membership;

/// Description of a tunable for documentation and validation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunableRow {
    /// Group of the tunable, which is the key under `tunables` in the settings file.
    pub group: &'static str,
    /// Key within the group.
    pub name: &'static str,
    /// Value if the settings file gives none.
    pub default: u64,
    /// Valid values.
    pub range: RangeInclusive<u64>,
    /// Documentation line.
    pub doc: &'static str,
}

macro_rules! tunables {
    ($(
        $(#[doc = $group_doc:literal])+
        $type:ident in $group:ident {
            $($(#[doc = $doc:literal])+ $name:ident = $default:literal, $range:expr;)*
        }
    )*) => {
        $(
            $(#[doc = $group_doc])+
            #[derive(Debug, Clone, PartialEq, Eq)]
            pub struct $type {
                $($(#[doc = $doc])+ pub $name: u64,)*
            }

            impl Default for $type {
                fn default() -> Self {
                    Self { $($name: $default,)* }
                }
            }
        )*

        /// All tunables by group.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct EngineTunables {
            $($(#[doc = $group_doc])+ pub $group: $type,)*
        }

        impl EngineTunables {
            /// Returns the descriptions of all tunables in order.
            pub fn rows() -> Vec<TunableRow> {
                vec![$($(TunableRow {
                    group: stringify!($group),
                    name: stringify!($name),
                    default: $default,
                    range: $range,
                    doc: concat!($($doc),+).trim_ascii(),
                },)*)*]
            }

            /// Returns a reference to the value of a tunable; `None` if there is no such tunable.
            pub fn value_mut(&mut self, group: &str, name: &str) -> Option<&mut u64> {
                match (group, name) {
                    $($((stringify!($group), stringify!($name)) => {
                        Some(&mut self.$group.$name)
                    })*)*
                    _ => None,
                }
            }
        }
    };
}

tunables! {
    /// Tunables of request forwarding.
    RequestTunables in requests {
        /// Maximum number of bytes of a request's body that are buffered for retries and for its
        /// fingerprint.
        replay_bytes = 65_536, 0..=4_194_304;
        /// Largest response of a target that is buffered as a whole before it is forwarded, in
        /// bytes, so that a truncated one can be retried; with 0 every response is streamed.
        answer_hold_bytes = 65_536, 0..=4_194_304;
        /// Maximum time for which a response of unknown length is held while requests are behind it
        /// on its connection, in milliseconds. One that breaks off meanwhile leaves the connection
        /// open, and no request is dispatched behind one that is passed on. With 0 each is passed on
        /// as it comes, and those behind it are dispatched at once.
        hold_ms = 500, 0..=60_000;
        /// Maximum time for which the rest of a body of unknown length, or the beginning of one above
        /// `replay_bytes`, is awaited for the request's fingerprint, in milliseconds. With 0 such
        /// requests have none, so that one that crashes targets is not quarantined. The end of a body
        /// may wait for a delayed acknowledgement of what precedes it, 40 ms on most systems.
        gather_ms = 60, 0..=10_000;
        /// Largest head of a request, in bytes; a larger one is refused with status 431.
        head_bytes = 65_536, 8192..=1_048_576;
        /// Maximum number of header lines of a request; more are refused with status 431.
        head_lines = 128, 16..=1024;
        /// Maximum time for a caller to send the head of a request, in milliseconds.
        head_ms = 30_000, 100..=600_000;
        /// Time for which a stopping node still accepts requests, so that its peers learn of the
        /// stop, in milliseconds.
        leave_ms = 2000, 0..=60_000;
        /// Final part of `leave_ms` in which the node announces its stop to its peers, which then
        /// offer its target nothing more, in milliseconds; before that they continue to offer. A
        /// value above `leave_ms` announces it at once.
        tell_ms = 60_000, 0..=60_000;
        /// Maximum time for which a stopping node waits for requests in flight, in milliseconds.
        finish_ms = 30_000, 0..=600_000;
    }

    /// Tunables of the replicated log of the control group.
    ReplicationTunables in replication {
        /// Election timeout, in milliseconds, drawn at random from one to two times this value: a
        /// replica that hears no leader for that long starts an election, and a leader that hears
        /// no majority steps down.
        election_ms = 500, 50..=60_000;
        /// Interval between heartbeats of a leader, in milliseconds.
        heartbeat_ms = 100, 10..=10_000;
        /// Interval between introductions of a replica without a leader, in milliseconds.
        introduction_ms = 250, 20..=60_000;
        /// Maximum number of log entries per message.
        append_entries = 256, 1..=4096;
        /// Number of log entries after which a snapshot is taken and the log before it is deleted
        /// from disk.
        snapshot_entries = 10_000, 16..=10_000_000;
        /// Log entries before the snapshot that stay in memory for followers that lag behind.
        trailing_entries = 1_000, 0..=1_000_000;
        /// Delay until a control whose disk has failed a write rewrites its whole store, and
        /// between further such attempts, in milliseconds.
        rewrite_ms = 500, 50..=60_000;
        /// Accepted changes that are remembered, so that a resend gets the same result.
        changes_kept = 4_096, 16..=1_000_000;
        /// Target number of voters: a lost voter is replaced by a replica that has caught up,
        /// without an administrator; 0 never changes the group.
        voters = 0, 0..=7;
        /// Silence of a voter after which a replica that has caught up replaces it, in
        /// milliseconds.
        replace_ms = 1_500, 100..=600_000;
        /// Maximum time for which the answer to an accepted change waits until a lost voter is
        /// replaced, in milliseconds.
        repair_ms = 1_000, 0..=60_000;
        /// Maximum time that an operator waits for the result of a change, in milliseconds.
        answer_ms = 5_000, 100..=60_000;
    }

    /// Tunables of the claims on requests with an idempotency key.
    LedgerTunables in ledger {
        /// Maximum time that a node tries to get a claim stored by a majority of the controls, in
        /// milliseconds.
        claim_ms = 1000, 50..=60_000;
        /// Silence of the node that holds a claim after which the result of its request counts as
        /// unknown, in milliseconds.
        ask_ms = 1500, 100..=60_000;
        /// Time that a control keeps a claim, in milliseconds; a resend after that may run again.
        retention_ms = 3_600_000, 1000..=604_800_000;
        /// Maximum number of claims that a control keeps; more are declined.
        claims = 400_000, 100..=100_000_000;
        /// Time that a node keeps the response to a claimed request for resends, in milliseconds.
        kept_ms = 600_000, 0..=86_400_000;
        /// Maximum number of responses that a node keeps.
        kept_answers = 10_000, 0..=10_000_000;
        /// Maximum total size of the responses that a node keeps, in bytes.
        kept_bytes = 8_388_608, 0..=1_073_741_824;
        /// Largest response that is kept, in bytes.
        answer_bytes = 65_536, 0..=4_194_304;
    }

    /// Tunables of the quarantine of requests that crash targets.
    QuarantineTunables in quarantine {
        /// Time for which a request that was in flight at one crash runs isolated, in milliseconds.
        suspect_ms = 30_000, 0..=86_400_000;
        /// Time for which a request that was in flight at two crashes is refused, in milliseconds.
        refuse_ms = 300_000, 0..=86_400_000;
        /// Maximum number of requests that are remembered for crashes.
        blamed = 4_096, 16..=1_000_000;
    }

    /// Tunables of catalogue dissemination.
    DisseminationTunables in dissemination {
        /// Interval between keepalives to the parent in the relay tree, in milliseconds. Together
        /// with `fan_out` it balances convergence against control traffic: a smaller value detects
        /// a silent relay sooner, a larger one costs less when idle.
        keepalive_ms = 1000, 50..=60_000;
        /// Nodes that a control feeds in each data centre. The bytes that the source sends per
        /// change grow with it; with a single one, a data centre depends on gossip when that node
        /// fails.
        heads = 2, 0..=4096;
        /// Maximum number of children of a node in the relay tree. A larger value makes the tree
        /// flatter and costs its inner nodes more; with 0 all nodes below the heads depend on
        /// gossip.
        fan_out = 4, 0..=4096;
        /// Changes that are kept to bring other processes up to date.
        history_steps = 512, 0..=65_536;
        /// Maximum number of full catalogues that a process sends concurrently.
        snapshots_at_once = 4, 1..=1024;
        /// Time that a process without a stored version waits for the control group to answer
        /// before it asks the nodes of its data centre, in milliseconds.
        floor_wait_ms = 1500, 100..=600_000;
        /// Time that a node waits for its parent before it pulls a later version from another node
        /// that has it, in milliseconds.
        pull_grace_ms = 150, 0..=60_000;
    }

    /// Tunables of membership.
    MembershipTunables in membership {
        /// Interval between probes of each gossip partner, in milliseconds.
        gossip_ms = 1000, 20..=60_000;
        /// Number of gossip partners in the own data centre.
        gossip_fan_out = 3, 1..=32;
        /// Silence of a partner after which its suspicion is gossiped, in milliseconds.
        suspect_ms = 2500, 100..=600_000;
        /// Time for a suspected member to refute the suspicion, in milliseconds.
        confirm_ms = 3000, 100..=600_000;
        /// Silence of a whole data centre after which it counts as partitioned, in milliseconds.
        centre_silence_ms = 6000, 500..=600_000;
        /// Minimum interval between comparisons of the table of members, in milliseconds.
        sync_ms = 2000, 50..=600_000;
        /// Lease of a target whose announcement does not give one, in milliseconds.
        lease_ms = 8000, 100..=600_000;
        /// Time that a target that has left is remembered, so that a delayed announcement does not
        /// bring it back, in milliseconds.
        departed_ms = 60_000, 0..=3_600_000;
        /// Interval between attempts to reach a member that does not answer, in milliseconds.
        heal_ms = 3000, 100..=600_000;
        /// Time after which an unreachable member is removed, in milliseconds.
        forget_ms = 3_600_000, 1000..=604_800_000;
        /// Time that the record of a member that has left is kept to override older copies, in
        /// milliseconds.
        tombstone_ms = 86_400_000, 1000..=2_592_000_000;
    }

    /// Tunables of target selection.
    RoutingTunables in routing {
        /// Half-life of the load from other nodes in a target's report, in milliseconds.
        load_half_life_ms = 1000, 10..=60_000;
        /// Requests per slot, in percent, above which calls go to a data centre further away.
        spill_pressure_percent = 100, 1..=1000;
        /// Number of targets that are compared for a call. With 2, the less loaded of two random
        /// ones in the nearest data centre with free slots is selected. With more, the node's own
        /// target and this number of others are compared, half of them from other data centres, and
        /// the one that is expected to respond first is selected. More targets give a better
        /// selection while few nodes share them, and a worse one where sixty nodes all find the
        /// same target idle.
        compared = 2, 2..=64;
        /// Penalty for a target in another data centre of the region when expected response times
        /// are compared, in percent of its run time; of two targets that would respond at about the
        /// same time the nearer one is selected.
        far_run_percent = 30, 0..=1000;
        /// Penalty for each kilobyte of a request and its response between data centres in that
        /// comparison, in milliseconds; such traffic is costly, and a slightly earlier response
        /// does not justify it.
        far_kilobyte_ms = 15, 0..=1000;
    }

    /// Tunables of placement.
    PlacementTunables in placement {
        /// Smallest body of a request to a target in another data centre, in bytes, that is sent
        /// only after the target's node has admitted the call, so that refusals cost no bodies; 0
        /// sends every request with the offer. With more, a node that has left an offer unanswered
        /// is asked before any request is sent to it.
        far_body_bytes = 0, 0..=4_194_304;
        /// The same for targets of other nodes in the own data centre, where it costs a round trip
        /// more and keeps the links of busy nodes free.
        near_body_bytes = 0, 0..=4_194_304;
        /// Longest time that a node waits for the answer to such an offer before it goes on to
        /// another target, in milliseconds; less if the other node's answers usually take less.
        answer_ms = 150, 10..=10_000;
        /// Time for which a target's node keeps a place for an admitted call whose request has not
        /// arrived, in milliseconds.
        hold_ms = 300, 10..=10_000;
        /// Time after which a target's node that has not responded to an idempotent request is
        /// asked whether it still answers, in milliseconds; if it does not within as long again,
        /// the attempt counts as lost while there is time for another. 0 waits until the deadline
        /// or the end of the connection.
        check_ms = 0, 0..=10_000;
    }

    /// Tunables of health.
    HealthTunables in health {
        /// Consecutive failures that make a target unhealthy; also the minimum number of failures
        /// that can.
        failed_in_row = 5, 1..=100;
        /// Share of failures that makes a target unhealthy, in percent.
        failed_percent = 50, 1..=100;
        /// Half-life of the outcome counts, in milliseconds.
        half_life_ms = 5000, 100..=600_000;
        /// Duration of a first ejection, in milliseconds; it doubles with each further one, up to
        /// 16 times.
        ejection_ms = 2000, 50..=600_000;
        /// Maximum share of a service's targets that are ejected, in percent.
        ejected_percent = 50, 0..=100;
        /// Consecutive failed health checks that make a target without calls unhealthy.
        bad_probes = 3, 1..=100;
    }

    /// Tunables of admission.
    AdmissionTunables in admission {
        /// Burst size of an owner's rate limit, as the time in which the rate yields it, in
        /// milliseconds.
        burst_ms = 1000, 1..=60_000;
        /// Whether calls of every class are held to the target latency of their route; with 0 only
        /// calls of the lowest-priority class are, and others wait until their deadline.
        latency_for_all = 0, 0..=1;
        /// Time for which a target must not have turned away a call that could still be answered
        /// within its target latency before it runs one that cannot, in milliseconds; with 0 a free
        /// slot and an empty queue suffice.
        overdue_calm_ms = 0, 0..=60_000;
    }

    /// Tunables of the calls that runs make.
    DependencyTunables in dependencies {
        /// Whether calls that runs make go before new calls of their class: 1 if they do.
        nested_first = 0, 0..=1;
        /// Maximum share of a route's calls that a node refuses while calls that the route's runs
        /// make find no room, in percent; 0 begins all calls.
        held_percent = 0, 0..=95;
    }

    /// Tunables of the allowances of organisations.
    AllowanceTunables in allowance {
        /// Demand of a node that one grant of an organisation's home covers, in milliseconds.
        grant_ms = 250, 10..=60_000;
        /// Time in which a grant must be used, in milliseconds.
        grant_life_ms = 1000, 10..=60_000;
        /// Maximum time that a request waits for the home's answer, in milliseconds. After that
        /// the node lets requests pass up to a share of its own.
        answer_ms = 300, 10..=10_000;
        /// Requests beyond an organisation's burst that its home may grant at once. A home that has
        /// just taken over starts with them.
        spare = 0, 0..=100_000;
    }

    /// Tunables of retries.
    RetryTunables in retry {
        /// Retries that each successful attempt adds to the budget of its service and class, in
        /// percent of one.
        budget_percent = 10, 0..=100;
        /// Maximum number of retries of a service and class that a node may make at once.
        budget_reserve = 3, 0..=1000;
        /// Retries of a service and class that all nodes together may make at once before any
        /// attempt has added to their budgets; each node has its share of it, up to
        /// `budget_reserve`.
        budget_fleet_reserve = 45, 0..=100_000;
        /// Half-life of what successful attempts have added to a budget beyond its reserve, in
        /// milliseconds, so that little of what was earned before a failure is spent at once when
        /// it begins.
        budget_half_life_ms = 2000, 100..=600_000;
        /// Maximum number of further offers of a call, beyond the route's attempts, after owner
        /// nodes that had no free slot for it before their target was offered it.
        free_placements = 0, 0..=16;
        /// Further offers that each successful attempt adds to the budget of its service and class,
        /// in percent of one.
        placement_percent = 20, 0..=1000;
        /// Further offers of a service and class that a node may make at once, before any attempt
        /// has added to their budget.
        placement_reserve = 10, 0..=1000;
        /// Whether an offer names a maximum queue wait only if the budget would pay for another
        /// offer; with 0 it does as long as the call may be offered again at all.
        funded_patience = 0, 0..=1;
        /// Maximum number of further offers of a call after nodes that could not be reached, or
        /// that reported that they or their target are leaving, so that the stop of two neighbours
        /// causes no refusal.
        leaving_placements = 2, 0..=16;
    }

    /// Tunables of the order in which refused callers return.
    ReturnTunables in returns {
        /// With 1, a refusal for want of capacity tells the caller when its turn is expected, and
        /// who returns then goes before new callers of equal rank; with 0, when one target is
        /// expected to have room.
        appointments = 0, 0..=1;
        /// Share of the rate at which a route's calls are answered that returning callers get, in
        /// percent; new ones get the rest.
        share_percent = 80, 1..=100;
    }

    /// Tunables of rollouts.
    RolloutTunables in rollout {
        /// Maximum share of a service's calls that a new version gets during its trial, in
        /// thousandths.
        trial_permille = 60, 1..=500;
    }

    /// Tunables of the link of a node.
    BandwidthTunables in bandwidth {
        /// Rate of the node's link, in kbit/s, by which large responses are sent by turns and calls
        /// whose responses it can't deliver in time are refused; 0 if it is unknown, which does
        /// neither.
        link_kbits = 0, 0..=100_000_000;
        /// Smallest response that is sent by turns, in bytes; smaller ones are sent at once.
        paced_bytes = 8192, 1024..=1_048_576;
        /// Time in which the link sends one turn of a large response, in milliseconds; small
        /// messages wait behind two turns at most, and shorter ones cost more wake-ups.
        turn_ms = 4, 1..=1000;
    }

    /// Tunables of the connections that clients open.
    ConnectionTunables in connections {
        /// Most connections of the listener that most clients use, in percent of the descriptors of
        /// the process: that of callers, at a control that of operators. Other listeners have smaller
        /// shares. With 0 no listener has a limit.
        main_percent = 33, 0..=90;
        /// Most bytes that are held for all clients: heads and bodies of requests, and responses that
        /// were not written yet. Beyond three quarters of them new requests are refused, except the
        /// first one of a connection. 0 sets no limit.
        held_bytes = 67_108_864, 0..=1_099_511_627_776;
        /// Bytes a second of its responses that a client reads at least; one that reads fewer is
        /// closed when memory or connections run short, or after sixty times `slow_ms`. 0 closes
        /// none.
        slow_rate = 1024, 0..=1_048_576;
        /// Time over which that rate is averaged, in milliseconds.
        slow_ms = 5000, 100..=600_000;
        /// Time without a whole request head after which a connection of a target, an operator or a
        /// readiness check is closed, in milliseconds.
        head_ms = 60_000, 100..=600_000;
        /// Time in which a target or an operator sends the body of a request, in milliseconds.
        body_ms = 60_000, 100..=600_000;
    }

    /// Tunables of the timeline.
    TimelineTunables in timeline {
        /// Number of events that are kept, not counting events of calls.
        events = 4096, 64..=1_000_000;
        /// Number of events of calls that are kept; 0 keeps none.
        call_events = 4096, 0..=1_000_000;
    }
}

/// Divisor that turns a tunable in percent into a fraction.
pub const PERCENT: f64 = 100.0;

/// Converts a tunable in milliseconds to a duration.
pub fn millis(tunable: u64) -> Duration {
    Duration::from_millis(tunable)
}

/// Settings that the engine is started with.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Identity of this process.
    pub identity: membership::PeerIdentity,
    /// Peer addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Tunables of each decision.
    pub tunables: EngineTunables,
}
