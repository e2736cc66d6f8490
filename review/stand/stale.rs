//! After all controls were killed, the new leader judges changes from an older version than the
//! one that was acknowledged, and logs a change that no control can apply.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::kit::{self, ms};

/// Routes of the first configuration, as the site's `idle_routes`.
const FIRST_ROUTES: usize = 300;
/// Routes that one growth adds (big_config, count 350).
const GROWTH: usize = 350;
/// Number of growths.
const GROWTHS: usize = 4;
/// Changes that the operator has in progress at once; eight are allowed.
const IN_PROGRESS: u64 = 8;
/// Time between two of them, in milliseconds.
const GAP_MS: u64 = 1;
/// Time from the kill of the controls until they are started again; they are back within a second.
const DOWN_MS: u64 = 500;
const MAX_ROUNDS: usize = 10;
/// recovery_s of the site.
const RECOVERY_MS: u64 = 15_000;
/// stable_window_s of the site.
const STABLE_MS: u64 = 3000;
/// No further round begins after this time.
const LAST_ROUND_AT_MS: u64 = 60_000;

pub fn run(record: &Arc<kit::Record>, is_disturbed: bool) -> (Arc<kit::Fleet>, Vec<String>) {
    let fleet = kit::Fleet::plan(record, 3, &["limit-desk"]);
    *kit::FLEET.lock().unwrap() = Some(Arc::clone(&fleet));
    fleet.start_all();
    let started = Instant::now();
    let operator = Operator { fleet: &fleet };
    let mut version = 0;
    for growth in 0..=GROWTHS {
        let routes = FIRST_ROUTES + growth * GROWTH;
        let body = document(version + 1, version, routes, 1.0);
        operator.put_until_acked(version + 1, &body);
        version += 1;
    }
    fleet.wait_ready(&fleet.nodes[0]);
    let ends = supervise(&fleet);
    let routes = FIRST_ROUTES + GROWTHS * GROWTH;
    let mut breaks = Vec::new();
    for round in 1..=MAX_ROUNDS {
        if started.elapsed() > ms(LAST_ROUND_AT_MS) {
            break;
        }
        // Some changes of time-outs in quick succession, each on top of the one before.
        thread::sleep(ms(1500));
        let first = version + 1;
        version += IN_PROGRESS;
        let timeout = |of: u64| {
            if of == version {
                2.0
            } else {
                1.0 + (of % 10) as f64 / 100.0 + 0.001
            }
        };
        let bodies: Vec<String> = (first..=version)
            .map(|new| document(new, new - 1, routes, timeout(new)))
            .collect();
        operator.put_at_once(first, &bodies);
        for (new, body) in (first..).zip(&bodies) {
            operator.put_until_acked(new, body);
        }
        if is_disturbed {
            record.log(format!("round {round}: all controls are killed"));
            ends.is_paused.store(true, Ordering::SeqCst);
            for control in &fleet.controls {
                fleet.kill(control);
            }
            thread::sleep(ms(DOWN_MS));
            for control in &fleet.controls {
                fleet.start(control, false);
            }
            ends.is_paused.store(false, Ordering::SeqCst);
        }
        let newest = bodies.last().expect("there are changes");
        operator.wait_for(version, newest);
        // Another operator, who builds on the version before the newest one and changes one route's
        // time-out in it, has lost the race.
        let late = version + 1;
        let body = document(late, version - 1, routes, timeout(version - 1));
        let old = format!("\"timeout_s\":{}", timeout(version - 1));
        let body = body.replacen(&old, "\"timeout_s\":7.5", 1);
        let status = operator.put(late, &body, ms(8000));
        if matches!(status, Some(400..500)) && ends.count.load(Ordering::SeqCst) == 0 {
            // As it should be. The next change of the first operator, on top of the newest version.
            let next = version + 1;
            let body = document(next, version, routes, 1.0);
            if operator.put(next, &body, ms(8000)) == Some(200) {
                version = next;
                continue;
            }
        }
        if status == Some(200) {
            breaks.push(format!(
                "CONFIG: versions {version} and {late} both build on version {}, and both were acknowledged",
                version - 1
            ));
        }
        thread::sleep(ms(RECOVERY_MS));
        operator.read_back(version, newest, late, &body, status, &mut breaks);
        let count = ends.count.load(Ordering::SeqCst);
        if count > 0 {
            breaks.push(format!(
                "controls ended by themselves {count} times, with no impairment there"
            ));
        }
        break;
    }
    ends.is_paused.store(true, Ordering::SeqCst);
    (fleet, breaks)
}

