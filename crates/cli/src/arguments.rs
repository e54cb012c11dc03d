//! The command line, as `--help` tells it.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// A traffic router for a two-tier cache, and the commands around it
#[derive(Parser)]
#[command(name = "chalkhall", version, about, max_term_width = 110)]
#[command(
    after_help = "Exit codes: 0 done; 1 it could not be done, or faults were found; 2 arguments that make no
sense.

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
        after_help = "Told by the environment: ROUTER_CONFIG is the path of a JSON file; ROUTER_NAME and
ROUTER_LISTEN go before its name and listen. SIGTERM drains and ends it, SIGHUP reads the file anew."
    )]
    Serve {
        /// The operator's file
        #[arg(value_name = "FILE")]
        directives: Option<PathBuf>,
    },
    /// Finds every fault of an operator's file at once
    #[command(
        after_help = "Exit codes: 0 no fault; 1 faults, one a line as FILE:LINE:COLUMN: WHAT.

Example: chalkhall check --json deploy/chalkhall.conf"
    )]
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// One JSON object with all faults
        #[arg(long)]
        json: bool,
    },
    /// Lists every directive of an operator's file
    Directives {
        /// One JSON array
        #[arg(long)]
        json: bool,
    },
    /// Own copies on disk: what is there, whether it is whole, and what to do about it
    #[command(subcommand)]
    Store(Store),
    /// Peers: what a live router tells its peers, and hears
    #[command(subcommand)]
    Peers(Peers),
    /// Regions: how a live router's zone and the others are, and where its requests go
    #[command(subcommand)]
    Regions(Regions),
    /// Cells: what a map makes of a list of servers, before a router takes it over
    #[command(subcommand)]
    Cells(Cells),
    /// Plays hundreds of real routers on loopback, with faults between them
    #[command(subcommand)]
    Fleet(Fleet),
    /// A router that dies with who started it
    #[command(hide = true)]
    FleetChild {
        parent: u32,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
        command: Vec<std::ffi::OsString>,
    },
    /// Prints what completes commands in a shell
    #[command(
        after_help = "Example: chalkhall completions bash > /etc/bash_completion.d/chalkhall"
    )]
    Completions { shell: Shell },
    /// Writes the manual pages into a folder
    #[command(after_help = "Example: chalkhall man /usr/local/share/man/man1")]
    Man { folder: PathBuf },
}

#[derive(Subcommand)]
pub enum Peers {
    /// Tells how many peers are heard, and what was dropped
    #[command(
        after_help = "Exit codes: 0 done; 1 the router does not answer, or talks to nobody.

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
pub enum Regions {
    /// Tells what is held of each zone, and the plan in force
    #[command(
        after_help = "Exit codes: 0 done; 1 the router does not answer, or regions in common are off.

Example: chalkhall regions stat --socket /run/chalkhall/control.sock"
    )]
    Stat {
        /// The router's control socket
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Tells, best first, which edges are to take this region's clients: for a front
    Steer {
        /// The router's control socket
        #[arg(long)]
        socket: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Tells a router what a front has measured of its clients' way to an edge
    #[command(
        after_help = "Example: chalkhall regions observe north oslo 41.5 20 --socket control.sock"
    )]
    Observe {
        /// The router's own region or zone
        region: String,
        /// The zone to which it was measured
        edge: String,
        ms: f64,
        /// How many measurements it stands for
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
    /// Tells a live router's cells, and where its moves stand
    Stat {
        /// The control socket of a live router
        #[arg(long)]
        socket: PathBuf,
        /// JSON in place of text
        #[arg(long)]
        json: bool,
    },
    /// Tells which tenants to move so that no cell is asked for more than it bears
    #[command(
        after_help = "FILE holds {\"cells\":[{\"name\":..,\"capacity\":..,\"cold\":0.3}],
\"tenants\":[{\"name\":..,\"load\":..,\"fill_kb\":..,\"cell\":..}]}: capacity and load in one unit, cold
the share of its capacity that a cell takes anew at once, fill_kb what a tenant costs to be filled anew.

Exit codes: 0 a plan; 1 some that should move find no room now.

Example: chalkhall cells plan fleet.json --most 80% --why"
    )]
    Plan {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// How full a cell may be
        #[arg(long, default_value = "80%")]
        most: String,
        /// Says of each move why, and what it costs
        #[arg(long)]
        why: bool,
        /// JSON in place of text
        #[arg(long)]
        json: bool,
    },
    /// Draws the map of an operator's file and tells every fault of it
    #[command(
        after_help = "Exit codes: 0 no fault; 1 faults: of the file, or cells with too few servers, or
servers in none.

