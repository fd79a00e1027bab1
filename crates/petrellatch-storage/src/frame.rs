//! The frame around every record: length, checksum of the length, checksum of
//! the payload, payload.
//!
//! The length has a checksum of its own so that a damaged length is not
//! mistaken for a record that was cut short.

/// Size of the part before the payload, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 12;

const FIELD_BYTES: usize = 4;

/// What stands at some place of a file.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Frame<'a> {
    /// An intact record.
    Intact(&'a [u8]),
    /// The file ends before the record does.
    Truncated,
    /// Nothing but zeros up to the end of the file: space that was allocated
    /// but not written before a crash.
    Unwritten,
    /// The checksum of the length is wrong.
    DamagedLength,
    /// The checksum of the payload is wrong.
    DamagedPayload,
}

/// Appends the frame of `payload` to `buffer`.
pub(crate) fn write_frame(buffer: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).expect("records are smaller than 4 GiB");
    let length = length.to_le_bytes();
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    buffer.extend_from_slice(payload);
}

/// Reads the frame at the start of `bytes`, which reach to the end of the
/// file.
pub(crate) fn read_frame(bytes: &[u8]) -> Frame<'_> {
    if bytes.len() < FRAME_HEADER_BYTES {
        return Frame::Truncated;
    }
    let (header, rest) = bytes.split_at(FRAME_HEADER_BYTES);
    let length = &header[..FIELD_BYTES];
    if crc32fast::hash(length) != header_field(header, 1) {
        let unwritten = bytes.iter().all(|byte| *byte == 0);
        return if unwritten {
            Frame::Unwritten
        } else {
            Frame::DamagedLength
        };
    }
    let Some(payload) = rest.get(..header_field(header, 0) as usize) else {
        return Frame::Truncated;
    };
    if crc32fast::hash(payload) != header_field(header, 2) {
        return Frame::DamagedPayload;
    }
    Frame::Intact(payload)
}

fn header_field(header: &[u8], position: usize) -> u32 {
    let start = position * FIELD_BYTES;
    let mut bytes = [0; FIELD_BYTES];
    bytes.copy_from_slice(&header[start..start + FIELD_BYTES]);
    u32::from_le_bytes(bytes)
}
