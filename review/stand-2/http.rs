//! HTTP/1.1 of the clients, on plain sockets.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    os::fd::FromRawFd,
    time::{Duration, Instant},
};

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const SocketAddress, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
}

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;

/// Connects from an address of the client's own machine.
pub fn connect_from(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let raw = |ip: Ipv4Addr, port: u16| SocketAddress {
        family: AF_INET,
        port: port.to_be(),
        address: u32::from_ne_bytes(ip.octets()),
        zero: [0; 8],
    };
    let length = size_of::<SocketAddress>() as u32;
    // SAFETY: the addresses are valid for the length given, and the descriptor is owned here.
    unsafe {
        let fd = socket(i32::from(AF_INET), SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let is_connected = bind(fd, &raw(from, 0), length) == 0
            && connect(fd, &raw(*to.ip(), to.port()), length) == 0;
        if !is_connected {
            return Err(io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Connects to a node as one of the clients on its machine.
pub fn connect_local(to: SocketAddr) -> io::Result<TcpStream> {
    match to {
        SocketAddr::V4(v4) => connect_from(*v4.ip(), to),
        SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

/// Encodes a request whose body, if any, has a length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: Option<&[u8]>) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str("Host: system.example\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(body) = body {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes
}

#[derive(Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, wanted: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(name, _)| name.eq_ignore_ascii_case(wanted))?;
        Some(&found.1)
    }
}

/// A client's connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) => Err(error),
        }
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill(until)?;
        }
    }

    fn take(&mut self, count: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(until)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next response in full, until a deadline.
    pub fn receive(&mut self, until: Instant) -> io::Result<Response> {
        let mut response = self.receive_head(until)?;
        let is_chunked = response.header("transfer-encoding").is_some();
        let length = response
            .header("content-length")
            .and_then(|text| text.parse().ok());
        if is_chunked {
            loop {
                let line = self.line(until)?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    self.line(until)?;
                    break;
                }
                let data = self.take(size, until)?;
                response.body.extend_from_slice(&data);
                self.take(2, until)?;
            }
        } else if let Some(length) = length {
            response.body = self.take(length, until)?;
        }
        Ok(response)
    }

    fn receive_head(&mut self, until: Instant) -> io::Result<Response> {
        let line = self.line(until)?;
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let is_http = line.starts_with("HTTP/1.1 ");
        let status = status.filter(|_| is_http);
        let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut headers = Vec::new();
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Response {
            status,
            headers,
            body: Vec::new(),
        })
    }
}

/// Sends one request on a new connection and reads the response.
pub fn exchange(
    from: Option<Ipv4Addr>,
    to: SocketAddr,
    request: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let stream = match from {
        Some(from) => connect_from(from, to)?,
        None => TcpStream::connect_timeout(&to, timeout)?,
    };
    let mut connection = Connection::new(stream);
    connection.send(request)?;
    connection.receive(Instant::now() + timeout)
}

/// Returns whether the system of a node's machine has received the end of a client's connection, which
/// the node's process has not closed yet.
pub fn has_close_arrived(node: SocketAddr, client: SocketAddr) -> bool {
    const CLOSE_WAIT: &str = "08";
    let encode = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => {
            let ip = u32::from_ne_bytes(v4.ip().octets());
            format!("{ip:08X}:{:04X}", v4.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let wanted = [encode(node), encode(client), CLOSE_WAIT.to_owned()];
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().any(|line| {
        let words: Vec<&str> = line.split_whitespace().skip(1).take(3).collect();
        words == wanted
    })
}
