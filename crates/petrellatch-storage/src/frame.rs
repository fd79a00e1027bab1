//! The frame of a record: length, CRC-32 of the length, CRC-32 of the payload
//! (each a little-endian `u32`), payload.
//!
//! The length has its own checksum so that a damaged length is not mistaken for
//! a truncated record.

/// Size of the header before the payload, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 12;

const FIELD_BYTES: usize = 4;

/// Result of reading a frame.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Frame<'a> {
    /// The payload of an intact record.
    Intact(&'a [u8]),
    /// The file ends within the record.
    Truncated,
    /// All bytes up to the end of the file are zero: the space was allocated but
    /// not written before a crash.
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

/// Reads the frame at the start of `bytes`, which must extend to the end of the
/// file.
pub(crate) fn read_frame(bytes: &[u8]) -> Frame<'_> {
    if bytes.len() < FRAME_HEADER_BYTES {
        return Frame::Truncated;
    }
    let (header, rest) = bytes.split_at(FRAME_HEADER_BYTES);
    let length = &header[..FIELD_BYTES];
    if crc32fast::hash(length) != header_field(header, 1) {
        // The CRC-32 of a zero length isn't zero, so unwritten space gets here.
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

/// Returns a field of the header: 0 is the length, 1 its checksum, 2 the
/// checksum of the payload.
fn header_field(header: &[u8], position: usize) -> u32 {
    let start = position * FIELD_BYTES;
    let mut bytes = [0; FIELD_BYTES];
    bytes.copy_from_slice(&header[start..start + FIELD_BYTES]);
    u32::from_le_bytes(bytes)
}
