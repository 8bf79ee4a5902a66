//! One child process: start, signals, restart at the same addresses, log.

use std::{
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
    time::{Duration, Instant},
};

use serde::Deserialize;
use standins::service::LedgerLine;

use crate::{log_buffer::LogBuffer, HarnessError, Programs};

/// Longest wait for the listening line.
const LISTEN_LIMIT: Duration = Duration::from_secs(10);
/// Tries to start a process again at an address that may not be free yet.
const RESTART_TRIES: u32 = 20;
/// Pause between two such tries.
const RESTART_PAUSE: Duration = Duration::from_millis(50);
/// How often an awaited exit is looked for.
const EXIT_CHECK: Duration = Duration::from_millis(5);
/// The event by which a gateway tells where it listens.
const GATEWAY_LISTENING: &str = "GatewayListening";
/// Lines of a log that an error shows.
const TAIL_LINES: usize = 20;

/// How to start a process.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// The program.
    pub program: PathBuf,
    /// Its arguments, without listen addresses.
    pub args: Vec<String>,
    /// Environment variables on top of the own ones.
    pub envs: Vec<(String, String)>,
    /// Flag of the main listen address.
    pub listen_flag: &'static str,
    /// Flag of the operator's listen address, if there is one.
    pub operator_flag: Option<&'static str>,
}

impl ProcessSpec {
    /// A stand-in: its subcommand with arguments, such as `engine --token-ms 5`.
    ///
    /// # Errors
    ///
    /// When the program is missing.
    pub fn standin(programs: &Programs, args: Vec<String>) -> Result<Self, HarnessError> {
        Ok(Self::exiting_with_stdin(programs.standins()?, args))
    }

    /// A stand-in on the users' platform's wire.
    ///
    /// # Errors
    ///
    /// When the program is missing.
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

/// Where a process listens, as it said itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listening {
    /// Main address.
    pub addr: String,
    /// The operator's address, if it is another one.
    #[serde(default)]
    pub operator_addr: Option<String>,
}

/// A running or ended child process.
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
    lines: mpsc::Receiver<Line>,
}

/// A line of standard output that the harness understands.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Listening(Listening),
    Ledger(LedgerLine),
}

/// A log event that tells where a process listens.
#[derive(Debug, Deserialize)]
struct ListeningEvent {
    event: String,
    fields: Listening,
}

impl Line {
    fn read(line: &str) -> Option<Self> {
        if let Ok(line) = serde_json::from_str(line) {
            return Some(line);
        }
        let event: ListeningEvent = serde_json::from_str(line).ok()?;
        (event.event == GATEWAY_LISTENING).then_some(Self::Listening(event.fields))
    }
}

impl Process {
    /// Starts a process on free ports and waits until it listens.
    ///
    /// # Errors
    ///
    /// When it can't be started or does not listen in time.
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
        process.listening = process.await_listening()?;
        Ok(process)
    }

    /// The name within the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Main address.
    pub fn addr(&self) -> &str {
        &self.listening.addr
    }

    /// Where other processes and operators reach it.
    pub fn internal_addr(&self) -> &str {
        let listening = &self.listening;
        listening.operator_addr.as_ref().unwrap_or(&listening.addr)
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the arguments with which the next start is made.
    pub fn set_args(&mut self, args: Vec<String>) {
        self.spec.args = args;
    }

    /// The arguments without listen addresses.
    pub fn args(&self) -> &[String] {
        &self.spec.args
    }

    /// All lines that it wrote to its outputs, over restarts; the oldest are
    /// dropped beyond 50,000.
    pub fn log(&self) -> Vec<String> {
        self.log.lines()
    }

    /// The number of log lines that contain `text`.
    pub fn count_log(&self, text: &str) -> usize {
        self.log.count(text)
    }

    /// Whether it runs (a frozen process does).
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by its short name, such as `TERM`.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn signal(&mut self, signal: &str) -> Result<(), HarnessError> {
        let what = || format!("sending {signal} to {}", self.name);
        // The shell's own `kill` exists on machines without the program.
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

    /// Ends the process at once, as a crash would, and reaps it.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        self.child
            .kill()
            .and_then(|()| self.child.wait())
            .map_err(HarnessError::io(format!("killing {}", self.name)))?;
        self.take_lines();
        Ok(())
    }

    /// The exit status, once the process has ended by itself.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Timeout`] when it does not end in time.
    pub async fn wait_exit(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let deadline = Instant::now() + limit;
        loop {
            let ended = self
                .child
                .try_wait()
                .map_err(HarnessError::io(format!("waiting for {}", self.name)))?;
            if let Some(status) = ended {
                self.take_lines();
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(HarnessError::Timeout {
                    what: format!("the end of {}", self.name),
                    limit_ms: limit.as_millis(),
                    seen: self.log.tail(TAIL_LINES),
                });
            }
            smol::Timer::after(EXIT_CHECK).await;
        }
    }

    /// Starts the process again at the same addresses; a running one is
    /// killed first.
    ///
    /// # Errors
    ///
    /// When it does not listen in time.
    pub async fn restart(&mut self) -> Result<(), HarnessError> {
        if self.is_running() {
            self.kill()?;
        }
        self.take_lines();
        let mut tries = 1;
        loop {
            let (child, lines) = spawn(&self.name, &self.spec, &self.listening, &self.log)?;
            self.child = child;
            self.lines = lines;
            match self.await_listening() {
                Ok(listening) => {
                    self.listening = listening;
                    return Ok(());
                }
                Err(error) if tries >= RESTART_TRIES => return Err(error),
                Err(_) => tries += 1,
            }
            smol::Timer::after(RESTART_PAUSE).await;
        }
    }

    /// The runs that a service wrote down, over restarts.
    pub(crate) fn ledger(&mut self) -> &[LedgerLine] {
        self.take_lines();
        &self.ledger
    }

    fn take_lines(&mut self) {
        let lines: Vec<Line> = self.lines.try_iter().collect();
        lines.into_iter().for_each(|line| self.take_line(line));
    }

    fn take_line(&mut self, line: Line) {
        if let Line::Ledger(line) = line {
            self.ledger.push(line);
        }
    }

    fn await_listening(&mut self) -> Result<Listening, HarnessError> {
        let deadline = Instant::now() + LISTEN_LIMIT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(Line::Listening(listening)) => return Ok(listening),
                Ok(line) => self.take_line(line),
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
        // Either fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(
    name: &str,
    spec: &ProcessSpec,
    listen: &Listening,
    log: &LogBuffer,
) -> Result<(Child, mpsc::Receiver<Line>), HarnessError> {
    let mut command = Command::new(&spec.program);
    command
        .args(&spec.args)
        .args([spec.listen_flag, &listen.addr])
        .envs(spec.envs.iter().map(|(key, value)| (key, value)))
        // An open pipe: stand-ins end themselves when it closes.
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
            if let Some(line) = Line::read(line) {
                // Nobody reads once the process is given up.
                let _ = sender.send(line);
            }
        });
    }
    if let Some(stderr) = child.stderr.take() {
        log.follow(stderr, |_| {});
    }
    Ok((child, lines))
}