Example: chalkhall cells check deploy/chalkhall.conf --config docs/example.json"
    )]
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// A cache server to draw over; may be given more than once
        #[arg(long = "server", value_name = "NAME")]
        servers: Vec<String>,
        /// A router's configuration: its caches and the names of its classes
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// JSON in place of text
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Plays a file: starts its routers, plays its work and faults, watches the rules, tells the figures
    #[command(
        after_help = "Exit codes: 0 all that must hold holds; 1 it falls short, or could not be played;
3 the play is void: this machine was too busy to tell.

Examples:
  chalkhall fleet play crates/harness/plays/calm.play
  chalkhall fleet play crates/harness/plays/zone-lost.play --seed 7 --html zone.html --logs logs"
    )]
    Play {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        how: How,
        /// One page of plots
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// JSON in place of the line of figures
        #[arg(long)]
        json: bool,
    },
    /// Finds every fault of a play's file at once
    #[command(
        after_help = "Exit codes: 0 no fault; 1 faults, one a line as FILE:LINE:COLUMN: WHAT.

Example: chalkhall fleet check crates/harness/plays/calm.play"
    )]
    Check {
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
    },
    /// Plays a file once as it is and once for each other directive or program, on the same seed
    #[command(
        after_help = "Example: chalkhall fleet compare zone.play --with 'peers tell off' --plays 3"
    )]
    Compare {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[command(flatten)]
        how: How,
        /// A line of the routers' operator's file, with its section before it, in place of the play's own
        #[arg(long, value_name = "DIRECTIVE")]
        with: Vec<String>,
        /// Another router program, as an earlier version
        #[arg(long, value_name = "PROGRAM")]
        and: Vec<PathBuf>,
        /// So many seeds, from the first on
        #[arg(long, default_value_t = 1)]
        plays: u64,
    },
    /// Lists every word of a play's file
    Words {
        /// One JSON array
        #[arg(long)]
        json: bool,
    },
}

/// How a fleet is played
#[derive(Args)]
pub struct How {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The router's program; this program unless given
    #[arg(long, value_name = "PROGRAM")]
    pub router: Option<PathBuf>,
    /// A folder for the routers' logs
    #[arg(long, value_name = "FOLDER")]
    pub logs: Option<PathBuf>,
}

/// A directory of own copies that no router holds
#[derive(Args)]
pub struct Directory {
    #[arg(value_name = "DIRECTORY")]
    pub path: PathBuf,
    /// JSON in place of text
    #[arg(long)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum Store {
    /// Tells what a store holds: a directory, or a live router's
    #[command(after_help = "Examples:
  chalkhall store stat /var/cache/chalkhall
  chalkhall store stat --socket /run/chalkhall/control.sock")]
    Stat {
        #[arg(value_name = "DIRECTORY", required_unless_present = "socket")]
        path: Option<PathBuf>,
        /// The control socket of a live router
        #[arg(long, conflicts_with = "path")]
        socket: Option<PathBuf>,
        /// JSON in place of text
        #[arg(long)]
        json: bool,
    },
    /// Lists every part on disk
    #[command(
        after_help = "One part a line: object, part, group, rank, bytes, when it was made (Unix ms), tag,
where, and `purged` or `older` where it would not be served."
    )]
    List {
        #[command(flatten)]
        directory: Directory,
        /// Only parts of this object
        #[arg(long)]
        object: Option<String>,
    },
    /// Reads everything and tells what is damaged
    #[command(after_help = "Exit codes: 0 all is whole; 1 something is damaged or torn.")]
    Verify {
        #[command(flatten)]
        directory: Directory,
    },
    /// Cuts off what is torn and takes damaged parts out of the lists; nothing whole is lost
    Repair {
        #[command(flatten)]
        directory: Directory,
        /// Only tells what would be done
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
        /// Standard output unless given
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Purges an object or a group in a directory, or empties it
    #[command(group(clap::ArgGroup::new("what").required(true).args(["object", "group", "all"])))]
    Drop {
        #[command(flatten)]
        directory: Directory,
        #[arg(long)]
        object: Option<String>,
        #[arg(long)]
        group: Option<u64>,
        /// Every segment; what was purged stays purged
        #[arg(long)]
        all: bool,
    },
    /// Kills a writing process again and again and looks for anything torn, stale or lost
    #[command(
        after_help = "The directory must be empty or left by an earlier torture: never name one that is in
use.
Exit codes: 0 nothing was found; 1 something was. The seed that is printed plays the same writes again.

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
    /// The process that is killed
    #[command(hide = true)]
    TortureWriter {
        path: PathBuf,
        #[arg(long)]
        seed: u64,
    },
}
