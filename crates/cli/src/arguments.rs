//! The definition of the command line. The doc comments are the texts of `--help`.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// A traffic router for a two-tier cache, and the commands around it
#[derive(Parser)]
#[command(name = "chalkhall", version, about, max_term_width = 110)]
#[command(
    after_help = "Exit codes: 0 success; 1 failure, or faults were found; 2 invalid arguments.

Examples:
  chalkhall check deploy/chalkhall.conf
  ROUTER_CONFIG=docs/example.json chalkhall serve deploy/chalkhall.conf
  chalkhall store verify /var/cache/chalkhall
  chalkhall store stat --socket /run/chalkhall/control.sock --json"
)]
pub struct Chalkhall {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs one router, as chalkhall-router does
    #[command(
        after_help = "Environment: ROUTER_CONFIG is the path of a JSON file; ROUTER_NAME and ROUTER_LISTEN override
its name and listen. SIGTERM drains the router and ends it, SIGHUP reloads the file."
    )]
    Serve {
        /// The operator's file
        #[arg(value_name = "FILE")]
        directives: Option<PathBuf>,
    },
    /// Checks an operator's file and reports all faults
    #[command(
        after_help = "Exit codes: 0 no fault; 1 faults, one per line as FILE:LINE:COLUMN: MESSAGE.

Example: chalkhall check --json deploy/chalkhall.conf"
    )]
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Print one JSON object with all faults
        #[arg(long)]
        json: bool,
    },
    /// Lists all directives of an operator's file
    Directives {
        /// Print one JSON array
        #[arg(long)]
        json: bool,
    },
    /// Local cache on disk: inspects, verifies, repairs and purges it
    #[command(subcommand)]
    Store(Store),
    /// Gossip with peers: queries a running router
    #[command(subcommand)]
    Peers(Peers),
    /// Asks a running router for the memory that it holds
    #[command(subcommand)]
    Memory(Memory),
    /// Regions: the state of the zones as a running router knows it, and where its requests go
    #[command(subcommand)]
    Regions(Regions),
    /// Cells: checks a cell map, plans moves of tenants, and queries a running router
    #[command(subcommand)]
    Cells(Cells),
    /// Runs scenarios with hundreds of real routers on loopback and injected faults
    #[command(subcommand)]
    Fleet(Fleet),
    /// Runs a router that is killed when its parent process ends
    #[command(hide = true)]
    FleetChild {
        parent: u32,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
        command: Vec<std::ffi::OsString>,
    },
    /// Prints the completion script of a shell
    #[command(
        after_help = "Example: chalkhall completions bash > /etc/bash_completion.d/chalkhall"
    )]
    Completions { shell: Shell },
    /// Writes the manual pages to a directory
    #[command(after_help = "Example: chalkhall man /usr/local/share/man/man1")]
    Man { folder: PathBuf },
}

#[derive(Subcommand)]
pub enum Peers {
    /// Prints the number of live peers and of dropped messages
    #[command(
        after_help = "Exit codes: 0 success; 1 the router does not answer, or gossip is off.

Example: chalkhall peers stat --socket /run/chalkhall/control.sock"
    )]
    Stat {
        /// The router's control socket
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Memory {
    /// Prints the bytes held by use, the limit for them, and what did not fit in
    #[command(after_help = "Exit codes: 0 success; 1 the router does not answer.

Example: chalkhall memory stat --socket /run/chalkhall/control.sock")]
    Stat {
        /// The router's control socket
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Regions {
    /// Prints the state of each zone and the current region plan
    #[command(
        after_help = "Exit codes: 0 success; 1 the router does not answer, or failover is off.

Example: chalkhall regions stat --socket /run/chalkhall/control.sock"
    )]
    Stat {
        /// The router's control socket
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Prints the edges that should take this region's clients, best first, for a load balancer in front
    Steer {
        /// The router's control socket
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Reports to a router a latency that a load balancer in front measured between clients and an edge
    #[command(
        after_help = "Example: chalkhall regions observe north oslo 41.5 20 --socket control.sock"
    )]
    Observe {
        /// The router's own region or zone
        region: String,
        /// The zone to which the latency was measured
        edge: String,
        ms: f64,
        /// Number of measurements that the value represents
        #[arg(default_value_t = 1)]
        count: u32,
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Cells {
    /// Prints a running router's cells and the state of its moves
    Stat {
        /// The control socket of a running router
        #[arg(long)]
        socket: PathBuf,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
    },
    /// Plans which tenants to move so that no cell exceeds its utilization limit
    #[command(
        after_help = "FILE holds {\"cells\":[{\"name\":..,\"capacity\":..,\"cold\":0.3}],
\"tenants\":[{\"name\":..,\"load\":..,\"fill_kb\":..,\"cell\":..}]}: capacity and load in the same unit,
cold the share of its capacity that may be moved to a cell at once, fill_kb the cost of refilling a tenant's
objects in another cell.

Exit codes: 0 a plan; 1 some tenants that should move cannot be placed now.

Example: chalkhall cells plan fleet.json --most 80% --why"
    )]
    Plan {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Maximum utilization of a cell
        #[arg(long, default_value = "80%")]
        most: String,
        /// Print the reason and the cost of each move
        #[arg(long)]
        why: bool,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
    },
    /// Computes the cell map of an operator's file and reports all faults
    #[command(
        after_help = "Exit codes: 0 no fault; 1 faults in the file, cells with too few servers, or servers in
no cell.

Example: chalkhall cells check deploy/chalkhall.conf --config docs/example.json"
    )]
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// A cache server of the map; may be given more than once
        #[arg(long = "server", value_name = "NAME")]
        servers: Vec<String>,
        /// A router's configuration, with its cache servers and the names of its classes
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Runs a scenario: starts its routers, injects its load and faults, checks the rules, prints the figures
    #[command(
        after_help = "Exit codes: 0 all requirements are met; 1 a requirement is missed, or the run failed;
