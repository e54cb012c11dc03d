//! Methods of the [support](crate::support) types for `quiet_then_faults.rs` and `shutdown.rs`:
//! answers as tuples, and earlier names of other methods. New tests use the support module
//! directly.
#![allow(
    dead_code,
    reason = "open changes to those files may use methods that are unused now"
)]

use crate::support;
use crate::support::{
    FakeDiscovery, FakeServer, LineConnection, ReceivedRequest, RouterProcess, TestClient,
    TestEnvironment,
};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitStatus;

impl LineConnection {
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

    pub fn asked(&mut self) -> ReceivedRequest {
        self.read_request()
    }

    pub fn asked_or_closed(&mut self) -> Option<ReceivedRequest> {
        self.read_request_or_close()
    }

    pub fn try_asked(&mut self) -> Option<ReceivedRequest> {
        self.try_read_request()
    }

    pub fn serve(&mut self, body: &[u8]) {
        self.respond_hit(body);
    }

    pub fn answer(&mut self, request: &ReceivedRequest, word: &str, fields: &str, body: &[u8]) {
        self.respond(request, word, fields, body);
    }
}

impl ReceivedRequest {
    pub fn get(&self, name: &str) -> &str {
        self.field(name)
    }
}

impl FakeServer {
    pub fn vanish(&self) -> Vec<TcpStream> {
        self.fill_accept_queue()
    }
}

impl FakeDiscovery {
    /// Waits for a watch; returns its connection and the revision after which it asks for events.
    pub fn accept_watch_connection(&self) -> (LineConnection, u64) {
        let watch = self.accept_watch();
        let after = watch.after_revision;
        (watch.into_connection(), after)
    }

    /// Stops listening and closes a watch; returns the address, at which connections are refused.
    pub fn stop_listening_and_close(&mut self, watch: LineConnection) -> SocketAddr {
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
pub type AnswerTuple = (u64, String, String, Vec<u8>);

fn answer_tuple(answer: support::ClientAnswer) -> AnswerTuple {
    (answer.tag, answer.word, answer.fields, answer.body)
}

impl TestClient {
    pub fn ask(&mut self, tag: u64, class: &str, more: &str, body: &[u8]) -> String {
        self.send_request(tag, class, more, body)
    }

    pub fn try_ask(&mut self, tag: u64, class: &str, limit_ms: u64) -> bool {
        self.try_send_request(tag, class, limit_ms)
    }

    pub fn read_answer_tuple(&mut self) -> AnswerTuple {
        answer_tuple(self.read_answer())
    }

    pub fn try_read_answer_tuple(&mut self) -> Option<AnswerTuple> {
        self.try_read_answer().map(answer_tuple)
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

impl TestEnvironment {
    pub fn write(&self) {
        self.write_configuration();
    }
}

impl RouterProcess {
    pub fn client(&self) -> TestClient {
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

    /// Waits until the router exits; returns its status and its log.
    pub fn wait_for_status_and_log(&mut self) -> (ExitStatus, String) {
        let exit = self.wait_for_exit();
        (exit.status, exit.log)
    }
}
