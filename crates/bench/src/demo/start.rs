//! Starts the processes of a demo.

use std::{
    net::SocketAddr,
    process::{
        Command,
        Stdio, //
    },
    sync::Arc,
};

use error_stack::{
    Report,
    ResultExt, //
};

use super::{
    child::Child,
    cluster::{
        self,
        Cluster, //
    },
    failure::Failure,
    instance::Instance,
};

/// Peers that an instance is told at its start.
const SEEDS: usize = 3;

impl Cluster {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start_stands(&self) -> Result<(), Report<Failure>> {
        self.start_platform()?;
        self.start_backends()?;
        if self.options.needs_links() {
            self.start_proxy()?;
        }
        self.start_balancer()
    }

    fn start_platform(&self) -> Result<(), Report<Failure>> {
        let listen = self.layout.platform.to_string();
        self.start_stand("platform", &["--listen", &listen])
    }

    fn start_backends(&self) -> Result<(), Report<Failure>> {
        let options = &self.options;
        let arguments = [
            ["--user", options.user.name()],
            ["--control", &self.layout.backends.to_string()],
            ["--port-base", &self.layout.backends_base.to_string()],
            ["--seed", &options.seed.to_string()],
            ["--slow-share", &options.slow_share.to_string()],
            ["--slow-factor", &options.slow_factor.to_string()],
        ];
        self.start_stand("backends", arguments.as_flattened())
    }

    fn start_proxy(&self) -> Result<(), Report<Failure>> {
        let links = self.layout.instances.iter().flat_map(|ports| {
            [
                (ports.link, ports.peers),
                (ports.platform_link, self.layout.platform),
            ]
        });
        let (listen, to): (Vec<_>, Vec<_>) = links.unzip();
        let (listen, to) = (join(listen.into_iter()), join(to.into_iter()));
        let control = self.layout.proxy.to_string();
        let arguments = ["--listen", &listen, "--to", &to, "--control", &control];
        self.start_stand("proxy", &arguments)
    }

    fn start_balancer(&self) -> Result<(), Report<Failure>> {
        let listen = self.layout.balancer.to_string();
        let to = join(self.layout.instances.iter().map(|ports| ports.callers));
        self.start_stand("balancer", &["--listen", &listen, "--to", &to])
    }

    fn start_stand(&self, name: &str, arguments: &[&str]) -> Result<(), Report<Failure>> {
        let name = Arc::<str>::from(name);
        let mut command = Command::new(cluster::own_program()?);
        command
            .arg(&*name)
            .args(arguments)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null());
        let child = start(&name, &mut command)?;
        self.stands.borrow_mut().push(child);
        Ok(())
    }

    /// Returns the address that an instance reaches the platform at.
    fn platform(&self, instance: &Instance) -> SocketAddr {
        match self.options.needs_links() {
            true => instance.ports.platform_link,
            false => self.layout.platform,
        }
    }

    /// Starts the process of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start_instance(&self, instance: &Instance) -> Result<(), Report<Failure>> {
        let others = self.instances.iter();
        let others = others.filter(|other| other.name != instance.name);
        let seeds = join(others.take(SEEDS).map(|other| other.peer_address));
        let mut command = Command::new(&self.binary);
        command
            .arg("serve")
            .args(["--name", &instance.name])
            .args(["--zone", &instance.zone])
            .args(["--listen", &instance.ports.callers.to_string()])
            .args(["--peer-listen", &instance.ports.peers.to_string()])
            .args(["--peer-address", &instance.peer_address.to_string()])
            .args(["--platform", &self.platform(instance).to_string()])
            .args(["--log-level", &self.options.log_level])
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if !seeds.is_empty() {
            command.args(["--seed-peer", &seeds]);
        }
        if self.options.direct {
            command.arg("--direct");
        }
        instance.put(start(&instance.name, &mut command)?);
        Ok(())
    }
}

fn start(name: &Arc<str>, command: &mut Command) -> Result<Child, Report<Failure>> {
    Child::start(name.clone(), command).change_context_lazy(|| Failure::Start(name.clone()))
}

fn join(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let addresses: Vec<_> = addresses.map(|address| address.to_string()).collect();
    addresses.join(",")
}
