//! The load generator with a stand-in in place of a node, and the check of outcomes against given
//! logs.

use std::{net::SocketAddr, time::Duration};

use hazeltiller_standin::{
    behaviour,
    load::{self, call, mix, settings, verdict},
    runs, settings as standin_settings, target,
};

const MIX: &str = r#"{"kinds": [
    // Lookups are idempotent, issuances are not.
    {"name": "lookup", "class": "counter", "path": "/vehicles/{n}", "weight": 3},
    {"name": "issue", "class": "office", "method": "POST", "path": "/certificates/{n}",
     "keyed": true, "body_bytes": 10, "value": 5},
]}"#;

fn mix() -> mix::LoadMix {
    mix::LoadMix::parse(MIX).expect("the mix is valid")
}

async fn run_load(answer: behaviour::ResponseMode) -> load::report::LoadReport {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let name = "registru-1".parse().expect("valid name");
    let service = "registru".parse().expect("valid name");
    let behaviour = behaviour::StandInBehaviour {
        answer,
        ..behaviour::StandInBehaviour::default()
    };
    let settings = standin_settings::StandInSettings::builder(name, service, unused)
        .slots(1000)
        .behaviour(behaviour);
    let target = target::StandInTarget::start(settings.build()).await;
    let address = target.expect("loopback has a free port").address;
    let settings = settings::LoadSettings::builder(vec![address], mix())
        .rate(400.0)
        .duration(Duration::from_millis(500))
        .seed(7)
        .sends(1)
        .stand_ins(vec![address]);
    load::run(settings.build(), |_progress| {}).await
}

#[tokio::test]
async fn clean_load() {
    let report = run_load(behaviour::ResponseMode::Whole).await;
    assert!(report.verdict.is_clean(), "{report}");
    assert_eq!(report.answered, report.sent);
    assert_eq!(report.verdict.runs, report.sent);
    let (counter, office) = (&report.classes["counter"], &report.classes["office"]);
    assert!(
        counter.sent > office.sent,
        "kinds are chosen by weight: {report}"
    );
    assert!((office.goodput - office.answered as f64 * 10.0).abs() < 1e-6);
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    let file = folder.path().join("load.svg");
    report.series.write(&file).expect("the folder is writable");
    let plot = std::fs::read_to_string(file).expect("the plot was written");
    assert!(plot.contains("counter") && plot.contains("office"));
}

#[tokio::test]
async fn truncated_load() {
    let report = run_load(behaviour::ResponseMode::InPart).await;
    assert_eq!((report.answered, report.verdict.cut), (0, report.sent));
    assert_eq!(report.unanswered["cut"], report.sent);
}

#[test]
fn weighted_choice() {
    let chosen: Vec<usize> = (0..8).map(|random| mix().choose(random)).collect();
    assert_eq!(chosen, [0, 0, 0, 1, 0, 0, 0, 1]);
    mix::LoadMix::parse(r#"{"kinds": []}"#).expect_err("no kind has a weight");
}

#[test]
fn verdict_table() {
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let settings = settings::LoadSettings::builder(vec![unused], mix())
        .stand_ins(vec![unused])
        .build();
    let refused = call::SendResult::Refused {
        code: "HZ3003".into(),
        is_not_run: true,
    };
    let clean = verdict::LoadVerdict {
        is_proven: true,
        ..verdict::LoadVerdict::default()
    };
    let (lookup, issue) = (0, 1);
    let table = [
        (issue, call::SendResult::Answered, 1, clean.clone()),
        (lookup, call::SendResult::Answered, 2, clean.clone()),
        (issue, refused.clone(), 0, clean.clone()),
        (
            issue,
            call::SendResult::Answered,
            2,
            verdict::LoadVerdict {
                doubled: 1,
                ..clean.clone()
            },
        ),
        (
            issue,
            refused,
            1,
            verdict::LoadVerdict {
                wrongly_refused: 1,
                ..clean.clone()
            },
        ),
        (
            lookup,
            call::SendResult::Broken,
            1,
            verdict::LoadVerdict {
                lost: 1,
                ..clean.clone()
            },
        ),
        (
            lookup,
            call::SendResult::Answered,
            0,
            verdict::LoadVerdict {
                answered_without_run: 1,
                ..clean
            },
        ),
    ];
    for (kind, end, run_count, expected) in table {
        let record = call::CallRecord {
            number: 12,
            kind,
            latency: Duration::ZERO,
            sends: 1,
            is_never_run: end.is_not_run(),
            end: end.clone(),
            is_crossed: false,
            truncated_responses: 0,
        };
        let run = |number| runs::RunRecord {
            method: "GET".into(),
            path: format!("/x?{}", call::call_tag("load", number)),
            key: None,
            body_bytes: 0,
            began: 1,
            ended: None,
        };
        // The run of request 1 must not be counted for request 12, whose number starts with 1.
        let mut runs = vec![run(1)];
        runs.extend((0..run_count).map(|_| run(12)));
        let logs = verdict::RunLogs {
            runs,
            unread: Vec::new(),
        };
        let mut checked = verdict::check(&settings, "load", &[record], &logs);
        checked.named.clear();
        checked.runs = 0;
        assert_eq!(checked, expected, "{end:?} with {run_count} runs");
    }
}
