//! Starts and signals the daemons under test.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const READY_BOUND: Duration = Duration::from_secs(60);
const EXIT_BOUND: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const SHOWN_LOG_LINES: usize = 60;

/// A daemon process; it is killed when dropped.
///
/// Its standard error goes to a log file, whose last lines are printed if the test fails.
pub struct Process {
    name: String,
    program: PathBuf,
    args: Vec<OsString>,
    log: PathBuf,
    takes_commands: bool,
    open_files_limit: Option<u32>,
    child: Option<Child>,
    addrs: BTreeMap<String, SocketAddr>,
}

impl fmt::Debug for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Process")
            .field("name", &self.name)
            .field("pid", &self.child.as_ref().map(Child::id))
            .finish_non_exhaustive()
    }
}

impl Process {
    /// Describes a process without starting it; see [`start`](Self::start).
    pub fn new(name: &str, program: &Path, args: &[&Path], log: &Path) -> Self {
        Self {
            name: name.to_owned(),
            program: program.to_owned(),
            args: args.iter().map(OsString::from).collect(),
            log: log.to_owned(),
            takes_commands: false,
            open_files_limit: None,
            child: None,
            addrs: BTreeMap::new(),
        }
    }

    /// Connects its standard input, so that [`command`](Self::command) reaches it.
    #[must_use]
    pub fn with_commands(mut self) -> Self {
        self.takes_commands = true;
        self
    }

    /// Limits the file descriptors that it may have open from its next start on.
    pub fn limit_open_files(&mut self, limit: u32) {
        self.open_files_limit = Some(limit);
    }

    /// Writes a line to its standard input. A suspended process reads it when it goes on.
    pub fn command(&mut self, line: &str) {
        let stdin = self.child.as_mut().and_then(|child| child.stdin.as_mut());
        if let Some(stdin) = stdin {
            // Fails only if the process has already ended.
            let _ = writeln!(stdin, "{line}");
        }
    }

