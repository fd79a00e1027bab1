//! Reads the cluster key.

use std::path::Path;

use petrellatch_proto::seal::{ClusterKey, KEY_BYTES};

use super::problem::SettingsProblem;

/// Reads the key that all processes of the cluster share: 32 hexadecimal digits, which
/// white space may surround. Errors never contain the key.
///
/// # Errors
///
/// The file can't be read, or does not contain exactly 32 hexadecimal digits.
pub fn read_cluster_key(path: &Path) -> Result<ClusterKey, Box<SettingsProblem>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| problem(path, format!("can't read the file: {error}")))?;
    let key = parse_key(text.trim()).map_err(|message| problem(path, message))?;
    Ok(ClusterKey::new(key))
}

fn parse_key(text: &str) -> Result<[u8; KEY_BYTES], String> {
    let digits = text.as_bytes();
    if digits.len() != 2 * KEY_BYTES {
        return Err(format!("the file contains {} characters", digits.len()));
    }
    let mut key = [0; KEY_BYTES];
    for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).unwrap_or("");
        let both_digits = pair.bytes().all(|digit| digit.is_ascii_hexdigit());
        *byte = u8::from_str_radix(pair, 16)
            .ok()
            .filter(|_| both_digits)
            .ok_or("the file contains a character that is not a hexadecimal digit")?;
    }
    Ok(key)
}

fn problem(path: &Path, message: String) -> Box<SettingsProblem> {
    Box::new(SettingsProblem {
        file: path.display().to_string(),
        line: None,
        key: "cluster.key_file".to_string(),
        value: String::new(),
        message,
        allowed: "32 hexadecimal digits".to_string(),
    })
}
