//! Starts the child processes of a demo.

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

/// Peers that an instance gets as seeds on its command line.
const SEED_PEERS: usize = 3;

impl Cluster {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be run.
    pub fn start_stand_ins(&self) -> Result<(), Report<Failure>> {
        self.start_platform()?;
        self.start_backends()?;
        if self.options.needs_links() {
            self.start_proxy()?;
        }
        self.start_balancer()
    }

    fn start_platform(&self) -> Result<(), Report<Failure>> {
        let listen = self.layout.platform.to_string();
        self.start_stand_in("platform", &["--listen", &listen])
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
        self.start_stand_in("backends", arguments.as_flattened())
    }

    fn start_proxy(&self) -> Result<(), Report<Failure>> {
        let links = self.layout.instances.iter().flat_map(|addresses| {
            [
                (addresses.peer_link, addresses.peers),
                (addresses.platform_link, self.layout.platform),
            ]
        });
        let (listen, to): (Vec<_>, Vec<_>) = links.unzip();
        let (listen, to) = (
            join_addresses(listen.into_iter()),
            join_addresses(to.into_iter()),
        );
        let control = self.layout.proxy.to_string();
        let arguments = ["--listen", &listen, "--to", &to, "--control", &control];
        self.start_stand_in("proxy", &arguments)
    }

    fn start_balancer(&self) -> Result<(), Report<Failure>> {
        let listen = self.layout.balancer.to_string();
        let to = join_addresses(
            self.layout
                .instances
                .iter()
                .map(|addresses| addresses.callers),
        );
        self.start_stand_in("balancer", &["--listen", &listen, "--to", &to])
    }

    fn start_stand_in(&self, name: &str, arguments: &[&str]) -> Result<(), Report<Failure>> {
        let name = Arc::<str>::from(name);
        let mut command = Command::new(cluster::current_program()?);
        command
            .arg(&*name)
            .args(arguments)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null());
        let child = spawn(&name, &mut command)?;
        self.stand_ins.borrow_mut().push(child);
        Ok(())
    }

    /// Returns the address at which an instance connects to the platform.
    fn platform_address(&self, instance: &Instance) -> SocketAddr {
        match self.options.needs_links() {
            true => instance.addresses.platform_link,
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
        let seeds = join_addresses(others.take(SEED_PEERS).map(|other| other.peer_address));
        let mut command = Command::new(&self.binary);
        command
            .arg("serve")
            .args(["--name", &instance.name])
            .args(["--zone", &instance.zone])
            .args(["--listen", &instance.addresses.callers.to_string()])
            .args(["--peer-listen", &instance.addresses.peers.to_string()])
            .args(["--peer-address", &instance.peer_address.to_string()])
            .args(["--platform", &self.platform_address(instance).to_string()])
            .args(["--log-level", &self.options.log_level])
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if !seeds.is_empty() {
            command.args(["--seed-peer", &seeds]);
        }
        if self.options.direct {
            command.arg("--direct");
        }
        instance.set_child(spawn(&instance.name, &mut command)?);
        Ok(())
    }
}

fn spawn(name: &Arc<str>, command: &mut Command) -> Result<Child, Report<Failure>> {
    Child::start(name.clone(), command).change_context_lazy(|| Failure::Start(name.clone()))
}

fn join_addresses(addresses: impl Iterator<Item = SocketAddr>) -> String {
    let addresses: Vec<_> = addresses.map(|address| address.to_string()).collect();
    addresses.join(",")
}
