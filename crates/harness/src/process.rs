//! Child processes: start, signals, restart at the same addresses and output.

use std::{
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
    time::{Duration, Instant},
};

use serde::Deserialize;
use standins::service::LedgerLine;

use crate::{log_buffer::LogBuffer, HarnessError, Programs};

/// Timeout for the line that reports the listen address.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of attempts to restart a process at its addresses, which the
/// operating system may not have released yet.
const RESTART_ATTEMPTS_MAX: u32 = 20;
/// Delay between two restart attempts.
const RESTART_DELAY: Duration = Duration::from_millis(50);
/// Interval at which an awaited exit is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Log event with which a gateway reports its listen address.
const GATEWAY_LISTENING_EVENT: &str = "GatewayListening";
/// Number of log lines in an error message.
const TAIL_LINES: usize = 20;

/// Executable, arguments and environment of a process.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Path of the executable, as found by [`Programs`].
    pub program: PathBuf,
    /// Arguments without the listen addresses, which [`Process`] adds.
    pub args: Vec<String>,
    /// Environment variables in addition to the inherited ones.
    pub envs: Vec<(String, String)>,
    /// Flag that sets the main listen address, such as `--listen`.
    pub listen_flag: &'static str,
    /// Flag that sets the operator listen address, if the program has one.
    pub operator_flag: Option<&'static str>,
}

impl ProcessSpec {
    /// Returns the spec of a simulated component; `args` is its subcommand with
    /// arguments, such as `engine --token-ms 5`.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable does not exist.
    pub fn standin(programs: &Programs, args: Vec<String>) -> Result<Self, HarnessError> {
        Ok(Self::exiting_with_stdin(programs.standins()?, args))
    }

    /// Returns the spec of a simulated component that uses the wire protocol of
    /// the users' platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the executable does not exist.
    pub fn wire_standin(programs: &Programs, args: Vec<String>) -> Result<Self, HarnessError> {
        Ok(Self::exiting_with_stdin(programs.wire_standins()?, args))
    }

    fn exiting_with_stdin(program: PathBuf, mut args: Vec<String>) -> Self {
        args.push("--exit-with-stdin".into());
        Self {
            program,
            args,
            envs: Vec::new(),
            listen_flag: "--listen",
            operator_flag: None,
        }
    }
}

/// Listen addresses reported by a process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listening {
    /// Main address (`IP:port`).
    pub addr: String,
    /// Operator address, if it differs from the main one.
    #[serde(default)]
    pub operator_addr: Option<String>,
}

/// A child process that is running or has ended.
///
/// # Invariants
///
/// The child is killed and reaped when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    spec: ProcessSpec,
    child: Child,
    listening: Listening,
    log: LogBuffer,
    ledger: Vec<LedgerLine>,
    lines: mpsc::Receiver<OutputLine>,
}

/// A line of standard output that the harness evaluates.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OutputLine {
    Listening(Listening),
    Ledger(LedgerLine),
}

/// Log event that reports the listen addresses of a process.
#[derive(Debug, Deserialize)]
struct ListeningEvent {
    event: String,
    fields: Listening,
}

impl OutputLine {
    fn parse(line: &str) -> Option<Self> {
        if let Ok(line) = serde_json::from_str(line) {
            return Some(line);
        }
        let event: ListeningEvent = serde_json::from_str(line).ok()?;
        (event.event == GATEWAY_LISTENING_EVENT).then_some(Self::Listening(event.fields))
    }
}

impl Process {
    /// Starts a process on free ports and waits until it reports its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started or does not report its
    /// addresses within 10 seconds.
    pub fn start(name: &str, spec: ProcessSpec) -> Result<Self, HarnessError> {
        let any_port = Listening {
            addr: "127.0.0.1:0".into(),
            operator_addr: spec.operator_flag.map(|_| "127.0.0.1:0".into()),
        };
        let log = LogBuffer::default();
        let (child, lines) = spawn(name, &spec, &any_port, &log)?;
        let mut process = Self {
            name: name.into(),
            spec,
            child,
            listening: any_port,
            log,
            ledger: Vec::new(),
            lines,
        };
        process.listening = process.wait_until_listening()?;
        Ok(process)
    }

    /// Returns the name given at the start, such as `engine-0`.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the main listen address (`IP:port`), with the port assigned by the
    /// system.
    pub fn addr(&self) -> &str {
        &self.listening.addr
    }

    /// Returns the address for other processes and operators: the operator
    /// address, or the main one if there is none.
    pub fn internal_addr(&self) -> &str {
        let listening = &self.listening;
        listening.operator_addr.as_ref().unwrap_or(&listening.addr)
    }

    /// Returns the process id of the current or last run.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sets the arguments for the next restart, without the listen addresses.
    pub fn set_args(&mut self, args: Vec<String>) {
        self.spec.args = args;
    }

    /// Returns the arguments without the listen addresses.
    pub fn args(&self) -> &[String] {
        &self.spec.args
    }