/// The controls that ended by themselves.
struct OwnEnds {
    count: AtomicU64,
    is_paused: AtomicBool,
}

/// Restarts controls that end by themselves, after a short delay, as the provider does.
fn supervise(fleet: &Arc<kit::Fleet>) -> Arc<OwnEnds> {
    let ends = Arc::new(OwnEnds {
        count: AtomicU64::new(0),
        is_paused: AtomicBool::new(false),
    });
    let (shared, fleet) = (Arc::clone(&ends), Arc::clone(fleet));
    thread::spawn(move || {
        loop {
            thread::sleep(ms(300));
            for control in &fleet.controls {
                if shared.is_paused.load(Ordering::SeqCst) || !fleet.has_ended(control) {
                    continue;
                }
                shared.count.fetch_add(1, Ordering::SeqCst);
                fleet
                    .record
                    .log(format!("{} has ended by itself", control.name));
                fleet.start(control, false);
            }
        }
    });
    ends
}

/// A configuration of so many routes, which all have this time-out.
fn document(version: u64, base: u64, routes: usize, timeout_s: f64) -> String {
    let paths: Vec<String> = (0..routes)
        .map(|route| {
            let parts: Vec<String> = (0..12)
                .map(|part| {
                    format!(
                        "franchise-group-{:05}",
                        (route * 7919 + part * 104_729) % 99_991
                    )
                })
                .collect();
            format!(
                "{{\"name\":\"r-{route}\",\"path_prefix\":\"/{}/{route}/\",\"type\":\"safe\",\
                 \"timeout_s\":{timeout_s},\"target_latency_s\":0.3,\"priority\":2,\
                 \"service\":\"limit-desk\",\"max_attempts\":2}}",
                parts.join("/")
            )
        })
        .collect();
    kit::config_body(
        version,
        base,
        r#"[{"name":"limit-desk","health_path":"/healthz","max_connections":120,"protocol":"h1","tls":false}]"#,
        r#"{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}"#,
        &format!(
            "[{{\"host\":\"limits.example\",\"paths\":[{}]}}]",
            paths.join(",")
        ),
    )
}

struct Operator<'a> {
    fleet: &'a kit::Fleet,
}

