//! After all controls were killed, the new leader judges changes from an older version than the
//! one that was acknowledged.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Instant,
};

use crate::kit::{self, ms};

/// Routes of the first configuration, as the site's `idle_routes`.
const FIRST_ROUTES: usize = 300;
/// Routes that one growth adds (big_config, count 350).
const GROWTH: usize = 350;
/// Number of growths.
const GROWTHS: usize = 16;
/// Changes that the operator has in progress at once; eight are allowed.
const IN_PROGRESS: u64 = 2;
/// Time between two of them, in milliseconds.
const GAP_MS: u64 = 50;
/// Time from the kill of the controls until they are started again; they are back within a second.
const DOWN_MS: u64 = 500;
const MAX_ROUNDS: usize = 5;
/// No further round begins after this time.
const LAST_ROUND_AT_MS: u64 = 70_000;

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
    let routes = FIRST_ROUTES + GROWTHS * GROWTH;
    let mut breaks = Vec::new();
    for round in 1..=MAX_ROUNDS {
        if !breaks.is_empty() || started.elapsed() > ms(LAST_ROUND_AT_MS) {
            break;
        }
        // Some changes of time-outs in quick succession, each on top of the one before.
        thread::sleep(ms(1500));
        let first = version + 1;
        let bodies: Vec<String> = (first..first + IN_PROGRESS)
            .map(|new| document(new, new - 1, routes, timeout_of(new)))
            .collect();
        operator.put_at_once(first, &bodies);
        for (new, body) in (first..).zip(&bodies) {
            operator.put_until_acked(new, body);
        }
        version = first + IN_PROGRESS - 1;
        if is_disturbed {
            record.log(format!("round {round}: all controls are killed"));
            for control in &fleet.controls {
                fleet.kill(control);
            }
            thread::sleep(ms(DOWN_MS));
            for control in &fleet.controls {
                fleet.start(control, false);
            }
        }
        operator.wait_for(version, bodies.last().expect("there are changes"));
        // Another operator, who builds on the version before the newest one and changes one route's
        // time-out in it, has lost the race.
        let late = version + 1;
        let body = document(late, version - 1, routes, timeout_of(version - 1));
        let old = format!("\"timeout_s\":{}", timeout_of(version - 1));
        let body = body.replacen(&old, "\"timeout_s\":7.5", 1);
        let status = operator.put_once(late, &body);
        if status == 200 {
            breaks.push(format!(
                "CONFIG: versions {version} and {late} both build on version {}, and both were acknowledged",
                version - 1
            ));
            thread::sleep(ms(3000));
            operator.compare_newest(late, &body, &mut breaks);
            continue;
        }
        // The next change of the first operator, on top of the newest version.
        let next = version + 1;
        let body = document(next, version, routes, 1.0);
        operator.put_until_acked(next, &body);
        version = next;
    }
    (fleet, breaks)
}

/// The time-out of all routes in a version.
fn timeout_of(version: u64) -> f64 {
    1.0 + (version % 50) as f64 / 10.0
}

/// A configuration of so many routes, which all have this time-out.
fn document(version: u64, base: u64, routes: usize, timeout_s: f64) -> String {
    let paths: Vec<String> = (0..routes)
        .map(|route| {
            let parts: Vec<String> = (0..15)
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
    fn put(&self, index: usize, body: &str) -> Option<kit::Message> {
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

    /// Sends a change until it has a clear answer, which is returned.
    fn put_once(&self, version: u64, body: &str) -> u16 {
        for index in 0..100 {
            if let Some(answer) = self.put(index, body)
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
                return answer.status;
            }
            thread::sleep(ms(100));
        }
        kit::cannot_run(&format!("version {version} got no clear answer"))
    }

    /// Sends a change until it is acknowledged.
    fn put_until_acked(&self, version: u64, body: &str) {
        for _attempt in 0..20 {
            if self.put_once(version, body) == 200 {
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

    /// Compares what is read with the newest version that was acknowledged.
    fn compare_newest(&self, version: u64, body: &str, breaks: &mut Vec<String>) {
        let Some(read) = self.read() else {
            breaks.push(format!(
                "CONFIG: version {version} was acknowledged and can't be read"
            ));
            return;
        };
        self.log(format!(
            "read back: {} bytes; version {version} has {}",
            read.len(),
            body.len()
        ));
        if read != body.as_bytes() {
            breaks.push(format!(
                "CONFIG: what is read back is not what was sent as version {version}: {} bytes, first \
                 difference at byte {}",
                read.len(),
                read.iter().zip(body.as_bytes()).take_while(|(left, right)| left == right).count()
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
