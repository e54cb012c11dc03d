//! Chunks of bytes that wait to be written to a socket, in order.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::io::IoSlice;

/// Chunks passed to one vectored write.
const MAX_CHUNKS_PER_WRITE: usize = 16;

/// Chunks that wait to be written. They are written from where they are, without a copy.
#[derive(Debug, Default)]
pub struct ChunkQueue {
    chunks: VecDeque<Bytes>,
}

impl ChunkQueue {
    /// Appends a chunk, unless it is empty.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.chunks.push_back(chunk);
        }
    }

    /// The first chunks, for a vectored write.
    pub fn slices(&self) -> Vec<IoSlice<'_>> {
        let chunks = self.chunks.iter().take(MAX_CHUNKS_PER_WRITE);
        chunks.map(|chunk| IoSlice::new(chunk)).collect()
    }

    /// Removes bytes that have been written.
    pub fn advance(&mut self, mut written: usize) {
        while let Some(chunk) = self.chunks.front_mut().filter(|_| written > 0) {
            let length = chunk.len().min(written);
            chunk.advance(length);
            written -= length;
            if chunk.is_empty() {
                self.chunks.pop_front();
            }
        }
    }

    /// Whether everything has been written.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// The number of chunks.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }
}

impl FromIterator<Bytes> for ChunkQueue {
    fn from_iter<T: IntoIterator<Item = Bytes>>(chunks: T) -> ChunkQueue {
        let mut queue = ChunkQueue::default();
        chunks.into_iter().for_each(|chunk| queue.push(chunk));
        queue
    }
}
