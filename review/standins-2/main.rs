//! The cases of the second review: `case NAME FOLDER ROOT`. Each writes `record.txt` into its
//! folder and ends with 1 if its rule was broken, 0 if it held, 2 if it could not run.

mod cold;
mod memory;
mod rig;
mod settings;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, root] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER ROOT");
        std::process::exit(rig::COULD_NOT_RUN);
    };
    let case = rig::Case::open(Path::new(folder), Path::new(root));
    match name.as_str() {
        "cold" => cold::run(&case),
        "history" => memory::run(&case, &memory::HISTORY),
        "unsized" => memory::run(&case, &memory::UNSIZED),
        _ => rig::finish(rig::COULD_NOT_RUN, "no such case"),
    }
}