    /// Returns the lines of standard output and error, including those before a
    /// restart; only the last 50,000 are stored.
    pub fn log(&self) -> Vec<String> {
        self.log.lines()
    }

    /// Returns the number of stored log lines that contain `text`.
    pub fn count_log(&self, text: &str) -> usize {
        self.log.count(text)
    }

    /// Returns whether the process runs; a frozen process counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, given by its name without `SIG`, such as `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn signal(&mut self, signal: &str) -> Result<(), HarnessError> {
        let what = || format!("sending {signal} to {}", self.name);
        // Uses the shell builtin, as some machines have no `kill` executable.
        let status = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{signal} {}", self.child.id()))
            .status()
            .map_err(HarnessError::io(what()))?;
        if status.success() {
            return Ok(());
        }
        Err(HarnessError::io(what())(std::io::Error::other(
            "no such process",
        )))
    }

    /// Kills the process without a graceful shutdown (SIGKILL) and reaps it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed or reaped.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        self.child
            .kill()
            .and_then(|()| self.child.wait())
            .map_err(HarnessError::io(format!("killing {}", self.name)))?;
        self.drain_lines();
        Ok(())
    }

    /// Waits until the process exits by itself and returns the exit status.
    ///
    /// # Errors
    ///
    /// Returns [`HarnessError::Timeout`] if it does not exit within `timeout`.
    pub async fn wait_exit(&mut self, timeout: Duration) -> Result<ExitStatus, HarnessError> {
        let deadline = Instant::now() + timeout;
        loop {
            let exit_status = self
                .child
                .try_wait()
                .map_err(HarnessError::io(format!("waiting for {}", self.name)))?;
            if let Some(status) = exit_status {
                self.drain_lines();
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout {
                    what: format!("exit of {}", self.name),
                    timeout_ms: timeout.as_millis(),
                    last_seen: self.log.tail(TAIL_LINES),
                });
            }
            smol::Timer::after(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Starts the process again at the same addresses. A running process is
    /// killed first. The start is attempted up to 20 times, as the addresses may
    /// not be free immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if the last attempt does not report its addresses in time.
    pub async fn restart(&mut self) -> Result<(), HarnessError> {
        if self.is_running() {
            self.kill()?;
        }
        self.drain_lines();
        let mut attempts = 1;
        loop {
            let (child, lines) = spawn(&self.name, &self.spec, &self.listening, &self.log)?;
            self.child = child;
            self.lines = lines;
            match self.wait_until_listening() {
                Ok(listening) => {
                    self.listening = listening;
                    return Ok(());
                }
                Err(error) if attempts >= RESTART_ATTEMPTS_MAX => return Err(error),
                Err(_) => attempts += 1,
            }
            smol::Timer::after(RESTART_DELAY).await;
        }
    }

    /// Returns the ledger lines that a service printed, including those before a
    /// restart.
    pub(crate) fn ledger(&mut self) -> &[LedgerLine] {
        self.drain_lines();
        &self.ledger
    }

    fn drain_lines(&mut self) {
        let lines: Vec<OutputLine> = self.lines.try_iter().collect();
        lines.into_iter().for_each(|line| self.handle_line(line));
    }

    fn handle_line(&mut self, line: OutputLine) {
        if let OutputLine::Ledger(line) = line {
            self.ledger.push(line);
        }
    }

    fn wait_until_listening(&mut self) -> Result<Listening, HarnessError> {
        let deadline = Instant::now() + LISTEN_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(remaining) {
                Ok(OutputLine::Listening(listening)) => return Ok(listening),
                Ok(line) => self.handle_line(line),
                Err(error) => {
                    return Err(HarnessError::NotListening {
                        name: self.name.clone(),
                        reason: error.to_string(),
                        log: self.log.tail(TAIL_LINES),
                    })
                }
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(
    name: &str,
    spec: &ProcessSpec,
    listen: &Listening,
    log: &LogBuffer,
) -> Result<(Child, mpsc::Receiver<OutputLine>), HarnessError> {
    let mut command = Command::new(&spec.program);
    command
        .args(&spec.args)
        .args([spec.listen_flag, &listen.addr])
        .envs(spec.envs.iter().map(|(key, value)| (key, value)))
        // The harness keeps the pipe open; with `--exit-with-stdin` the process
        // exits when the pipe is closed.
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    if let (Some(flag), Some(addr)) = (spec.operator_flag, &listen.operator_addr) {
        command.args([flag, addr]);
    }
    let mut child = command
        .spawn()
        .map_err(HarnessError::io(format!("starting {name}")))?;
    let (sender, lines) = mpsc::channel();
    if let Some(stdout) = child.stdout.take() {
        log.follow(stdout, move |line| {
            if let Some(line) = OutputLine::parse(line) {
                // Sending fails if the `Process`, which holds the receiver, has
                // been dropped or restarted.
                let _ = sender.send(line);
            }
        });
    }
    if let Some(stderr) = child.stderr.take() {
        log.follow(stderr, |_| {});
    }
    Ok((child, lines))
}