3 the run is inconclusive: this machine was too busy.

Examples:
  chalkhall fleet play crates/harness/plays/calm.play
  chalkhall fleet play crates/harness/plays/zone-lost.play --seed 7 --html zone.html --logs logs"
    )]
    Play {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        options: RunOptions,
        /// Write a page of plots to this file
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Print JSON instead of the line of figures
        #[arg(long)]
        json: bool,
    },
    /// Checks scenario files and reports all faults
    #[command(
        after_help = "Exit codes: 0 no fault; 1 faults, one per line as FILE:LINE:COLUMN: MESSAGE.

Example: chalkhall fleet check crates/harness/plays/calm.play"
    )]
    Check {
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
    },
    /// Runs a scenario unchanged and once for each alternative directive or program, on the same seed
    #[command(
        after_help = "Example: chalkhall fleet compare zone.play --with 'peers tell off' --plays 3"
    )]
    Compare {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        options: RunOptions,
        /// SECTION and directive of the routers' operator's file, to replace the scenario's own
        #[arg(long, value_name = "DIRECTIVE")]
        with: Vec<String>,
        /// Another router program, such as an earlier version
        #[arg(long, value_name = "PROGRAM")]
        and: Vec<PathBuf>,
        /// Number of consecutive seeds
        #[arg(long, default_value_t = 1)]
        plays: u64,
    },
    /// Lists all directives of scenario files
    Words {
        /// Print one JSON array
        #[arg(long)]
        json: bool,
    },
}

/// Options of a scenario run
#[derive(Args)]
pub struct RunOptions {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The router program [default: this program]
    #[arg(long, value_name = "PROGRAM")]
    pub router: Option<PathBuf>,
    /// A directory for the routers' logs
    #[arg(long, value_name = "FOLDER")]
    pub logs: Option<PathBuf>,
}

/// A store directory that no router uses
#[derive(Args)]
pub struct Directory {
    #[arg(value_name = "DIRECTORY")]
    pub path: PathBuf,
    /// Print JSON instead of text
    #[arg(long)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum Store {
    /// Prints what a store holds, in a directory or in a running router
    #[command(after_help = "Examples:
  chalkhall store stat /var/cache/chalkhall
  chalkhall store stat --socket /run/chalkhall/control.sock")]
    Stat {
        #[arg(value_name = "DIRECTORY", required_unless_present = "socket")]
        path: Option<PathBuf>,
        /// The control socket of a running router
        #[arg(long, conflicts_with = "path")]
        socket: Option<PathBuf>,
        /// Print JSON instead of text
        #[arg(long)]
        json: bool,
    },
    /// Lists all parts on disk
    #[command(
        after_help = "One part per line: object, part, group, rank, bytes, creation time (Unix ms), tag,
SEGMENT:OFFSET, and `purged` or `older` if it would not be served."
    )]
    List {
        #[command(flatten)]
        directory: Directory,
        /// List only parts of this object
        #[arg(long)]
        object: Option<String>,
    },
    /// Reads all records and reports damage
    #[command(after_help = "Exit codes: 0 no damage; 1 damaged or torn records.")]
    Verify {
        #[command(flatten)]
        directory: Directory,
    },
    /// Removes damaged and torn records from the segments; intact records are kept
    Repair {
        #[command(flatten)]
        directory: Directory,
        /// Only print what would be done
        #[arg(long)]
        dry_run: bool,
    },
    /// Writes the body of one part to a file or to standard output
    #[command(
        after_help = "Example: chalkhall store export /var/cache/chalkhall 7f3a9c21e0b4d655 3 --out part-3"
    )]
    Export {
        #[arg(value_name = "DIRECTORY")]
        path: PathBuf,
        object: String,
        part: u64,
        /// The output file [default: standard output]
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Purges an object or a group in a directory, or removes all parts
    #[command(group(clap::ArgGroup::new("what").required(true).args(["object", "group", "all"])))]
    Drop {
        #[command(flatten)]
        directory: Directory,
        #[arg(long)]
        object: Option<String>,
        #[arg(long)]
        group: Option<u64>,
        /// Remove all segments; the recorded purges are kept
        #[arg(long)]
        all: bool,
    },
    /// Crash test: kills a writing process repeatedly and looks for torn, stale or lost copies
    #[command(
        after_help = "The directory must be empty or left by an earlier run: never name one that is in use.
Exit codes: 0 no fault; 1 faults were found. The printed seed repeats the same writes.

Example: chalkhall store torture /tmp/torture --kills 100 --seed 7"
    )]
    Torture {
        #[command(flatten)]
        directory: Directory,
        #[arg(long, default_value_t = 100)]
        kills: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// The writing process of the crash test
    #[command(hide = true)]
    TortureWriter {
        path: PathBuf,
        #[arg(long)]
        seed: u64,
    },
}