    /// Starts it without waiting for it, and returns its process id.
    ///
    /// # Panics
    ///
    /// Panics if it can't be started or is running already.
    pub fn spawn(&mut self) -> u32 {
        assert!(self.child.is_none(), "{} runs already", self.name);
        let log = File::options().create(true).append(true).open(&self.log);
        let child = self
            .command_line()
            .stdin(match self.takes_commands {
                true => Stdio::piped(),
                false => Stdio::null(),
            })
            .stdout(Stdio::piped())
            .stderr(log.expect("the log file can be opened"))
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(e) => panic!("{} can't be started: {e}", self.program.display()),
        };
        let id = child.id();
        self.child = Some(child);
        id
    }

    fn command_line(&self) -> Command {
        let mut command = match self.open_files_limit {
            None => Command::new(&self.program),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.arg("-c").arg(r#"ulimit -n "$0" && exec "$@""#);
                shell.arg(limit.to_string()).arg(&self.program);
                shell
            }
        };
        command.args(&self.args);
        command
    }

    /// Waits for its `ready` line on standard output, and stores the addresses in it.
    ///
    /// # Panics
    ///
    /// Panics if it ends or prints no `ready` line within a minute.
    #[track_caller]
    pub fn wait_ready(&mut self) {
        let stdout = self.child.as_mut().and_then(|child| child.stdout.take());
        let lines = read_lines(stdout.expect("it was spawned and not waited for"));
        let deadline = Instant::now() + READY_BOUND;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = lines.recv_timeout(remaining) else {
                panic!("{} is not ready:\n{}", self.name, self.log_tail());
            };
            if let Some(fields) = line.strip_prefix("ready") {
                self.addrs = parse_addrs(fields);
                return;
            }
        }
    }

    /// Starts it and waits until it is ready.
    ///
    /// # Panics
    ///
    /// Panics as [`spawn`](Self::spawn) and [`wait_ready`](Self::wait_ready) do.
    #[track_caller]
    pub fn start(&mut self) {
        self.spawn();
        self.wait_ready();
    }

    /// Name of the process in messages.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The address that its `ready` line gave under `key`.
    ///
    /// # Panics
    ///
    /// Panics if it gave none.
    #[track_caller]
    pub fn addr(&self, key: &str) -> SocketAddr {
        match self.try_addr(key) {
            Some(addr) => addr,
            None => panic!("{} printed no address `{key}`: {:?}", self.name, self.addrs),
        }
    }

    /// The address that its `ready` line gave under `key`, if any.
    pub fn try_addr(&self, key: &str) -> Option<SocketAddr> {
        self.addrs.get(key).copied()
    }

    /// Kills it with `SIGKILL` and waits until it has ended.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.reap();
    }

    /// Sends `SIGTERM`, which requests an orderly stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends `SIGHUP`, which makes it reload its settings.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Suspends it with `SIGSTOP`.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it after [`suspend`](Self::suspend).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until it has ended, and returns its exit status.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after a minute.
    #[track_caller]
    pub fn wait_exit(&mut self) -> ExitStatus {
        self.wait_exit_within(EXIT_BOUND)
    }

    /// Waits until it has ended, and returns its exit status.
    ///
    /// # Panics
    ///
    /// Panics if it still runs after `bound`.
    #[track_caller]
    pub fn wait_exit_within(&mut self, bound: Duration) -> ExitStatus {
        let deadline = Instant::now() + bound;
        loop {
            if let Some(status) = self.try_exit() {
                return status;
            }
            assert!(Instant::now() < deadline, "{} still runs", self.name);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Its exit status if it has ended since it was started. The status is returned once.
    pub fn try_exit(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().expect("a child can be waited for")?;
        self.child = None;
        Some(status)
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.is_some() && self.try_exit().is_none()
    }

    /// Everything that it has written to standard error.
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// CPU time that it has used, in user and system mode.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't run.
    pub fn cpu_time(&self) -> Duration {
        let stat = self.proc_file("stat");
        // The name in parentheses may contain spaces; the indices below count from after it.
        let (_, fields) = stat.rsplit_once(')').expect("a name in parentheses");
        let ticks = |index| -> u64 {
            let field = fields.split_whitespace().nth(index);
            field.and_then(|text| text.parse().ok()).expect("a number")
        };
        const USER: usize = 11;
        const SYSTEM: usize = 12;
        let per_second = rustix::param::clock_ticks_per_second();
        Duration::from_secs_f64((ticks(USER) + ticks(SYSTEM)) as f64 / per_second as f64)
    }

    /// Its resident memory, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't run.
    pub fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// The most resident memory that it has had, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't run.
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    /// Number of file descriptors that it has open.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't run.
    pub fn open_files(&self) -> usize {
        let id = self.id().expect("the process runs");
        let files = std::fs::read_dir(format!("/proc/{id}/fd"));
        files.expect("the process runs").count()
    }

    fn status_bytes(&self, name: &str) -> u64 {
        let status = self.proc_file("status");
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("a size in KiB") * 1024
    }

    fn proc_file(&self, file: &str) -> String {
        let id = self.id().expect("the process runs");
        std::fs::read_to_string(format!("/proc/{id}/{file}")).expect("the process runs")
    }

    fn signal(&self, signal: Signal) {
        // The child isn't reaped yet, so its id can't have been reused.
        if let Some(pid) = self.id().and_then(|id| Pid::from_raw(id.cast_signed())) {
            // Fails only if the process has already ended.
            let _ = kill_process(pid, signal);
        }
    }

    fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only for a child already waited for, and `try_exit` drops those.
            let _ = child.wait();
        }
    }

    fn log_tail(&self) -> String {
        let log = self.log();
        let lines: Vec<_> = log.lines().collect();
        let start = lines.len().saturating_sub(SHOWN_LOG_LINES);
        lines[start..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!(
                "--- end of the log of {} ---\n{}",
                self.name,
                self.log_tail()
            );
        }
    }
}

/// Reads all lines in a background thread, also after the `ready` line, so that the process
/// never blocks on a full pipe.
fn read_lines(stdout: ChildStdout) -> Receiver<String> {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            // The receiver is dropped once the process is ready.
            let _ = tx.send(line);
        }
    });
    rx
}

fn parse_addrs(fields: &str) -> BTreeMap<String, SocketAddr> {
    fields
        .split_whitespace()
        .filter_map(|word| word.split_once('='))
        .filter_map(|(key, addr)| Some((key.to_owned(), addr.parse().ok()?)))
        .collect()
}
