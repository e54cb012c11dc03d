//! How requests end by the responses of servers: forwarded, retried elsewhere, rejected or failed.

use crate::support::*;

#[test]
fn a_hit_is_forwarded_unchanged() {
    let (environment, _router, mut client) = start_router();
    let id = client.send_request(7, "page", "piece=3", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(
        (&request.id, request.field("item"), request.field("chunk")),
        (&id, "0000000000000007", "3")
    );
    assert_eq!(
        (
            request.field("cls"),
            request.field("src"),
            request.field("maxage")
        ),
        ("page", "p1", "12000")
    );
    assert!((3000..4000).contains(&request.field("limit").parse::<u64>().unwrap()));
    let object = body_of_length(240_000);
    server.respond(
        &request,
        "OK",
        "tell=hit,etag=4be0c1927d55a6f3,made=1",
        &object,
    );
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(7, "ACK", "ver=4be0c1927d55a6f3", object)
    );
}

#[test]
fn a_write_is_forwarded_with_its_body_to_the_origin() {
    let (environment, _router, mut client) = start_router();
    let body = body_of_length(48_000);
    client.send_request(1, "confirm", "", &body);
    let mut origin = environment.server("o1").accept();
    let request = origin.read_request();
    assert_eq!((request.body == body, request.field("src")), (true, ""));
    origin.respond(&request, "OK", "-", b"done");
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(1, "ACK", "", b"done")
    );
}

#[test]
fn a_current_client_copy_is_answered_not_modified_without_a_body() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "page", "ver=4be0c1927d55a6f3", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(request.field("have"), "4be0c1927d55a6f3");
    server.respond(&request, "SAME", "tell=hit,etag=4be0c1927d55a6f3", b"");
    let ClientAnswer {
        word, fields, body, ..
    } = client.read_answer();
    assert!(
        word == "ACK" && fields.split(',').any(|f| f == "unchanged=1") && body.is_empty(),
        "{word} {fields}"
    );
}

/// A "not modified" response is forwarded only if the server names the version that the client has.
#[test]
fn not_modified_for_another_version_than_the_clients_is_retried_elsewhere() {
    for fields in ["tell=hit,etag=1111111111111111", "tell=hit"] {
        let (environment, _router, mut client) = start_router();
        client.send_request(1, "page", "ver=4be0c1927d55a6f3", b"");
        let mut server = environment.server("c1").accept();
        let request = server.read_request();
        server.respond(&request, "SAME", fields, b"");
        // The request is retried elsewhere, as after any error.
        let mut parent = environment.server("p1").accept();
        parent.respond_hit(b"whole");
        let ClientAnswer {
            word, fields, body, ..
        } = client.read_answer();
        assert!(
            word == "ACK" && !fields.contains("unchanged") && body == b"whole",
            "{word} {fields}"
        );
    }
}

#[test]
fn responses_on_a_shared_connection_may_come_in_any_order() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "page", "", b"");
    client.send_request(2, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let (first, second) = (server.read_request(), server.read_request());
    server.respond(&second, "OK", "tell=hit", b"two");
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(2, "ACK", "", b"two")
    );
    server.respond(&first, "OK", "tell=hit", b"one");
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(1, "ACK", "", b"one")
    );
}

#[test]
fn a_busy_response_is_retried_elsewhere_and_a_miss_is_final() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "confirm", "", b"");
    let mut origin = environment.server("o1").accept();
    let request = origin.read_request();
    origin.respond(&request, "BUSY", "-", b"");
    // The request did not run there, so it is retried elsewhere although it is not idempotent.
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(
        (request.field("cls"), request.field("src")),
        ("confirm", "p1")
    );
    server.respond(&request, "MISS", "-", b"");
    let ClientAnswer { word, fields, .. } = client.read_answer();
    assert_eq!(word, "NAK");
    assert!(fields.starts_with("w="), "{fields}");
}

#[test]
fn a_non_idempotent_request_fails_after_its_connection_broke() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "confirm", "", b"");
    let mut origin = environment.server("o1").accept();
    origin.read_request();
    drop(origin);
    assert_eq!(
        client.read_answer_word(),
        "FAIL",
        "the request may have run: it is neither retried nor rejected"
    );
}

#[test]
fn a_refused_connection_is_retried_even_for_a_non_idempotent_request() {
    let mut environment = TestEnvironment::new();
    environment.servers[2].dial = unused_address();
    let router = environment.start();
    let mut client = router.connect();
    client.send_request(1, "confirm", "", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(request.field("cls"), "confirm");
    server.respond(&request, "OK", "tell=via_origin", b"done");
    assert_eq!(client.read_answer_word(), "ACK");
}

#[test]
fn an_invalid_server_response_fails_its_request_and_closes_its_connection() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "confirm", "", b"");
    let mut origin = environment.server("o1").accept();
    origin.read_request();
    origin.send("what is this\r\n");
    assert_eq!(client.read_answer_word(), "FAIL");
    assert_eq!(origin.read_line(), "");
    client.send_request(2, "confirm", "", b"");
    let mut origin = environment.server("o1").accept();
    let request = origin.read_request();
    // The client named no copy, so a "not modified" response is invalid.
    origin.respond(&request, "SAME", "-", b"");
    assert_eq!(client.read_answer_word(), "FAIL");
}
