//! A host of the project, as a process of its own, with the command of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;

const PROGRAM: &str = "target/release/sapphirerack";

/// Where the hosts of a deployment listen, and what they use.
pub struct Deployment {
    pub folder: PathBuf,
    pub store: SocketAddr,
    /// Port for hosts, the same for all of them, each on an address of its own.
    pub port: u16,
}

/// A process, killed on drop.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Deployment {
    /// Starts a host that was killed again, with the settings that it had.
    pub fn restart(&self, host: &mut Host) -> std::io::Result<()> {
        let _ = host.child.wait();
        host.child = self.spawn(&host.name)?;
        Ok(())
    }

    fn spawn(&self, name: &str) -> std::io::Result<Child> {
        let log = fs::File::options();
        let log =
            log.clone().create(true).append(true).open(self.folder.join(format!("{name}.log")))?;
        let settings = self.folder.join(format!("{name}.json"));
        let mut command = Command::new(PROGRAM);
        command.arg("forward").env("SAPPHIRERACK_SETTINGS", settings);
        command.stdout(log.try_clone()?).stderr(Stdio::from(log)).spawn()
    }

    /// Starts the `n`th host, from 1, with the settings that the template of the deploy file yields
    /// on a small deployment.
    pub fn start(&self, n: u8, zone: &str) -> std::io::Result<Host> {
        let name = format!("edge-{zone}-{n}");
        let address = |n: u8| SocketAddr::from(([127, 0, 0, n], self.port));
        let (callers, ready) = (crate::free_address(), crate::free_address());
        let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}\"", address(n))).collect();
        let settings = format!(
            r#"{{
    "name": "{name}",
    "data_centre": "{zone}",
    "listen": {{ "callers": "{callers}", "ready": "{ready}", "hosts": "{hosts}" }},
    "store": "{store}",
    "seeds": [{seeds}],
    "bounds": {{ "extra": 0.2, "slack": 56 }},
    "machine": {{
        "share": 0.25, "cores": 1, "link": 1000.0,
        "memory": 260, "descriptors": 4100
    }},
    "stop": {{ "grace": 6 }}
}}
"#,
            hosts = address(n),
            store = self.store,
            seeds = seeds.join(","),
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let child = self.spawn(&name)?;
        Ok(Host { name, zone: zone.to_owned(), callers, ready, child })
    }
}

impl Host {
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let reply = http::ask(self.ready, request, Duration::from_secs(1));
        reply.is_some_and(|reply| reply.status() == 200)
    }

    /// Ends the process without notice (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|ended| ended.is_none())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