impl Operator<'_> {
    /// Sends a change to any control and follows redirects; `None` without a clear answer.
    fn send(&self, index: usize, body: &str) -> Option<kit::Message> {
        let controls = &self.fleet.controls;
        let mut to = controls[index % controls.len()].address(self.fleet.ports.control);
        for _redirect in 0..3 {
            let mut reader = begin_put(to, body).ok()?;
            let mut answer = kit::read_head(&mut reader).ok()??;
            kit::read_body(&mut reader, &mut answer).ok()?;
            if answer.status != 307 {
                return Some(answer);
            }
            let location = answer
                .header("location")?
                .trim_start_matches("http://")
                .to_owned();
            to = location.split('/').next()?.parse().ok()?;
        }
        None
    }

    /// Sends a change until it has a clear answer; `None` if none comes in time.
    fn put(&self, version: u64, body: &str, time: Duration) -> Option<u16> {
        let started = Instant::now();
        self.log(format!(
            "version {version} is sent until it has a clear answer"
        ));
        for index in 0.. {
            if started.elapsed() > time {
                break;
            }
            if let Some(answer) = self.send(index, body)
                && (answer.status == 200 || (400..500).contains(&answer.status))
            {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let text = if answer.status == 200 {
                    String::new()
                } else {
                    text
                };
                self.log(format!(
                    "version {version} is answered {} {text}",
                    answer.status
                ));
                return Some(answer.status);
            }
            thread::sleep(ms(100));
        }
        self.log(format!("version {version} gets no clear answer"));
        None
    }

    /// Sends a change until it is acknowledged.
    fn put_until_acked(&self, version: u64, body: &str) {
        for _attempt in 0..20 {
            if self.put(version, body, ms(10_000)) == Some(200) {
                return;
            }
            thread::sleep(ms(200));
        }
        kit::cannot_run(&format!("version {version} was not acknowledged"))
    }

    /// Sends several changes to the leader without waiting for the answers in between.
    fn put_at_once(&self, first: u64, bodies: &[String]) {
        let leader = self.fleet.controls.iter().find(|control| {
            let address = control.address(self.fleet.ports.control);
            let answer = kit::call(address, "GET", kit::name("config"), b"");
            answer.is_some_and(|answer| answer.status == 200)
        });
        let Some(leader) = leader else { return };
        let to = leader.address(self.fleet.ports.control);
        let mut readers = Vec::new();
        for (version, body) in (first..).zip(bodies) {
            self.log(format!(
                "version {version} is sent, on top of {}",
                version - 1
            ));
            readers.push((version, begin_put(to, body)));
            thread::sleep(ms(GAP_MS));
        }
        for (version, reader) in readers {
            let answer = reader.and_then(|mut reader| kit::read_head(&mut reader));
            let status = answer.ok().flatten().map(|answer| answer.status);
            self.log(format!("version {version} is answered {status:?}"));
        }
    }

    /// Reads the configuration at any control.
    fn read(&self) -> Option<Vec<u8>> {
        self.fleet.controls.iter().find_map(|control| {
            let address = control.address(self.fleet.ports.control);
            let answer = kit::call(address, "GET", kit::name("config"), b"")?;
            (answer.status == 200).then_some(answer.body)
        })
    }

    /// Waits until a version can be read.
    fn wait_for(&self, version: u64, body: &str) {
        for _attempt in 0..150 {
            if self.read().is_some_and(|read| read == body.as_bytes()) {
                self.log(format!("version {version} is read back"));
                return;
            }
            thread::sleep(ms(100));
        }
        kit::cannot_run(&format!("version {version} could not be read"))
    }

    /// Reads the configuration for `stable_window_s`, at all controls, and judges what comes.
    fn read_back(
        &self,
        newest: u64,
        newest_body: &str,
        late: u64,
        late_body: &str,
        late_status: Option<u16>,
        breaks: &mut Vec<String>,
    ) {
        let started = Instant::now();
        let mut read = None;
        while read.is_none() && started.elapsed() < ms(STABLE_MS) {
            read = self.read();
            thread::sleep(ms(100));
        }
        let Some(read) = read else {
            return breaks.push(format!(
                "CONFIG: version {newest} was acknowledged, and no configuration can be read any more"
            ));
        };
        // A late change without a clear answer may or may not be in force.
        let is_newest = read == newest_body.as_bytes() && late_status != Some(200);
        let is_late = read == late_body.as_bytes() && !matches!(late_status, Some(400..500));
        self.log(format!("{} bytes are read back", read.len()));
        if !is_newest && !is_late {
            breaks.push(format!(
                "CONFIG: what is read back is neither version {newest} nor {late}, or was refused: {} bytes",
                read.len()
            ));
        }
    }

    fn log(&self, text: String) {
        self.fleet.record.log(format!("operator: {text}"));
    }
}

/// Sends a change and returns the reader for its answer.
fn begin_put(to: SocketAddr, body: &str) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&to, ms(1000))?;
    stream.set_read_timeout(Some(ms(3000)))?;
    let mut writer = stream.try_clone()?;
    let head = format!(
        "PUT {} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        kit::name("config"),
        body.len()
    );
    writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    Ok(BufReader::new(stream))
}
