//! `chalkhall-simulator-adapter`: hosts routers on the simulator's wire, standard input to standard output.
//! Framing and JSON; no decision.

mod wire;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let ran = wire::run(input, &mut output);
    let flushed = output.flush().map_err(|e| format!("standard output: {e}"));
    match ran.and(flushed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("chalkhall-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
