//! Bounds of what is read ahead.

use filberthead_pipeline::{Memory, MemoryShare, Next};

use crate::server::{Connection, LIMITS, get};

/// A caller that sends without end must not make the gateway run or hold without end.
#[test]
fn requests_and_bytes_of_a_connection_are_bounded() {
    let mut connection = Connection::new();
    connection.receive(get("/first").as_bytes(), 0);
    for number in 0..LIMITS.requests {
        assert!(connection.pipeline.may_read(), "{number}");
        connection.receive(get(&format!("/{number}")).as_bytes(), 0);
        connection.start();
    }
    assert!(!connection.pipeline.may_read(), "enough requests");
    connection.receive(get("/more").as_bytes(), 0);
    assert!(matches!(connection.start(), Next::Hold));
    assert_eq!(connection.started.len(), LIMITS.requests);
    connection.answer();
    connection.serve(usize::MAX);
    connection.start();
    assert_eq!(connection.started.len(), LIMITS.requests + 1);

    let mut connection = Connection::new();
    connection.receive(get("/first").as_bytes(), 0);
    connection.receive(&vec![b'a'; LIMITS.bytes], 0);
    connection.start();
    assert!(!connection.pipeline.may_read(), "enough bytes");
}

/// Many connections together must not fill the memory of a small VM. What is answered frees it.
#[test]
fn bytes_of_all_connections_are_bounded() {
    let memory = Memory::new(150);
    let mut connections: Vec<_> = (0..4).map(|_| Connection::with_memory(&memory)).collect();
    for connection in &mut connections {
        connection.receive(get("/first").as_bytes(), 0);
        assert!(connection.pipeline.may_read());
    }
    for connection in &mut connections[..2] {
        connection.receive([get("/a"), get("/b"), get("/c")].concat().as_bytes(), 0);
        connection.start();
    }
    assert!(connections.iter().all(|c| !c.pipeline.may_read()));
    while connections[0].answer() {
        connections[0].serve(usize::MAX);
    }
    assert!(connections.iter().all(|c| c.pipeline.may_read()));
    let answer = MemoryShare::new(&memory, 150);
    assert!(connections.iter().all(|c| !c.pipeline.may_read()));
    drop((answer, connections));
    assert_eq!(memory.used(), 0);
}
