//! Detection of the end of a JSON object in a streamed body.

use sailmux::json::ObjectScanner;

#[test]
fn object_end_is_found_in_chunks_of_any_size() {
    let text = "\n\n{\n  \"instances\": [\n    {\"instanceId\": \"a}\\\"{\"}\n  ]\n}";
    // The text has blank lines, and braces within a string.
    for chunk_size in 1..text.len() {
        let mut scanner = ObjectScanner::default();
        let mut body = Vec::new();
        let mut ends = Vec::new();
        for bytes in text.as_bytes().chunks(chunk_size) {
            body.extend_from_slice(bytes);
            ends.extend(scanner.find_end(&body).expect("an object"));
        }
        assert_eq!(ends, [text.len()], "chunks of {chunk_size} bytes");
    }
}

#[test]
fn input_that_is_not_an_object_is_rejected() {
    for text in ["noise", "\n[", "{\"a\n", "}"] {
        assert!(ObjectScanner::default().find_end(text.as_bytes()).is_err(), "{text:?}");
    }
}
