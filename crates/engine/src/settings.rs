//! What a process knows when it starts, and the tunables of each decision.
//!
//! A tunable is a whole number with a default, a range and a line of documentation, all in one
//! place: the settings file, docs/SETTINGS.md and the reducer read the same table. Its unit is the
//! end of its name.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use hazeltiller_wire::membership;

/// One tunable as it is documented and checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunableRow {
    /// Group of the tunable: the key under `tunables` in the settings file.
    pub group: &'static str,
    /// Key within the group.
    pub name: &'static str,
    /// Value where the settings file gives none.
    pub default: u64,
    /// Values that are allowed.
    pub range: RangeInclusive<u64>,
    /// What it is.
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

        /// Every tunable, by group.
        #[derive(Debug, Clone, Default, PartialEq, Eq)]
        pub struct EngineTunables {
            $($(#[doc = $group_doc])+ pub $group: $type,)*
        }

        impl EngineTunables {
            /// Every tunable as it is documented, in order.
            pub fn rows() -> Vec<TunableRow> {
                vec![$($(TunableRow {
                    group: stringify!($group),
                    name: stringify!($name),
                    default: $default,
                    range: $range,
                    doc: concat!($($doc),+).trim_ascii(),
                },)*)*]
            }

            /// The place of a tunable; `None` when there is no such one.
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
    /// Tunables of requests on their way.
    RequestTunables in requests {
        /// Bytes of a request's body that are kept for another try and for its fingerprint.
        replay_bytes = 65_536, 0..=4_194_304;
        /// Largest answer of a target that is read whole before it is passed on, in bytes, so that
        /// one that breaks off can be tried again; 0 passes every answer on as it comes.
        answer_hold_bytes = 65_536, 0..=4_194_304;
        /// Largest head of a request, in bytes; a larger one is refused with status 431.
        head_bytes = 65_536, 8192..=1_048_576;
        /// Most header lines of a request; more are refused with status 431.
        head_lines = 128, 16..=1024;
        /// Longest time that a caller takes to send the head of a request, in milliseconds.
        head_ms = 30_000, 100..=600_000;
        /// Time that a stopping node goes on taking requests, for its peers to learn of it, in milliseconds.
        leave_ms = 2000, 0..=60_000;
        /// The last part of it, for which its peers know and offer its target nothing more, in
        /// milliseconds; before that they go on offering. More than `leave_ms` tells them at once.
        tell_ms = 60_000, 0..=60_000;
        /// Longest time that a stopping node waits for requests in flight, in milliseconds.
        finish_ms = 30_000, 0..=600_000;
    }

    /// Tunables of the control group's log.
    ReplicationTunables in replication {
        /// Silence after which a replica stands for election, and after which a leader that hears
        /// no majority steps down, in milliseconds; each wait is drawn from one to two times this.
        election_ms = 500, 50..=60_000;
        /// Time between two signs of life of a leader, in milliseconds.
        heartbeat_ms = 100, 10..=10_000;
        /// Time between two introductions of a replica that has no leader, in milliseconds.
        introduction_ms = 250, 20..=60_000;
        /// Entries in one message at most.
        append_entries = 256, 1..=4096;
        /// Entries after which a snapshot is taken and the log before it dropped from the disk.
        snapshot_entries = 10_000, 16..=10_000_000;
        /// Entries before the snapshot that stay in memory for followers that lag.
        trailing_entries = 1_000, 0..=1_000_000;
        /// Time after which a control whose disk has refused a write gives it everything anew, and
        /// between two such tries, in milliseconds.
        rewrite_ms = 500, 50..=60_000;
        /// Accepted changes that are remembered, so that a resend gets the first answer.
        changes_kept = 4_096, 16..=1_000_000;
        /// Voters that the group keeps: it replaces one that is lost by a replica that has caught
        /// up, without an administrator; 0 leaves the group as it is.
        voters = 0, 0..=7;
        /// Silence of a voter after which a replica that has caught up takes its vote, in
        /// milliseconds.
        replace_ms = 1_500, 100..=600_000;
        /// Longest time for which an operator waits for the answer to a change, in milliseconds.
        answer_ms = 5_000, 100..=60_000;
    }

    /// Tunables of claims on keyed requests.
    LedgerTunables in ledger {
        /// Longest time that a node tries to have a claim kept by a majority of the controls, in
        /// milliseconds.
        claim_ms = 1000, 50..=60_000;
        /// Silence of the node that holds a claim after which what became of it counts as unknown, in milliseconds.
        ask_ms = 1500, 100..=60_000;
        /// Time that a control keeps a claim, in milliseconds: a resend after that may run again.
        retention_ms = 3_600_000, 1000..=604_800_000;
        /// Claims that a control keeps at most; more are declined.
        claims = 400_000, 100..=100_000_000;
        /// Time that a node keeps the answer of a claimed request for resends, in milliseconds.
        kept_ms = 600_000, 0..=86_400_000;
        /// Answers that a node keeps at most.
        kept_answers = 10_000, 0..=10_000_000;
        /// Bytes of answers that a node keeps at most.
        kept_bytes = 8_388_608, 0..=1_073_741_824;
        /// Largest answer that is kept, in bytes.
        answer_bytes = 65_536, 0..=4_194_304;
    }

    /// Tunables of requests that crash targets.
    QuarantineTunables in quarantine {
        /// Time for which a request that was in flight at one crash runs alone, in milliseconds.
        suspect_ms = 30_000, 0..=86_400_000;
        /// Time for which a request that was in flight at two crashes is refused, in milliseconds.
        refuse_ms = 300_000, 0..=86_400_000;
        /// Requests that are remembered for crashes at most.
        blamed = 4_096, 16..=1_000_000;
    }

    /// Tunables of dissemination.
    DisseminationTunables in dissemination {
        /// Time between two keepalives to the parent in the relay tree, in milliseconds. With
        /// `fan_out` the choice between convergence and control bytes: smaller finds a silent relay sooner, larger
        /// costs less in rest.
        keepalive_ms = 1000, 50..=60_000;
        /// Nodes that a control feeds in each data centre. What the source sends for a change grows
        /// with it; one alone would leave a data centre to gossip when it fails.
        heads = 2, 0..=4096;
        /// Children that a node feeds. Larger makes the tree flatter and costs its inner nodes
        /// more; 0 leaves all below the heads to gossip.
        fan_out = 4, 0..=4096;
        /// Changes that are kept to catch others up by.
        history_steps = 512, 0..=65_536;
        /// Whole catalogues that a process sends at once.
        snapshots_at_once = 4, 1..=1024;
        /// Time that a process without memory gives the control group to answer before it asks
        /// the nodes of its data centre, in milliseconds.
        floor_wait_ms = 1500, 100..=600_000;
        /// Time that a node gives its parent before it takes a later version from another node
        /// that has it, in milliseconds.
        pull_grace_ms = 150, 0..=60_000;
    }

    /// Tunables of membership.
    MembershipTunables in membership {
        /// Time between two probes of each partner, in milliseconds.
        gossip_ms = 1000, 20..=60_000;
        /// Partners in the own data centre.
        gossip_fan_out = 3, 1..=32;
        /// Silence of a partner after which it is suspected aloud, in milliseconds.
        suspect_ms = 2500, 100..=600_000;
        /// Time that a suspected member has to refute, in milliseconds.
        confirm_ms = 3000, 100..=600_000;
        /// Silence of a whole data centre after which it counts as cut off, in milliseconds.
        centre_silence_ms = 6000, 500..=600_000;
        /// Shortest time between two comparisons of the table of members, in milliseconds.
        sync_ms = 2000, 50..=600_000;
        /// Lease of a target that announces itself without naming one, in milliseconds.
        lease_ms = 8000, 100..=600_000;
        /// Time that a target that left is remembered, so that an announcement that was held up
        /// does not bring it back, in milliseconds.
        departed_ms = 60_000, 0..=3_600_000;
        /// Time between two tries to reach a member that does not answer, in milliseconds.
        heal_ms = 3000, 100..=600_000;
        /// Time after which an unreachable member no longer counts as one, in milliseconds.
        forget_ms = 3_600_000, 1000..=604_800_000;
        /// Time that a record of a member that left is kept against older copies, in
        /// milliseconds.
        tombstone_ms = 86_400_000, 1000..=2_592_000_000;
    }

    /// Tunables of the choice of targets.
    RoutingTunables in routing {
        /// Time over which what a report says of other nodes' calls halves, in milliseconds.
        load_half_life_ms = 1000, 10..=60_000;
        /// Requests per slot, in percent, above which calls go to a data centre further away.
        spill_pressure_percent = 100, 1..=1000;
        /// Targets that are compared for a call. With 2, the less pressed of two random ones in the
        /// nearest data centre that has room. With more, the node's own one and so many others are
        /// compared, half of them from other data centres, and the one that is expected to answer
        /// first is taken: more of them choose better while few nodes share them, worse where sixty
        /// nodes all find the same one idle.
        compared = 2, 2..=64;
        /// What another data centre of the region counts for where answers are compared by when they
        /// are expected, in percent of a run: of two targets that answer about equally soon the
        /// nearer one is taken.
        far_run_percent = 30, 0..=1000;
        /// What each kilobyte of a request and its answer between data centres counts for there, in
        /// milliseconds: those bytes cost, and an answer that is hardly sooner does not pay for them.
        far_kilobyte_ms = 15, 0..=1000;
    }

    /// Tunables of health.
    HealthTunables in health {
        /// Failures in a row that make a target unhealthy; also the fewest that can.
        failed_in_row = 5, 1..=100;
        /// Share of failures that makes a target unhealthy, in percent.
        failed_percent = 50, 1..=100;
        /// Time over which counts of outcomes halve, in milliseconds.
        half_life_ms = 5000, 100..=600_000;
        /// Time of a first ejection, in milliseconds; each one after it doubles, up to 16 times.
        ejection_ms = 2000, 50..=600_000;
        /// Largest share of a service's targets that are kept out of choice, in percent.
        ejected_percent = 50, 0..=100;
        /// Bad probes in a row that make a target without calls unhealthy.
        bad_probes = 3, 1..=100;
    }

    /// Tunables of admission.
    AdmissionTunables in admission {
        /// Time whose worth of an owner's rate may come at once, in milliseconds.
        burst_ms = 1000, 1..=60_000;
    }

    /// Tunables of retries.
    RetryTunables in retry {
        /// Second tries that each good first answer of a service pays for, in percent of one.
        budget_percent = 10, 0..=100;
        /// Second tries of a service that a node may make at once, before any answer paid for them.
        budget_reserve = 3, 0..=1000;
        /// Times that a call goes on to another target, beyond the route's tries, after nodes that had
        /// no room for it before their target was offered it.
        free_placements = 0, 0..=16;
        /// Such further offers that each call of the same service and class with a good answer pays for, in
        /// percent of one.
        placement_percent = 20, 0..=1000;
        /// Such further offers of a service and class that a node may make at once, before any was paid for.
        placement_reserve = 10, 0..=1000;
        /// Times that a call goes on to another target after nodes that were not reached, or that said that they or their target leave:
        /// a stop of two neighbours is no reason to refuse a call.
        leaving_placements = 2, 0..=16;
    }

    /// Tunables of roll-outs.
    RolloutTunables in rollout {
        /// Largest share of a service's calls that a new version gets while it is on trial, in
        /// thousandths.
        trial_permille = 60, 1..=500;
    }

    /// Tunables of the time line.
    TimelineTunables in timeline {
        /// Events that are kept, those of calls not counted.
        events = 4096, 64..=1_000_000;
        /// Events of calls that are kept; 0 keeps none.
        call_events = 4096, 0..=1_000_000;
    }
}

/// What a tunable in percent is divided by.
pub const PERCENT: f64 = 100.0;

/// A tunable in milliseconds as a span of time.
pub fn millis(tunable: u64) -> Duration {
    Duration::from_millis(tunable)
}

/// What the engine is told when it starts.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Who this process is.
    pub identity: membership::PeerIdentity,
    /// Peers addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Seed of every random choice.
    pub seed: u64,
    /// Tunables of each decision.
    pub tunables: EngineTunables,
}
