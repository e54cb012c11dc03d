//! The earlier names of the [support](crate::support) module, for the test files that still use
//! them: `quiet_then_faults.rs` and `shutdown.rs`. It goes when those are renamed.
#![allow(
    dead_code,
    reason = "open changes to those files may use more than they do now"
)]

use crate::support;
pub use crate::support::{
    FakeDiscovery as Discovery, FakeServer as Server, HIT_FIELDS as HIT, LineConnection as Line,
    ReceivedRequest as Asked, RouterProcess as Program, SLACK, ScheduledInstant as Moment,
    TestClient as Client, TestEnvironment as World, endpoints_event as list,
    fill_accept_queue as fill_queue, unused_address as address, wait_until,
};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitStatus;

impl Line {
    pub fn line(&mut self) -> String {
        self.read_line()
    }

    pub fn ready(&mut self) -> bool {
        self.has_unread_data()
    }

    pub fn say(&mut self, text: impl AsRef<[u8]>) {
        self.send(text);
    }

    pub fn still_takes(&mut self, text: &str) -> bool {
        self.try_send(text)
    }

    pub fn asked(&mut self) -> Asked {
        self.read_request()
    }

    pub fn asked_or_closed(&mut self) -> Option<Asked> {
        self.read_request_or_close()
    }

    pub fn try_asked(&mut self) -> Option<Asked> {
        self.try_read_request()
    }

    pub fn serve(&mut self, body: &[u8]) {
        self.respond_hit(body);
    }

    pub fn answer(&mut self, asked: &Asked, word: &str, fields: &str, body: &[u8]) {
        self.respond(asked, word, fields, body);
    }
}

impl Asked {
    pub fn get(&self, name: &str) -> &str {
        self.field(name)
    }
}

impl Server {
    pub fn vanish(&self) -> Vec<TcpStream> {
        self.fill_accept_queue()
    }
}

impl Discovery {
    pub fn accept(&self) -> (Line, u64) {
        let watch = self.accept_watch();
        let after = watch.after_revision;
        (watch.into_connection(), after)
    }

    pub fn goes_down(&mut self, watch: Line) -> SocketAddr {
        let at = self.stop_listening();
        drop(watch);
        at
    }

    pub fn comes_back(&mut self, at: SocketAddr) {
        self.listen_again(at);
    }

    pub fn is_watched(&self) -> bool {
        self.has_pending_watch()
    }
}

/// A final answer: its tag, word, fields and body.
pub type Answer = (u64, String, String, Vec<u8>);

fn tuple(answer: support::ClientAnswer) -> Answer {
    (answer.tag, answer.word, answer.fields, answer.body)
}

impl Client {
    pub fn ask(&mut self, tag: u64, class: &str, more: &str, body: &[u8]) -> String {
        self.send_request(tag, class, more, body)
    }

    pub fn try_ask(&mut self, tag: u64, class: &str, limit_ms: u64) -> bool {
        self.try_send_request(tag, class, limit_ms)
    }

    pub fn answer(&mut self) -> Answer {
        tuple(self.read_answer())
    }

    pub fn try_answer(&mut self) -> Option<Answer> {
        self.try_read_answer().map(tuple)
    }

    pub fn word(&mut self) -> String {
        self.read_answer_word()
    }

    pub fn ready(&mut self) -> bool {
        self.has_unread_data()
    }

    pub fn parted(&mut self) -> bool {
        self.is_closed_in_order()
    }

    pub fn closed(&mut self) -> bool {
        self.is_closed()
    }
}

impl World {
    pub fn write(&self) {
        self.write_configuration();
    }
}

impl Program {
    pub fn client(&self) -> Client {
        self.connect()
    }

    pub fn is_stopped(&self) -> bool {
        self.is_in_state('T')
    }

    pub fn is_zombie(&self) -> bool {
        self.is_in_state('Z')
    }

    pub fn descriptors(&self) -> usize {
        self.open_descriptors()
    }

    pub fn ended(&mut self) -> (ExitStatus, String) {
        let exit = self.wait_for_exit();
        (exit.status, exit.log)
    }
}
