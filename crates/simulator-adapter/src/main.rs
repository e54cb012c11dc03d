//! `chalkhall-simulator-adapter`: hosts routers behind the simulator's protocol on standard input and output. Only
//! framing and JSON; the routers make all decisions.

mod wire;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let result = wire::run(input, &mut output);
    let flushed = output.flush().map_err(|e| format!("standard output: {e}"));
    match result.and(flushed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chalkhall-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
